"""Every reader returns a value of the requested type or raises `DecodeError`."""

import unittest
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from trefoilhook.decoding import (
    parse_json,
    parse_object,
    read_boolean,
    read_choice,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
    read_strings,
)
from trefoilhook.exceptions import DecodeError

DEEPLY_NESTED_JSON = b"[" * 100_000
NO_VALUE = object()

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.just("\ud800")
    | st.just(10**400),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


class ParsingTest(unittest.TestCase):
    """Bytes that are not JSON, or not an object."""

    def test_unreadable_table(self):
        # Guards against malformed data of other programs, on which Python's parser
        # raises errors other than JSONDecodeError or returns values outside JSON.
        table = (
            ("nothing", b""),
            ("no text", b"\xff\xfe\xfa"),
            ("cut off", b'{"a": 1'),
            ("nested deeply", DEEPLY_NESTED_JSON),
            ("nested deeply in an object", b'{"a":' * 100_000),
            ("not a number", b'{"a": NaN}'),
            ("infinite", b'{"a": -Infinity}'),
            ("longest integer", b'{"a": ' + b"1" * 5000 + b"}"),
            ("a list", b"[]"),
            ("null", b"null"),
        )
        for name, data in table:
            with self.subTest(name), self.assertRaises(DecodeError):
                parse_object(data)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    @example(DEEPLY_NESTED_JSON)
    def test_any_bytes(self, data: bytes):
        try:
            parse_json(data)
        except DecodeError:
            return


class FieldTest(unittest.TestCase):
    """Fields of each type."""

    def read(self, reader, value: Any, **options: Any) -> Any:
        """Read a field that holds ``value``, or that is missing."""
        table = {} if value is NO_VALUE else {"a": value}
        return reader(table, "a", **options)

    def test_refused_table(self):
        table = (
            (read_integer, (True, 1.0, "1", [1], None, -1, 2**53, NO_VALUE)),
            (read_number, (False, "1", float("nan"), float("inf"), 10**400, -0.5)),
            (read_boolean, (0, 1, "true", None)),
            (read_string, (1, None, ["a"], "\ud800", NO_VALUE)),
            (read_list, ("ab", {}, None, NO_VALUE)),
            (read_strings, ("ab", [1], ["a", None])),
            (read_object, ([], "a", None)),
        )
        for reader, values in table:
            for value in values:
                with (
                    self.subTest(reader=reader.__name__, value=repr(value)[:20]),
                    self.assertRaises(DecodeError),
                ):
                    self.read(reader, value)

    def test_accepted_table(self):
        table = (
            (read_integer, 3, {}, 3),
            (read_integer, NO_VALUE, {"default": 4}, 4),
            (read_number, 3, {}, 3.0),
            (read_boolean, NO_VALUE, {"default": False}, False),
            (read_string, "", {}, ""),
            (read_strings, ["a", "b"], {}, ("a", "b")),
            (read_choice, "a", {"choices": {"a": 1}}, 1),
        )
        for reader, value, options, expected in table:
            with self.subTest(reader=reader.__name__):
                found = self.read(reader, value, **options)
                self.assertEqual(found, expected)
                self.assertIs(type(found), type(expected))

    def test_unknown_choices_are_refused(self):
        for value in ("b", "", None, 1, [], {}):
            with self.subTest(value=value), self.assertRaises(DecodeError):
                self.read(read_choice, value, choices={"a": 1})

    def test_empty_text_is_refused_with_non_empty(self):
        with self.assertRaises(DecodeError):
            self.read(read_string, "", non_empty=True)

    @settings(derandomize=True, deadline=None)
    @given(VALUES)
    @example(10**400)
    @example("\ud800")
    def test_any_value(self, value: Any):
        readers = {
            read_integer: int,
            read_number: float,
            read_boolean: bool,
            read_string: str,
            read_list: list,
            read_strings: tuple,
            read_object: dict,
        }
        for reader, kind in readers.items():
            try:
                self.assertIs(type(self.read(reader, value)), kind)
            except DecodeError:
                continue

    def test_errors_hold_no_values(self):
        with self.assertRaises(DecodeError) as caught:
            self.read(read_integer, "secret")
        self.assertEqual(str(caught.exception), "a: not an integer")


if __name__ == "__main__":
    unittest.main()
