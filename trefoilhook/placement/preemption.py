"""Preemption: frees resources for urgent tasks by stopping batch tasks."""

from typing import TYPE_CHECKING

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.decisions import Preempt, Wait, WaitReason
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import Earmark, TaskState, WorkerState
from trefoilhook.placement.resources import Resources
from trefoilhook.placement.shapes import TaskShape
from trefoilhook.placement.table import ROOM_CORES, ROOM_OPEN
from trefoilhook.placement.victims import (
    RESTART_COST_MS,
    compute_stop_cost,
    is_preemptible,
)

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["begin_preemption", "decide_preemption"]

_MAX_WORKERS_EVALUATED = 8
_GAIN_EPSILON = 1e-9


@attrs.frozen(kw_only=True, slots=True)
class _VictimSet:
    cost: float
    worker_id: str
    victims: tuple[TaskState, ...]


def decide_preemption(
    state: "ShardState",
    task: TaskShape,
    rows: npt.NDArray[np.intp],
    now_ms: float,
    policy: Policy,
) -> Preempt | Wait:
    """Choose the worker whose victims are cheapest to stop.

    Parameters
    ----------
    state : ShardState
        State of the shard; not changed.
    task : TaskShape
        Urgent task.
    rows : array of int
        Sampled rows, of which a bounded number is evaluated.
    now_ms : float
        Time, in ms.
    policy : Policy
        Weights and thresholds.

    Returns
    -------
    Preempt or Wait
        Tasks to stop, or Wait if no sampled worker can free enough resources.
    """
    best: _VictimSet | None = None
    evaluated = 0
    for row in _order_by_free_cores(state, rows):
        worker = state.workers[state.table.ids[row]]
        candidate = _choose_victims(state, worker, task, now_ms, policy)
        if candidate is None:
            continue
        evaluated += 1
        if best is None or candidate.cost < best.cost:
            best = candidate
        if evaluated >= _MAX_WORKERS_EVALUATED:
            break
    if best is None:
        return Wait(reason=WaitReason.INSUFFICIENT_CAPACITY, considered=len(rows))
    return Preempt(
        worker_id=best.worker_id,
        victims=tuple(victim.shape.task_id for victim in best.victims),
        expected_loss_ms=RESTART_COST_MS * len(best.victims),
    )


def begin_preemption(
    state: "ShardState",
    task: TaskShape,
    decision: Preempt,
    now_ms: float,
    policy: Policy,
) -> None:
    """Mark the victims as stopping and earmark their resources for the urgent task.

    Notes
    -----
    Without the earmark, the next batch task in the queue could take the resources of
    one victim while others are still stopping, and the urgent task would have to
    preempt repeatedly.
    """
    for task_id in decision.victims:
        victim = state.tasks[task_id]
        state.record_eviction(victim, now_ms)
        state.begin_stop(task_id)
    state.add_earmark(
        Earmark(
            task_id=task.task_id,
            worker_id=decision.worker_id,
            resources=task.resources,
            expires_at_ms=now_ms + policy.earmark_ms,
        )
    )


def _order_by_free_cores(state: "ShardState", rows: npt.NDArray[np.intp]) -> list[int]:
    table = state.table
    free_cores = np.where(
        table.room[rows, ROOM_OPEN] > 0.0, table.room[rows, ROOM_CORES], -np.inf
    )
    return [int(row) for row in rows[np.argsort(-free_cores, kind="stable")]]


def _choose_victims(
    state: "ShardState",
    worker: WorkerState,
    task: TaskShape,
    now_ms: float,
    policy: Policy,
) -> _VictimSet | None:
    if worker.is_removed or worker.health.quarantined_until_ms is not None:
        return None
    shortfall = _compute_shortfall(worker, task.resources)
    candidates = [
        resident for resident in worker.residents.values() if is_preemptible(resident)
    ]
    costs = {
        resident.shape.task_id: compute_stop_cost(state, resident, now_ms, policy)
        for resident in candidates
    }
    candidates.sort(
        key=lambda resident: (
            costs[resident.shape.task_id] / _compute_gain(resident, shortfall)
        )
    )
    chosen: list[TaskState] = []
    for victim in candidates:
        if _is_covered(shortfall):
            break
        if _compute_gain(victim, shortfall) > _GAIN_EPSILON:
            chosen.append(victim)
            shortfall = shortfall.minus(victim.shape.resources)
    if not _is_covered(shortfall) or not chosen:
        return None
    cost = sum(costs[resident.shape.task_id] for resident in chosen)
    return _VictimSet(
        cost=cost, worker_id=worker.shape.worker_id, victims=tuple(chosen)
    )


def _compute_shortfall(worker: WorkerState, requested: Resources) -> Resources:
    shortfall = requested.minus(worker.shape.capacity.minus(worker.reserved))
    for earmark in worker.earmarks.values():
        shortfall = shortfall.plus(earmark.resources)
    return shortfall


def _is_covered(shortfall: Resources) -> bool:
    return (
        shortfall.cores <= 0
        and shortfall.memory_bytes <= 0
        and shortfall.accelerators <= 0
    )


def _compute_gain(victim: TaskState, shortfall: Resources) -> float:
    """Return the sum, over resources, of the part of the shortfall a victim covers."""
    size = victim.shape.resources
    gain = _GAIN_EPSILON
    if shortfall.cores > 0:
        gain += min(size.cores / shortfall.cores, 1.0)
    if shortfall.memory_bytes > 0:
        gain += min(size.memory_bytes / shortfall.memory_bytes, 1.0)
    if shortfall.accelerators > 0:
        gain += min(size.accelerators / shortfall.accelerators, 1.0)
    return gain
