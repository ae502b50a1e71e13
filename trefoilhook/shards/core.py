"""The shard table: the owner and epoch of each shard.

Ownership is assigned and moved by shard, and the number of shards is fixed; keys,
executors and racks hash to shards. The table is a single value in the store, so one
compare-and-swap claims any number of shards, and the number of store calls grows with
the number of instances, not with the load.

References
----------
Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
"""

import enum
import json
from typing import Any

import attrs
import xxhash

from trefoilhook.decoding import (
    check_object,
    check_string,
    parse_object,
    read_integer,
    read_list,
    read_object,
    read_string,
)
from trefoilhook.membership import Members
from trefoilhook.settings import ShardSettings

__all__ = [
    "TABLE_KEY",
    "PreviousOwner",
    "ShardKind",
    "ShardRow",
    "ShardTable",
    "choose_owner",
    "decode_table",
    "encode_table",
    "hash_to_shard",
    "list_shards",
    "format_shard_id",
]

TABLE_KEY = "root/shards"

_MAX_PORT = 65_535


class ShardKind(enum.Enum):
    """What a shard holds."""

    REQUEST = "req"
    WORKER = "wrk"


@attrs.frozen(kw_only=True)
class PreviousOwner:
    """A previous owner that the current one has not yet proved to have stopped.

    Parameters
    ----------
    instance_id : str
        The previous owner.
    host : str
        IP address of its inner listener, probed to find out whether it is dead.
    port : int
        Port of its inner listener.
    """

    instance_id: str
    host: str
    port: int


@attrs.frozen(kw_only=True)
class ShardRow:
    """Ownership of one shard.

    Parameters
    ----------
    owner_id : str
        Instance that owns the shard; empty when it has no owner.
    incarnation : str
        Store lease under which the owner claimed the shard.
    epoch : int
        Incremented by each claim; messages with a lower epoch are refused.
    host : str
        IP address of the owner's inner listener.
    port : int
        Port of the owner's inner listener.
    unmet : tuple of PreviousOwner
        Previous owners not yet proved to have stopped. They are kept across claims, so
        that if a claimant dies while it waits, the next claimant waits for them too.
    """

    owner_id: str = ""
    incarnation: str = ""
    epoch: int = 0
    host: str = ""
    port: int = 0
    unmet: tuple[PreviousOwner, ...] = ()


_UNCLAIMED_ROW = ShardRow()


@attrs.frozen(kw_only=True)
class ShardTable:
    """The rows of all shards.

    Parameters
    ----------
    rows : dict of str to ShardRow
        Rows by shard name.
    revision : int
        Store revision of the table; 0 when it does not exist yet.
    """

    rows: dict[str, ShardRow] = attrs.field(factory=dict)
    revision: int = 0

    def get_row(self, shard_id: str) -> ShardRow:
        """Return a shard's row; an empty row if the shard was never claimed."""
        return self.rows.get(shard_id) or _UNCLAIMED_ROW


def format_shard_id(kind: ShardKind, index: int) -> str:
    """Build the name of a shard."""
    return f"{kind.value}-{index:03d}"


def list_shards(settings: ShardSettings) -> tuple[str, ...]:
    """Return the names of all shards."""
    requests = (
        format_shard_id(ShardKind.REQUEST, i) for i in range(settings.request_shards)
    )
    workers = (
        format_shard_id(ShardKind.WORKER, i) for i in range(settings.worker_shards)
    )
    return (*requests, *workers)


def hash_to_shard(kind: ShardKind, name: bytes, settings: ShardSettings) -> str:
    """Return the shard that a key, an executor or a rack hashes to."""
    count = settings.request_shards
    if kind is ShardKind.WORKER:
        count = settings.worker_shards
    return format_shard_id(kind, xxhash.xxh3_64_intdigest(name) % count)


def choose_owner(shard_id: str, members: Members) -> str | None:
    """Choose a shard's owner among the members not leaving, by rendezvous hashing.

    The member with the highest ``hash(member, shard)`` is chosen, so a member that
    joins or leaves moves only its own share of the shards.
    """
    staying = [m.instance_id for m in members if not m.is_leaving]
    if not staying:
        return None
    return max(
        staying,
        key=lambda member_id: xxhash.xxh3_64_intdigest(
            f"{member_id}/{shard_id}".encode()
        ),
    )


def encode_table(table: ShardTable, *, nonce: str) -> bytes:
    """Encode the table as stored, with the writer's nonce."""
    rows = {shard_id: attrs.asdict(row) for shard_id, row in table.rows.items()}
    return json.dumps({"nonce": nonce, "rows": rows}, sort_keys=True).encode()


def decode_table(value: bytes, *, revision: int) -> ShardTable:
    """Decode a stored table.

    Raises
    ------
    DecodeError
        If the value is not a valid table.
    """
    rows = read_object(parse_object(value), "rows")
    return ShardTable(
        rows={
            check_string(shard_id, "rows"): _read_row(
                check_object(row, "row"), max_epoch=revision
            )
            for shard_id, row in rows.items()
        },
        revision=revision,
    )


def _read_row(table: dict[str, Any], *, max_epoch: int) -> ShardRow:
    return ShardRow(
        owner_id=read_string(table, "owner_id", default=""),
        incarnation=read_string(table, "incarnation", default=""),
        # Each claim increases the epoch by one and the revision by at least one. A
        # larger one was not claimed, and could not be increased any more.
        epoch=read_integer(table, "epoch", maximum=max_epoch, default=0),
        host=read_string(table, "host", default=""),
        port=read_integer(table, "port", maximum=_MAX_PORT, default=0),
        unmet=tuple(
            _read_previous_owner(check_object(row, "unmet"))
            for row in read_list(table, "unmet", default=[])
        ),
    )


def _read_previous_owner(table: dict[str, Any]) -> PreviousOwner:
    return PreviousOwner(
        instance_id=read_string(table, "instance_id", non_empty=True),
        host=read_string(table, "host"),
        port=read_integer(table, "port", maximum=_MAX_PORT),
    )
