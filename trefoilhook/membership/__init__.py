"""Cluster membership: the live instances, and each one's mirror of the store."""

from trefoilhook.membership.core import Membership
from trefoilhook.membership.follower import MirrorChanged, StoreFollower
from trefoilhook.membership.lease import LeaseState
from trefoilhook.membership.members import Member, Members, decode_members
from trefoilhook.membership.mirror import Mirror, MirrorEntry, Snapshot
from trefoilhook.membership.promises import PromiseTracker
from trefoilhook.membership.settings import MembershipSettings

__all__ = [
    "LeaseState",
    "Member",
    "Members",
    "Membership",
    "MembershipSettings",
    "Mirror",
    "MirrorChanged",
    "MirrorEntry",
    "PromiseTracker",
    "Snapshot",
    "StoreFollower",
    "decode_members",
]
