"""What is done when services are slowed: throttle, checkpoint and evict, or move.

The ladder is climbed one step at a time. A step needs reports in a row past the
target, all of them measured after the last step had time to act; so one late or noisy
report does nothing, and a step is not repeated for want of news of its effect.
"""

import enum
from typing import TYPE_CHECKING

import attrs

from trefoilhook.placement.health import (
    begin_quarantine,
    end_quarantine,
    needs_quarantine,
    quarantine_is_over,
)
from trefoilhook.placement.moves import find_target
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import Earmark, TaskPhase, TaskState, WorkerState
from trefoilhook.placement.refresh import refresh_worker
from trefoilhook.placement.shapes import TaskKind, bearable_excess
from trefoilhook.placement.victims import may_evict, weigh_victim

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Reaction", "ReactionKind", "apply_reaction", "decide_reactions"]

_CALM_REPORTS = 3
_LEAST_HARM = 1e-4


class ReactionKind(enum.Enum):
    """What is done."""

    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    CHECKPOINT_EVICT = "checkpoint and evict"
    MOVE = "move"
    QUARANTINE = "quarantine"
    RELEASE = "release"


@attrs.frozen(kw_only=True, slots=True)
class Reaction:
    """One step to be taken.

    Parameters
    ----------
    kind : ReactionKind
        What to do.
    worker_id : str
        Worker that it concerns.
    task_id : str, optional
        Task that it concerns; none for quarantine and release.
    speed : float
        Part of full speed to run the task at, for throttling and its undoing.
    target_worker_id : str, optional
        Worker to start the task on once it is proved stopped, for a move.
    """

    kind: ReactionKind
    worker_id: str
    task_id: str | None = None
    speed: float = 1.0
    target_worker_id: str | None = None


def decide_reactions(
    state: "ShardState", now_ms: float, policy: Policy
) -> tuple[Reaction, ...]:
    """Decide the next steps on every worker of the shard.

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
        At most one step for each worker; carry each out, then hand it to
        :func:`apply_reaction`.
    """
    wave = _is_wave(state, policy)
    steps = (
        _decide_for_worker(state, worker, now_ms, policy, wave)
        for worker in state.workers.values()
    )
    return tuple(step for step in steps if step is not None)


def _is_wave(state: "ShardState", policy: Policy) -> bool:
    """Tell whether so many workers are late that the cause is not one neighbour.

    Guards against a wave of noise becoming a wave of evictions: throttling is undone
    in a minute, an eviction is not, and the wave is over before it would have paid.
    """
    count = len(state.table.ids)
    late = float(state.table.late[:count].sum())
    return late >= max(2.0, policy.wave_fraction * count)


def _decide_for_worker(
    state: "ShardState",
    worker: WorkerState,
    now_ms: float,
    policy: Policy,
    wave: bool,
) -> Reaction | None:
    worker_id = worker.shape.worker_id
    if quarantine_is_over(worker, now_ms):
        return Reaction(kind=ReactionKind.RELEASE, worker_id=worker_id)
    if needs_quarantine(worker, policy):
        return Reaction(kind=ReactionKind.QUARANTINE, worker_id=worker_id)
    sufferer = _find_sufferer(worker, policy)
    if sufferer is not None:
        return _relieve(state, worker, sufferer, now_ms, policy, wave)
    return _relax(state, worker, now_ms, policy)


def _find_sufferer(worker: WorkerState, policy: Policy) -> TaskState | None:
    """Return the service that is worst past its target by fresh, repeated reports."""
    fresh_ms = worker.acted_at_ms + policy.settle_ms
    worst: TaskState | None = None
    worst_ratio = 1.0
    for task in worker.residents.values():
        if task.shape.kind is not TaskKind.SERVICE:
            continue
        last = list(task.samples)[-policy.confirm_reports :]
        if len(last) < policy.confirm_reports:
            continue
        if last[0].measured_at_ms < fresh_ms:
            continue
        ratio = min(entry.slowdown - 1.0 for entry in last) / bearable_excess(
            task.shape
        )
        if ratio > worst_ratio:
            worst, worst_ratio = task, ratio
    return worst


def _relieve(
    state: "ShardState",
    worker: WorkerState,
    sufferer: TaskState,
    now_ms: float,
    policy: Policy,
    wave: bool,
) -> Reaction | None:
    throttled = _choose_throttled(state, worker, sufferer, policy)
    if throttled is not None:
        speed = throttled.speed * policy.throttle_step
        return Reaction(
            kind=ReactionKind.THROTTLE,
            worker_id=worker.shape.worker_id,
            task_id=throttled.shape.task_id,
            speed=max(speed, policy.throttle_floor),
        )
    if wave or now_ms - worker.acted_at_ms < policy.evict_after_ms:
        return None
    victim = _choose_evicted(state, worker, sufferer, now_ms, policy)
    if victim is None:
        return None
    target = find_target(state, victim, now_ms, policy)
    kind = ReactionKind.CHECKPOINT_EVICT if target is None else ReactionKind.MOVE
    return Reaction(
        kind=kind,
        worker_id=worker.shape.worker_id,
        task_id=victim.shape.task_id,
        target_worker_id=target,
    )


def _measure_harm(
    state: "ShardState", worker: WorkerState, sufferer: TaskState, task: TaskState
) -> float:
    """Return how much of the sufferer's excess the model lays on a task."""
    row, column = sufferer.class_index, task.class_index
    load = float(state.table.load[worker.slot])
    slope = float(state.model.constant[row, column])
    slope += load * float(state.model.loaded[row, column])
    share = task.expected_cores * task.speed / worker.shape.capacity.cores
    return max(slope, _LEAST_HARM) * share


def _is_running_batch(task: TaskState) -> bool:
    return task.shape.kind is TaskKind.BATCH and task.phase is TaskPhase.RUNNING


def _choose_throttled(
    state: "ShardState", worker: WorkerState, sufferer: TaskState, policy: Policy
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
        candidates, key=lambda task: _measure_harm(state, worker, sufferer, task)
    )


def _choose_evicted(
    state: "ShardState",
    worker: WorkerState,
    sufferer: TaskState,
    now_ms: float,
    policy: Policy,
) -> TaskState | None:
    candidates = [
        task
        for task in worker.residents.values()
        if may_evict(state, task, now_ms, policy)
    ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda task: (
            _measure_harm(state, worker, sufferer, task)
            / weigh_victim(state, task, now_ms, policy)
        ),
    )


def _relax(
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
    if not all(_is_calm(task, policy) for task in services):
        return None
    task = min(throttled, key=lambda held: _sum_harm(state, worker, services, held))
    return Reaction(
        kind=ReactionKind.UNTHROTTLE,
        worker_id=worker.shape.worker_id,
        task_id=task.shape.task_id,
        speed=min(1.0, task.speed / policy.throttle_step),
    )


def _is_calm(task: TaskState, policy: Policy) -> bool:
    limit = policy.release_ratio * bearable_excess(task.shape)
    last = list(task.samples)[-_CALM_REPORTS:]
    return all(entry.slowdown - 1.0 <= limit for entry in last)


def _sum_harm(
    state: "ShardState",
    worker: WorkerState,
    services: list[TaskState],
    task: TaskState,
) -> float:
    return sum(_measure_harm(state, worker, service, task) for service in services)


def apply_reaction(
    state: "ShardState", reaction: Reaction, now_ms: float, policy: Policy
) -> None:
    """Note in the state that a reaction is being carried out.

    Parameters
    ----------
    state : ShardState
        State to change.
    reaction : Reaction
        Step taken.
    now_ms : float
        Time, in ms.
    policy : Policy
        Length of a quarantine.
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
        state.keep_room(
            Earmark(
                task_id=task.shape.task_id,
                worker_id=reaction.target_worker_id,
                resources=task.shape.resources,
                until_ms=now_ms + policy.earmark_ms,
            )
        )
