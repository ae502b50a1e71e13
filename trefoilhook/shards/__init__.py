"""Which instance owns which shard, and when it may act for it."""

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
from trefoilhook.shards.holdings import Owner, OwnershipChange
from trefoilhook.shards.owner import Ownership
from trefoilhook.shards.rights import Evidence, Rights, judge_rights

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
    "judge_rights",
    "list_shards",
    "name_shard",
    "plan_claims",
    "plan_handovers",
]
