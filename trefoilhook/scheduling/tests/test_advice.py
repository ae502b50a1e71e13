"""Tests of queues whose steps may run only on workers chosen by an external service."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Advice,
    AdviceRequest,
    Grant,
    OrderOutcome,
    choose_advice_request,
)
from trefoilhook.scheduling.tests.cases import (
    CONFIGURATION,
    QUEUE,
    SMALL,
    Shard,
    build_job,
    list_starts,
)

_ADVICE = Advice(decision_ms=20.0, per_worker_ms=1.0, valid_ms=3000.0)
_STEP = ("j", 0, 0)


class AdviceTest(unittest.TestCase):
    """A queue with advice, and three workers of which w1 may run its steps."""

    def setUp(self) -> None:
        self.shard = Shard(workers=3)
        queue = attrs.evolve(QUEUE, advice=_ADVICE)
        configuration = attrs.evolve(CONFIGURATION, version=2, queues=(queue,))
        self.shard.scheduler.set_configuration(configuration)
        self.shard.submit(build_job(attrs.evolve(SMALL, count=2)))

    def _choose_request(self) -> AdviceRequest | None:
        chosen = choose_advice_request(self.shard.scheduler, self.shard.now_ms)
        return chosen[0] if chosen is not None else None

    def _grant(self, request: AdviceRequest, *workers: str) -> None:
        grants = tuple(Grant(worker_id=w, ticket=f"t-{w}") for w in workers)
        until_ms = self.shard.now_ms + _ADVICE.valid_ms
        self.shard.scheduler.tickets.record_answer(request, grants, until_ms=until_ms)

    def test_nothing_starts_before_the_answer(self):
        self.assertEqual(list_starts(self.shard.plan()), [])
        request = self._choose_request()
        self.assertEqual(request.step, _STEP)
        self.assertEqual(set(request.workers), {"w0", "w1", "w2"})
        self.assertIsNone(self._choose_request())

    def test_only_granted_workers_with_their_ticket(self):
        self.shard.plan()
        self._grant(self._choose_request(), "w1")
        starts = list_starts(self.shard.step())
        self.assertEqual({s.worker_id for s in starts}, {"w1"})
        self.assertEqual({s.ticket for s in starts}, {"t-w1"})
        self.assertEqual(len(starts), 2)

    def test_refused_workers_are_not_requested_again(self):
        self.shard.plan()
        self._grant(self._choose_request())
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertIsNone(self._choose_request())
        self.shard.add_worker("w3")
        self.shard.plan()
        self.assertEqual(self._choose_request().workers, ("w3",))

    def test_expired_ticket_is_requested_again(self):
        # Guards against a start with an expired ticket, which would be rejected, when
        # all workers were full at the time of the answer.
        self.shard.plan()
        self._grant(self._choose_request(), "w1")
        self.shard.advance_time(_ADVICE.valid_ms)
        self.shard.poll_all()
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertEqual(self._choose_request().workers, ("w1",))

    def test_rejected_ticket_is_dropped(self):
        self.shard.plan()
        self._grant(self._choose_request(), "w1")
        order, _ = list_starts(self.shard.plan())
        self.shard.answer(order, OrderOutcome.NO_TICKET)
        self.shard.advance_time(100.0)
        self.shard.poll_all()
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertEqual(self._choose_request().workers, ("w1",))

    def test_ended_job_leaves_no_ticket(self):
        self.shard.plan()
        self._grant(self._choose_request(), "w1")
        self.shard.scheduler.cancel_job("j", revision=2)
        self.assertIsNone(self.shard.scheduler.tickets.find(_STEP, "w1", 0.0))
