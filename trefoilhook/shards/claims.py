"""Decisions about the table of shards, without I/O."""

from collections.abc import Callable, Container, Iterable

import attrs

from trefoilhook.membership import Member, Members
from trefoilhook.shards.core import (
    PreviousOwner,
    ShardRow,
    ShardTable,
    choose_owner,
)

__all__ = ["ClaimPlan", "hand_over", "plan_claims", "plan_handovers"]


@attrs.frozen(kw_only=True)
class ClaimPlan:
    """What an instance wants to write into the table.

    Parameters
    ----------
    table : ShardTable
        The table to write, at the revision that it must replace.
    claimed : tuple of str
        Shards taken from a dead owner or from nobody.
    affirmed : tuple of str
        Own shards carried over into the present incarnation.
    """

    table: ShardTable
    claimed: tuple[str, ...] = ()
    affirmed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not self.claimed and not self.affirmed


def plan_claims(
    *,
    table: ShardTable,
    members: Members,
    me: Member,
    shard_ids: Iterable[str],
    is_promised_to: Callable[[str], bool],
    held: Container[str],
    may_claim: bool = True,
) -> ClaimPlan:
    """Plan which shards ``me`` claims or affirms.

    Parameters
    ----------
    table : ShardTable
        The table, read from the store before the members.
    members : Members
        The members, read from the store after the table. In this order an owner that
        joined anew has either changed the table since, and the write fails, or is seen
        here to live.
    me : Member
        The instance that plans.
    shard_ids : iterable of str
        All shards.
    is_promised_to : callable
        Whether ``me`` has promised an owner not to claim from it.
    held : container of str
        Shards that this very process has held. A row may name ``me`` although it has
        not: a process that was restarted under the same instance id remembers no key
        and takes the shard at a new epoch, like any other claimer.
    may_claim : bool
        Whether to claim from others, besides affirming what is ``me``'s already.
    """

    def is_free(shard_id: str, row: ShardRow) -> bool:
        # A live owner under another incarnation has joined anew and will affirm.
        if row.owner_id in members or is_promised_to(row.owner_id):
            return False
        return choose_owner(shard_id, members) == me.instance_id

    rows = dict(table.rows)
    claimed: list[str] = []
    affirmed: list[str] = []
    for shard_id in shard_ids:
        row = table.get_row(shard_id)
        is_mine = row.owner_id == me.instance_id
        if is_mine and row.incarnation == me.incarnation:
            continue
        if is_mine and shard_id in held:
            rows[shard_id] = _affirm(row, me)
            affirmed.append(shard_id)
        elif may_claim and (is_mine or is_free(shard_id, row)):
            rows[shard_id] = _claim(row, me)
            claimed.append(shard_id)
    return ClaimPlan(
        table=attrs.evolve(table, rows=rows),
        claimed=tuple(claimed),
        affirmed=tuple(affirmed),
    )


def plan_handovers(
    *, table: ShardTable, members: Members, me: Member
) -> dict[str, Member]:
    """Plan which of its shards ``me`` hands over, and to whom."""
    moves: dict[str, Member] = {}
    for shard_id, row in table.rows.items():
        if row.owner_id != me.instance_id or row.incarnation != me.incarnation:
            continue
        chosen = choose_owner(shard_id, members)
        if chosen is None or chosen == me.instance_id:
            continue
        moves[shard_id] = members.by_id[chosen]
    return moves


def hand_over(
    row: ShardRow, receiver: Member, *, unmet: tuple[PreviousOwner, ...]
) -> ShardRow:
    """Return the row of a shard whose owner has stopped acting for it.

    Parameters
    ----------
    row : ShardRow
        The owner's row.
    receiver : Member
        The next owner.
    unmet : tuple of PreviousOwner
        Former owners that this one has not proved to have stopped either.
    """
    return _write_row(receiver, epoch=row.epoch + 1, unmet=unmet)


def _affirm(row: ShardRow, me: Member) -> ShardRow:
    return _write_row(me, epoch=row.epoch, unmet=row.unmet)


def _claim(row: ShardRow, me: Member) -> ShardRow:
    unmet = [o for o in row.unmet if o.instance_id != me.instance_id]
    if row.owner_id not in ("", me.instance_id):
        former = PreviousOwner(instance_id=row.owner_id, host=row.host, port=row.port)
        unmet.append(former)
    return _write_row(me, epoch=row.epoch + 1, unmet=tuple(dict.fromkeys(unmet)))


def _write_row(
    member: Member, *, epoch: int, unmet: tuple[PreviousOwner, ...]
) -> ShardRow:
    return ShardRow(
        owner_id=member.instance_id,
        incarnation=member.incarnation,
        epoch=epoch,
        host=member.host,
        port=member.port,
        unmet=unmet,
    )
