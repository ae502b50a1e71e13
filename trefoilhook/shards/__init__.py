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
    format_shard_id,
    hash_to_shard,
    list_shards,
)
from trefoilhook.shards.owner import Ownership
from trefoilhook.shards.rights import Evidence, ServingGrounds, evaluate_evidence

__all__ = [
    "ClaimPlan",
    "Evidence",
    "Owner",
    "Ownership",
    "OwnershipChange",
    "PreviousOwner",
    "ServingGrounds",
    "ShardKind",
    "ShardRow",
    "ShardTable",
    "choose_owner",
    "decode_table",
    "encode_table",
    "hash_to_shard",
    "hand_over",
    "evaluate_evidence",
    "list_shards",
    "format_shard_id",
    "plan_claims",
    "plan_handovers",
]
