"""Tenures of the owners of the shard, from log lines."""

from collections.abc import Iterable

import attrs

from trefoilhook.story import LogLine

__all__ = ["Tenure", "list_tenures"]

_FIRST_EVENTS = frozenset({"JOB_IDLE", "SHARD_CLAIMED", "TASK_WAITS"})
"""Events by which an owner is known. The others serve logs without the claim."""

_LAST_EVENTS = frozenset({"SHARD_RELEASED", "SHARD_FENCED", "LEASE_LOST"})


@attrs.define(kw_only=True)
class Tenure:
    """Time for which an instance owned the shard.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    instance : str
        Instance that was the owner.
    began_s : float
        When it claimed the shard, in s since the Unix epoch.
    ended_s : float
        When it gave the shard up, or else its last line before the next claim, in s
        since the Unix epoch; infinite for the last owner.
    """

    epoch: int
    instance: str
    began_s: float
    ended_s: float = float("inf")


def list_tenures(ordered: Iterable[LogLine]) -> list[Tenure]:
    """List the tenures found in log lines that are sorted by time."""
    tenures: list[Tenure] = []
    last_seen_s = 0.0
    for line in ordered:
        current = tenures[-1] if tenures else None
        if _is_first_line(line, current):
            if current is not None:
                current.ended_s = min(current.ended_s, last_seen_s)
            current = Tenure(
                epoch=line.fields["epoch"],
                instance=line.instance,
                began_s=line.time_s,
            )
            tenures.append(current)
        if current is None or line.instance != current.instance:
            continue
        if _is_last_line(line, current):
            current.ended_s = min(current.ended_s, line.time_s)
        elif line.event == "STARTED":
            # The process of the owner was replaced under the same name.
            current.ended_s = min(current.ended_s, last_seen_s)
        last_seen_s = line.time_s
    return tenures


def _is_first_line(line: LogLine, current: Tenure | None) -> bool:
    epoch = line.fields.get("epoch")
    if line.event not in _FIRST_EVENTS or not isinstance(epoch, int):
        return False
    return current is None or epoch > current.epoch


def _is_last_line(line: LogLine, current: Tenure) -> bool:
    return line.event in _LAST_EVENTS and line.fields.get("epoch") == current.epoch
