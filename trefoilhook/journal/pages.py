"""The values that a journal is made of."""

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
    """One value with records.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote it last.
    nonce : str
        Names the write, so that its writer knows it again.
    records : tuple of JobRecord
        The records, oldest first.
    """

    epoch: int
    nonce: str
    records: tuple[JobRecord, ...] = ()


@attrs.frozen(kw_only=True)
class Head:
    """The value that names the pages in use.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote it last.
    nonce : str
        Names the write.
    generation : str
        Prefix of the pages in use; a new one with each compaction.
    """

    epoch: int
    nonce: str
    generation: str


def _encode(value: Page | Head) -> bytes:
    plain = _CONVERTER.unstructure(value)
    return json.dumps(plain, separators=(",", ":")).encode()


def encode_page(page: Page) -> bytes:
    """Return a page as stored."""
    return _encode(page)


def encode_head(head: Head) -> bytes:
    """Return a head as stored."""
    return _encode(head)


def decode_page(value: bytes) -> Page:
    """Read a stored page.

    Raises
    ------
    ValueError
        If the value is no page.
    """
    return _CONVERTER.structure(_load(value), Page)


def decode_head(value: bytes) -> Head:
    """Read a stored head.

    Raises
    ------
    ValueError
        If the value is no head.
    """
    return _CONVERTER.structure(_load(value), Head)


def _load(value: bytes) -> dict[str, Any]:
    plain = json.loads(value)
    if not isinstance(plain, dict):
        raise ValueError("not a page of a journal")
    return plain


def measure_records(records: Sequence[JobRecord]) -> int:
    """Return about how many bytes records take in a page."""
    return len(json.dumps(_CONVERTER.unstructure(list(records))))
