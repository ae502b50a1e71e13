"""Tests of the share of jobs of every size that is served before others."""

import unittest

import attrs

from trefoilhook.scheduling import Configuration, Demand, EndKind, Step
from trefoilhook.scheduling.guarantees import GUARANTEED_SHARE, Guarantees
from trefoilhook.scheduling.tests.cases import (
    CONFIGURATION,
    Shard,
    build_job,
    list_starts,
)

_TASK = Step(count=1, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=500.0)
_SMALL = attrs.evolve(_TASK, count=2)
_LARGE = attrs.evolve(_TASK, count=40)


class GuaranteesTest(unittest.TestCase):
    """Jobs are selected by queue and size class."""

    def test_share_of_each_size_class_is_guaranteed(self):
        # Guards against a share that depends on how many jobs of a size there are.
        guarantees = Guarantees()
        for work, count in ((1000.0, 90), (1_000_000.0, 9)):
            admitted = sum(guarantees.admit("q", work) for _ in range(count))
            self.assertAlmostEqual(admitted, GUARANTEED_SHARE * count, delta=1.0)

    def test_first_job_of_a_size_is_guaranteed_in_each_queue(self):
        # Guards against passing over the only large job.
        guarantees = Guarantees()
        self.assertTrue(guarantees.admit("a", 500.0))
        self.assertFalse(guarantees.admit("a", 500.0))
        self.assertTrue(guarantees.admit("b", 500.0))
        self.assertTrue(guarantees.admit("a", 50_000.0))

    def test_job_without_estimate_has_a_size_class(self):
        guarantees = Guarantees()
        self.assertTrue(guarantees.admit("a", 0.0))
        self.assertFalse(guarantees.admit("a", 0.0))


class RankTest(unittest.TestCase):
    """One worker has capacity for one task at a time."""

    def setUp(self):
        self.shard = Shard(workers=1, cpu=1000)

    def _submit(self, step: Step, job_id: str, *, is_guaranteed: bool, **fields):
        self.shard.submit(build_job(step, job_id=job_id, **fields))
        self.shard.scheduler.jobs[job_id].is_guaranteed = is_guaranteed

    def _start_next(self) -> str:
        (start,) = list_starts(self.shard.plan())
        return start.task.job_id

    def test_guaranteed_job_is_first_whatever_its_size(self):
        # Guards against passing over every large job while small ones arrive.
        self._submit(_SMALL, "small", is_guaranteed=False)
        self._submit(_LARGE, "large", is_guaranteed=True)
        self.assertEqual(self._start_next(), "large")

    def test_guarantee_ends_when_job_is_too_late(self):
        # Guards against spending capacity on jobs whose users have left.
        accepted_ms = self.shard.now_ms - 200_000.0
        self._submit(_LARGE, "late", is_guaranteed=True, accepted_ms=accepted_ms)
        self._submit(_SMALL, "small", is_guaranteed=False)
        self.assertEqual(self._start_next(), "small")

    def test_guarantee_does_not_cross_priorities(self):
        self._submit(_SMALL, "urgent", is_guaranteed=False)
        self._submit(_LARGE, "batch", is_guaranteed=True)
        batch = self.shard.scheduler.jobs["batch"]
        batch.queue = attrs.evolve(batch.queue, priority=2)
        self.assertEqual(self._start_next(), "urgent")

    def test_less_remaining_work_is_first(self):
        # Guards against passing over a wide job that is nearly done for a new one.
        self._submit(attrs.evolve(_TASK, count=4), "begun", is_guaranteed=False)
        for _ in range(3):
            start = self.shard.start_one()
            self.shard.end(start, EndKind.DONE)
        self._submit(_SMALL, "new", is_guaranteed=False)
        self.assertEqual(self._start_next(), "begun")

    def test_job_is_not_late_because_its_queue_became_known_after_it(self):
        # Guards against a job that is treated as late, and served last, until it ends.
        scheduler = self.shard.scheduler
        scheduler.set_configuration(Configuration(version=1, queues=()))
        self._submit(_SMALL, "small", is_guaranteed=False)
        scheduler.set_configuration(CONFIGURATION)
        self._submit(_LARGE, "large", is_guaranteed=False)
        self.assertEqual(self._start_next(), "small")
