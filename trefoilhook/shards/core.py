"""The table of shards: who owns what, at which epoch.

A fixed number of shards is the unit of ownership and of moving; keys, executors and
racks hash to them. The table is one value of the store, so that one compare-and-swap
claims any number of shards, and the store's calls grow with instances and not with
work.

References
----------
Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
"""

import enum
import json

import attrs
import cattrs
import xxhash

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
    "find_shard",
    "list_shards",
    "name_shard",
]

TABLE_KEY = "root/shards"


class ShardKind(enum.Enum):
    """What a shard holds."""

    REQUEST = "req"
    WORKER = "wrk"


@attrs.frozen(kw_only=True)
class PreviousOwner:
    """An owner that the present one has not yet proved to have stopped.

    Parameters
    ----------
    instance_id : str
        The former owner.
    host : str
        Its inner address, an IP number, to prove its death by.
    port : int
        Its inner port.
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
        Instance that owns it; empty when nobody does.
    incarnation : str
        Store lease under which the owner claimed it.
    epoch : int
        Raised by each claim; what carries a lower one is refused.
    host : str
        Inner address of the owner, an IP number.
    port : int
        Inner port of the owner.
    unmet : tuple of PreviousOwner
        Former owners not yet proved to have stopped. They are kept over several claims:
        a claimer that dies while it waits leaves its doubt to the next one.
    """

    owner_id: str = ""
    incarnation: str = ""
    epoch: int = 0
    host: str = ""
    port: int = 0
    unmet: tuple[PreviousOwner, ...] = ()


_UNCLAIMED = ShardRow()


@attrs.frozen(kw_only=True)
class ShardTable:
    """All rows, by shard name.

    Parameters
    ----------
    rows : dict of str to ShardRow
        Rows by shard name.
    revision : int
        Store revision of the table; 0 when it does not exist.
    """

    rows: dict[str, ShardRow] = attrs.field(factory=dict)
    revision: int = 0

    def get_row(self, shard_id: str) -> ShardRow:
        """Return a shard's row; an empty one when nobody ever claimed it."""
        return self.rows.get(shard_id) or _UNCLAIMED


def name_shard(kind: ShardKind, index: int) -> str:
    """Return the name of a shard."""
    return f"{kind.value}-{index:03d}"


def list_shards(settings: ShardSettings) -> tuple[str, ...]:
    """Return the names of all shards."""
    requests = (
        name_shard(ShardKind.REQUEST, i) for i in range(settings.request_shards)
    )
    workers = (name_shard(ShardKind.WORKER, i) for i in range(settings.worker_shards))
    return (*requests, *workers)


def find_shard(kind: ShardKind, name: bytes, settings: ShardSettings) -> str:
    """Return the shard that a key, an executor or a rack hashes to."""
    count = settings.request_shards
    if kind is ShardKind.WORKER:
        count = settings.worker_shards
    return name_shard(kind, xxhash.xxh3_64_intdigest(name) % count)


def choose_owner(shard_id: str, members: Members) -> str | None:
    """Choose a shard's owner among the members that stay, by rendezvous hashing.

    Each member weighs ``hash(member, shard)`` and the heaviest wins, so that a member
    that goes or comes moves only its own share of the shards.
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
    """Return the table as stored, with the writer's nonce."""
    rows = {shard_id: attrs.asdict(row) for shard_id, row in table.rows.items()}
    return json.dumps({"nonce": nonce, "rows": rows}, sort_keys=True).encode()


def decode_table(value: bytes, *, revision: int) -> ShardTable:
    """Read a stored table.

    Raises
    ------
    ValueError
        If the value is no table.
    """
    rows = json.loads(value)["rows"]
    return ShardTable(
        rows={
            shard_id: cattrs.structure(row, ShardRow) for shard_id, row in rows.items()
        },
        revision=revision,
    )
