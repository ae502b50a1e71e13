"""Typed messages of the platform's configuration store.

The store has one revision counter for all keys: each change increments it, and the
changed key gets the new revision. A compare-and-swap gives the revision that the writer
has read, or 0 for a key that must be absent.
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
    """A key with its current value.

    Parameters
    ----------
    key : str
        Path of the key.
    value : bytes
        The value, at most ``MAX_VALUE_BYTES``.
    revision : int
        Store revision of the key's last change.
    lease_id : str, optional
        Lease that the key is attached to.
    """

    key: str
    value: bytes
    revision: int
    lease_id: str | None = None


class ConflictError(StoreError):
    """A compare-and-swap failed because the key has another revision.

    Parameters
    ----------
    message : str
        Description of the conflict.
    current : StoreEntry, optional
        Current entry at the key; None if the key is absent.
    """

    code = ResultCode.CONFLICT

    def __init__(self, message: str, *, current: StoreEntry | None = None) -> None:
        super().__init__(message)
        self.current = current


@attrs.frozen(kw_only=True)
class StorePage:
    """A page of entries, sorted by key.

    Parameters
    ----------
    entries : tuple of StoreEntry
        The entries; a page with large values holds fewer of them.
    revision : int
        Store revision at which the page was read. A watch that continues from a list
        starts after the revision of the first page.
    next_key : str, optional
        Value of ``after_key`` for the next page; None on the last page.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    next_key: str | None = None


@attrs.frozen(kw_only=True)
class Lease:
    """A granted lease.

    Parameters
    ----------
    lease_id : str
        Id of the lease.
    ttl_ms : float
        Time without a keep-alive after which the lease expires, in ms.
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
    """Changes under a prefix.

    Parameters
    ----------
    entries : tuple of StoreEntry
        Current entries of the changed keys, each key once.
    deleted : tuple of DeletedKey
        Deleted keys.
    revision : int
        Revision from which the next watch continues.
    is_reset : bool
        Whether the store no longer has the changes and the watcher must list again.
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
        Revision that the key must have; 0 if it must be absent.
    lease_id : str, optional
        Lease to attach the key to.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: str | None = None
