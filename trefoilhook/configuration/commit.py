"""Writing a document such that its outcome is known even if responses are lost."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from trefoilhook.configuration.document import (
    StoredChange,
    TeamDocument,
    decode_document,
    encode_document,
)
from trefoilhook.configuration.view import RawEntry
from trefoilhook.exceptions import SettingsError, StoreError, StoreUnavailableError
from trefoilhook.results import ResultCode
from trefoilhook.store import ConflictError

__all__ = ["ReadEntry", "SwapEntry", "commit_document"]

#: Reads the entry at a key; None if there is none.
ReadEntry = Callable[[str], Awaitable[RawEntry | None]]


class SwapEntry(Protocol):
    """Compare-and-swap of a key that retries if the outcome is unknown."""

    async def __call__(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write ``value`` if the key is at a revision; return the new revision."""


async def commit_document(
    *, get: ReadEntry, swap: SwapEntry, key: str, document: TeamDocument
) -> int:
    """Write a document with a new last change; return the revision of that change.

    Parameters
    ----------
    get : callable
        Reads an entry of the store.
    swap : callable
        Compare-and-swap of the store's adapter, in the variant that reads back.
    key : str
        Key of the document.
    document : TeamDocument
        The document; its last change names the expected revision of the key.

    Raises
    ------
    ConflictError
        If another change followed the expected revision; this one has no effect.
    StoreError
        If nothing changed; or, with the code COMMIT_UNKNOWN, if it is unknown whether
        the change took effect.

    Notes
    -----
    If the store applies the change but its response is lost, and another operator
    changes the document afterwards, the retried swap finds a foreign value and would
    report a conflict although the change took effect. Each change is therefore stored
    with a nonce and with the revision that it was based on, which identify the change
    that followed the expected revision.
    """
    change = document.changes[-1]
    value = encode_document(document)
    try:
        return await swap(key, value, expected_revision=change.previous_revision)
    except StoreUnavailableError as error:
        if getattr(error, "is_proved_unsent", False):
            raise
    return await _find_own_revision(get, key, change)


async def _find_own_revision(get: ReadEntry, key: str, change: StoredChange) -> int:
    """Return the change's revision if its nonce followed the expected revision."""
    try:
        entry = await get(key)
        changes = decode_document(entry.value).changes if entry else ()
    except (StoreError, SettingsError):
        raise _build_unknown_commit_error() from None
    revision = entry.revision if entry else 0
    for known in reversed(changes):
        if known.previous_revision == change.previous_revision:
            if known.nonce == change.nonce:
                return revision
            raise ConflictError("another change followed the expected revision")
        revision = known.previous_revision
    raise _build_unknown_commit_error()


def _build_unknown_commit_error() -> StoreUnavailableError:
    # Also if the key is still at the expected revision: an attempt may be in flight.
    message = "it is unknown whether the change took effect in the store"
    return StoreUnavailableError(message, code=ResultCode.COMMIT_UNKNOWN)
