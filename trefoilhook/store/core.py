"""Typed messages of the platform's configuration store.

The store keeps one counter, its revision, for all keys: each change raises it by one
and the changed key carries the new value. A compare-and-swap names the revision that
the writer has read, 0 for a key that must be absent.
"""

import attrs

from trefoilhook.exceptions import StoreError
from trefoilhook.results import ResultCode

__all__ = [
    "MAX_VALUE_BYTES",
    "ConflictError",
    "DeletedKey",
    "Lease",
    "StoreEntry",
    "StorePage",
    "SwapRequest",
    "WatchBatch",
]

MAX_VALUE_BYTES = 1_048_576


@attrs.frozen(kw_only=True)
class StoreEntry:
    """One key as it stands.

    Parameters
    ----------
    key : str
        Path of the key.
    value : bytes
        What stands there, at most ``MAX_VALUE_BYTES``.
    revision : int
        Store revision of the key's last change.
    lease_id : str, optional
        Lease that the key goes with.
    """

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None


class ConflictError(StoreError):
    """A compare-and-swap lost: the key is at another revision.

    Parameters
    ----------
    message : str
        What happened, for people.
    current : StoreEntry, optional
        What stands at the key now; None when the key is absent.
    """

    code = ResultCode.CONFLICT

    def __init__(self, message: str, *, current: StoreEntry | None = None) -> None:
        super().__init__(message)
        self.current = current


@attrs.frozen(kw_only=True)
class StorePage:
    """A page of entries in the order of their keys.

    Parameters
    ----------
    entries : tuple of StoreEntry
        The entries; a page ends early when its values are large.
    revision : int
        Store revision when the page was read. A watch that goes on from a list starts
        after the revision of the first page.
    next_key : str, optional
        Where the next page starts (pass as ``after_key``); None at the end.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    next_key: str | None = None


@attrs.frozen(kw_only=True)
class Lease:
    """A lease as granted.

    Parameters
    ----------
    lease_id : str
        Its name.
    ttl_ms : float
        Time without a keep-alive after which it lapses, in ms.
    """

    lease_id: str
    ttl_ms: float


@attrs.frozen(kw_only=True)
class DeletedKey:
    """A key that was deleted, and the store revision of the deletion."""

    key: str
    revision: int


@attrs.frozen(kw_only=True)
class WatchBatch:
    """What changed under a prefix.

    Parameters
    ----------
    entries : tuple of StoreEntry
        Keys that changed, once each, as they stand now.
    deleted : tuple of DeletedKey
        Keys that are gone.
    revision : int
        Where the next watch goes on from.
    is_reset : bool
        The store no longer knows what changed: list anew.
    """

    entries: tuple[StoreEntry, ...]
    deleted: tuple[DeletedKey, ...]
    revision: int
    is_reset: bool = False


@attrs.frozen(kw_only=True)
class SwapRequest:
    """Body of a compare-and-swap.

    Parameters
    ----------
    key : str
        Path of the key.
    value : bytes, optional
        The new value; None deletes the key.
    expected_revision : int
        Revision that the key must have; 0 when it must be absent.
    lease_id : str, optional
        Lease that the key is to go with.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: str | None = None
