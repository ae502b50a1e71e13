"""What a team's tasks may hold together."""

from collections.abc import Callable

import attrs

from trefoilhook.placement import ZERO, Resources, ShardState, TaskShape

__all__ = ["FindQuota", "TeamUsage", "is_within_quota", "split_quota"]

FindQuota = Callable[[str], Resources | None]


@attrs.define(kw_only=True)
class TeamUsage:
    """What the teams hold in one shard, counted once a step.

    Tasks that were told to stop count until they are proved stopped.
    """

    _held: dict[str, Resources] = attrs.field(factory=dict)

    @classmethod
    def count(cls, placement: ShardState) -> "TeamUsage":
        """Count what every team's tasks hold now."""
        usage = cls()
        for task in placement.tasks.values():
            usage.add(task.shape)
        return usage

    def add(self, shape: TaskShape) -> None:
        """Count one more task."""
        self._held[shape.team] = self.get(shape.team).plus(shape.resources)

    def get(self, team: str) -> Resources:
        """Return what a team holds."""
        return self._held.get(team, ZERO)


def is_within_quota(
    usage: TeamUsage, shape: TaskShape, quota: Resources | None
) -> bool:
    """Tell whether a team may hold one more task.

    Parameters
    ----------
    usage : TeamUsage
        What the teams hold.
    shape : TaskShape
        The task that wants to start.
    quota : Resources or None
        Most that the team may hold in this shard; None for no limit.
    """
    if quota is None:
        return True
    return usage.get(shape.team).plus(shape.resources).fits_in(quota)


def split_quota(quota: Resources, shards: int) -> Resources:
    """Return one shard's part of a quota; the parts never add up to more."""
    return Resources(
        cores=quota.cores / shards,
        memory_bytes=quota.memory_bytes // shards,
        accelerators=quota.accelerators // shards,
    )
