"""How long a holder may rely on its lease, and on promises past it."""

import math
import unittest

from trefoilhook.membership.lease import LeaseKeeper
from trefoilhook.membership.promises import PromiseBook

_TTL_MS = 5_000.0
_PROMISE_MS = 3_000.0
_OUTAGE_MS = 60_000.0
_LAPSED_MS = 10_000.0


class LeaseKeeperTest(unittest.TestCase):
    """The holder always takes its lease to be over before the store does."""

    def test_held_from_the_sending_and_no_longer(self):
        # A renewal is sent at 1000 and its answer comes whenever it comes: the store
        # counts from when it got it, at the earliest at 1000, on a clock that may run
        # one percent faster.
        keeper = LeaseKeeper(ttl_ms=_TTL_MS)
        keeper.record_grant(lease_id="l-1", sent_at_ms=1_000.0)
        for now_ms, is_held in ((1_000, True), (5_940, True), (5_951, False)):
            with self.subTest(now_ms=now_ms):
                self.assertIs(keeper.is_held(now_ms), is_held)

    def test_answer_out_of_order_takes_nothing_back(self):
        keeper = LeaseKeeper(ttl_ms=_TTL_MS)
        keeper.record_grant(lease_id="l-1", sent_at_ms=3_000.0)
        keeper.record_renewal(sent_at_ms=1_000.0)
        self.assertTrue(keeper.is_held(7_900.0))

    def test_lost_lease_is_not_held(self):
        keeper = LeaseKeeper(ttl_ms=_TTL_MS)
        keeper.record_grant(lease_id="l-1", sent_at_ms=1_000.0)
        keeper.record_loss()
        self.assertFalse(keeper.is_held(1_001.0))
        keeper.record_grant(lease_id="l-2", sent_at_ms=0.0)
        self.assertFalse(keeper.is_held(4_951.0))


class PromiseBookTest(unittest.TestCase):
    """An owner goes on only while each other member has promised or is dead."""

    def _extend(
        self,
        book: PromiseBook,
        now_ms: float,
        *,
        view: tuple[str, ...] = ("a", "b"),
        dead: tuple[str, ...] = (),
    ) -> float:
        return book.extend(
            view=view,
            is_dead=lambda member_id: member_id in dead,
            lapsed_at_ms=_LAPSED_MS,
            now_ms=now_ms,
        )

    def _build(self) -> PromiseBook:
        return PromiseBook(promise_ms=_PROMISE_MS, outage_limit_ms=_OUTAGE_MS)

    def test_the_weakest_promise_decides(self):
        # promises asked for at these times, members proved dead, end of the right
        cases = (
            ({"a": 9_000, "b": 9_500}, (), 12_000.0),
            ({"a": 9_500, "b": 9_000}, (), 12_000.0),
            ({"a": 9_000}, (), -math.inf),
            ({"a": 9_000}, ("b",), 12_000.0),
            ({}, ("a", "b"), _LAPSED_MS + _OUTAGE_MS),
            ({}, (), -math.inf),
        )
        for asked, dead, until_ms in cases:
            with self.subTest(asked=asked, dead=dead):
                book = self._build()
                for member_id, asked_at_ms in asked.items():
                    book.receive(member_id, asked_at_ms=asked_at_ms)
                self.assertEqual(self._extend(book, 9_900, dead=dead), until_ms)

    def test_right_that_ended_never_comes_back(self):
        # One member gave no promise for a moment: it may have claimed the shards and
        # lost the store only then. Its promise afterwards says nothing of the claim.
        book = self._build()
        for member_id in ("a", "b"):
            book.receive(member_id, asked_at_ms=9_000)
        self.assertEqual(self._extend(book, 11_000), 12_000)
        self.assertLess(self._extend(book, 12_500), 12_500)
        for member_id in ("a", "b"):
            book.receive(member_id, asked_at_ms=12_600)
        self.assertEqual(self._extend(book, 12_700), -math.inf)
        book.restart()
        self.assertEqual(self._extend(book, 9_000), -math.inf)
        for member_id in ("a", "b"):
            book.receive(member_id, asked_at_ms=9_000)
        self.assertEqual(self._extend(book, 9_500), 12_000)

    def test_no_right_past_the_outage_limit(self):
        # A claimer that can ask nobody waits for just this long.
        book = self._build()
        for member_id in ("a", "b"):
            book.receive(member_id, asked_at_ms=_LAPSED_MS + _OUTAGE_MS - 1)
        self.assertEqual(self._extend(book, 20_000), _LAPSED_MS + _OUTAGE_MS)

    def test_giver_holds_longer_than_the_owner_relies(self):
        # The owner asks at 1000 and the member answers at 1400; the owner's count must
        # end first, or the member claims while the owner still acts.
        owner, member = self._build(), self._build()
        member.give("me", now_ms=1_400)
        owner.receive("a", asked_at_ms=1_000)
        until_ms = self._extend(owner, 1_500, view=("a",))
        self.assertEqual(until_ms, 4_000)
        self.assertTrue(member.is_given("me", now_ms=until_ms))
        self.assertTrue(member.is_given("me", now_ms=4_399))
        self.assertFalse(member.is_given("me", now_ms=4_400))
        self.assertFalse(member.is_given("another", now_ms=1_500))
