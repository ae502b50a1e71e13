"""Member records, which each live instance keeps in the store under its lease."""

import functools
import json
from collections.abc import Iterable, Iterator

import attrs
import cattrs

from trefoilhook.membership.mirror import MirrorEntry

__all__ = ["MEMBERS_PREFIX", "Member", "Members", "decode_members", "encode_member"]

MEMBERS_PREFIX = "root/members/"
_DECODE_CACHE_SIZE = 4_096


@attrs.frozen(kw_only=True)
class Member:
    """One live instance.

    Parameters
    ----------
    instance_id : str
        Id of the instance; a restarted process has another one, unless it is fixed in
        the settings.
    incarnation : str
        Store lease that the record is attached to. A process whose lease has expired
        rejoins under a new incarnation, and owns no shard until it has refreshed its
        rows in the shard table.
    host : str
        IP address of the inner listener.
    port : int
        Port of the inner listener.
    failure_domain : str
        Failure domain that the instance runs in.
    is_leaving : bool
        Whether the instance is shutting down and takes no shards.
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
    """Encode the member's record as stored."""
    return json.dumps(attrs.asdict(member)).encode()


def decode_members(entries: Iterable[MirrorEntry], *, revision: int) -> Members:
    """Decode the member records among ``entries``; skips records that are invalid."""
    found: dict[str, Member] = {}
    for entry in entries:
        if not entry.key.startswith(MEMBERS_PREFIX):
            continue
        member = _decode_member(entry.value)
        if member is not None:
            found[member.instance_id] = member
    return Members(by_id=found, revision=revision)


@functools.lru_cache(maxsize=_DECODE_CACHE_SIZE)
def _decode_member(value: bytes) -> Member | None:
    """Decode one record, or return None if it is invalid.

    Cached because all members are decoded after each change of any watched key, such as
    a team's configuration, while few records change at once.
    """
    try:
        return cattrs.structure(json.loads(value), Member)
    except (ValueError, cattrs.BaseValidationError):
        return None
