"""Tests of routing, retries, hedging, quotas, keys and handover messages."""

import math
import random
import unittest
from unittest import mock

import attrs

from trefoilhook.exceptions import RequestError
from trefoilhook.requests.admission import ServiceLoad
from trefoilhook.requests.buckets import TeamQuotas
from trefoilhook.requests.dedup import KeyRecord, KeyState
from trefoilhook.requests.handover import decode_keys, encode_handover
from trefoilhook.requests.keyowner import KeyHandover
from trefoilhook.requests.keys import (
    compute_digest,
    compute_key_shard,
    generate_key,
    parse_key,
    read_created_ms,
)
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.retry import HedgePolicy, RetryPolicy
from trefoilhook.requests.routing import (
    Candidate,
    PeerLoads,
    ReportedLoad,
    Route,
    choose_route,
)
from trefoilhook.requests.tests.fakes import generate_key_at
from trefoilhook.results import ResultCode


def build_candidate(name, **changes):
    """Build a candidate executor of another owner."""
    fields = {"free": 0, "queued_per_slot": 0.0, "is_same_domain": False, **changes}
    return Candidate(executor_id=name, owner_id="o", **fields)


class RoutingTest(unittest.TestCase):
    """Selection of a request's destination."""

    def test_route_selection(self):
        own_free = ServiceLoad(free=1, usable=8, queued=0)
        own_full = ServiceLoad(free=0, usable=8, queued=5)
        own_open = ServiceLoad(free=0, usable=0, queued=0)
        table = (
            (own_free, [build_candidate("a", free=8)], ""),
            (own_full, [build_candidate("a", free=1)], "a"),
            (None, [build_candidate("a", free=1), build_candidate("b", free=3)], "b"),
            (
                None,
                [build_candidate("a", free=1, is_same_domain=True)]
                + [build_candidate(name, free=8) for name in "bcd"],
                "a",
            ),
            (own_full, [build_candidate("a", queued_per_slot=0.5)], "a"),
            (own_full, [build_candidate("a", queued_per_slot=0.7)], ""),
            (own_full, [build_candidate("a", is_known=False)], ""),
            (own_open, [build_candidate("a", queued_per_slot=1.1)], "a"),
            (
                None,
                [
                    build_candidate("a", is_known=False),
                    build_candidate("b", queued_per_slot=1.1),
                ],
                "b",
            ),
            (None, [build_candidate("a", is_known=False)], "a"),
        )
        for own, candidates, expected in table:
            with self.subTest(own=own, candidates=candidates):
                route = choose_route(
                    own=own, candidates=candidates, generator=random.Random(1)
                )
                self.assertEqual(route.executor_id, expected)
        self.assertIsNone(
            choose_route(own=None, candidates=[], generator=random.Random(1))
        )
        self.assertEqual(
            choose_route(own=own_open, candidates=[], generator=random.Random(1)),
            Route(),
        )

    def test_outdated_or_foreign_summary_is_ignored(self):
        # An owner is unreachable or has handed its executor over. Its last summary
        # still shows free slots and must not attract requests.
        loads = PeerLoads(max_age_ms=1_000.0)
        load = ReportedLoad(
            sender_id="a",
            received_ms=0.0,
            slots=8,
            in_use=0,
            queued=0,
            is_usable=True,
        )
        loads.replace({"e": load}, sender_id="a")
        self.assertIsNotNone(loads.find("e", owner_id="a", now_ms=1_000.0))
        self.assertIsNone(loads.find("e", owner_id="a", now_ms=1_001.0))
        self.assertIsNone(loads.find("e", owner_id="b", now_ms=0.0))
        added_to = loads.record_sent("e")
        self.assertEqual(loads.count_sent("e"), 1)
        loads.record_ended("e", None)
        self.assertEqual(loads.count_sent("e"), 1)
        loads.record_ended("e", added_to)
        self.assertEqual(loads.count_sent("e"), 0)
        loads.replace({}, sender_id="a")
        self.assertIsNone(loads.find("e", owner_id="a", now_ms=0.0))
        self.assertEqual(loads.count_sent("e"), 0)


class RetryTest(unittest.TestCase):
    """Conditions for retries, and their number."""

    def test_which_results_may_be_retried(self):
        table = (
            (ResultCode.OK, True, False),
            (ResultCode.BACKEND_FAILED, True, False),
            (ResultCode.ANSWER_LOST, False, False),
            (ResultCode.ANSWER_LOST, True, True),
            (ResultCode.OVERLOADED, False, True),
            (ResultCode.NO_EXECUTOR, False, True),
            (ResultCode.QUEUE_DEADLINE, True, False),
            (ResultCode.QUOTA_EXCEEDED, True, False),
        )
        for code, is_idempotent, expected in table:
            with self.subTest(code=code, is_idempotent=is_idempotent):
                policy = RetryPolicy(ratio=0.1, reserve=10.0)
                allowed = policy.may_retry("s", code, is_idempotent=is_idempotent)
                self.assertIs(allowed, expected)

    def test_retries_stay_a_fraction_of_requests(self):
        # All executors fail. Without a budget each request would be sent four times,
        # which would amplify the overload.
        policy = RetryPolicy(ratio=0.1, reserve=10.0)
        retries = 0
        for _ in range(1_000):
            policy.record_request("s")
            for _ in range(3):
                retries += policy.may_retry(
                    "s", ResultCode.NO_EXECUTOR, is_idempotent=False
                )
        self.assertLessEqual(retries, 111)
        self.assertGreaterEqual(retries, 100)

    def test_hedge_delay_is_percentile_of_run_times(self):
        policy = HedgePolicy(is_enabled=True, percentile=95.0)
        for number in range(100):
            self.assertEqual(policy.get_delay_ms("s", is_idempotent=True), math.inf)
            policy.add_sample("s", float(number))
        delay_ms = policy.get_delay_ms("s", is_idempotent=True)
        self.assertTrue(93.0 <= delay_ms <= 96.0, delay_ms)
        self.assertEqual(policy.get_delay_ms("s", is_idempotent=False), math.inf)


class QuotaTest(unittest.TestCase):
    """Request rate limits of teams."""

    def test_rate_over_time(self):
        quotas = TeamQuotas(burst_s=1.0)
        taken = {"a": 0, "b": 0}
        for now_ms in range(0, 10_000, 5):
            for team, every in (("a", 5), ("b", 500)):
                if now_ms % every:
                    continue
                wait_ms = quotas.take(
                    team, quota_per_s=40.0, share=0.25, now_ms=float(now_ms)
                )
                taken[team] += wait_ms == 0.0
        self.assertTrue(105 <= taken["a"] <= 111, taken)
        self.assertEqual(taken["b"], 20)

    def test_retry_time_is_when_next_token_is_available(self):
        quotas = TeamQuotas(burst_s=0.0)
        fields = {"quota_per_s": 10.0, "share": 1.0}
        self.assertEqual(quotas.take("a", now_ms=0.0, **fields), 0.0)
        wait_ms = quotas.take("a", now_ms=0.0, **fields)
        self.assertAlmostEqual(wait_ms, 100.0)
        self.assertGreater(quotas.take("a", now_ms=wait_ms - 1, **fields), 0.0)
        self.assertEqual(quotas.take("a", now_ms=wait_ms + 1, **fields), 0.0)
        self.assertEqual(quotas.take("z", quota_per_s=0.0, share=1.0, now_ms=0.0), 0.0)
        self.assertEqual(
            quotas.take("z", quota_per_s=0.0, share=1.0, now_ms=9e9), math.inf
        )


class KeyTest(unittest.TestCase):
    """Idempotency keys and request digests."""

    def test_parse(self):
        key = generate_key()
        text = key.hex()
        self.assertEqual(parse_key(text), key)
        self.assertEqual(read_created_ms(generate_key_at(1_234_567)), 1_234_567)
        for bad in ("", "x", "6f0c0c9e-6a8f-4b5f-9d53-0d5a2f1c7f11"):
            with self.assertRaises(RequestError):
                parse_key(bad)
        for bad in (b"", b"x" * 16, key[:-1]):
            with self.assertRaises(RequestError):
                read_created_ms(bad)

    def test_keys_spread_evenly(self):
        counts: dict[str, int] = {}
        # Each key is at least 1 ms later than the last one of the process. Without the
        # patch, keys of later tests would be seconds ahead of the clock.
        with mock.patch("uuid6._last_v7_timestamp", None):
            keys = [generate_key() for _ in range(6_400)]
        for key in keys:
            shard_id = compute_key_shard(key, shard_count=64)
            counts[shard_id] = counts.get(shard_id, 0) + 1
        self.assertEqual(len(counts), 64)
        self.assertLess(max(counts.values()), 160)

    def test_digest_distinguishes_requests(self):
        fields = {"team": "a", "service": "b", "content_type": "c", "body": b"d"}
        digests = {compute_digest(**fields)}
        for name in ("team", "service", "content_type"):
            digests.add(compute_digest(**{**fields, name: "ab"}))
        digests.add(compute_digest(**{**fields, "body": b""}))
        digests.add(compute_digest(**{**fields, "team": "ab", "service": ""}))
        self.assertEqual(len(digests), 6)


class HandoverTest(unittest.TestCase):
    """Encoding of key records in the handover message."""

    def test_key_records_survive_encoding(self):
        answer = CallerAnswer(code=ResultCode.OK, status=200, body=b"whole")
        records = [
            KeyRecord(key=generate_key_at(10), created_ms=10, digest=b"1"),
            KeyRecord(
                key=generate_key_at(20),
                created_ms=20,
                digest=b"2",
                state=KeyState.DONE,
                answer=answer,
            ),
            KeyRecord(
                key=generate_key_at(30),
                created_ms=30,
                digest=b"3",
                state=KeyState.UNKNOWN,
            ),
            KeyRecord(
                key=generate_key_at(40),
                created_ms=40,
                digest=b"4",
                state=KeyState.DROPPED,
            ),
            KeyRecord(
                key=generate_key_at(5),
                created_ms=5,
                digest=b"5",
                state=KeyState.DONE,
                answer=attrs.evolve(answer, body=b"x" * 2_100_000),
            ),
        ]
        handover = KeyHandover(epoch=4, known_from_ms=7.0, records=tuple(records))
        message = encode_handover(
            shard_id="req-000", epoch=4, handover=handover, in_use={"e": 3}
        )
        back = decode_keys(type(message).FromString(message.SerializeToString()))
        states = {each.created_ms: each.state for each in back.records}
        self.assertEqual(
            states,
            {
                5: KeyState.DROPPED,
                10: KeyState.UNKNOWN,
                20: KeyState.DONE,
                30: KeyState.UNKNOWN,
                40: KeyState.DROPPED,
            },
        )
        done = next(each for each in back.records if each.created_ms == 20)
        self.assertEqual((done.answer.body, done.digest), (b"whole", b"2"))
        self.assertEqual(message.in_use[0].in_use, 3)


if __name__ == "__main__":
    unittest.main()
