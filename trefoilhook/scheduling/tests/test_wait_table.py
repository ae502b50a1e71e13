"""Tests of the bounds of waits for single workers and of runs that hold their task.

Each wait must end with the next plan once its reason is gone: service and batch tasks
have no further delay of their own.
"""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    OrderOutcome,
    Step,
    WorkerReport,
    apply_report,
)
from trefoilhook.scheduling.tests.cases import (
    FakeWorker,
    Shard,
    build_job,
    list_starts,
)

_TASK = Step(count=1, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=2000.0)
_SERVICE = attrs.evolve(_TASK, long_running=True, image="s")
_FILLER = attrs.evolve(_TASK, filler=True, checkpointing=True, image="f")
_STEPS = (_TASK, _SERVICE, _FILLER)

_UNREAD_MS = 2700.0
"""Time after which a clock that wasn't read keeps its worker from new tasks, in ms."""

_FILLER_INTERVAL_MS = 400.0
"""Longest interval between two rounds with fillers, in ms."""


class UnusableWorkerTest(unittest.TestCase):
    """The only worker can't be used for a while."""

    def check_waits(self, shard: Shard) -> None:
        """Check that nothing starts."""
        self.assertEqual(list_starts(shard.plan()), [])
        shard.advance_time(_FILLER_INTERVAL_MS)

    def check_starts(self, shard: Shard) -> None:
        """Check that the next plan starts the task."""
        self.assertEqual(len(list_starts(shard.plan())), 1)

    def test_worker_that_has_not_answered_this_owner(self):
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=0)
                shard.workers["w0"] = FakeWorker(worker_id="w0")
                report = WorkerReport(
                    worker_id="w0",
                    service="s",
                    host="w0",
                    port=1,
                    failure_domain="z",
                    capacity=Demand(cpu=4000, memory_mb=8000),
                )
                apply_report(shard.scheduler, report, shard.now_ms)
                shard.scheduler.workers["w0"].is_in_roster = True
                shard.submit(build_job(step))
                self.check_waits(shard)
                shard.poll("w0")
                self.check_starts(shard)

    def test_worker_outside_the_roster(self):
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=1)
                worker = shard.scheduler.workers["w0"]
                worker.is_in_roster = False
                shard.submit(build_job(step))
                self.check_waits(shard)
                worker.is_in_roster = True
                self.check_starts(shard)

    def test_silent_worker(self):
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=1)
                shard.silence("w0")
                shard.submit(build_job(step))
                self.check_waits(shard)
                shard.poll("w0")
                self.check_starts(shard)

    def test_worker_whose_clock_was_not_read(self):
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=1)
                shard.advance_time(_UNREAD_MS)
                shard.submit(build_job(step))
                self.check_waits(shard)
                shard.poll("w0")
                self.check_starts(shard)


class HeldTaskTest(unittest.TestCase):
    """A run that the owner believes in."""

    def test_run_that_is_not_there(self):
        # Guards against tasks that wait for the leases of a worker that answers.
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=1)
                shard.submit(build_job(step))
                (order,) = list_starts(shard.plan())
                shard.answer(order, OrderOutcome.DONE)
                shard.advance_time(100.0)
                self.assertEqual(list_starts(shard.plan()), [])
                shard.poll("w0")
                shard.advance_time(_FILLER_INTERVAL_MS)
                (again,) = list_starts(shard.plan())
                self.assertEqual(again.task, order.task)

    def test_run_that_is_no_longer_there(self):
        # Guards against tasks whose runs have gone without an end.
        for step in _STEPS:
            with self.subTest(step=step):
                shard = Shard(workers=1)
                shard.submit(build_job(step))
                order = shard.start_one()
                shard.workers["w0"].running.clear()
                shard.poll("w0")
                shard.advance_time(_FILLER_INTERVAL_MS)
                (again,) = list_starts(shard.plan())
                self.assertEqual(again.task, order.task)


if __name__ == "__main__":
    unittest.main()
