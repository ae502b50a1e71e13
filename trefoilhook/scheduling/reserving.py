"""Reserves workers for displaced service tasks and releases them."""

import heapq

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import is_open
from trefoilhook.scheduling.reservations import Reservation, ReservationReason
from trefoilhook.scheduling.rounds import AssignmentRound
from trefoilhook.scheduling.tickets import name_step

__all__ = ["reserve_workers", "update_reservations"]

_MAX_WORKER_SHARE = 0.1
"""Maximum fraction of a service's workers that is reserved at a time, so that other
tasks find workers."""

_MAX_PER_STEP = 4
"""Maximum number of workers that are reserved for one step at a time, so that other
steps can have reservations."""

_HORIZON_MS = 2000.0
"""Maximum expected time until a reserved worker has the capacity, in ms. What is free
there stays idle until then, and callers of other tasks would notice a longer wait."""

_OVERDUE_SHARE = 0.25
"""Minimum expected remaining time of a run, as a fraction of its run time. It applies
to runs that are close to their estimate or exceed it."""

_OVERDUE_DELAY_MS = 500.0
"""Delay after the due time from which a reservation is overdue, in ms. Ends of tasks
are known only after the next poll."""

_RETRY_DELAY_MS = 250.0
"""Delay before a step without a suitable worker is tried again, in ms. It bounds the
cost of searches."""

_MAX_SEARCHES_PER_ROUND = 3
"""Maximum number of steps for which one round searches all workers."""


def update_reservations(scheduler: Scheduler, now_ms: float) -> None:
    """End the reservations that no longer apply, and update the others for a round."""
    reservations = scheduler.reservations
    if not reservations.count:
        return
    for reservation in list(reservations.by_worker.values()):
        worker = scheduler.workers.get(reservation.worker_id)
        reason = _find_end(scheduler, worker, reservation, now_ms)
        if reason is None and worker is not None:
            _update_limits(scheduler, worker, reservation, now_ms)
        elif reason is not None:
            reservations.end(reservation, reason, now_ms)
            if worker is not None:
                worker.reservation = None


def reserve_workers(assignment_round: AssignmentRound, tasks: list[TaskState]) -> None:
    """Reserve workers for displaced service tasks that could not be placed.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round.
    tasks : list of TaskState
        Tasks of one step; those that were placed or have not run are ignored.
    """
    scheduler, now_ms = assignment_round.scheduler, assignment_round.now_ms
    reservations = scheduler.reservations
    # Cheap checks first: this is called for every step that cannot be placed.
    if (
        assignment_round.reservation_searches >= _MAX_SEARCHES_PER_ROUND
        or not _is_eligible(scheduler, tasks[0])
    ):
        return
    step = name_step(tasks[0].task)
    unplaced = [task for task in tasks if not task.attempts and task.may_have_run]
    if not unplaced or reservations.retry_ms.get(step, 0.0) > now_ms:
        return
    workers = assignment_round.list_open(tasks[0])
    available = int(_MAX_WORKER_SHARE * len(workers)) or 1
    available -= sum(worker.reservation is not None for worker in workers)
    count = min(
        min(len(unplaced), _MAX_PER_STEP) - reservations.count_step(step), available
    )
    if count <= 0:
        return
    assignment_round.reservation_searches += 1
    found = _find_workers(assignment_round, unplaced[0], count)
    if not found:
        reservations.retry_ms = {
            key: until_ms
            for key, until_ms in reservations.retry_ms.items()
            if until_ms > now_ms
        }
        reservations.retry_ms[step] = now_ms + _RETRY_DELAY_MS
    for free_ms, worker in found:
        reservation = _reserve(assignment_round, unplaced[0], worker, free_ms)
        reservations.begin(reservation, ReservationReason.DISPLACED)


def _is_eligible(scheduler: Scheduler, task: TaskState) -> bool:
    step = task.step
    return (
        step.long_running
        and not (step.filler or step.gang)
        and task.suspicion is None
        and scheduler.features.reservations
    )


def _reserve(
    assignment_round: AssignmentRound,
    task: TaskState,
    worker: Worker,
    free_ms: float,
) -> Reservation:
    scheduler = assignment_round.scheduler
    step = name_step(task.task)
    reservation = Reservation(
        step=step,
        worker_id=worker.report.worker_id,
        priority=task.job.priority,
        demand=task.step.room,
        begun_ms=assignment_round.now_ms,
        due_ms=free_ms,
        allows_backfill=not scheduler.reservations.has_been_overdue(
            step, assignment_round.now_ms
        ),
    )
    worker.reservation = reservation
    _update_limits(scheduler, worker, reservation, assignment_round.now_ms)
    return reservation


def _find_workers(
    assignment_round: AssignmentRound, task: TaskState, count: int
) -> list[tuple[float, Worker]]:
    """Return the workers that have capacity for a task first, with the times."""
    scheduler, now_ms = assignment_round.scheduler, assignment_round.now_ms
    found = [
        (
            worker.report.worker_id in task.shared.failed_on
            or worker.is_faulty(now_ms),
            free_ms,
            worker.report.worker_id,
        )
        for worker in assignment_round.list_candidates(task)
        if _may_reserve(worker, task)
        and (free_ms := _find_free_ms(scheduler, worker, task.step.room, now_ms))
        <= now_ms + _HORIZON_MS
    ]
    return [
        (free_ms, scheduler.workers[worker_id])
        for _, free_ms, worker_id in heapq.nsmallest(count, found)
    ]


def _may_reserve(worker: Worker, task: TaskState) -> bool:
    step = task.step
    if worker.reservation is not None:
        return False
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    return not (
        step.max_per_worker and worker.count_step(task.task) >= step.max_per_worker
    )


def _find_free_ms(
    scheduler: Scheduler, worker: Worker, demand: Demand, now_ms: float
) -> float:
    """Return when a worker is expected to have free capacity, in ms; infinite if never.

    Only runs with a known expected end are considered.
    """
    ends = sorted(
        (
            (_estimate_end(scheduler, run, now_ms), run.room)
            for run in worker.runs.values()
        ),
        key=lambda pair: pair[0],
    )
    free = _subtract(worker.report.capacity, _measure_held(worker))
    free_ms = now_ms
    for end_ms, room in ends:
        if free.covers(demand):
            break
        free_ms = end_ms
        free = _subtract(free, room, sign=-1)
    return free_ms if free.covers(demand) else float("inf")


def _estimate_end(scheduler: Scheduler, run: Run, now_ms: float) -> float:
    """Return when a run is expected to end, in ms; infinite if it is unknown."""
    if run.phase is RunPhase.STOPPING:
        return now_ms + scheduler.limits.longest_stop_ms
    state = scheduler.jobs.get(run.task.job_id)
    if state is None or run.task.step >= len(state.job.steps):
        return float("inf")
    step = state.job.steps[run.task.step]
    if step.long_running or step.estimate_ms <= 0.0 or run.pace <= 0:
        return float("inf")
    elapsed_ms = now_ms - run.started_ms
    left_ms = max(step.estimate_ms - elapsed_ms, _OVERDUE_SHARE * elapsed_ms)
    return now_ms + left_ms * 100.0 / run.pace


def _find_end(
    scheduler: Scheduler,
    worker: Worker | None,
    reservation: Reservation,
    now_ms: float,
) -> ReservationReason | None:
    """Return why a reservation ends now, or None if it continues."""
    waiting = _count_waiting(scheduler, reservation)
    if worker is not None and _has_started(worker, reservation):
        return ReservationReason.STARTED
    if waiting < scheduler.reservations.count_step(reservation.step):
        return ReservationReason.NOT_NEEDED
    if (
        worker is None
        or worker.reservation is not reservation
        or not is_open(worker, now_ms)
        or scheduler.evacuations.covers(worker)
        or not worker.report.capacity.covers(reservation.demand)
    ):
        return ReservationReason.UNUSABLE
    if now_ms > reservation.due_ms + _OVERDUE_DELAY_MS:
        return ReservationReason.OVERDUE
    return None


def _count_waiting(scheduler: Scheduler, reservation: Reservation) -> int:
    job_id, occurrence, step = reservation.step
    state = scheduler.jobs.get(job_id)
    if state is None or not state.is_open:
        return 0
    return sum(
        name.step == step
        and name.occurrence == occurrence
        and task in scheduler.waiting
        for name, task in state.tasks.items()
    )


def _has_started(worker: Worker, reservation: Reservation) -> bool:
    return any(
        name_step(run.task) == reservation.step
        and run.started_ms >= reservation.begun_ms
        for run in worker.runs.values()
    )


def _update_limits(
    scheduler: Scheduler, worker: Worker, reservation: Reservation, now_ms: float
) -> None:
    """Update the limits on other tasks on a reserved worker for this round."""
    due_ms = max(reservation.due_ms, now_ms)
    limit = _subtract(worker.report.capacity, reservation.demand)
    for run in worker.runs.values():
        if _estimate_end(scheduler, run, now_ms) <= due_ms:
            limit = _subtract(limit, run.room, sign=-1)
    reservation.left_ms = due_ms - now_ms
    reservation.limit = limit


def _measure_held(worker: Worker) -> Demand:
    return Demand(cpu=worker.cpu, memory_mb=worker.memory_mb, gpus=worker.gpus)


def _subtract(left: Demand, right: Demand, *, sign: int = 1) -> Demand:
    return Demand(
        cpu=left.cpu - sign * right.cpu,
        memory_mb=left.memory_mb - sign * right.memory_mb,
        gpus=left.gpus - sign * right.gpus,
    )
