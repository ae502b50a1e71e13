"""Encoding of journal pages and heads."""

import json
from collections.abc import Sequence
from typing import TypeVar

import attrs
import cattrs

from trefoilhook.decoding import parse_object
from trefoilhook.exceptions import DecodeError, SettingsError
from trefoilhook.jobs import JobRecord
from trefoilhook.settings import read_message

__all__ = ["Head", "Page", "decode_head", "decode_page", "encode_head", "encode_page"]

_CONVERTER = cattrs.Converter(omit_if_default=True)
_T = TypeVar("_T")


@attrs.frozen(kw_only=True)
class Page:
    """Page of journal records, stored as one value.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote it last.
    nonce : str
        Random identifier of the write, by which its writer recognises it.
    records : tuple of JobRecord
        Records, oldest first.
    """

    epoch: int
    nonce: str
    records: tuple[JobRecord, ...] = ()


@attrs.frozen(kw_only=True)
class Head:
    """Value that names the current generation of pages.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote it last.
    nonce : str
        Random identifier of the write.
    generation : str
        Name of the current generation, part of the page keys; each compaction
        creates a new one.
    """

    epoch: int
    nonce: str
    generation: str


def _encode(value: Page | Head) -> bytes:
    plain = _CONVERTER.unstructure(value)
    return json.dumps(plain, separators=(",", ":")).encode()


def encode_page(page: Page) -> bytes:
    """Encode a page for storage."""
    return _encode(page)


def encode_head(head: Head) -> bytes:
    """Encode a head for storage."""
    return _encode(head)


def decode_page(value: bytes) -> Page:
    """Decode a stored page.

    Raises
    ------
    DecodeError
        If the value is not a page.
    """
    return _decode(Page, value)


def decode_head(value: bytes) -> Head:
    """Decode a stored head.

    Raises
    ------
    DecodeError
        If the value is not a head.
    """
    return _decode(Head, value)


def _decode(kind: type[_T], value: bytes) -> _T:
    table = parse_object(value)
    try:
        return read_message(kind, table)
    except SettingsError as error:
        raise DecodeError(f"not a {kind.__name__.lower()} of a journal") from error


def estimate_size(records: Sequence[JobRecord]) -> int:
    """Estimate the encoded size of records in a page, in bytes."""
    return len(json.dumps(_CONVERTER.unstructure(list(records))))
