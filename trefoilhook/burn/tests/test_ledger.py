"""Merging of counts across restarts, lost instances and duplicated messages."""

import re
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.burn import Alert, BurnLedger, build_report, is_counted
from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.configuration import Objective
from trefoilhook.results import ResultCode

_OBJECTIVE = Objective(latency_ms=100.0, target=0.99)
_MINUTE_MS = 60_000
_HOUR_MS = 3_600_000
_DAY_MS = 86_400_000


class _Fleet:
    """Builds ledgers of instances that share a manual clock."""

    def __init__(self):
        self.time = ManualTime()
        self.clock = build_manual_clock(self.time)

    def start(self, name):
        return BurnLedger(instance_id=name, clock=self.clock)

    def report(self, ledger, team=None):
        return build_report(
            ledger=ledger,
            find_objective=lambda team, service: _OBJECTIVE,
            now_ms=self.clock.wall_ms(),
            team=team,
        )

    def count(self, ledger, window="28d"):
        report = self.report(ledger)
        if not report.services:
            return (0, 0)
        (found,) = (w for w in report.services[0].windows if w.window == window)
        return (found.good, found.bad)


def _record(ledger, *, good=0, bad=0, team="a", service="seats"):
    for is_good, number in ((True, good), (False, bad)):
        for _ in range(number):
            ledger.record(
                team=team,
                service=service,
                code=ResultCode.OK,
                latency_ms=50.0 if is_good else 150.0,
                objective=_OBJECTIVE,
            )


class LedgerTest(unittest.TestCase):
    """Merging and windows."""

    def setUp(self):
        self.fleet = _Fleet()

    def test_counts_of_a_restarted_instance_are_added(self):
        # Guards against a report that loses requests: an instance with a fixed id
        # restarts and counts from zero, and its peer replaces the earlier counts by
        # the new ones, or ignores the new ones until they exceed the earlier ones.
        peer = self.fleet.start("i-2")
        for good in (10, 3):
            instance = self.fleet.start("i-1")
            _record(instance, good=good)
            self.assertTrue(peer.merge(instance.encode()))
            self.fleet.time.advance(_MINUTE_MS)
        self.assertEqual(self.fleet.count(peer), (13, 0))

    def test_counts_of_a_lost_instance_stay(self):
        # Guards against losing the counts of an instance that died, in a report from
        # an instance that was started later.
        lost, witness = self.fleet.start("i-1"), self.fleet.start("i-2")
        _record(lost, good=5, bad=5)
        witness.merge(lost.encode(is_own_only=True))
        self.fleet.time.advance(_MINUTE_MS)
        fresh = self.fleet.start("i-3")
        fresh.merge(witness.encode())
        self.assertEqual(self.fleet.count(fresh), (5, 5))
        sources = {row.instance_id for row in self.fleet.report(fresh).sources}
        self.assertEqual(sources, {"i-1", "i-3"})

    def test_duplicated_and_delayed_states_change_nothing(self):
        # Guards against counting requests twice or losing some when a peer's response
        # arrives after a newer one, or over two paths.
        source, peer = self.fleet.start("i-1"), self.fleet.start("i-2")
        _record(source, good=2, bad=1)
        older = source.encode()
        _record(source, good=2)
        newer = source.encode()
        for text in (older, newer, newer, older):
            peer.merge(text)
        self.assertEqual(self.fleet.count(peer), (4, 1))
        source.merge(peer.encode())
        self.assertEqual(self.fleet.count(source), (4, 1))

    def test_windows_count_their_own_requests(self):
        ledger = self.fleet.start("i-1")
        for pause_ms, bad in (
            (20 * _DAY_MS, 1),
            (2 * _DAY_MS, 2),
            (4 * _HOUR_MS, 4),
            (35 * _MINUTE_MS, 8),
            (20 * _MINUTE_MS, 16),
            (0, 32),
        ):
            _record(ledger, bad=bad)
            self.fleet.time.advance(pause_ms)
        wanted = {"5m": 32, "30m": 48, "1h": 56, "6h": 60, "3d": 62, "28d": 63}
        (service,) = self.fleet.report(ledger).services
        found = {window.window: window.bad for window in service.windows}
        self.assertEqual(found, wanted)

    def test_expired_slots_are_dropped(self):
        ledger = self.fleet.start("i-1")
        sizes = []
        for _ in range(150):
            _record(ledger, good=1)
            self.fleet.time.advance(_HOUR_MS)
            sizes.append(len(ledger.encode()))
        self.assertLess(sizes[-1], 1.1 * sizes[100])
        self.fleet.time.advance(40 * _DAY_MS)
        self.assertEqual(self.fleet.count(ledger), (0, 0))

    def test_only_recent_slots_are_sent_when_asked(self):
        ledger = self.fleet.start("i-1")
        _record(ledger, bad=1)
        self.fleet.time.advance(2 * _DAY_MS)
        _record(ledger, bad=2)
        peer = self.fleet.start("i-2")
        peer.merge(ledger.encode(after_ms=self.fleet.clock.wall_ms() - _MINUTE_MS))
        self.assertEqual(self.fleet.count(peer), (0, 2))

    def test_parts_add_up_to_the_whole(self):
        # Guards against peers that send only their own counts, so that the counts of a
        # lost instance never reach instances started later. Each part holds one source
        # in rotation.
        ledgers = [self.fleet.start(f"i-{number}") for number in range(4)]
        for ledger in ledgers:
            _record(ledger, good=1, bad=1)
            ledgers[0].merge(ledger.encode_part())
        self.fleet.time.advance(_HOUR_MS)
        fresh = self.fleet.start("i-9")
        parts = [ledgers[0].encode_part() for _ in range(4)]
        for part in parts:
            self.assertLess(len(part), 0.8 * len(ledgers[0].encode()))
            fresh.merge(part)
        self.assertEqual(self.fleet.count(fresh), (4, 4))

    def test_recent_counts_are_in_every_part(self):
        # Guards against a report that lags by one exchange per source, because an
        # instance sends its own new counts only when the rotation reaches them.
        ledger, peer = self.fleet.start("i-1"), self.fleet.start("i-2")
        _record(peer, good=1)
        ledger.merge(peer.encode())
        for total in (1, 2, 3):
            _record(ledger, bad=1)
            peer.merge(ledger.encode_part())
            self.assertEqual(self.fleet.count(peer), (1, total))

    def test_invalid_messages_are_rejected_or_skipped(self):
        ledger, peer = self.fleet.start("i-1"), self.fleet.start("i-2")
        _record(ledger, good=1)
        text = ledger.encode()
        for broken in ("", "{}", "[]", text[:-1], "\ud800"):
            self.assertFalse(peer.merge(broken), broken)
        for data in ("", "!", "AAAA", "HISTFAAAAAB42pNpmSzMwMDAxAAB"):
            invalid = re.sub('"data":"[^"]*"', f'"data":"{data}"', text)
            with self.subTest(data=data):
                peer = self.fleet.start("i-2")
                self.assertTrue(peer.merge(invalid))
                self.assertEqual(self.fleet.count(peer), (1, 0))

    def test_latency_percentiles_are_merged(self):
        first, second = self.fleet.start("i-1"), self.fleet.start("i-2")
        _record(first, good=99)
        _record(second, bad=101)
        first.merge(second.encode())
        (service,) = self.fleet.report(first).services
        self.assertAlmostEqual(service.p50_ms, 150.0, delta=2)
        self.assertAlmostEqual(service.p99_ms, 150.0, delta=2)

    def test_each_code_is_good_bad_or_not_counted(self):
        for code in ResultCode:
            ledger = self.fleet.start("i-1")
            ledger.record(
                team="a",
                service="s",
                code=code,
                latency_ms=1.0,
                objective=_OBJECTIVE,
            )
            is_good = code in (ResultCode.OK, ResultCode.REPLAYED)
            wanted = (int(is_good), int(not is_good)) if is_counted(code) else (0, 0)
            with self.subTest(code=code):
                self.assertEqual(self.fleet.count(ledger), wanted)
        for code in (ResultCode.BAD_REQUEST, ResultCode.QUOTA_EXCEEDED):
            self.assertFalse(is_counted(code))
        for code in (ResultCode.OVERLOADED, ResultCode.INTERNAL):
            self.assertTrue(is_counted(code))

    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(0, 3),
                st.integers(0, 3),
                st.integers(0, 2),
                st.integers(0, 2 * _HOUR_MS),
            ),
            max_size=12,
        )
    )
    def test_any_exchange_counts_each_request_once(self, steps):
        fleet = _Fleet()
        ledgers = [fleet.start(f"i-{n}") for n in range(3)]
        good = bad = 0
        for where, more_good, more_bad, target, pause_ms in steps:
            _record(ledgers[where], good=more_good, bad=more_bad)
            good, bad = good + more_good, bad + more_bad
            ledgers[target].merge(ledgers[where].encode())
            fleet.time.advance(pause_ms)
        for _ in range(2):
            for source in ledgers:
                for target in ledgers:
                    target.merge(source.encode())
        for ledger in ledgers:
            self.assertEqual(fleet.count(ledger), (good, bad))


class ReportTest(unittest.TestCase):
    """Budgets, alerts and rows of the report."""

    def setUp(self):
        self.fleet = _Fleet()
        self.ledger = self.fleet.start("i-1")

    def test_budget_and_alert(self):
        # Good and bad requests, pause until the report, expected budget and alert.
        cases = (
            (1_000, 0, 0, 1.0, Alert.NONE),
            (995, 5, 0, 0.5, Alert.NONE),
            (980, 20, 0, -1.0, Alert.TICKET),
            (930, 70, 0, -6.0, Alert.PAGE),
            (800, 200, 0, -19.0, Alert.PAGE),
            (800, 200, 10 * _MINUTE_MS, -19.0, Alert.PAGE),
            (800, 200, 45 * _MINUTE_MS, -19.0, Alert.TICKET),
            (800, 200, 8 * _HOUR_MS, -19.0, Alert.NONE),
        )
        for good, bad, pause_ms, budget, alert in cases:
            with self.subTest(good=good, bad=bad, pause_ms=pause_ms):
                self.setUp()
                _record(self.ledger, good=good, bad=bad)
                self.fleet.time.advance(pause_ms)
                (service,) = self.fleet.report(self.ledger).services
                self.assertAlmostEqual(service.budget_left, budget)
                self.assertIs(service.alert, alert)

    def test_teams_add_the_budgets_of_their_services(self):
        _record(self.ledger, good=900, service="seats")
        _record(self.ledger, good=95, bad=5, service="rosters")
        _record(self.ledger, good=1, team="b")
        report = self.fleet.report(self.ledger)
        self.assertEqual([row.team for row in report.teams], ["a", "b"])
        self.assertAlmostEqual(report.teams[0].budget_left, 0.5)
        only_b = self.fleet.report(self.ledger, team="b")
        self.assertEqual([row.team for row in only_b.services], ["b"])

    def test_services_without_an_objective_are_left_out(self):
        _record(self.ledger, good=1)
        report = build_report(
            ledger=self.ledger, find_objective=lambda *_: None, now_ms=0.0
        )
        self.assertEqual(report.services, ())
        self.assertTrue(attrs.has(type(report)))
