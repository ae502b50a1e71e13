"""Writing a document so that its fate is known, also when answers are lost."""

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

#: Reads the entry at a key; None when there is none.
ReadEntry = Callable[[str], Awaitable[RawEntry | None]]


class SwapEntry(Protocol):
    """Writes a value if its key is at a revision, and sends it again when in doubt."""

    async def __call__(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Return the revision of the write."""


async def commit_document(
    *, get: ReadEntry, swap: SwapEntry, key: str, document: TeamDocument
) -> int:
    """Write a document whose last change is new; returns its revision.

    Parameters
    ----------
    get : callable
        Reads an entry of the store.
    swap : callable
        Compare-and-swap of the store's adapter, the one that reads back.
    key : str
        Key to write.
    document : TeamDocument
        What to write at the previous revision of its last change.

    Raises
    ------
    ConflictError
        If another change followed the expected revision; this one never will.
    StoreError
        If nothing changed; or, with the code COMMIT_UNKNOWN, if the store never said
        whether the change took effect.

    Notes
    -----
    Failure guarded against: the store makes the change and its answer is lost, then
    another operator's change is made on top. The swap, sent again, meets a foreign
    value; its operator would be told of a conflict although the change is in force.
    The guard holds since each change is written with its nonce and with the revision
    it was made at: the one that followed the expected revision is this one or not.
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
    """Tell by the nonce which change followed the expected revision."""
    try:
        entry = await get(key)
        changes = decode_document(entry.value).changes if entry else ()
    except (StoreError, SettingsError):
        raise _build_doubt() from None
    revision = entry.revision if entry else 0
    for known in reversed(changes):
        if known.previous_revision == change.previous_revision:
            if known.nonce == change.nonce:
                return revision
            raise ConflictError("another change was first")
        revision = known.previous_revision
    raise _build_doubt()


def _build_doubt() -> StoreUnavailableError:
    # Also when the expected revision still stands: an attempt may be on its way yet.
    message = "the store did not say whether the change took effect"
    return StoreUnavailableError(message, code=ResultCode.COMMIT_UNKNOWN)
