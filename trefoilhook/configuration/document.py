"""The value that the store holds for a team: its subtree and the latest changes."""

import json
from typing import Any, Literal

import attrs

from trefoilhook.exceptions import RequestError
from trefoilhook.results import ResultCode
from trefoilhook.settings import declare, dump_json, parse_json, read_settings

__all__ = [
    "ChangeRecord",
    "MAX_DOCUMENT_BYTES",
    "TeamDocument",
    "decode_document",
    "encode_document",
    "list_changes",
]

Action = Literal["set", "delete"]

#: Half of what the store holds in a value, so that other writers have room.
MAX_DOCUMENT_BYTES = 524_288


@attrs.frozen(kw_only=True)
class StoredChange:
    """One change, as it is written with the change itself."""

    previous_revision: int = declare(
        description="Revision that the change was made at; 0 for the first one."
    )
    nonce: str = declare(description="Made for this change alone.")
    author: str = declare(description="Whose token it was made with.")
    at_ms: float = declare(unit="ms", description="Wall time of the change.")
    action: Action = declare(description="What was done.")
    path: str = declare(description="Path of the change inside the subtree.")


@attrs.frozen(kw_only=True)
class TeamDocument:
    """A team's subtree with its latest changes, the newest last."""

    subtree: dict[str, Any] = declare(
        default=attrs.Factory(dict), description="The subtree as operators wrote it."
    )
    is_deleted: bool = declare(
        default=False, description="Whether the team has no configuration any more."
    )
    changes: tuple[StoredChange, ...] = declare(
        default=(), description="Latest changes, bounded in number."
    )


@attrs.frozen(kw_only=True)
class ChangeRecord:
    """One change in a team's history.

    Parameters
    ----------
    revision : int
        Revision that the change made.
    author : str
        Whose token it was made with.
    at_ms : float
        Wall time of the change, in ms since the Unix epoch.
    action : str
        ``set`` or ``delete``.
    path : str
        Path of the change inside the subtree; empty for the whole.
    """

    revision: int
    author: str
    at_ms: float
    action: str
    path: str


def encode_document(document: TeamDocument) -> bytes:
    """Return the value for the store.

    Raises
    ------
    RequestError
        With code TOO_LARGE, if the value would not fit.
    """
    value = json.dumps(dump_json(document), separators=(",", ":")).encode()
    if len(value) > MAX_DOCUMENT_BYTES:
        message = f"the configuration is over {MAX_DOCUMENT_BYTES} bytes"
        raise RequestError(message, code=ResultCode.TOO_LARGE)
    return value


def decode_document(value: bytes) -> TeamDocument:
    """Return the document in a value of the store.

    Raises
    ------
    InvalidSettingsError
        If the value is not such a document.
    """
    return read_settings(TeamDocument, parse_json(value))


def list_changes(document: TeamDocument, *, revision: int) -> tuple[ChangeRecord, ...]:
    """Return the latest changes, the newest first.

    A change can't hold its own revision, which the store gives only after the write;
    it stands as the previous revision of the next change.

    Parameters
    ----------
    document : TeamDocument
        The document.
    revision : int
        The store's revision of the document.
    """
    records: list[ChangeRecord] = []
    for change in reversed(document.changes):
        records.append(
            ChangeRecord(
                revision=revision,
                author=change.author,
                at_ms=change.at_ms,
                action=change.action,
                path=change.path,
            )
        )
        revision = change.previous_revision
    return tuple(records)
