"""Selection of a target worker for a task that is moved off its worker."""

from typing import TYPE_CHECKING

import numpy as np

from trefoilhook.placement.core import filter_rows
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import TaskState
from trefoilhook.placement.scoring import score_rows

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["find_move_target"]

_MS_PER_S = 1_000.0


def find_move_target(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> str | None:
    """Return another worker that admits a task, or None.

    Notes
    -----
    Examines at most ``sample_size`` consecutive rows, starting from a row that advances
    with time. Moves are rare, so no random generator is needed to vary the sample.
    """
    count = len(state.table.ids)
    start = int(now_ms / _MS_PER_S) % count
    rows = (start + np.arange(min(count, policy.sample_size))) % count
    rows = rows[rows != state.workers[task.worker_id].slot]
    rows = filter_rows(state, task.shape, rows)
    if not len(rows):
        return None
    scores = score_rows(state, task.shape, task.class_index, rows, policy)
    cost = np.where(scores.admissible, scores.cost, np.inf)
    best = int(cost.argmin())
    if cost[best] >= 0.0:
        return None
    return state.table.ids[int(rows[best])]
