"""Tests of the records of batch jobs with nothing running."""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import Demand, EndKind, IdleJob, Step, select_longest
from trefoilhook.scheduling.idle_jobs import IdleJobTracker
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_TASK = Step(count=2, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=2000.0)


def _list_jobs(shard: Shard) -> list[IdleJob]:
    tracker = shard.scheduler.waits.idle_jobs
    return tracker.list_jobs(min_idle_ms=1000.0, now_ms=shard.now_ms)


def _plan_for(shard: Shard, duration_ms: float) -> None:
    until_ms = shard.now_ms + duration_ms
    while shard.now_ms < until_ms:
        shard.advance_time(100.0)
        shard.plan()


class IdleJobRecordTest(unittest.TestCase):
    """What rounds record of jobs without runs."""

    def test_held_job_is_entitled_on_an_idle_fleet(self):
        # Guards against a job that waits for earlier owners without any line.
        shard = Shard(settled=False)
        shard.submit(build_job(_TASK, job_id="old"), is_new=False)
        shard.plan()
        _plan_for(shard, 1500.0)
        (job,) = _list_jobs(shard)
        self.assertEqual((job.job, job.idle_ms, job.entitled_ms), ("old", 1500, 1500))
        self.assertEqual(job.reasons_ms, {"owner new": 1500})
        self.assertEqual((job.waits_for, job.idle_share), ("owner new", 1.0))

    def test_no_entitlement_without_capacity_for_two(self):
        # Guards against a rule that seems broken where there is no capacity.
        shard = Shard(workers=1, cpu=4000)
        large = attrs.evolve(_TASK, demand=Demand(cpu=5000, memory_mb=10))
        shard.submit(build_job(large))
        shard.plan()
        _plan_for(shard, 1200.0)
        (job,) = _list_jobs(shard)
        self.assertEqual((job.idle_ms, job.longest_entitled_ms), (1200, 0))

    def test_jobs_with_a_run_and_services_are_not_recorded(self):
        shard = Shard(workers=1, cpu=1000)
        shard.submit(build_job(_TASK, job_id="running"))
        self.assertEqual(len(list_starts(shard.step())), 1)
        service = attrs.evolve(_TASK, estimate_ms=0.0, long_running=True)
        shard.submit(build_job(service, job_id="service"))
        _plan_for(shard, 1500.0)
        waiting = {task.task.job_id for task in shard.scheduler.waiting}
        self.assertEqual(waiting, {"running", "service"})
        self.assertEqual(_list_jobs(shard), [])

    def test_short_run_between_two_records_ends_the_time(self):
        # Guards against two waits told as one because the run between them was short.
        shard = Shard(settled=False)
        shard.submit(build_job(_TASK), is_new=False)
        shard.plan()
        _plan_for(shard, 1500.0)
        shard.settled = True
        tracker = shard.scheduler.waits.idle_jobs
        with mock.patch.object(IdleJobTracker, "is_due", return_value=False):
            for start in list_starts(shard.step()):
                worker = shard.workers[start.worker_id]
                worker.end(start.task, start.attempt, EndKind.DONE)
            shard.poll_all()
        ended, _ = tracker.take_ended(shard.now_ms)
        self.assertEqual([job.outcome for job in ended], ["started"])

    def test_start_ends_the_time(self):
        shard = Shard(settled=False)
        shard.submit(build_job(_TASK), is_new=False)
        shard.plan()
        _plan_for(shard, 1500.0)
        shard.settled = True
        shard.step()
        _plan_for(shard, 300.0)
        self.assertEqual(_list_jobs(shard), [])
        ended, _ = shard.scheduler.waits.idle_jobs.take_ended(shard.now_ms)
        self.assertEqual(
            [(job.outcome, job.idle_ms) for job in ended], [("started", 1500)]
        )


class IdleJobTrackerTest(unittest.TestCase):
    """Durations, ends, and the bound on lines."""

    def setUp(self):
        self.tracker = IdleJobTracker()

    def record(self, now_ms: float, *, job: str = "j", **fields) -> None:
        """Record a round."""
        values = {
            "queue": "q",
            "reason": "no room",
            "idle_share": 0.6,
            "is_entitled": True,
            "since_ms": now_ms,
            **fields,
        }
        self.tracker.record(job, now_ms=now_ms, **values)

    def test_reasons_and_the_longest_entitlement(self):
        self.record(0.0)
        self.record(900.0, is_entitled=False, reason="kept apart")
        self.record(1000.0)
        self.record(1400.0)
        (job,) = self.tracker.list_jobs(min_idle_ms=1000.0, now_ms=1500.0)
        self.assertEqual((job.entitled_ms, job.longest_entitled_ms), (500, 900))
        self.assertEqual(job.reasons_ms, {"no room": 1400, "kept apart": 100})

    def test_time_of_the_previous_owner_counts(self):
        self.record(5000.0, since_ms=3500.0)
        (job,) = self.tracker.list_jobs(min_idle_ms=1000.0, now_ms=5100.0)
        self.assertEqual((job.idle_ms, job.longest_entitled_ms), (1600, 100))
        self.assertEqual(job.reasons_ms, {"previous owner": 1500, "no room": 100})

    def test_ends(self):
        for placed_ms, outcome, idle_ms in (
            (4000.0, "started", 3000),
            (500.0, "found running", 3100),
            (None, "not waiting", 3100),
        ):
            with self.subTest(outcome):
                self.record(1000.0)
                self.record(1900.0)
                self.assertEqual(self.tracker.list_others({"x"}), ["j"])
                self.tracker.end("j", placed_ms=placed_ms, now_ms=4100.0)
                ((job,), left_out) = self.tracker.take_ended(4600.0)
                self.assertEqual((job.outcome, job.idle_ms), (outcome, idle_ms))
                self.assertEqual(job.ended_ago_ms + job.idle_ms, 3600)
                self.assertEqual(left_out, 0)
                self.assertEqual(self.tracker.take_ended(4700.0), ([], 0))

    def test_many_jobs_are_recorded_less_often(self):
        # Guards against rounds that a takeover with hundreds of jobs makes slower.
        self.assertTrue(self.tracker.is_due(0.0))
        for number in range(300):
            self.record(0.0, job=f"j{number}")
        self.assertEqual(
            [self.tracker.is_due(now_ms) for now_ms in (299.0, 300.0, 301.0)],
            [False, True, False],
        )

    def test_ended_jobs_are_bounded(self):
        # Guards against memory and lines that grow with the jobs of a large takeover.
        for number in range(130):
            self.record(float(number), job=f"j{number}")
        for number in range(130):
            self.tracker.end(f"j{number}", placed_ms=None, now_ms=2000.0)
        ended, left_out = self.tracker.take_ended(2000.0)
        self.assertEqual((len(ended), left_out), (100, 30))
        self.assertEqual(max(job.idle_ms for job in ended), 2000)

    def test_selection_contains_the_longest_of_both_kinds(self):
        self.record(0.0, job="a", is_entitled=False)
        for number in range(20):
            self.record(10.0, job=f"n{number}", is_entitled=False)
        self.record(500.0, job="z")
        jobs = self.tracker.list_jobs(min_idle_ms=0.0, now_ms=1500.0)
        selected = [job.job for job in select_longest(jobs, 4)]
        self.assertEqual(len(selected), 4)
        self.assertEqual(selected[0], "z")
        self.assertIn("a", selected)
