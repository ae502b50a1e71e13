"""Tests of the record that the first task of a job was started."""

import unittest

from trefoilhook.scheduling import (
    Demand,
    OrderOutcome,
    Step,
    collect_changes,
)
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

_GANG = Step(count=3, demand=Demand(cpu=1000, memory_mb=100), gang=True)
_SERVICE = Step(count=1, demand=Demand(cpu=1000), long_running=True)
_REFUSED = (
    OrderOutcome.NO_ROOM,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.TOO_LATE,
    OrderOutcome.WITHDRAWN,
)
_EXECUTED = (
    OrderOutcome.DONE,
    OrderOutcome.NO_ANSWER,
    OrderOutcome.CONNECTION_LOST,
)


class FirstStartTest(unittest.TestCase):
    """A job begins once a start of it may have been executed."""

    def is_begun(self, shard: Shard) -> bool:
        """Return whether the store is told that the job has begun."""
        changes = collect_changes(shard.scheduler)
        return any(change.is_first_start for change in changes)

    def test_gang_that_does_not_fit_has_not_begun(self):
        # Guards against gangs that are counted as begun, as some members found a worker
        # before another one did not.
        shard = Shard(workers=2, cpu=1000)
        shard.submit(build_job(_GANG))
        for _ in range(3):
            self.assertEqual(shard.step(), [])
        self.assertFalse(self.is_begun(shard))

    def test_refused_start_has_not_begun(self):
        # Guards against jobs that are counted as begun though no worker took a task.
        for outcome in _REFUSED:
            for step in (SMALL, _SERVICE):
                with self.subTest(outcome=outcome, long_running=step.long_running):
                    shard = Shard(workers=1)
                    shard.submit(build_job(step))
                    (order,) = list_starts(shard.plan())
                    shard.answer(order, outcome)
                    self.assertFalse(self.is_begun(shard))
                    self.assertFalse(shard.scheduler.jobs["j"].progress.placed)

    def test_start_that_may_have_been_executed_has_begun(self):
        # Guards against a next owner that takes a started service task for a new one.
        for outcome in _EXECUTED:
            for step in (SMALL, _SERVICE):
                with self.subTest(outcome=outcome, long_running=step.long_running):
                    shard = Shard(workers=1)
                    shard.submit(build_job(step))
                    (order,) = list_starts(shard.plan())
                    shard.answer(order, outcome)
                    self.assertTrue(self.is_begun(shard))
                    placed = shard.scheduler.jobs["j"].progress.placed
                    self.assertEqual(bool(placed), step.long_running)

    def test_start_in_transit_to_a_lost_worker_has_begun(self):
        # Guards against a task whose start was executed by a worker that then ended.
        shard = Shard(workers=1)
        shard.submit(build_job(_SERVICE))
        (order,) = list_starts(shard.plan())
        worker = shard.scheduler.workers["w0"]
        worker.runs[order.task, order.attempt].is_sent = True
        shard.scheduler.drop_worker("w0")
        self.assertTrue(self.is_begun(shard))
