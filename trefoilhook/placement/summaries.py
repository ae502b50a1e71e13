"""Capacity summaries exchanged between shards, used to spill tasks to other shards.

The size of a summary is bounded regardless of the size of the shard. A summary is only
a hint: the shard that receives a spilled task decides for itself and may refuse it.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs
import numpy as np

from trefoilhook.placement.resources import ZERO, Resources
from trefoilhook.placement.shapes import TaskShape
from trefoilhook.placement.table import ROOM_CORES, ROOM_OPEN

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["ShardSummary", "choose_spill", "summarize_shard"]

_MAX_WORKERS_LISTED = 8
_MAX_SUMMARY_AGE_MS = 10_000.0


@attrs.frozen(kw_only=True, slots=True)
class ShardSummary:
    """Free resources of a shard at a point in time.

    Parameters
    ----------
    shard : int
        Shard described.
    made_at_ms : float
        Creation time, in ms on the reader's clock.
    free_cores : float
        Total free cores on workers that accept new tasks.
    largest_capacity : Resources
        Largest capacity among the workers, for each resource separately.
    largest_free : tuple of Resources
        Free resources of the workers with the most free cores, at most eight.
    """

    shard: int
    created_at_ms: float
    free_cores: float
    largest_capacity: Resources
    largest_free: tuple[Resources, ...]


def summarize_shard(state: "ShardState", shard: int, now_ms: float) -> ShardSummary:
    """Summarize the free resources of a shard."""
    table = state.table
    count = len(table.ids)
    is_open = table.room[:count, ROOM_OPEN] > 0.0
    cores = np.where(is_open, table.room[:count, ROOM_CORES], 0.0)
    best_rows = np.argsort(-cores, kind="stable")[:_MAX_WORKERS_LISTED]
    largest_free = tuple(
        Resources(
            cores=float(cores[row]),
            memory_bytes=int(table.room[row, 1]),
            accelerators=int(table.room[row, 2]),
        )
        for row in best_rows
        if is_open[row]
    )
    sizes = list(state.capacities) or [ZERO]
    return ShardSummary(
        shard=shard,
        created_at_ms=now_ms,
        free_cores=float(np.maximum(cores, 0.0).sum()),
        largest_capacity=Resources(
            cores=max(size.cores for size in sizes),
            memory_bytes=max(size.memory_bytes for size in sizes),
            accelerators=max(size.accelerators for size in sizes),
        ),
        largest_free=largest_free,
    )


def choose_spill(
    task: TaskShape,
    summaries: Iterable[ShardSummary],
    now_ms: float,
    rng: np.random.Generator,
) -> int | None:
    """Choose a shard to spill a task to, or None.

    Notes
    -----
    Chooses at random, weighted by free cores, among the shards with a recent summary
    that lists a worker on which the task fits. Always choosing the shard with the most
    free cores would overload it, since all shards act on the same outdated summary.
    """
    recent = [
        summary
        for summary in summaries
        if now_ms - summary.created_at_ms <= _MAX_SUMMARY_AGE_MS
        and any(task.resources.fits_in(free) for free in summary.largest_free)
    ]
    weights = np.array([summary.free_cores for summary in recent])
    total = float(weights.sum())
    if total <= 0.0:
        return None
    return recent[int(rng.choice(len(recent), p=weights / total))].shard
