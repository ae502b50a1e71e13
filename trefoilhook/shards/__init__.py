"""Shard ownership: which instance owns each shard, and when it may serve it."""

from trefoilhook.shards.assignments import Owner, OwnershipChange
from trefoilhook.shards.claims import ClaimPlan, hand_over, plan_claims, plan_handovers
from trefoilhook.shards.core import (
    PreviousOwner,
    ShardKind,
    ShardRow,
    ShardTable,
    choose_owner,
    decode_table,
    encode_table,
    find_shard,
    list_shards,
    name_shard,
)
from trefoilhook.shards.owner import Ownership
from trefoilhook.shards.rights import Evidence, Rights, evaluate_evidence

__all__ = [
    "ClaimPlan",
    "Evidence",
    "Owner",
    "Ownership",
    "OwnershipChange",
    "PreviousOwner",
    "Rights",
    "ShardKind",
    "ShardRow",
    "ShardTable",
    "choose_owner",
    "decode_table",
    "encode_table",
    "find_shard",
    "hand_over",
    "evaluate_evidence",
    "list_shards",
    "name_shard",
    "plan_claims",
    "plan_handovers",
]
