"""Odd values that another writer may leave in the store."""

import json
from collections.abc import Iterator
from typing import Any

__all__ = [
    "MAX_DECODING_S",
    "ODD_ADDRESSES",
    "ODD_DOCUMENTS",
    "build_odd_documents",
]

MAX_DECODING_S = 1.0
"""Maximum time for which one entry may block the event loop of a reader, in s. A lease
of an owner is renewed several times within its life of seconds."""

_MANY = 20_000

ODD_DOCUMENTS: dict[str, bytes] = {
    "nothing": b"",
    "spaces": b" \n\t",
    "not UTF-8": b"\xff\xfe\x00",
    "zero byte": b"\x00",
    "UTF-16": '{"a": 1}'.encode("utf-16"),
    "cut off": b'{"a": ',
    "two documents": b"{} {}",
    "null": b"null",
    "true": b"true",
    "string": b'"text"',
    "lone surrogate": b'"\\ud800"',
    "number": b"1",
    "too large float": b"1e999",
    "not a number": b"NaN",
    "infinite": b"[-Infinity]",
    "5,000 digits": b"1" * 5_000,
    "list": b"[]",
    "list of numbers": b"[1, 2, 3]",
    "list of objects": b"[{}]",
    "empty object": b"{}",
    "unknown fields": b'{"zz": {"y": [1]}}',
    "nested lists": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested in a field": b'{"a":' + b"[" * 200_000,
}
"""Documents that are no entry of any kind, by what is odd about them."""

_FIELD_VALUES: dict[str, bytes] = {
    "null": b"null",
    "true": b"true",
    "zero": b"0",
    "minus zero": b"-0.0",
    "minus one": b"-1",
    "fraction": b"1.5",
    "65,536": b"65536",
    "2^53 - 1": str(2**53 - 1).encode(),
    "2^63": str(2**63).encode(),
    "1e18": b"1e18",
    "1e308": b"1e308",
    "too large float": b"1e999",
    "not a number": b"NaN",
    "400 digits": b"9" * 400,
    "5,000 digits": b"9" * 5_000,
    "empty string": b'""',
    "digits": b'"80"',
    "zero byte": b'"\\u0000"',
    "lone surrogate": b'"\\ud800"',
    "other script": '"\u0661\u0662"'.encode(),
    "long string": b'"' + b"a" * 1_000_000 + b'"',
    "empty list": b"[]",
    "list": b'[1, "a", null]',
    "long list": b"[" + b",".join([b'"a"'] * _MANY) + b"]",
    "empty object": b"{}",
    "object": b'{"a": {"b": 1}}',
    "large object": json.dumps({str(n): n for n in range(_MANY)}).encode(),
    "nested lists": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":' * 3_000 + b"1" + b"}" * 3_000,
}

ODD_ADDRESSES = (
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:9223372036854775808",
    "127.0.0.1:" + "1" * 5_000,
    "127.0.0.1:\u0661\u0662",
    "127.0.0.1:80 ",
    "127.0.0.1:80\r\nx: y",
    "127.0.0.1:+80",
    "[::1:80",
    "::1:80",
    "a" * 10_000 + ":80",
    "a..b:80",
    "\ud800:80",
    "\x00:80",
)
"""Texts that are no address with a valid port."""

_PLACE = "\x01place"


def build_odd_documents(valid: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield documents that differ from a valid one in one place, and their names.

    Each value at any depth is replaced by each odd value, and each field is removed,
    duplicated with another value, or named differently.

    Parameters
    ----------
    valid : bytes
        A valid JSON object.
    """
    yield from ODD_DOCUMENTS.items()
    table = json.loads(valid)
    marked = json.dumps(_PLACE).encode()
    for path in _list_paths(table):
        template = json.dumps(_replace(table, path, _PLACE)).encode()
        for name, value in _FIELD_VALUES.items():
            yield f"{path}: {name}", template.replace(marked, value)
        yield f"{path}: removed", json.dumps(_replace(table, path, None)).encode()
    for name in table:
        rest = valid.strip()[1:]
        yield f"{name}: duplicate", b'{"' + name.encode() + b'": [], ' + rest


def _list_paths(value: Any) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value inside a document."""
    keys: Any = ()
    if isinstance(value, dict):
        keys = value
    elif isinstance(value, list):
        keys = range(len(value))
    for key in keys:
        yield (key,)
        for inner in _list_paths(value[key]):
            yield (key, *inner)


def _replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return a copy with the value at ``path`` replaced, or removed for None."""
    first, *rest = path
    copy = dict(value) if isinstance(value, dict) else list(value)
    if rest:
        copy[first] = _replace(copy[first], tuple(rest), new)
    elif new is None:
        del copy[first]
    else:
        copy[first] = new
    return copy
