"""Tests of the learned durations of tasks."""

import unittest

import attrs

from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    Durations,
    EndKind,
    decode_durations,
    encode_durations,
)
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job

STEP = attrs.evolve(SMALL, count=10, image="a")
SPECULATIVE_STEP = attrs.evolve(STEP, speculative=True)


def learn(durations: Durations, step, ratios, *, queue="q", now_ms=0.0) -> None:
    """Record completed attempts with the given ratios to the declared duration."""
    for ratio in ratios:
        durations.record_done(
            queue,
            step,
            ("j", 0, 0),
            ran_ms=ratio * step.estimate_ms,
            slowing_ms=0.0,
            now_ms=now_ms,
        )


class TestDurations(unittest.TestCase):
    """Estimates with and without sufficient observations."""

    def test_declared_durations_hold_until_a_kind_is_known(self):
        durations = Durations()
        learn(durations, STEP, [3.0] * 10)
        self.assertEqual(durations.estimate("q", STEP), 500.0)
        self.assertEqual(durations.compute_quantile("q", STEP, 0.95, prior=4.0), 2000.0)

    def test_estimate_and_tail_of_a_known_kind(self):
        durations = Durations()
        learn(durations, STEP, [2.0] * 95 + [14.0] * 5)
        self.assertAlmostEqual(durations.estimate("q", STEP), 1000.0, delta=50.0)
        high_ms = durations.compute_quantile("q", STEP, 0.97, prior=4.0)
        self.assertAlmostEqual(high_ms, 7000.0, delta=400.0)

    def test_unknown_image_takes_the_durations_of_its_queue_only(self):
        durations = Durations()
        learn(durations, STEP, [2.0] * 30)
        other = attrs.evolve(STEP, image="b")
        self.assertAlmostEqual(durations.estimate("q", other), 1000.0, delta=50.0)
        self.assertEqual(durations.estimate("other queue", other), 500.0)

    def test_run_past_the_usual_duration_has_the_rest_of_the_tail(self):
        durations = Durations()
        learn(durations, STEP, [1.0] * 95 + [7.0] * 5)
        self.assertLess(durations.estimate_rest("q", STEP, 400.0), 300.0)
        rest_ms = durations.estimate_rest("q", STEP, 1000.0)
        self.assertAlmostEqual(rest_ms, 2500.0, delta=200.0)
        self.assertEqual(durations.estimate_rest("q", STEP, 5000.0), 5000.0)

    def test_observations_that_are_over_are_forgotten(self):
        durations = Durations()
        learn(durations, STEP, [8.0] * 200)
        learn(durations, STEP, [1.0] * 60, now_ms=600_000.0)
        self.assertLess(durations.estimate("q", STEP), 600.0)

    def test_share_of_failures(self):
        durations = Durations()
        learn(durations, STEP, [1.0] * 30)
        for _ in range(10):
            durations.record_failed("q", STEP, 0.0)
        self.assertAlmostEqual(durations.get_failure_share("q", STEP), 0.25)

    def test_throttled_runs(self):
        # Guards against counting time lost to throttling, and against recording runs
        # that were throttled most of the time.
        durations = Durations()
        for _ in range(30):
            durations.record_done(
                "q", STEP, ("j", 0, 0), ran_ms=1000.0, slowing_ms=500.0, now_ms=0.0
            )
            durations.record_done(
                "q", STEP, ("j", 0, 0), ran_ms=9000.0, slowing_ms=8500.0, now_ms=0.0
            )
        high_ms = durations.compute_quantile("q", STEP, 0.99, prior=4.0)
        self.assertLess(high_ms, 600.0)

    def test_memory_is_bounded_under_many_images(self):
        durations = Durations()
        for number in range(1000):
            step = attrs.evolve(SPECULATIVE_STEP, image=f"i{number}")
            durations.record_done(
                "q", step, (f"j{number}", 0, 0), ran_ms=9.0, slowing_ms=0.0, now_ms=0.0
            )
        self.assertLessEqual(len(durations.models), 48)
        self.assertIn(("q", "i999"), durations.models)
        self.assertLess(len(encode_durations(durations)), 150_000)

    def test_median_of_a_step_needs_half_of_its_tasks(self):
        durations = Durations()
        learn(durations, SPECULATIVE_STEP, [1.0] * 4)
        self.assertIsNone(durations.find_median(SPECULATIVE_STEP, ("j", 0, 0)))
        learn(durations, SPECULATIVE_STEP, [3.0])
        self.assertEqual(durations.find_median(SPECULATIVE_STEP, ("j", 0, 0)), 500.0)

    def test_snapshot_round_trip(self):
        durations = Durations()
        learn(durations, SPECULATIVE_STEP, [0.5] * 30 + [7.0])
        durations.record_failed("q", SPECULATIVE_STEP, 0.0)
        restored = decode_durations(encode_durations(durations))
        self.assertEqual(restored, durations)

    def test_snapshots_of_other_writers_are_rejected(self):
        for data in (
            b"[]",
            b"{}",
            b'{"rows":[1]}',
            b'{"rows":[{"queue":"q","image":"","declared":{"x":1},"spread":{},'
            b'"done":0,"failed":0}]}',
            b'{"rows":[{"queue":"q","image":"","declared":{"9999":1},"spread":{},'
            b'"done":0,"failed":0}]}',
            b'{"rows":[{"queue":"q","image":"","declared":{"0":-1},"spread":{},'
            b'"done":0,"failed":0}]}',
        ):
            with self.subTest(data=data), self.assertRaises(DecodeError):
                decode_durations(data)


class TestLearning(unittest.TestCase):
    """Selection of the attempts that are recorded."""

    def test_completed_task_is_learned(self):
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.advance_time(900.0)
        shard.end(order, EndKind.DONE)
        (model,) = shard.scheduler.durations.models.values()
        self.assertAlmostEqual(model.declared.compute_quantile(0.5), 2.0, delta=0.2)

    def test_adopted_run_is_not_learned(self):
        # Guards against durations that are measured from a takeover.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        later = Shard(workers=0, epoch=2)
        later.workers = shard.workers
        later.submit(build_job(), is_new=False)
        later.add_worker("w0")
        later.end(order, EndKind.DONE)
        self.assertEqual(later.scheduler.durations.observations, 0)
        self.assertEqual(later.scheduler.dirty, {later.scheduler.jobs["j"]})
