"""Resource quotas of teams within a shard."""

from collections.abc import Callable

import attrs

from trefoilhook.placement import ZERO, Resources, ShardState, TaskShape

__all__ = ["FindQuota", "TeamUsage", "is_within_quota", "split_quota"]

FindQuota = Callable[[str], Resources | None]


@attrs.define(kw_only=True)
class TeamUsage:
    """Resources in use by each team in a shard, computed once per placement pass.

    Tasks that are being stopped are counted until they are known to have stopped.
    """

    _held: dict[str, Resources] = attrs.field(factory=dict)

    @classmethod
    def count(cls, placement: ShardState) -> "TeamUsage":
        """Compute the current usage of all teams."""
        usage = cls()
        for task in placement.tasks.values():
            usage.add(task.shape)
        return usage

    def add(self, shape: TaskShape) -> None:
        """Add the resources of one task."""
        self._held[shape.team] = self.get(shape.team).plus(shape.resources)

    def get(self, team: str) -> Resources:
        """Return the resources in use by a team."""
        return self._held.get(team, ZERO)


def is_within_quota(
    usage: TeamUsage, shape: TaskShape, quota: Resources | None
) -> bool:
    """Return whether a team may start one more task.

    Parameters
    ----------
    usage : TeamUsage
        Current usage of the teams.
    shape : TaskShape
        Task to be started.
    quota : Resources or None
        Quota of the team in this shard; None for no limit.
    """
    if quota is None:
        return True
    return usage.get(shape.team).plus(shape.resources).fits_in(quota)


def split_quota(quota: Resources, shards: int) -> Resources:
    """Return the share of a quota per shard; the shares never exceed the quota."""
    return Resources(
        cores=quota.cores / shards,
        memory_bytes=quota.memory_bytes // shards,
        accelerators=quota.accelerators // shards,
    )
