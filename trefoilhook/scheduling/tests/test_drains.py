"""Tests of start orders for workers that begin to drain."""

import unittest

import attrs

from trefoilhook.scheduling import (
    OrderOutcome,
    StartOrder,
    StopOrder,
    StopReason,
    apply_report,
)
from trefoilhook.scheduling.planning import confirm_start
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts


class DrainTest(unittest.TestCase):
    """A start is sent only while its worker is not known to drain."""

    def _plan_start(self) -> tuple[Shard, StartOrder]:
        shard = Shard()
        shard.submit(build_job())
        (order,) = list_starts(shard.plan())
        return shard, order

    def _drain(self, shard: Shard, worker_id: str) -> None:
        report = shard.scheduler.workers[worker_id].report
        apply_report(shard.scheduler, attrs.evolve(report, draining=True), shard.now_ms)

    def test_unanswered_start_is_not_repeated(self):
        # Guards against starts that a worker executes long after it began to drain.
        shard, order = self._plan_start()
        self.assertTrue(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.NO_ANSWER)
        self._drain(shard, order.worker_id)
        shard.advance_time(500.0)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        self.assertEqual(
            (stop.worker_id, stop.reason), (order.worker_id, StopReason.UNCERTAIN)
        )

    def test_queued_start_is_not_sent(self):
        # Guards against starts that were planned before the drain and sent after it.
        shard, order = self._plan_start()
        self._drain(shard, order.worker_id)
        self.assertFalse(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.WITHDRAWN)
        (later,) = list_starts(shard.plan())
        self.assertNotEqual(later.worker_id, order.worker_id)
