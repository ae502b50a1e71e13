"""JSON encoding of the store's items, changes and transactions.

Values are bytes in this interface and base64 text on the wire.
"""

import base64
from collections.abc import Mapping
from typing import Any

from trefoilhook.decoding import (
    check_object,
    read_boolean,
    read_integer,
    read_list,
    read_string,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform.messages import Change, Changes, Item, Transaction

__all__ = [
    "decode_changes",
    "decode_current_items",
    "decode_item",
    "decode_page",
    "encode_transaction",
]

_MAX_LOGGED_KEY = 200
"""Maximum length of a key in a log line, which is that of a valid key."""


def _decode_value(row: Mapping[str, Any]) -> bytes:
    """Return the value of an item, or nothing if another writer wrote no base64.

    No reader accepts an empty value. An error would withhold all other items of the
    answer, at each attempt to read them.
    """
    try:
        return base64.b64decode(read_string(row, "value", default=""), validate=True)
    except (ValueError, DecodeError):
        return b""


def decode_item(value: Any) -> Item:
    """Decode an item."""
    row = check_object(value, "item")
    return Item(
        key=read_string(row, "key"),
        value=_decode_value(row),
        revision=read_integer(row, "revision"),
        created=read_integer(row, "created", default=0),
    )


def _select_addressable(rows: list[Any]) -> list[Any]:
    """Return the rows whose keys are valid Unicode; log the other ones.

    A key with a lone surrogate can't be sent to the store, nor be one of ours. An error
    would withhold all other rows of the answer, at each attempt to read them.
    """
    found = []
    for row in rows:
        key = check_object(row, "item").get("key")
        if isinstance(key, str) and not _is_unicode(key):
            log_event(
                Event.ENTRY_INVALID,
                key=ascii(key)[:_MAX_LOGGED_KEY],
                error="key: not valid Unicode",
            )
        else:
            found.append(row)
    return found


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode_change(value: Any) -> Change:
    row = check_object(value, "event")
    if not read_boolean(row, "deleted", default=False):
        item = decode_item(row)
        return Change(key=item.key, revision=item.revision, item=item)
    return Change(
        key=read_string(row, "key"), revision=read_integer(row, "revision"), item=None
    )


def decode_page(table: Mapping[str, Any]) -> tuple[list[Item], int, bool]:
    """Decode a page of a listing: items, revision, and whether more follow."""
    rows = read_list(table, "items")
    items = [decode_item(row) for row in _select_addressable(rows)]
    has_more = read_boolean(table, "has_more", default=False)
    if rows and not items and has_more:
        # The next page is read after the last key.
        raise DecodeError("items: no valid key")
    return items, read_integer(table, "as_of"), has_more


def decode_changes(table: Mapping[str, Any]) -> Changes:
    """Decode the answer to a watch."""
    rows = _select_addressable(read_list(table, "events"))
    return Changes(
        changes=tuple(_decode_change(row) for row in rows),
        as_of=read_integer(table, "as_of"),
    )


def decode_current_items(table: Mapping[str, Any]) -> tuple[Item, ...]:
    """Decode the current items of preconditions; an absent key has no revision."""
    rows = (check_object(row, "item") for row in read_list(table, "items", default=[]))
    return tuple(decode_item(row) for row in rows if row.get("revision"))


def encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Encode a transaction."""
    return {
        "precondition": [
            {"key": row.key, "revision": row.revision}
            for row in transaction.preconditions
        ],
        "puts": [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode("ascii"),
                **({"lease": put.lease} if put.lease else {}),
            }
            for put in transaction.puts
        ],
        "remove": list(transaction.removals),
    }
