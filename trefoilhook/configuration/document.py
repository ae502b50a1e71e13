"""The document stored for a team: its subtree and the latest changes."""

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

#: Half of the store's maximum value size, which leaves room for other writers.
MAX_DOCUMENT_BYTES = 524_288


@attrs.frozen(kw_only=True)
class StoredChange:
    """One change, stored in the document that the change produced."""

    previous_revision: int = declare(
        description="Revision that the change is based on; 0 for the first one."
    )
    nonce: str = declare(description="Unique identifier of the change.")
    author: str = declare(description="Owner of the token that was used.")
    at_ms: float = declare(unit="ms", description="Wall time of the change.")
    action: Action = declare(description="Kind of change.")
    path: str = declare(description="Path of the change in the subtree.")


@attrs.frozen(kw_only=True)
class TeamDocument:
    """A team's subtree with its latest changes, newest last."""

    subtree: dict[str, Any] = declare(
        default=attrs.Factory(dict), description="The subtree as written by operators."
    )
    is_deleted: bool = declare(
        default=False, description="Whether the team's configuration was deleted."
    )
    changes: tuple[StoredChange, ...] = declare(
        default=(), description="Latest changes, limited in number."
    )


@attrs.frozen(kw_only=True)
class ChangeRecord:
    """One change in a team's history.

    Parameters
    ----------
    revision : int
        Revision that the change produced.
    author : str
        Owner of the token that was used.
    at_ms : float
        Wall time of the change, in ms since the Unix epoch.
    action : str
        ``set`` or ``delete``.
    path : str
        Path of the change in the subtree; empty for the whole subtree.
    """

    revision: int
    author: str
    at_ms: float
    action: str
    path: str


def encode_document(document: TeamDocument) -> bytes:
    """Encode a document as a value of the store.

    Raises
    ------
    RequestError
        With code TOO_LARGE, if the value exceeds the size limit.
    """
    value = json.dumps(dump_json(document), separators=(",", ":")).encode()
    if len(value) > MAX_DOCUMENT_BYTES:
        message = f"the configuration exceeds {MAX_DOCUMENT_BYTES} bytes"
        raise RequestError(message, code=ResultCode.TOO_LARGE)
    return value


def decode_document(value: bytes) -> TeamDocument:
    """Decode a document from a value of the store.

    Raises
    ------
    InvalidSettingsError
        If the value is not a valid document.
    """
    return read_settings(TeamDocument, parse_json(value))


def list_changes(document: TeamDocument, *, revision: int) -> tuple[ChangeRecord, ...]:
    """Return the latest changes, newest first.

    A change can't contain its own revision, which the store assigns on the write; it is
    the previous revision of the next change.

    Parameters
    ----------
    document : TeamDocument
        The document.
    revision : int
        Revision of the document in the store.
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
