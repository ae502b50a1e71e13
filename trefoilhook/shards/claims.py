"""Plans changes to the shard table; does no I/O."""

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
    """Changes that an instance intends to write to the table.

    Parameters
    ----------
    table : ShardTable
        The table to write, with the revision that it must replace.
    claimed : tuple of str
        Shards claimed that had no owner or whose owner is dead.
    refreshed : tuple of str
        Own shards whose rows are rewritten under the current incarnation.
    """

    table: ShardTable
    claimed: tuple[str, ...] = ()
    refreshed: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not self.claimed and not self.refreshed


def plan_claims(
    *,
    table: ShardTable,
    members: Members,
    local_member: Member,
    shard_ids: Iterable[str],
    is_promised_to: Callable[[str], bool],
    held: Container[str],
    may_claim: bool = True,
) -> ClaimPlan:
    """Plan which shards ``local_member`` claims and which of its rows it refreshes.

    Parameters
    ----------
    table : ShardTable
        The table, read from the store before the members.
    members : Members
        The members, read from the store after the table. In this order, an owner that
        has rejoined either has changed the table since, so that the write fails, or is
        among these members.
    local_member : Member
        The instance that plans.
    shard_ids : iterable of str
        All shards.
    is_promised_to : callable
        Whether ``local_member`` has promised an owner not to claim its shards.
    held : container of str
        Shards that this process has held. A row may name ``local_member`` although this
        process has not held the shard: a process restarted under the same instance id
        does not know the keys and claims the shard at a new epoch, like any other
        claimant.
    may_claim : bool
        Whether to claim shards; the rows of shards in ``held`` are refreshed in any
        case.
    """

    def is_free(shard_id: str, row: ShardRow) -> bool:
        # A live owner with another incarnation has rejoined and will refresh its row.
        if row.owner_id in members or is_promised_to(row.owner_id):
            return False
        return choose_owner(shard_id, members) == local_member.instance_id

    rows = dict(table.rows)
    claimed: list[str] = []
    refreshed: list[str] = []
    for shard_id in shard_ids:
        row = table.get_row(shard_id)
        is_mine = row.owner_id == local_member.instance_id
        if is_mine and row.incarnation == local_member.incarnation:
            continue
        if is_mine and shard_id in held:
            rows[shard_id] = _refresh_row(row, local_member)
            refreshed.append(shard_id)
        elif may_claim and (is_mine or is_free(shard_id, row)):
            rows[shard_id] = _claim_row(row, local_member)
            claimed.append(shard_id)
    return ClaimPlan(
        table=attrs.evolve(table, rows=rows),
        claimed=tuple(claimed),
        refreshed=tuple(refreshed),
    )


def plan_handovers(
    *, table: ShardTable, members: Members, local_member: Member
) -> dict[str, Member]:
    """Plan which of its shards ``local_member`` hands over, and to which member."""
    moves: dict[str, Member] = {}
    for shard_id, row in table.rows.items():
        if (
            row.owner_id != local_member.instance_id
            or row.incarnation != local_member.incarnation
        ):
            continue
        chosen = choose_owner(shard_id, members)
        if chosen is None or chosen == local_member.instance_id:
            continue
        moves[shard_id] = members.by_id[chosen]
    return moves


def hand_over(
    row: ShardRow, new_owner: Member, *, unmet: tuple[PreviousOwner, ...]
) -> ShardRow:
    """Build the row that assigns a shard to a new owner after its owner has stopped.

    Parameters
    ----------
    row : ShardRow
        The present owner's row.
    new_owner : Member
        The new owner.
    unmet : tuple of PreviousOwner
        Previous owners that the present one has not proved to have stopped.
    """
    return _build_row(new_owner, epoch=row.epoch + 1, unmet=unmet)


def _refresh_row(row: ShardRow, me: Member) -> ShardRow:
    return _build_row(me, epoch=row.epoch, unmet=row.unmet)


def _claim_row(row: ShardRow, me: Member) -> ShardRow:
    unmet = [o for o in row.unmet if o.instance_id != me.instance_id]
    if row.owner_id not in ("", me.instance_id):
        previous = PreviousOwner(instance_id=row.owner_id, host=row.host, port=row.port)
        unmet.append(previous)
    return _build_row(me, epoch=row.epoch + 1, unmet=tuple(dict.fromkeys(unmet)))


def _build_row(
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
