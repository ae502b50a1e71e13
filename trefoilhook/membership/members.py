"""Member records, which each live instance keeps in the store under its lease."""

import functools
import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from trefoilhook.decoding import (
    parse_object,
    read_boolean,
    read_integer,
    read_string,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.membership.mirror import MirrorEntry

__all__ = ["MEMBERS_PREFIX", "Member", "Members", "decode_members", "encode_member"]

MEMBERS_PREFIX = "root/members/"
_DECODE_CACHE_SIZE = 4_096
_MAX_PORT = 65_535


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
        member = _decode_member(entry.key, entry.value)
        if member is not None:
            found[member.instance_id] = member
    return Members(by_id=found, revision=revision)


@functools.lru_cache(maxsize=_DECODE_CACHE_SIZE)
def _decode_member(key: str, value: bytes) -> Member | None:
    """Decode one record; log it and return None if it is invalid.

    Cached because all members are decoded after each change of any watched key, such as
    a team's configuration, while few records change at once.
    """
    try:
        return _read_member(key.removeprefix(MEMBERS_PREFIX), parse_object(value))
    except DecodeError as error:
        log_event(Event.ENTRY_INVALID, key=key, error=str(error))
        return None


def _read_member(instance_id: str, table: dict[str, Any]) -> Member:
    if read_string(table, "instance_id", non_empty=True) != instance_id:
        # It would replace the record of another instance.
        raise DecodeError("instance_id: not the key's")
    return Member(
        instance_id=instance_id,
        incarnation=read_string(table, "incarnation"),
        host=read_string(table, "host", non_empty=True),
        port=read_integer(table, "port", minimum=1, maximum=_MAX_PORT),
        failure_domain=read_string(table, "failure_domain"),
        is_leaving=read_boolean(table, "is_leaving", default=False),
    )
