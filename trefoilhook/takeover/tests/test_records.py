"""Tests of the encoding of groups and places."""

import json
import unittest
from typing import Any

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhook.exceptions import DecodeError
from trefoilhook.takeover import (
    Head,
    Member,
    Place,
    WorkerGroups,
    decode_head,
    decode_places,
    encode_head,
    encode_places,
)
from trefoilhook.takeover.tests.builders import build_groups, build_place

_NAMES = st.text(
    st.characters(exclude_categories=["Cs"]), min_size=1, max_size=5
).filter(bool)
_NUMBERS = st.integers(min_value=0, max_value=2**53 - 1)


@st.composite
def _draw_groups(draw: st.DrawFn) -> WorkerGroups:
    names = draw(st.lists(_NAMES, unique=True, max_size=4))
    slots = draw(
        st.lists(_NUMBERS, unique=True, min_size=len(names), max_size=len(names))
    )
    return WorkerGroups(
        epoch=draw(_NUMBERS),
        count=draw(st.integers(min_value=1, max_value=2**53 - 1)),
        members={
            slot: Member(name=name, address=draw(_NAMES))
            for slot, name in zip(slots, names, strict=True)
        },
        has_all_places=draw(st.booleans()),
    )


_HEADS = st.builds(
    Head,
    groups=_draw_groups(),
    inherited=st.lists(_draw_groups(), max_size=2).map(tuple),
    unrecorded_epoch=st.none() | _NUMBERS,
    elapsed_ms=st.dictionaries(_NUMBERS, _NUMBERS, max_size=2),
    lease_limits=st.dictionaries(_NAMES, _NUMBERS, max_size=2),
)
_PLACES = st.lists(
    st.builds(
        Place,
        task=st.builds("{}.{}".format, _NAMES, _NUMBERS),
        attempt=_NUMBERS,
        worker=_NAMES,
    ),
    max_size=5,
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)

_HEAD: dict[str, Any] = json.loads(
    encode_head(
        Head(
            groups=build_groups("a", "b", epoch=3),
            inherited=(build_groups("c", epoch=2),),
            unrecorded_epoch=1,
            elapsed_ms={1: 700},
        )
    )
)
_PAGE: dict[str, Any] = json.loads(
    encode_places([build_place("j.0.0"), build_place("j.0.1", 2, "b")], epoch=3)
)


def _list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the way to each value inside of a JSON value."""
    paths = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        paths += _list_paths(inner, (*path, key))
    return paths


def _replace(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    """Return a copy of a JSON value with another value at a path."""
    if not path:
        return other
    copy = json.loads(json.dumps(value))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = other
    return copy


def _encode_without(table: dict[str, Any], field: str) -> bytes:
    """Return a record that lacks a field."""
    return json.dumps({key: table[key] for key in table if key != field}).encode()


class RoundTripTest(unittest.TestCase):
    """What was encoded is read again."""

    @settings(deadline=None)
    @given(_HEADS)
    def test_head(self, head: Head) -> None:
        """Guards against workers of earlier epochs that a successor doesn't see."""
        self.assertEqual(decode_head(encode_head(head)), head)

    @settings(deadline=None)
    @given(_PLACES)
    def test_places(self, places: list[Place]) -> None:
        """Guards against starts that a successor doesn't see."""
        decoded = decode_places(encode_places(places, epoch=1))
        self.assertCountEqual(decoded, places)

    @settings(deadline=None)
    @given(_HEADS)
    def test_same_head_gives_same_bytes(self, head: Head) -> None:
        """Guards against a repeated write that is taken for another one."""
        members = dict(reversed(head.groups.members.items()))
        other = attrs.evolve(
            head,
            groups=attrs.evolve(head.groups, members=members),
            elapsed_ms=dict(reversed(head.elapsed_ms.items())),
        )
        self.assertEqual(encode_head(other), encode_head(head))


class MalformedTest(unittest.TestCase):
    """Anything that can't be interpreted is a `DecodeError`, never an empty record."""

    def check(self, data: bytes) -> None:
        """Decode data as both, and accept no other error."""
        for decode in (decode_head, decode_places):
            try:
                decode(data)
            except DecodeError:
                continue

    @settings(deadline=None)
    @given(st.binary(max_size=40))
    def test_any_bytes(self, data: bytes) -> None:
        """Guards against a takeover that ends by foreign data."""
        self.check(data)

    @settings(deadline=None)
    @given(_JSON)
    def test_any_json(self, value: Any) -> None:
        """Guards against a takeover that ends by foreign JSON."""
        self.check(json.dumps(value).encode())

    @settings(deadline=None)
    @given(st.data())
    def test_changed_values(self, data: st.DataObject) -> None:
        """Guards against a takeover that ends by a damaged record."""
        value = data.draw(st.sampled_from([_HEAD, _PAGE]))
        for _ in range(data.draw(st.integers(min_value=1, max_value=2))):
            path = data.draw(st.sampled_from(_list_paths(value)))
            value = _replace(value, path, data.draw(_JSON))
        self.check(json.dumps(value).encode())

    def test_refused(self) -> None:
        """Guards against records that are read as if they named fewer workers."""
        for name, path, other in (
            ("format", ("format",), 2),
            ("format as a boolean", ("format",), True),
            ("no format", ("format",), None),
            ("no epoch", ("epoch",), None),
            ("no groups", ("groups",), 0),
            ("workers", ("workers",), None),
            ("workers as an object", ("workers",), {}),
            ("short row", ("workers", 0), [0, "a"]),
            ("long row", ("workers", 0), [0, "a", "b", 1]),
            ("negative slot", ("workers", 0, 0), -1),
            ("empty name", ("workers", 0, 1), ""),
            ("name as a number", ("workers", 0, 1), 1),
            ("lone surrogate", ("workers", 0, 1), "\ud800"),
            ("address", ("workers", 0, 2), None),
            ("slot used twice", ("workers", 0, 0), 1),
            ("worker with two slots", ("workers", 0, 1), "b"),
            ("all placed as a number", ("all_placed",), 1),
            ("inherited", ("inherited",), None),
            ("inherited row", ("inherited", 0), []),
            ("inherited groups", ("inherited", 0, "groups"), 0),
            ("unrecorded epoch", ("unrecorded_epoch",), "1"),
            ("unrecorded epoch as a boolean", ("unrecorded_epoch",), False),
            ("elapsed", ("elapsed",), None),
            ("short pair", ("elapsed", 0), [1]),
            ("negative epoch", ("elapsed", 0), [-1, 700]),
            ("time as a fraction", ("elapsed", 0), [1, 0.5]),
        ):
            with self.subTest(name), self.assertRaises(DecodeError):
                decode_head(json.dumps(_replace(_HEAD, path, other)).encode())

    def test_refused_places(self) -> None:
        """Guards against pages that are read as if they named fewer starts."""
        for name, path, other in (
            ("format", ("format",), 2),
            ("no format", ("format",), None),
            ("workers", ("workers",), None),
            ("worker as a number", ("workers", 0), 1),
            ("steps", ("steps",), None),
            ("steps as a list", ("steps",), []),
            ("rows", ("steps", "j.0"), {}),
            ("short row", ("steps", "j.0", 0), [0, 1]),
            ("long row", ("steps", "j.0", 0), [0, 1, 0, 0]),
            ("negative index", ("steps", "j.0", 0), [-1, 1, 0]),
            ("attempt", ("steps", "j.0", 0), [0, "1", 0]),
            ("unknown worker", ("steps", "j.0", 0), [0, 1, 2]),
            ("negative worker", ("steps", "j.0", 0), [0, 1, -1]),
        ):
            with self.subTest(name), self.assertRaises(DecodeError):
                decode_places(json.dumps(_replace(_PAGE, path, other)).encode())

    def test_missing_fields(self) -> None:
        """Guards against a record without a field that is read as an empty one."""
        for field in (
            "format",
            "epoch",
            "groups",
            "workers",
            "inherited",
            "unrecorded_epoch",
        ):
            with self.subTest(field), self.assertRaises(DecodeError):
                decode_head(_encode_without(_HEAD, field))
        for field in ("format", "workers", "steps"):
            with self.subTest(field), self.assertRaises(DecodeError):
                decode_places(_encode_without(_PAGE, field))

    def test_missing_completeness(self) -> None:
        """Guards against starts of an earlier build that are taken to have places."""
        head = decode_head(_encode_without({**_HEAD, "all_placed": True}, "all_placed"))
        self.assertFalse(head.groups.has_all_places)

    def test_missing_times(self) -> None:
        """Guards against waits that are taken as over without a time."""
        head = decode_head(_encode_without(_HEAD, "elapsed"))
        self.assertEqual(head.elapsed_ms, {})

    def test_truncated(self) -> None:
        """Guards against half a record that is read as a whole one."""
        for decode, whole in ((decode_head, _HEAD), (decode_places, _PAGE)):
            data = json.dumps(whole).encode()
            for length in range(len(data)):
                with self.assertRaises(DecodeError):
                    decode(data[:length])
