"""Tests of configuration changes: races, lost responses and refused values."""

import json
import unittest

import attrs
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.configuration import ConfigurationConflictError, ConfigurationEditor
from trefoilhook.exceptions import (
    RequestError,
    SettingsError,
    StoreRateError,
    StoreUnavailableError,
    TrefoilhookError,
)
from trefoilhook.results import ResultCode
from trefoilhook.store import ConflictError

_TIMEOUT = "services/seat-check/timeout_ms"
_KEY = "root/config/teams/a"


@attrs.frozen(kw_only=True)
class _Entry:
    key: str
    value: bytes
    revision: int


class _FakeStore:
    """A store with faults injected into its next swaps."""

    def __init__(self):
        self.entries = {}
        self.revision = 100
        self.faults = []
        self.before_next_get = None

    async def get(self, key):
        await trio.lowlevel.checkpoint()
        interfere, self.before_next_get = self.before_next_get, None
        if interfere is not None:
            await interfere()
        return self.entries.get(key)

    async def swap(self, key, value, *, expected_revision):
        await trio.lowlevel.checkpoint()
        fault = self.faults.pop(0) if self.faults else lambda apply: apply()
        return fault(lambda: self.write(key, value, expected_revision))

    def write(self, key, value, expected_revision):
        entry = self.entries.get(key)
        if expected_revision != (entry.revision if entry else 0):
            raise ConflictError("lost")
        self.revision += 1
        self.entries[key] = _Entry(key=key, value=value, revision=self.revision)
        return self.revision


def _build_foreign_value(previous_revision):
    change = {"previous_revision": previous_revision, "nonce": "x", "author": "o"}
    change |= {"at_ms": 1.0, "action": "set", "path": ""}
    return json.dumps({"changes": [change]}).encode()


def _lose_answer(apply):
    apply()
    raise StoreUnavailableError("the answer was lost")


def _lose_request(apply):
    raise StoreUnavailableError("the request was lost")


def _refuse_rate(apply):
    raise StoreRateError("rate used up")


def _build_editor(store, **options):
    clock = build_manual_clock(ManualTime())
    return ConfigurationEditor(
        get=store.get, swap=store.swap, root="root", clock=clock, **options
    )


def _run(scenario):
    return trio.run(scenario)


class EditorTest(unittest.TestCase):
    """The editor against a fake store."""

    def setUp(self):
        self.store = _FakeStore()
        self.editor = _build_editor(self.store)

    def put(self, path, value, **options):
        async def scenario():
            return await self.editor.put("a", path, value, author="op", **options)

        return _run(scenario)

    def read(self, path=""):
        async def scenario():
            return await self.editor.read("a", path)

        return _run(scenario)

    def test_paths_are_set_read_and_deleted(self):
        accepted = self.put(_TIMEOUT, 900)
        self.assertEqual(self.read(_TIMEOUT), accepted)
        self.assertEqual(self.read().value, {"services": {"seat-check": {
            "timeout_ms": 900}}})  # fmt: skip

        async def delete():
            await self.editor.delete("a", _TIMEOUT, author="op")

        _run(delete)
        self.assertEqual(self.read("services/seat-check").value, {})
        with self.assertRaises(RequestError) as caught:
            self.read(_TIMEOUT)
        self.assertIs(caught.exception.code, ResultCode.NOT_FOUND)

    def test_resulting_subtree_is_validated_before_it_is_accepted(self):
        self.put(_TIMEOUT, 900)
        before = self.read()
        cases = (
            (_TIMEOUT, "900"),
            (_TIMEOUT, 10),
            ("services/seat-check/timeout", 900),
            ("services/Seat Check/timeout_ms", 900),
            ("quota/cores", -1),
            ("tokens/operators", ["plain"]),
            ("", {"services": []}),
            ("quota/cores/x", 1),
        )
        for path, value in cases:
            with (
                self.subTest(path=path),
                self.assertRaises((SettingsError, RequestError)),
            ):
                self.put(path, value)
        self.assertEqual(self.read(), before)

    def test_operators_racing_have_one_winner(self):
        # Guards against a lost update: two operators read revision 0, then both write.
        # A write without its expected revision would overwrite the other.
        outcomes = []

        async def change(value):
            try:
                done = await self.editor.put("a", _TIMEOUT, value, author="op")
                outcomes.append(("won", done))
            except ConfigurationConflictError as error:
                outcomes.append(("lost", error.standing))

        async def scenario():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, 900)
                nursery.start_soon(change, 800)

        _run(scenario)
        self.assertEqual(sorted(kind for kind, _ in outcomes), ["lost", "won"])
        (won,) = (value for kind, value in outcomes if kind == "won")
        (lost,) = (value for kind, value in outcomes if kind == "lost")
        self.assertEqual(lost, won)
        self.assertEqual(self.read(_TIMEOUT), won)

    def test_a_stale_revision_is_a_conflict_with_the_current_value(self):
        first = self.put(_TIMEOUT, 900)
        second = self.put(_TIMEOUT, 800, expected_revision=first.revision)
        for stale in (first.revision, 0):
            with self.assertRaises(ConfigurationConflictError) as caught:
                self.put(_TIMEOUT, 700, expected_revision=stale)
            self.assertEqual(caught.exception.standing, second)

    def test_a_lost_answer_is_resolved_also_below_another_change(self):
        # Guards against reporting a conflict for a change that took effect: its
        # response is lost, and another operator changes the value before it is read
        # back.
        async def change_on_top():
            await _build_editor(self.store).put("a", "quota/cores", 4, author="other")

        def lose_answer(apply):
            apply()
            self.store.before_next_get = change_on_top
            raise StoreUnavailableError("the answer was lost")

        self.store.faults = [lose_answer]
        accepted = self.put(_TIMEOUT, 900)
        self.assertEqual(accepted.revision, 101)
        self.assertEqual(self.read("quota/cores").revision, 102)
        self.assertEqual(self.read(_TIMEOUT).value, 900)

    def test_outcomes_of_a_failing_store(self):
        # The reported outcome must be true if the store loses the response, or the
        # request, which may still arrive later, or if another change comes first.
        def change_by_another(apply):
            current = self.store.entries.get(_KEY)
            revision = current.revision if current else 0
            self.store.write(_KEY, _build_foreign_value(revision), revision)
            raise StoreUnavailableError("the request was lost")

        def cut_history(apply):
            current = self.store.entries.get(_KEY)
            revision = current.revision if current else 0
            self.store.write(_KEY, _build_foreign_value(9_999), revision)
            raise StoreUnavailableError("the request was lost")

        def corrupt(apply):
            current = self.store.entries.get(_KEY)
            self.store.write(_KEY, b"corrupt", current.revision if current else 0)
            raise StoreUnavailableError("the request was lost")

        cases = (
            (_lose_answer, None),
            (_lose_request, ResultCode.COMMIT_UNKNOWN),
            (_refuse_rate, ResultCode.STORE_UNAVAILABLE),
            (change_by_another, ResultCode.CONFLICT),
            (cut_history, ResultCode.COMMIT_UNKNOWN),
            (corrupt, ResultCode.COMMIT_UNKNOWN),
        )
        for fault, code in cases:
            for earlier in (0, 1):
                with self.subTest(fault=fault.__name__, earlier=earlier):
                    self.setUp()
                    for _ in range(earlier):
                        self.put("quota/cores", 1)
                    self.store.faults = [fault]
                    if code is None:
                        revision = self.put(_TIMEOUT, 900).revision
                        self.assertEqual(revision, 101 + earlier)
                        continue
                    with self.assertRaises(TrefoilhookError) as caught:
                        self.put(_TIMEOUT, 900)
                    self.assertIs(caught.exception.code, code)

    def test_history_is_bounded_and_numbers_every_change(self):
        self.editor = _build_editor(self.store, history_limit=3)
        revisions = [self.put("quota/cores", n).revision for n in range(5)]

        async def scenario():
            return await self.editor.read_history("a")

        records = _run(scenario)
        self.assertEqual([r.revision for r in records], revisions[:1:-1])
        self.assertEqual({r.path for r in records}, {"quota/cores"})

    def test_a_corrupt_value_can_be_replaced_whole(self):
        # Guards against a team being locked out of its configuration after another
        # program corrupted it: a change normally reads the current value first.
        self.store.write(_KEY, b"corrupt", 0)
        with self.assertRaises(SettingsError):
            self.put(_TIMEOUT, 900)
        self.put("", {"quota": {"cores": 1}})
        self.assertEqual(self.read("quota").value, {"cores": 1})

    def test_a_deleted_team_has_no_configuration(self):
        self.put(_TIMEOUT, 900)

        async def scenario():
            await self.editor.delete("a", "", author="op")

        _run(scenario)
        with self.assertRaises(RequestError):
            self.read()
        self.put(_TIMEOUT, 800)
        self.assertEqual(self.read(_TIMEOUT).value, 800)

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(
        path=st.lists(
            st.sampled_from(("services", "seat-check", "quota", "cores", "tokens", ""))
            | st.text(max_size=6),
            max_size=5,
        ).map("/".join),
        value=st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=6),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(st.text(max_size=6), inner, max_size=3)
            ),
            max_leaves=5,
        ),
    )
    def test_any_path_and_value_is_accepted_whole_or_refused(self, path, value):
        store = _FakeStore()
        editor = _build_editor(store)

        async def scenario():
            try:
                await editor.put("a", path, value, author="op")
            except (RequestError, SettingsError):
                assert not store.entries
            else:
                assert (await editor.read("a", path)).value == value

        _run(scenario)
