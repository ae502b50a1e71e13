"""What a new owner learns from its predecessors about the tasks that they started."""

from trefoilhook.takeover.core import Place, Predecessors
from trefoilhook.takeover.groups import (
    GROUP_SIZE,
    Member,
    WorkerGroups,
    count_groups,
)
from trefoilhook.takeover.ledger import PageWrite, PlaceLedger
from trefoilhook.takeover.records import (
    Head,
    decode_head,
    decode_places,
    encode_head,
    encode_places,
)

__all__ = [
    "GROUP_SIZE",
    "Head",
    "Member",
    "PageWrite",
    "Place",
    "PlaceLedger",
    "Predecessors",
    "WorkerGroups",
    "count_groups",
    "decode_head",
    "decode_places",
    "encode_head",
    "encode_places",
]
