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
from trefoilhook.platform.messages import Change, Changes, Item, Transaction

__all__ = [
    "decode_changes",
    "decode_current_items",
    "decode_item",
    "decode_page",
    "encode_transaction",
]


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise DecodeError("value: not base64") from error


def decode_item(value: Any) -> Item:
    """Decode an item."""
    row = check_object(value, "item")
    return Item(
        key=read_string(row, "key"),
        value=_decode_value(read_string(row, "value", default="")),
        revision=read_integer(row, "revision"),
        created=read_integer(row, "created", default=0),
    )


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
    items = [decode_item(row) for row in read_list(table, "items")]
    has_more = read_boolean(table, "has_more", default=False)
    return items, read_integer(table, "as_of"), has_more


def decode_changes(table: Mapping[str, Any]) -> Changes:
    """Decode the answer to a watch."""
    rows = read_list(table, "events")
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
