"""Readers of JSON values that convert nothing and raise one error only.

Guards against an entry of another writer ending what reads it: Python raises five kinds
of errors on odd JSON (deep nesting is a ``RecursionError``), and takes ``true`` for 1,
a text for a list of letters and ``NaN`` for a number without any. Every reader here
returns a value of the type asked for or raises `DecodeError`, whatever it is handed.

The messages hold names of fields and never values: they go into the log.
"""

import json
from collections.abc import Mapping
from typing import Any, NoReturn, TypeVar

from trefoilhook.exceptions import DecodeError

__all__ = [
    "MOST_INTEGER",
    "check_integer",
    "check_number",
    "check_table",
    "check_text",
    "parse_json",
    "parse_table",
    "read_choice",
    "read_flag",
    "read_integer",
    "read_list",
    "read_number",
    "read_table",
    "read_text",
    "read_texts",
]

MOST_INTEGER = 2**53 - 1
"""Largest integer that every reader of JSON keeps exactly."""

_MOST_NUMBER = 1e18
"""Bound of other numbers: 30 million years in ms, and sums of them stay finite."""

_Chosen = TypeVar("_Chosen")


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(name)


def parse_json(data: bytes) -> Any:
    """Parse JSON without ``NaN`` and the infinities.

    Raises
    ------
    DecodeError
        If it is none, or is nested too deeply to be read.
    """
    try:
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise DecodeError("not JSON") from error


def parse_table(data: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raises
    ------
    DecodeError
        If it is none.
    """
    return check_table(parse_json(data), "the whole")


# A value by itself.


def check_table(value: Any, name: str) -> dict[str, Any]:
    """Return ``value`` if it is an object."""
    if not isinstance(value, dict):
        raise DecodeError(f"{name}: not an object")
    return value


def check_integer(
    value: Any, name: str, *, least: int = 0, most: int = MOST_INTEGER
) -> int:
    """Return ``value`` if it is an integer in the range; a truth value is none."""
    if type(value) is not int:
        raise DecodeError(f"{name}: not an integer")
    if not least <= value <= most:
        raise DecodeError(f"{name}: out of range")
    return value


def check_number(
    value: Any, name: str, *, least: float = 0.0, most: float = _MOST_NUMBER
) -> float:
    """Return ``value`` as a float if it is a finite number in the range."""
    if type(value) not in (int, float):
        raise DecodeError(f"{name}: not a number")
    # Compared before it is converted: a large integer has no float. NaN is in no range.
    if not least <= value <= most:
        raise DecodeError(f"{name}: out of range")
    return float(value)


def check_text(value: Any, name: str, *, filled: bool = False) -> str:
    """Return ``value`` if it is a text that can be written as UTF-8.

    Parameters
    ----------
    value : object
        What was read.
    name : str
        What it is called in the error.
    filled : bool, optional
        Whether an empty text is refused, too.
    """
    if not isinstance(value, str):
        raise DecodeError(f"{name}: not a text")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise DecodeError(f"{name}: not Unicode") from error
    if filled and not value:
        raise DecodeError(f"{name}: empty")
    return value


# A field of an object. One that is missing has the default; without any it is an error.


def _find(table: Mapping[str, Any], name: str, default: Any) -> Any:
    value = table.get(name, default)
    if value is None:
        problem = "null" if name in table else "missing"
        raise DecodeError(f"{name}: {problem}")
    return value


def read_integer(
    table: Mapping[str, Any],
    name: str,
    *,
    least: int = 0,
    most: int = MOST_INTEGER,
    default: int | None = None,
) -> int:
    """Read a field that holds an integer."""
    return check_integer(_find(table, name, default), name, least=least, most=most)


def read_number(
    table: Mapping[str, Any],
    name: str,
    *,
    least: float = 0.0,
    most: float = _MOST_NUMBER,
    default: float | None = None,
) -> float:
    """Read a field that holds a finite number."""
    return check_number(_find(table, name, default), name, least=least, most=most)


def read_flag(
    table: Mapping[str, Any], name: str, *, default: bool | None = None
) -> bool:
    """Read a field that holds a truth value; a number is none."""
    value = _find(table, name, default)
    if not isinstance(value, bool):
        raise DecodeError(f"{name}: not a truth value")
    return value


def read_text(
    table: Mapping[str, Any],
    name: str,
    *,
    filled: bool = False,
    default: str | None = None,
) -> str:
    """Read a field that holds a text."""
    return check_text(_find(table, name, default), name, filled=filled)


def read_choice(
    table: Mapping[str, Any], name: str, choices: Mapping[str, _Chosen]
) -> _Chosen:
    """Read a field that holds one of some words, and return what the word stands for.

    Notes
    -----
    A word that isn't known is an error and never a default: a state that a newer
    writer adds may well mean that nothing is to be sent there.
    """
    word = check_text(_find(table, name, None), name)
    if word not in choices:
        raise DecodeError(f"{name}: unknown word")
    return choices[word]


def read_list(
    table: Mapping[str, Any], name: str, *, default: list[Any] | None = None
) -> list[Any]:
    """Read a field that holds a list; a text is none."""
    value = _find(table, name, default)
    if not isinstance(value, list):
        raise DecodeError(f"{name}: not a list")
    return value


def read_texts(
    table: Mapping[str, Any], name: str, *, default: list[Any] | None = None
) -> tuple[str, ...]:
    """Read a field that holds a list of texts."""
    rows = read_list(table, name, default=default)
    return tuple(check_text(row, name) for row in rows)


def read_table(table: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Read a field that holds an object."""
    return check_table(_find(table, name, None), name)
