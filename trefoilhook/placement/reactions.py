"""Reactions to slowed services: throttling, eviction at a checkpoint and moves.

Reactions escalate one step at a time. A step requires several consecutive reports past
the target, all of them measured after the previous step had time to take effect. A
single late or noisy report therefore triggers nothing, and a step is not repeated
before its effect has been measured.
"""

import enum
from typing import TYPE_CHECKING

import attrs

from trefoilhook.placement.health import (
    begin_quarantine,
    end_quarantine,
    is_quarantine_over,
    needs_quarantine,
)
from trefoilhook.placement.moves import find_move_target
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import Earmark, TaskPhase, TaskState, WorkerState
from trefoilhook.placement.refresh import refresh_worker
from trefoilhook.placement.shapes import TaskKind, tolerated_excess
from trefoilhook.placement.victims import compute_stop_cost, is_evictable

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Reaction", "ReactionKind", "apply_reaction", "decide_reactions"]

_RELEASE_REPORTS = 3
_MIN_SLOPE = 1e-4


class ReactionKind(enum.Enum):
    """Kind of reaction."""

    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    CHECKPOINT_EVICT = "checkpoint and evict"
    MOVE = "move"
    QUARANTINE = "quarantine"
    RELEASE = "release"


@attrs.frozen(kw_only=True, slots=True)
class Reaction:
    """One reaction to be carried out.

    Parameters
    ----------
    kind : ReactionKind
        Kind of reaction.
    worker_id : str
        Worker concerned.
    task_id : str, optional
        Task concerned; None for quarantine and release.
    speed : float
        Fraction of full speed to run the task at, for throttle and unthrottle.
    target_worker_id : str, optional
        Worker to start the task on after it is confirmed stopped, for a move.
    """

    kind: ReactionKind
    worker_id: str
    task_id: str | None = None
    speed: float = 1.0
    target_worker_id: str | None = None


def decide_reactions(
    state: "ShardState", now_ms: float, policy: Policy
) -> tuple[Reaction, ...]:
    """Decide the next reaction on every worker of the shard.

    Parameters
    ----------
    state : ShardState
        State of the shard; not changed.
    now_ms : float
        Time, in ms.
    policy : Policy
        Thresholds.

    Returns
    -------
    tuple of Reaction
        At most one reaction per worker. The caller carries each out and then passes
        it to :func:`apply_reaction`.
    """
    is_widespread = _is_slowdown_widespread(state, policy)
    steps = (
        _decide_for_worker(state, worker, now_ms, policy, is_widespread)
        for worker in state.workers.values()
    )
    return tuple(step for step in steps if step is not None)


def _is_slowdown_widespread(state: "ShardState", policy: Policy) -> bool:
    """Return whether services on many workers are past their target.

    Such a slowdown is not caused by a single co-located task and usually ends before
    an eviction would pay off. Only throttling is used then, as it is undone within a
    minute whereas an eviction loses work.
    """
    count = len(state.table.ids)
    past_target = float(state.table.late[:count].sum())
    return past_target >= max(2.0, policy.wave_fraction * count)


def _decide_for_worker(
    state: "ShardState",
    worker: WorkerState,
    now_ms: float,
    policy: Policy,
    is_widespread: bool,
) -> Reaction | None:
    worker_id = worker.shape.worker_id
    if is_quarantine_over(worker, now_ms):
        return Reaction(kind=ReactionKind.RELEASE, worker_id=worker_id)
    if needs_quarantine(worker, policy):
        return Reaction(kind=ReactionKind.QUARANTINE, worker_id=worker_id)
    service = _find_slowed_service(worker, policy)
    if service is not None:
        return _reduce_interference(
            state, worker, service, now_ms, policy, is_widespread
        )
    return _undo_throttling(state, worker, now_ms, policy)


def _find_slowed_service(worker: WorkerState, policy: Policy) -> TaskState | None:
    """Return the service furthest past its target in enough recent reports."""
    settled_at_ms = worker.acted_at_ms + policy.settle_ms
    worst: TaskState | None = None
    worst_ratio = 1.0
    for task in worker.residents.values():
        if task.shape.kind is not TaskKind.SERVICE:
            continue
        recent = list(task.samples)[-policy.confirm_reports :]
        if len(recent) < policy.confirm_reports:
            continue
        if recent[0].measured_at_ms < settled_at_ms:
            continue
        ratio = min(entry.slowdown - 1.0 for entry in recent) / tolerated_excess(
            task.shape
        )
        if ratio > worst_ratio:
            worst, worst_ratio = task, ratio
    return worst


def _reduce_interference(
    state: "ShardState",
    worker: WorkerState,
    service: TaskState,
    now_ms: float,
    policy: Policy,
    is_widespread: bool,
) -> Reaction | None:
    batch_task = _choose_task_to_throttle(state, worker, service, policy)
    if batch_task is not None:
        speed = batch_task.speed * policy.throttle_step
        return Reaction(
            kind=ReactionKind.THROTTLE,
            worker_id=worker.shape.worker_id,
            task_id=batch_task.shape.task_id,
            speed=max(speed, policy.throttle_floor),
        )
    if is_widespread or now_ms - worker.acted_at_ms < policy.evict_after_ms:
        return None
    victim = _choose_task_to_evict(state, worker, service, now_ms, policy)
    if victim is None:
        return None
    target = find_move_target(state, victim, now_ms, policy)
    kind = ReactionKind.CHECKPOINT_EVICT if target is None else ReactionKind.MOVE
    return Reaction(
        kind=kind,
        worker_id=worker.shape.worker_id,
        task_id=victim.shape.task_id,
        target_worker_id=target,
    )


def _predict_contribution(
    state: "ShardState", worker: WorkerState, service: TaskState, task: TaskState
) -> float:
    """Return the part of a service's excess that the model attributes to a task."""
    row, column = service.class_index, task.class_index
    load = float(state.table.load[worker.slot])
    slope = float(state.model.base_slope[row, column])
    slope += load * float(state.model.load_slope[row, column])
    share = task.expected_cores * task.speed / worker.shape.capacity.cores
    return max(slope, _MIN_SLOPE) * share


def _is_running_batch(task: TaskState) -> bool:
    return task.shape.kind is TaskKind.BATCH and task.phase is TaskPhase.RUNNING


def _choose_task_to_throttle(
    state: "ShardState", worker: WorkerState, service: TaskState, policy: Policy
) -> TaskState | None:
    candidates = [
        task
        for task in worker.residents.values()
        if _is_running_batch(task)
        and not task.shape.urgent
        and task.speed > policy.throttle_floor
    ]
    if not candidates:
        return None
    return max(
        candidates, key=lambda task: _predict_contribution(state, worker, service, task)
    )


def _choose_task_to_evict(
    state: "ShardState",
    worker: WorkerState,
    service: TaskState,
    now_ms: float,
    policy: Policy,
) -> TaskState | None:
    candidates = [
        task
        for task in worker.residents.values()
        if is_evictable(state, task, now_ms, policy)
    ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda task: (
            _predict_contribution(state, worker, service, task)
            / compute_stop_cost(state, task, now_ms, policy)
        ),
    )


def _undo_throttling(
    state: "ShardState", worker: WorkerState, now_ms: float, policy: Policy
) -> Reaction | None:
    throttled = [
        task
        for task in worker.residents.values()
        if task.speed < 1.0 and task.phase is TaskPhase.RUNNING
    ]
    if not throttled or now_ms - worker.acted_at_ms < policy.release_after_ms:
        return None
    services = [
        task
        for task in worker.residents.values()
        if task.shape.kind is TaskKind.SERVICE
    ]
    if not all(_is_below_release_limit(task, policy) for task in services):
        return None
    task = min(
        throttled,
        key=lambda candidate: _sum_contributions(state, worker, services, candidate),
    )
    return Reaction(
        kind=ReactionKind.UNTHROTTLE,
        worker_id=worker.shape.worker_id,
        task_id=task.shape.task_id,
        speed=min(1.0, task.speed / policy.throttle_step),
    )


def _is_below_release_limit(task: TaskState, policy: Policy) -> bool:
    limit = policy.release_ratio * tolerated_excess(task.shape)
    recent = list(task.samples)[-_RELEASE_REPORTS:]
    return all(entry.slowdown - 1.0 <= limit for entry in recent)


def _sum_contributions(
    state: "ShardState",
    worker: WorkerState,
    services: list[TaskState],
    task: TaskState,
) -> float:
    return sum(
        _predict_contribution(state, worker, service, task) for service in services
    )


def apply_reaction(
    state: "ShardState", reaction: Reaction, now_ms: float, policy: Policy
) -> None:
    """Record in the state that a reaction is being carried out.

    Parameters
    ----------
    state : ShardState
        State to change.
    reaction : Reaction
        Reaction being carried out.
    now_ms : float
        Time, in ms.
    policy : Policy
        Durations of quarantines and earmarks.
    """
    worker = state.workers[reaction.worker_id]
    if reaction.kind is ReactionKind.QUARANTINE:
        begin_quarantine(worker, now_ms, policy)
        refresh_worker(state, worker)
        return
    if reaction.kind is ReactionKind.RELEASE:
        end_quarantine(worker)
        refresh_worker(state, worker)
        return
    worker.acted_at_ms = now_ms
    task = state.tasks[str(reaction.task_id)]
    if reaction.kind in (ReactionKind.THROTTLE, ReactionKind.UNTHROTTLE):
        state.set_speed(task.shape.task_id, reaction.speed, now_ms)
        return
    state.record_eviction(task, now_ms)
    state.begin_stop(task.shape.task_id)
    if reaction.target_worker_id is not None:
        state.add_earmark(
            Earmark(
                task_id=task.shape.task_id,
                worker_id=reaction.target_worker_id,
                resources=task.shape.resources,
                expires_at_ms=now_ms + policy.earmark_ms,
            )
        )
