"""Decoding of JSON values without type conversion; the only error is `DecodeError`.

Malformed data of another program must not crash its reader. Python raises five kinds of
errors on malformed JSON (deep nesting is a ``RecursionError``), and accepts ``true`` as
1, a string as a list of characters, and ``NaN`` as a number. Each function here returns
a value of the requested type or raises `DecodeError`, whatever the input.

Error messages name fields but never contain values, as they are logged.
"""

import json
from collections.abc import Mapping
from typing import Any, NoReturn, TypeVar

from trefoilhook.exceptions import DecodeError

__all__ = [
    "MAX_INTEGER",
    "check_integer",
    "check_number",
    "check_object",
    "check_string",
    "parse_json",
    "parse_object",
    "read_choice",
    "read_boolean",
    "read_integer",
    "read_list",
    "read_number",
    "read_object",
    "read_string",
    "read_strings",
]

MAX_INTEGER = 2**53 - 1
"""Largest integer that all JSON implementations represent exactly."""

_MAX_NUMBER = 1e18
"""Largest other number: 30 million years in ms; sums of such numbers stay finite."""

_Choice = TypeVar("_Choice")


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(name)


_decode_json = json.JSONDecoder(parse_constant=_refuse_constant).decode
"""Shared, as building a decoder takes a fifth of the time of a short document."""


def parse_json(data: bytes) -> Any:
    """Parse JSON in UTF-8; ``NaN`` and infinities are refused.

    Raises
    ------
    DecodeError
        If the data is not JSON in UTF-8 or is nested too deeply.
    """
    try:
        # Decoded here because the parser would also accept UTF-16 and UTF-32.
        return _decode_json(data.decode("utf-8-sig"))
    except (ValueError, RecursionError) as error:
        raise DecodeError("not valid JSON, or nested too deeply") from error


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raises
    ------
    DecodeError
        If the data is not a JSON object.
    """
    return check_object(parse_json(data), "document")


# Checks of single values.


def check_object(value: Any, name: str) -> dict[str, Any]:
    """Return ``value`` if it is an object."""
    if not isinstance(value, dict):
        raise DecodeError(f"{name}: not an object")
    return value


def check_integer(
    value: Any, name: str, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return ``value`` if it is an integer in the range; booleans are refused."""
    if type(value) is not int:
        raise DecodeError(f"{name}: not an integer")
    if not minimum <= value <= maximum:
        raise DecodeError(f"{name}: out of range")
    return value


def check_number(
    value: Any, name: str, *, minimum: float = 0.0, maximum: float = _MAX_NUMBER
) -> float:
    """Return ``value`` as a float if it is a finite number in the range."""
    kind = type(value)
    if kind is not float and kind is not int:
        raise DecodeError(f"{name}: not a number")
    # Compared before the conversion, as a large integer overflows; NaN is in no range.
    if not minimum <= value <= maximum:
        raise DecodeError(f"{name}: out of range")
    return float(value)


def check_string(value: Any, name: str, *, non_empty: bool = False) -> str:
    """Return ``value`` if it is a string that can be encoded as UTF-8.

    Parameters
    ----------
    value : object
        The decoded value.
    name : str
        Name of the field, for the error message.
    non_empty : bool, optional
        Whether an empty string is refused.
    """
    if not isinstance(value, str):
        raise DecodeError(f"{name}: not a string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise DecodeError(f"{name}: not valid Unicode") from error
    if non_empty and not value:
        raise DecodeError(f"{name}: empty")
    return value


# Fields of objects. A missing field has the default; without one it is an error.


def _get_field(table: Mapping[str, Any], name: str, default: Any) -> Any:
    value = table.get(name, default)
    if value is None:
        problem = "null" if name in table else "missing"
        raise DecodeError(f"{name}: {problem}")
    return value


def read_integer(
    table: Mapping[str, Any],
    name: str,
    *,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
    default: int | None = None,
) -> int:
    """Read a field that holds an integer."""
    return check_integer(
        _get_field(table, name, default), name, minimum=minimum, maximum=maximum
    )


def read_number(
    table: Mapping[str, Any],
    name: str,
    *,
    minimum: float = 0.0,
    maximum: float = _MAX_NUMBER,
    default: float | None = None,
) -> float:
    """Read a field that holds a finite number."""
    return check_number(
        _get_field(table, name, default), name, minimum=minimum, maximum=maximum
    )


def read_boolean(
    table: Mapping[str, Any], name: str, *, default: bool | None = None
) -> bool:
    """Read a field that holds a boolean; numbers are refused."""
    value = _get_field(table, name, default)
    if not isinstance(value, bool):
        raise DecodeError(f"{name}: not a boolean")
    return value


def read_string(
    table: Mapping[str, Any],
    name: str,
    *,
    non_empty: bool = False,
    default: str | None = None,
) -> str:
    """Read a field that holds a string."""
    return check_string(_get_field(table, name, default), name, non_empty=non_empty)


def read_choice(
    table: Mapping[str, Any], name: str, choices: Mapping[str, _Choice]
) -> _Choice:
    """Read a field that holds one of the keys of ``choices``; return the mapped value.

    Notes
    -----
    An unknown value is an error and never a default: a state that a newer version
    adds may mean that nothing may be sent to that target.
    """
    text = check_string(_get_field(table, name, None), name)
    if text not in choices:
        raise DecodeError(f"{name}: unknown value")
    return choices[text]


def read_list(
    table: Mapping[str, Any], name: str, *, default: list[Any] | None = None
) -> list[Any]:
    """Read a field that holds a list; strings are refused."""
    value = _get_field(table, name, default)
    if not isinstance(value, list):
        raise DecodeError(f"{name}: not a list")
    return value


def read_strings(
    table: Mapping[str, Any], name: str, *, default: list[Any] | None = None
) -> tuple[str, ...]:
    """Read a field that holds a list of strings."""
    rows = read_list(table, name, default=default)
    return tuple(check_string(row, name) for row in rows)


def read_object(table: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Read a field that holds an object."""
    return check_object(_get_field(table, name, None), name)
