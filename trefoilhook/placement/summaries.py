"""What shards tell each other, so that work can spill to where there is room.

A summary has a fixed size whatever the shard holds. It is a hint: the shard that a
task spills to decides for itself and may refuse.
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

_OFFERED = 8
_OLDEST_MS = 10_000.0


@attrs.frozen(kw_only=True, slots=True)
class ShardSummary:
    """Room in a shard, as of a time.

    Parameters
    ----------
    shard : int
        Shard described.
    made_at_ms : float
        When it was made, in ms on the reader's clock.
    free_cores : float
        Cores free on open workers, in all.
    largest_capacity : Resources
        Largest worker, part by part.
    rooms : tuple of Resources
        Room on the emptiest open workers, at most eight.
    """

    shard: int
    made_at_ms: float
    free_cores: float
    largest_capacity: Resources
    rooms: tuple[Resources, ...]


def summarize_shard(state: "ShardState", shard: int, now_ms: float) -> ShardSummary:
    """Summarize a shard's room in a bounded size."""
    table = state.table
    count = len(table.ids)
    is_open = table.room[:count, ROOM_OPEN] > 0.0
    cores = np.where(is_open, table.room[:count, ROOM_CORES], 0.0)
    emptiest = np.argsort(-cores, kind="stable")[:_OFFERED]
    rooms = tuple(
        Resources(
            cores=float(cores[row]),
            memory_bytes=int(table.room[row, 1]),
            accelerators=int(table.room[row, 2]),
        )
        for row in emptiest
        if is_open[row]
    )
    sizes = list(state.capacities) or [ZERO]
    return ShardSummary(
        shard=shard,
        made_at_ms=now_ms,
        free_cores=float(np.maximum(cores, 0.0).sum()),
        largest_capacity=Resources(
            cores=max(size.cores for size in sizes),
            memory_bytes=max(size.memory_bytes for size in sizes),
            accelerators=max(size.accelerators for size in sizes),
        ),
        rooms=rooms,
    )


def choose_spill(
    task: TaskShape,
    summaries: Iterable[ShardSummary],
    now_ms: float,
    rng: np.random.Generator,
) -> int | None:
    """Choose a shard to offer a task to, or none.

    Notes
    -----
    Guards against a herd: if every shard offered to the emptiest one, it would be
    flooded on the strength of one old summary. The draw is by free cores among the
    shards whose summary is fresh and shows a room that fits.
    """
    fresh = [
        summary
        for summary in summaries
        if now_ms - summary.made_at_ms <= _OLDEST_MS
        and any(task.resources.fits_in(room) for room in summary.rooms)
    ]
    weights = np.array([summary.free_cores for summary in fresh])
    total = float(weights.sum())
    if total <= 0.0:
        return None
    return fresh[int(rng.choice(len(fresh), p=weights / total))].shard
