"""Making room for urgent work by stopping batch tasks at a checkpoint."""

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
    is_preemptible,
    weigh_victim,
)

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["begin_preemption", "decide_preemption"]

_WORKERS_WEIGHED = 8
_FREE_ENOUGH = 1e-9


@attrs.frozen(kw_only=True, slots=True)
class _Choice:
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
    """Choose the worker whose victims cost least to stop.

    Parameters
    ----------
    state : ShardState
        State of the shard; not changed.
    task : TaskShape
        Urgent task.
    rows : array of int
        Rows that were sampled; a few of them are weighed.
    now_ms : float
        Time, in ms.
    policy : Policy
        Weights.

    Returns
    -------
    Preempt or Wait
        What to stop, or that nothing helps now.
    """
    best: _Choice | None = None
    weighed = 0
    for row in _order_by_room(state, rows):
        worker = state.workers[state.table.ids[row]]
        choice = _choose_victims(state, worker, task, now_ms, policy)
        if choice is None:
            continue
        weighed += 1
        if best is None or choice.cost < best.cost:
            best = choice
        if weighed >= _WORKERS_WEIGHED:
            break
    if best is None:
        return Wait(reason=WaitReason.NO_ROOM, considered=len(rows))
    return Preempt(
        worker_id=best.worker_id,
        victims=tuple(victim.shape.task_id for victim in best.victims),
        lost_ms=RESTART_COST_MS * len(best.victims),
    )


def begin_preemption(
    state: "ShardState",
    task: TaskShape,
    decision: Preempt,
    now_ms: float,
    policy: Policy,
) -> None:
    """Mark the victims as stopping and keep their room for the urgent task.

    Notes
    -----
    Guards against a race for freed room: without the earmark the next batch task in
    the queue takes what a victim leaves while others are still stopping, and the
    urgent task preempts again and again.
    """
    for task_id in decision.victims:
        victim = state.tasks[task_id]
        state.record_eviction(victim, now_ms)
        state.begin_stop(task_id)
    state.keep_room(
        Earmark(
            task_id=task.task_id,
            worker_id=decision.worker_id,
            resources=task.resources,
            until_ms=now_ms + policy.earmark_ms,
        )
    )


def _order_by_room(state: "ShardState", rows: npt.NDArray[np.intp]) -> list[int]:
    table = state.table
    room = np.where(
        table.room[rows, ROOM_OPEN] > 0.0, table.room[rows, ROOM_CORES], -np.inf
    )
    return [int(row) for row in rows[np.argsort(-room, kind="stable")]]


def _choose_victims(
    state: "ShardState",
    worker: WorkerState,
    task: TaskShape,
    now_ms: float,
    policy: Policy,
) -> _Choice | None:
    if worker.withdrawn or worker.health.quarantined_until_ms is not None:
        return None
    missing = _find_missing(worker, task.resources)
    candidates = [held for held in worker.residents.values() if is_preemptible(held)]
    weights = {
        held.shape.task_id: weigh_victim(state, held, now_ms, policy)
        for held in candidates
    }
    candidates.sort(key=lambda held: weights[held.shape.task_id] / _gain(held, missing))
    chosen: list[TaskState] = []
    for held in candidates:
        if _is_met(missing):
            break
        if _gain(held, missing) > _FREE_ENOUGH:
            chosen.append(held)
            missing = missing.minus(held.shape.resources)
    if not _is_met(missing) or not chosen:
        return None
    cost = sum(weights[held.shape.task_id] for held in chosen)
    return _Choice(cost=cost, worker_id=worker.shape.worker_id, victims=tuple(chosen))


def _find_missing(worker: WorkerState, wanted: Resources) -> Resources:
    missing = wanted.minus(worker.shape.capacity.minus(worker.reserved))
    for mark in worker.earmarks.values():
        missing = missing.plus(mark.resources)
    return missing


def _is_met(missing: Resources) -> bool:
    return (
        missing.cores <= 0 and missing.memory_bytes <= 0 and missing.accelerators <= 0
    )


def _gain(held: TaskState, missing: Resources) -> float:
    """Return what part of the missing room a victim would free."""
    size = held.shape.resources
    gain = _FREE_ENOUGH
    if missing.cores > 0:
        gain += min(size.cores / missing.cores, 1.0)
    if missing.memory_bytes > 0:
        gain += min(size.memory_bytes / missing.memory_bytes, 1.0)
    if missing.accelerators > 0:
        gain += min(size.accelerators / missing.accelerators, 1.0)
    return gain
