"""Tests of the key table."""

import math
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from trefoilhook.requests.dedup import KeyTable, KeyTimeWindow, VerdictKind
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.tests.fakes import generate_key_at
from trefoilhook.results import ResultCode

_NOW_MS = 1_750_000_000_000
_SKEW_MS = 500.0
_AHEAD_MS = 300.0
_WINDOW = KeyTimeWindow(
    since_wall_ms=_NOW_MS - 60_000, max_clock_skew_ms=_SKEW_MS, max_ahead_ms=_AHEAD_MS
)
_OK = CallerAnswer(code=ResultCode.OK, status=200, body=b"whole")


def build_table(max_age_ms=600_000.0, max_bytes=1_000_000):
    """Build a key table."""
    return KeyTable(max_age_ms=max_age_ms, max_bytes=max_bytes)


def begin(table, created_ms=_NOW_MS, *, key=None, window=_WINDOW, **changes):
    """Pass a request to a key table."""
    fields = {
        "key": key or generate_key_at(created_ms),
        "created_ms": created_ms,
        "digest": b"d",
        "wall_ms": _NOW_MS,
        "window": window,
        **changes,
    }
    return table.begin(**fields)


def get_code(verdict):
    """Return the code of a verdict's answer, or its kind."""
    return verdict.answer.code if verdict.answer is not None else verdict.kind


class KnownKeyTest(unittest.TestCase):
    """Requests whose key is in the table."""

    def test_key_state_determines_answer_to_repeated_request(self):
        # A caller repeats a key. The answer depends on the outcome of the first
        # request with it.
        table = (
            (None, VerdictKind.WAIT),
            (_OK, ResultCode.REPLAYED),
            (attrs.evolve(_OK, code=ResultCode.BACKEND_FAILED), "same"),
            (CallerAnswer(code=ResultCode.ANSWER_LOST), ResultCode.OUTCOME_UNKNOWN),
            (CallerAnswer(code=ResultCode.INTERNAL), ResultCode.OUTCOME_UNKNOWN),
            (CallerAnswer(code=ResultCode.OVERLOADED), VerdictKind.RUN),
        )
        for ending, expected in table:
            with self.subTest(ending=ending):
                keys = build_table()
                key = generate_key_at(_NOW_MS)
                record = begin(keys, key=key).record
                if ending is not None:
                    keys.finish(record, ending)
                    self.assertTrue(record.finished.is_set())
                wanted = ending.code if expected == "same" else expected
                second = begin(keys, key=key)
                self.assertEqual(get_code(second), wanted)
                if second.answer is not None and ending is not None:
                    self.assertIn(second.answer.body, (b"whole", b""))

    def test_key_reused_for_another_request_is_refused(self):
        # A client reuses a key for a different request. Replaying the first answer
        # would disclose it to the wrong caller.
        for ending in (None, _OK, CallerAnswer(code=ResultCode.ANSWER_LOST)):
            keys = build_table()
            key = generate_key_at(_NOW_MS)
            record = begin(keys, key=key).record
            if ending is not None:
                keys.finish(record, ending)
            verdict = begin(keys, key=key, digest=b"other")
            self.assertEqual(get_code(verdict), ResultCode.KEY_REUSED)


class TimeTest(unittest.TestCase):
    """Requests whose key is not in the table."""

    def test_window_limits(self):
        floor_ms = _WINDOW.since_wall_ms + _SKEW_MS + _AHEAD_MS
        table = (
            (_WINDOW.since_wall_ms - 1, ResultCode.KEY_TOO_OLD),
            (floor_ms - 1, ResultCode.KEY_TOO_OLD),
            (floor_ms, VerdictKind.RUN),
            (_NOW_MS + _AHEAD_MS - 1, VerdictKind.RUN),
            (_NOW_MS + _AHEAD_MS, ResultCode.KEY_AHEAD),
            (_NOW_MS + 86_400_000, ResultCode.KEY_AHEAD),
        )
        for created_ms, expected in table:
            with self.subTest(created_ms=created_ms - _NOW_MS):
                verdict = begin(build_table(), int(created_ms))
                self.assertEqual(get_code(verdict), expected)

    def test_key_ahead_that_may_have_run_is_refused_as_too_old(self):
        # An owner with a fast clock accepts a key and crashes. To the next owner, with
        # a slow clock, the key is in the future. It must not answer "not run".
        window = attrs.evolve(_WINDOW, since_wall_ms=float(_NOW_MS))
        created_ms = int(_NOW_MS + _AHEAD_MS + 200)
        verdict = begin(build_table(), created_ms, window=window)
        self.assertEqual(get_code(verdict), ResultCode.KEY_TOO_OLD)

    def test_first_claim_accepts_old_keys(self):
        window = attrs.evolve(_WINDOW, since_wall_ms=-math.inf)
        verdict = begin(build_table(), _NOW_MS - 1_000, window=window)
        self.assertEqual(get_code(verdict), VerdictKind.RUN)

    @hypothesis.given(
        accepted_ms=strategies.integers(-5_000, 0),
        old_error=strategies.floats(-_SKEW_MS / 2, _SKEW_MS / 2),
        new_error=strategies.floats(-_SKEW_MS / 2, _SKEW_MS / 2),
        ahead_ms=strategies.integers(-2_000, 2_000),
        retry_ms=strategies.integers(0, 5_000),
    )
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.example(0, _SKEW_MS / 2, -_SKEW_MS / 2, 300, 2_000)
    @hypothesis.example(0, _SKEW_MS / 2, -_SKEW_MS / 2, 550, 2_000)
    @hypothesis.example(0, 0.0, 0.0, 1_000, 2_000)
    def test_no_key_runs_at_an_owner_and_its_successor(
        self, accepted_ms, old_error, new_error, ahead_ms, retry_ms
    ):
        # An owner accepts a key and is suspended before it sends the request, or
        # crashes afterwards. Another instance claims the shard at once, the caller
        # retries there, and the old owner resumes and sends. At least one of the owners
        # must refuse the key, whatever the clocks and the key time.
        created_ms = _NOW_MS + accepted_ms + ahead_ms
        new = attrs.evolve(_WINDOW, since_wall_ms=_NOW_MS + new_error)
        at_old = begin(
            build_table(), created_ms, wall_ms=_NOW_MS + accepted_ms + old_error
        )
        at_new = begin(
            build_table(),
            created_ms,
            wall_ms=_NOW_MS + retry_ms + new_error,
            window=new,
        )
        runs = [v for v in (at_old, at_new) if v.kind is VerdictKind.RUN]
        self.assertLess(len(runs), 2)


class BoundTest(unittest.TestCase):
    """Eviction of records, which must never let a key run twice."""

    def test_evicted_key_is_never_run_again(self):
        # A caller retries after its key was evicted because of the table's size or the
        # key's age. The request must not run a second time.
        tables = (
            ("age", build_table(max_age_ms=10_000.0), 10, _NOW_MS + 20_000),
            ("room", build_table(max_bytes=8_000), 100, _NOW_MS),
        )
        for name, keys, count, wall_ms in tables:
            with self.subTest(name):
                first = generate_key_at(_NOW_MS)
                keys.finish(begin(keys, key=first).record, _OK)
                for number in range(1, count):
                    record = begin(keys, _NOW_MS + number).record
                    keys.finish(record, _OK)
                verdict = begin(keys, key=first, wall_ms=wall_ms)
                self.assertEqual(get_code(verdict), ResultCode.KEY_TOO_OLD)
                self.assertLess(len(keys), count)

    def test_wall_clock_set_back_readmits_no_key(self):
        # Keys are evicted by age, then the wall clock is set back. The keys appear
        # recent again and must still be refused.
        keys = build_table(max_age_ms=10_000.0)
        key = generate_key_at(_NOW_MS)
        keys.finish(begin(keys, key=key).record, _OK)
        begin(keys, _NOW_MS + 30_000, wall_ms=_NOW_MS + 30_000)
        verdict = begin(keys, key=key, wall_ms=_NOW_MS)
        self.assertEqual(get_code(verdict), ResultCode.KEY_TOO_OLD)

    def test_answers_are_evicted_before_keys(self):
        keys = build_table(max_bytes=20_000)
        names = [generate_key_at(_NOW_MS + number) for number in range(4)]
        large = attrs.evolve(_OK, body=b"x" * 6_000)
        for number, key in enumerate(names):
            keys.finish(begin(keys, _NOW_MS + number, key=key).record, large)
        codes = [get_code(begin(keys, key=key)) for key in names]
        self.assertEqual(codes[0], ResultCode.ANSWER_DROPPED)
        self.assertEqual(codes[-1], ResultCode.REPLAYED)
        self.assertLessEqual(keys.size_bytes, 20_000)

    def test_flood_of_requests_in_progress_is_refused(self):
        keys = build_table(max_bytes=8_000)
        verdicts = [begin(keys, _NOW_MS + number) for number in range(100)]
        self.assertEqual(get_code(verdicts[-1]), ResultCode.OVERLOADED)
        self.assertLessEqual(keys.size_bytes, 8_000)

    def test_repeat_of_old_key_in_progress_waits_for_answer(self):
        keys = build_table(max_age_ms=10_000.0)
        key = generate_key_at(_NOW_MS)
        record = begin(keys, key=key).record
        verdict = begin(keys, key=key, wall_ms=_NOW_MS + 60_000)
        self.assertEqual(verdict.kind, VerdictKind.WAIT)
        keys.finish(record, _OK)
        begin(keys, _NOW_MS + 60_000, wall_ms=_NOW_MS + 60_000)
        self.assertNotIn(key, [each.key for each in keys.list_records()])


if __name__ == "__main__":
    unittest.main()
