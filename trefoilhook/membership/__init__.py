"""Which instances live, and what each of them has read from the store."""

from trefoilhook.membership.core import Membership
from trefoilhook.membership.follower import MirrorChanged, StoreFollower
from trefoilhook.membership.lease import LeaseKeeper
from trefoilhook.membership.members import Member, Members, decode_members
from trefoilhook.membership.mirror import Mirror, MirrorEntry, Snapshot
from trefoilhook.membership.promises import PromiseBook
from trefoilhook.membership.settings import MembershipSettings

__all__ = [
    "LeaseKeeper",
    "Member",
    "Members",
    "Membership",
    "MembershipSettings",
    "Mirror",
    "MirrorChanged",
    "MirrorEntry",
    "PromiseBook",
    "Snapshot",
    "StoreFollower",
    "decode_members",
]
