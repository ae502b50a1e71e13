"""The record that each live instance keeps in the store, under its lease."""

import functools
import json
from collections.abc import Iterable, Iterator

import attrs
import cattrs

from trefoilhook.membership.mirror import MirrorEntry

__all__ = ["MEMBERS_PREFIX", "Member", "Members", "decode_members", "encode_member"]

MEMBERS_PREFIX = "root/members/"
_DECODED_RECORDS = 4_096


@attrs.frozen(kw_only=True)
class Member:
    """One live instance.

    Parameters
    ----------
    instance_id : str
        Identity of the process; a restarted process has another one.
    incarnation : str
        Store lease that the record hangs on. A process whose lease lapsed joins anew
        under a new incarnation, and owns nothing until it has said so in the table of
        shards.
    host : str
        Address of the inner listener, an IP number.
    port : int
        Port of the inner listener.
    failure_domain : str
        Where the instance runs.
    is_leaving : bool
        The instance is shutting down and takes no shard.
    """

    instance_id: str
    incarnation: str
    host: str
    port: int
    failure_domain: str
    is_leaving: bool = False


@attrs.frozen(kw_only=True)
class Members:
    """The live instances as read from the store.

    Parameters
    ----------
    by_id : dict of str to Member
        Members by instance id.
    revision : int
        Store revision of the newest change among them.
    """

    by_id: dict[str, Member] = attrs.field(factory=dict)
    revision: int = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_id.values())

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self.by_id


def encode_member(member: Member) -> bytes:
    """Return the member's record as stored."""
    return json.dumps(attrs.asdict(member)).encode()


def decode_members(entries: Iterable[MirrorEntry], *, revision: int) -> Members:
    """Read the member records among ``entries``; what can't be read is left out."""
    found: dict[str, Member] = {}
    for entry in entries:
        if not entry.key.startswith(MEMBERS_PREFIX):
            continue
        member = _decode_member(entry.value)
        if member is not None:
            found[member.instance_id] = member
    return Members(by_id=found, revision=revision)


@functools.lru_cache(maxsize=_DECODED_RECORDS)
def _decode_member(value: bytes) -> Member | None:
    """Read one record; remembered, since few of many change at once.

    Every change of any watched key, a team's configuration as well, is followed by a
    reading of all members.
    """
    try:
        return cattrs.structure(json.loads(value), Member)
    except (ValueError, cattrs.BaseValidationError):
        return None
