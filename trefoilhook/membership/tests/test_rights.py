"""How long an owner may rely on its lease, and on promises after its end."""

import math
import unittest

from trefoilhook.membership.lease import LeaseState
from trefoilhook.membership.promises import PromiseTracker

_TTL_MS = 5_000.0
_PROMISE_MS = 3_000.0
_OUTAGE_LIMIT_MS = 60_000.0
_EXPIRED_AT_MS = 10_000.0


class LeaseStateTest(unittest.TestCase):
    """A lease always ends for its holder before it expires in the store."""

    def test_lease_counts_from_send_time(self):
        # A renewal is sent at 1000 and answered at an arbitrary later time. The store
        # counts from its receipt, at the earliest at 1000, and its clock may run one
        # percent faster.
        lease = LeaseState(ttl_ms=_TTL_MS)
        lease.record_grant(lease_id="l-1", sent_at_ms=1_000.0)
        for now_ms, is_held in ((1_000, True), (5_940, True), (5_951, False)):
            with self.subTest(now_ms=now_ms):
                self.assertIs(lease.is_held(now_ms), is_held)

    def test_out_of_order_renewal_does_not_shorten_lease(self):
        lease = LeaseState(ttl_ms=_TTL_MS)
        lease.record_grant(lease_id="l-1", sent_at_ms=3_000.0)
        lease.record_renewal(sent_at_ms=1_000.0)
        self.assertTrue(lease.is_held(7_900.0))

    def test_lost_lease_is_not_held(self):
        lease = LeaseState(ttl_ms=_TTL_MS)
        lease.record_grant(lease_id="l-1", sent_at_ms=1_000.0)
        lease.record_loss()
        self.assertFalse(lease.is_held(1_001.0))
        lease.record_grant(lease_id="l-2", sent_at_ms=0.0)
        self.assertFalse(lease.is_held(4_951.0))


class PromiseTrackerTest(unittest.TestCase):
    """An owner continues only while each other member has promised or is dead."""

    def _compute_end(
        self,
        tracker: PromiseTracker,
        now_ms: float,
        *,
        view: tuple[str, ...] = ("a", "b"),
        dead: tuple[str, ...] = (),
    ) -> float:
        return tracker.compute_serving_end_ms(
            view=view,
            is_dead=lambda member_id: member_id in dead,
            expired_at_ms=_EXPIRED_AT_MS,
            now_ms=now_ms,
        )

    def _build(self) -> PromiseTracker:
        return PromiseTracker(promise_ms=_PROMISE_MS, outage_limit_ms=_OUTAGE_LIMIT_MS)

    def test_earliest_promise_end_decides(self):
        # request times of the promises, members proved dead, end of serving
        cases = (
            ({"a": 9_000, "b": 9_500}, (), 12_000.0),
            ({"a": 9_500, "b": 9_000}, (), 12_000.0),
            ({"a": 9_000}, (), -math.inf),
            ({"a": 9_000}, ("b",), 12_000.0),
            ({}, ("a", "b"), _EXPIRED_AT_MS + _OUTAGE_LIMIT_MS),
            ({}, (), -math.inf),
        )
        for requested, dead, until_ms in cases:
            with self.subTest(requested=requested, dead=dead):
                tracker = self._build()
                for member_id, requested_at_ms in requested.items():
                    tracker.record_received(member_id, requested_at_ms=requested_at_ms)
                self.assertEqual(self._compute_end(tracker, 9_900, dead=dead), until_ms)

    def test_owner_does_not_resume_after_a_gap(self):
        # During a gap in its promises a member may have claimed the shards, and lost
        # the store only afterwards. A later promise does not exclude that claim.
        tracker = self._build()
        for member_id in ("a", "b"):
            tracker.record_received(member_id, requested_at_ms=9_000)
        self.assertEqual(self._compute_end(tracker, 11_000), 12_000)
        self.assertLess(self._compute_end(tracker, 12_500), 12_500)
        for member_id in ("a", "b"):
            tracker.record_received(member_id, requested_at_ms=12_600)
        self.assertEqual(self._compute_end(tracker, 12_700), -math.inf)
        tracker.reset()
        self.assertEqual(self._compute_end(tracker, 9_000), -math.inf)
        for member_id in ("a", "b"):
            tracker.record_received(member_id, requested_at_ms=9_000)
        self.assertEqual(self._compute_end(tracker, 9_500), 12_000)

    def test_owner_stops_at_the_outage_limit(self):
        # A claimant without any other evidence waits for exactly this long.
        tracker = self._build()
        for member_id in ("a", "b"):
            tracker.record_received(
                member_id, requested_at_ms=_EXPIRED_AT_MS + _OUTAGE_LIMIT_MS - 1
            )
        self.assertEqual(
            self._compute_end(tracker, 20_000), _EXPIRED_AT_MS + _OUTAGE_LIMIT_MS
        )

    def test_promise_binds_the_giver_longer_than_the_owner_counts(self):
        # The owner sends its request at 1000 and the member promises at 1400. The
        # promise must end first for the owner, or the member could claim its shards
        # while the owner still serves them.
        owner, member = self._build(), self._build()
        member.record_given("me", now_ms=1_400)
        owner.record_received("a", requested_at_ms=1_000)
        until_ms = self._compute_end(owner, 1_500, view=("a",))
        self.assertEqual(until_ms, 4_000)
        self.assertTrue(member.is_given("me", now_ms=until_ms))
        self.assertTrue(member.is_given("me", now_ms=4_399))
        self.assertFalse(member.is_given("me", now_ms=4_400))
        self.assertFalse(member.is_given("another", now_ms=1_500))
