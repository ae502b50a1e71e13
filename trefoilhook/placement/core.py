"""Placement of a single task."""

from typing import TYPE_CHECKING

import numpy as np
import numpy.typing as npt

from trefoilhook.placement.decisions import Decision, Placement, Wait, WaitReason
from trefoilhook.placement.feasibility import check_feasibility
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
    """Decide whether and where a task is placed.

    Parameters
    ----------
    state : ShardState
        State of the shard; not modified, except that a new task class gets an index.
    task : TaskShape
        Task to place.
    now_ms : float
        Time, in ms.
    rng : numpy.random.Generator
        Generator used to sample workers.
    policy : Policy
        Weights and thresholds.
    score : Scorer, optional
        Scores the workers with enough free resources.

    Returns
    -------
    Placement, Wait, Impossible or Preempt
        Decision about the task.
    """
    impossible = check_feasibility(state, task, policy)
    if impossible is not None:
        return impossible
    earmark = state.earmarks.get(task.task_id)
    if earmark is not None and now_ms < earmark.expires_at_ms:
        return _place_on_earmark(state, task, earmark.worker_id)
    if not state.table.ids:
        return Wait(reason=WaitReason.NO_WORKER, considered=0)
    sampled = sample_rows(len(state.table.ids), rng, policy)
    rows = filter_rows(state, task, sampled)
    if len(rows):
        class_index = index_class(state, task.task_class)
        scores = score(state, task, class_index, rows, policy)
        return _choose_worker(state, task, rows, scores)
    if task.urgent:
        return decide_preemption(state, task, sampled, now_ms, policy)
    return Wait(reason=WaitReason.INSUFFICIENT_CAPACITY, considered=0)


def sample_rows(count: int, rng: np.random.Generator, policy: Policy) -> Rows:
    """Return all rows, or a random sample if there are more than ``sample_size``."""
    if count <= policy.sample_size:
        return np.arange(count)
    return rng.integers(0, count, size=policy.sample_size)


def filter_rows(state: "ShardState", task: TaskShape, rows: Rows) -> Rows:
    """Return the rows that accept new tasks and have enough free resources."""
    table, requested = state.table, task.resources
    required = (requested.cores, requested.memory_bytes, requested.accelerators, 1.0)
    fits = (table.room.take(rows, axis=0) >= required).all(axis=1)
    history = state.histories.get(task.task_id)
    if history is not None and history.failed_on:
        ids = state.table.ids
        fits &= np.array([ids[row] not in history.failed_on for row in rows])
    feasible: Rows = rows[fits]
    return feasible


def _choose_worker(
    state: "ShardState", task: TaskShape, rows: Rows, scores: Scores
) -> Placement | Wait:
    must_start = task.urgent or task.kind is TaskKind.SERVICE
    cost = scores.cost
    if not must_start:
        cost = np.where(scores.admissible, cost, np.inf)
    best = int(cost.argmin())
    min_cost = float(cost[best])
    if not must_start and min_cost >= 0.0:
        blocked = min_cost == np.inf
        reason = WaitReason.INTERFERENCE if blocked else WaitReason.NO_NET_BENEFIT
        return Wait(reason=reason, considered=len(rows))
    return Placement(
        worker_id=state.table.ids[int(rows[best])],
        cost=min_cost,
        predicted_excess=float(scores.excess[best]),
        considered=len(rows),
    )


def _place_on_earmark(
    state: "ShardState", task: TaskShape, worker_id: str
) -> Placement | Wait:
    worker = state.workers[worker_id]
    free: Resources = worker.shape.capacity.minus(worker.reserved)
    if not task.resources.fits_in(free):
        return Wait(reason=WaitReason.VICTIMS_STOPPING, considered=1)
    return Placement(worker_id=worker_id, cost=0.0, predicted_excess=0.0, considered=1)
