"""Queues whose steps only some workers may run, by the word of a service outside."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Advice,
    AdviceRequest,
    Grant,
    OrderOutcome,
    choose_advised,
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

    def _ask(self) -> AdviceRequest | None:
        chosen = choose_advised(self.shard.scheduler, self.shard.now_ms)
        return chosen[0] if chosen is not None else None

    def _grant(self, request: AdviceRequest, *workers: str) -> None:
        grants = tuple(Grant(worker_id=w, ticket=f"t-{w}") for w in workers)
        until_ms = self.shard.now_ms + _ADVICE.valid_ms
        self.shard.scheduler.tickets.take(request, grants, until_ms=until_ms)

    def test_nothing_starts_before_the_answer(self):
        self.assertEqual(list_starts(self.shard.plan()), [])
        request = self._ask()
        self.assertEqual(request.step, _STEP)
        self.assertEqual(set(request.workers), {"w0", "w1", "w2"})
        self.assertIsNone(self._ask())

    def test_only_granted_workers_with_their_ticket(self):
        self.shard.plan()
        self._grant(self._ask(), "w1")
        starts = list_starts(self.shard.step())
        self.assertEqual({s.worker_id for s in starts}, {"w1"})
        self.assertEqual({s.ticket for s in starts}, {"t-w1"})
        self.assertEqual(len(starts), 2)

    def test_refused_workers_are_not_asked_about_again(self):
        self.shard.plan()
        self._grant(self._ask())
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertIsNone(self._ask())
        self.shard.add_worker("w3")
        self.shard.plan()
        self.assertEqual(self._ask().workers, ("w3",))

    def test_ticket_that_lapses_is_asked_for_anew(self):
        # All places are taken when the answer comes. By the time there is room the
        # ticket has lapsed, and a start with it would be turned down.
        self.shard.plan()
        self._grant(self._ask(), "w1")
        self.shard.pass_time(_ADVICE.valid_ms)
        self.shard.look_all()
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertEqual(self._ask().workers, ("w1",))

    def test_ticket_turned_down_is_dropped(self):
        self.shard.plan()
        self._grant(self._ask(), "w1")
        order, _ = list_starts(self.shard.plan())
        self.shard.answer(order, OrderOutcome.NO_TICKET)
        self.shard.pass_time(100.0)
        self.shard.look_all()
        self.assertEqual(list_starts(self.shard.plan()), [])
        self.assertEqual(self._ask().workers, ("w1",))

    def test_ended_job_leaves_nothing(self):
        self.shard.plan()
        self._grant(self._ask(), "w1")
        self.shard.scheduler.cancel_job("j", revision=2)
        self.assertIsNone(self.shard.scheduler.tickets.find(_STEP, "w1", 0.0))
