"""The main decision: where a task goes, or why it goes nowhere."""

from typing import TYPE_CHECKING

import numpy as np
import numpy.typing as npt

from trefoilhook.placement.decisions import Decision, Placement, Wait, WaitReason
from trefoilhook.placement.feasibility import find_impossible
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.preemption import decide_preemption
from trefoilhook.placement.refresh import index_class
from trefoilhook.placement.resources import Resources
from trefoilhook.placement.scoring import Scorer, Scores, score_rows
from trefoilhook.placement.shapes import TaskKind, TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["decide_placement", "filter_rows", "sample_rows"]

Rows = npt.NDArray[np.intp]


def decide_placement(
    state: "ShardState",
    task: TaskShape,
    now_ms: float,
    rng: np.random.Generator,
    policy: Policy,
    *,
    score: Scorer = score_rows,
) -> Decision:
    """Decide where a task goes.

    Parameters
    ----------
    state : ShardState
        State of the shard; not changed, but for a new task class's index.
    task : TaskShape
        Task that wants to start.
    now_ms : float
        Time, in ms.
    rng : numpy.random.Generator
        Draws the workers that are looked at.
    policy : Policy
        Weights and thresholds.
    score : Scorer, optional
        Compares workers that have room.

    Returns
    -------
    Placement, Wait, Impossible or Preempt
        What to do with the task.
    """
    impossible = find_impossible(state, task, policy)
    if impossible is not None:
        return impossible
    earmark = state.earmarks.get(task.task_id)
    if earmark is not None and now_ms < earmark.until_ms:
        return _use_earmark(state, task, earmark.worker_id)
    if not state.table.ids:
        return Wait(reason=WaitReason.NO_WORKER, considered=0)
    sampled = sample_rows(len(state.table.ids), rng, policy)
    rows = filter_rows(state, task, sampled)
    if len(rows):
        class_index = index_class(state, task.task_class)
        scores = score(state, task, class_index, rows, policy)
        return _choose(state, task, rows, scores)
    if task.urgent:
        return decide_preemption(state, task, sampled, now_ms, policy)
    return Wait(reason=WaitReason.NO_ROOM, considered=0)


def sample_rows(count: int, rng: np.random.Generator, policy: Policy) -> Rows:
    """Draw the rows that one decision looks at: all, or a bounded sample."""
    if count <= policy.sample_size:
        return np.arange(count)
    return rng.integers(0, count, size=policy.sample_size)


def filter_rows(state: "ShardState", task: TaskShape, rows: Rows) -> Rows:
    """Keep the rows that are open and have room for a task."""
    table, wanted = state.table, task.resources
    least = (wanted.cores, wanted.memory_bytes, wanted.accelerators, 1.0)
    fits = (table.room.take(rows, axis=0) >= least).all(axis=1)
    history = state.histories.get(task.task_id)
    if history is not None and history.failed_on:
        ids = state.table.ids
        fits &= np.array([ids[row] not in history.failed_on for row in rows])
    kept: Rows = rows[fits]
    return kept


def _choose(
    state: "ShardState", task: TaskShape, rows: Rows, scores: Scores
) -> Placement | Wait:
    must_start = task.urgent or task.kind is TaskKind.SERVICE
    cost = scores.cost
    if not must_start:
        cost = np.where(scores.admissible, cost, np.inf)
    best = int(cost.argmin())
    least = float(cost[best])
    if not must_start and least >= 0.0:
        blocked = least == np.inf
        reason = WaitReason.INTERFERENCE if blocked else WaitReason.NOT_WORTH
        return Wait(reason=reason, considered=len(rows))
    return Placement(
        worker_id=state.table.ids[int(rows[best])],
        cost=least,
        predicted_excess=float(scores.excess[best]),
        considered=len(rows),
    )


def _use_earmark(
    state: "ShardState", task: TaskShape, worker_id: str
) -> Placement | Wait:
    worker = state.workers[worker_id]
    room: Resources = worker.shape.capacity.minus(worker.reserved)
    if not task.resources.fits_in(room):
        return Wait(reason=WaitReason.VICTIMS_STOPPING, considered=1)
    return Placement(worker_id=worker_id, cost=0.0, predicted_excess=0.0, considered=1)
