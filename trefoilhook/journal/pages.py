"""Encoding of journal pages and heads."""

import json
from collections.abc import Sequence
from typing import Any

import attrs
import cattrs

from trefoilhook.jobs import JobRecord

__all__ = ["Head", "Page", "decode_head", "decode_page", "encode_head", "encode_page"]

_CONVERTER = cattrs.Converter(omit_if_default=True)


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
    ValueError
        If the value is not a page.
    """
    return _CONVERTER.structure(_load(value), Page)


def decode_head(value: bytes) -> Head:
    """Decode a stored head.

    Raises
    ------
    ValueError
        If the value is not a head.
    """
    return _CONVERTER.structure(_load(value), Head)


def _load(value: bytes) -> dict[str, Any]:
    plain = json.loads(value)
    if not isinstance(plain, dict):
        raise ValueError("journal value is not a JSON object")
    return plain


def estimate_size(records: Sequence[JobRecord]) -> int:
    """Estimate the encoded size of records in a page, in bytes."""
    return len(json.dumps(_CONVERTER.unstructure(list(records))))
