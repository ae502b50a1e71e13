"""Choice of a worker for a task.

The counted capacity of a worker is never overcommitted. Fillers are placed where most
processor time is left and where they are expected to disturb service tasks least; all
other tasks are packed tightly.
"""

from trefoilhook.scheduling.arrangement import compute_concentration_penalty
from trefoilhook.scheduling.colocation import ColocationCache
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.isolation import compute_risk_penalty
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.tickets import name_step
from trefoilhook.scheduling.unread import has_too_many_held_ends

__all__ = [
    "can_host",
    "compute_max_filler_cpu",
    "is_barred",
    "is_open",
    "list_answering_workers",
    "list_open_workers",
    "list_usable_workers",
    "rate_worker",
    "score_worker",
]

_SILENCE_LIMIT_MS = 2600.0
"""A worker without an answer for this long gets no new task. One poll may be delayed by
1,500 ms and its answer by 600 ms, so that a single lost poll is tolerated."""

_MIN_PLACEMENT_SLACK = 1.15
"""Minimum slack that a filler must leave to a service task at the peak of its load; 1
is the limit. Reported tails are inaccurate: they change the slack by 0.28 (one standard
deviation), and a minimum of 1.05 led to limits being exceeded although the prediction
was right. Equal to the target of throttling, so that a new filler need not be throttled
immediately."""

_SUFFICIENT_SLACK = 2.5
"""More slack than this has no benefit; most service tasks have it anyway."""

_SLACK_PENALTY = 15_000
"""Penalty for 1 of useful slack, in thousandths of a core: half of a worker."""

_MIN_CPU_SHARE = 0.9
"""Minimum fraction of the requested processor time that a filler must find. With less,
the fillers of the worker are throttled together and none of them ends sooner."""

_ROUNDING_MARGIN = 1.000_001
"""Factor that covers rounding errors of limits computed by inverting the model."""

_PREEMPTION_PENALTY = 2.0
"""Penalty for each thousandth of a core taken from fillers. Fillers have to be
throttled first, and until then the service tasks beside them respond late."""

_RESERVED_MEMORY_SHARE = 0.1
"""Fraction of a worker's memory that is not available to fillers. They would otherwise
block urgent tasks from workers with free processors."""

_AVOIDANCE_PENALTY = 100_000
"""Penalty that excludes a worker where the task failed, unless there is no other. Half
of it applies to workers outside the rack that holds the input data."""

_FAULTY_WORKER_PENALTY = 10_000_000
"""Penalty that excludes a faulty worker unless no other one can run the task."""

_MIXED_IMAGE_PENALTY = 50_000
"""Penalty for placing a service task beside one of another image, in thousandths of a
core. A filler is heavy for few images only, so that it finds a suitable worker only if
the images are not mixed."""

_FAULT_PENALTY = 2000
"""Penalty for each job with a failed attempt on the worker, in thousandths of a core. A
worker that fails every task always appears free and would attract further tasks."""


def is_open(worker: Worker, now_ms: float) -> bool:
    """Return whether a worker takes new tasks."""
    return _is_usable(worker, now_ms) and not worker.is_reserved


def _is_usable(worker: Worker, now_ms: float) -> bool:
    return (
        _is_answering(worker)
        and worker.is_in_roster
        and not worker.is_lease_limited
        and not has_too_many_held_ends(worker)
        and worker.avoid_until_ms <= now_ms
        and now_ms - worker.clock_read_ms < _SILENCE_LIMIT_MS
    )


def _is_answering(worker: Worker) -> bool:
    return (
        worker.listed
        and worker.usable
        and worker.has_answered_token
        and worker.silence is None
        and not worker.report.draining
    )


def list_open_workers(
    scheduler: Scheduler, service: str, now_ms: float
) -> list[Worker]:
    """Return the workers of a service that accept new tasks."""
    workers = list_usable_workers(scheduler, service, now_ms)
    return [worker for worker in workers if not worker.is_reserved]


def list_usable_workers(
    scheduler: Scheduler, service: str, now_ms: float
) -> list[Worker]:
    """Return the workers of a service that can run new tasks.

    These include workers that are reserved for isolated runs.
    """
    evacuations = scheduler.evacuations
    return [
        worker
        for worker in scheduler.workers.values()
        if worker.report.service == service
        and _is_usable(worker, now_ms)
        and not evacuations.covers(worker)
    ]


def list_answering_workers(scheduler: Scheduler, service: str) -> list[Worker]:
    """Return the workers of a service that respond and are not shutting down.

    These include workers to which this owner temporarily sends no new tasks.
    """
    evacuations = scheduler.evacuations
    return [
        worker
        for worker in scheduler.workers.values()
        if worker.report.service == service
        and _is_answering(worker)
        and not evacuations.covers(worker)
    ]


def can_host(
    worker: Worker,
    state: TaskState,
    *,
    ignores_reservations: bool = False,
    uses_all_memory: bool = False,
) -> bool:
    """Return whether a worker has the capacity and the label that a task requires.

    Parameters
    ----------
    worker : Worker
        The worker.
    state : TaskState
        The task.
    ignores_reservations : bool, optional
        Whether to include capacity that is reserved for tasks of other steps.
    uses_all_memory : bool, optional
        Whether a filler may use the memory that fillers leave to other tasks.
    """
    step = state.step
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    if not worker.has_room(step.room):
        return False
    if not ignores_reservations and _is_reserved_for_others(worker, state):
        return False
    if step.filler and not uses_all_memory:
        capacity_mb = worker.report.capacity.memory_mb
        remaining_mb = capacity_mb - worker.memory_mb - step.demand.memory_mb
        if remaining_mb < _RESERVED_MEMORY_SHARE * capacity_mb:
            return False
    if not step.max_per_worker:
        return True
    return worker.count_step(state.task) < step.max_per_worker


def is_barred(worker: Worker, state: TaskState, now_ms: float) -> bool:
    """Return whether a worker is faulty and the task is among those that failed."""
    return (
        worker.is_faulty(now_ms) and worker.report.worker_id in state.shared.failed_on
    )


def _is_reserved_for_others(worker: Worker, state: TaskState) -> bool:
    reservation = worker.reservation
    if reservation is None:
        return False
    return not reservation.admits(
        state.step,
        name_step(state.task),
        priority=state.job.priority,
        held=Demand(cpu=worker.cpu, memory_mb=worker.memory_mb, gpus=worker.gpus),
    )


def compute_max_filler_cpu(
    worker: Worker, image: str, colocations: ColocationCache
) -> float:
    """Return the maximum processor time that a filler may request on a worker now.

    In thousandths of a core, with a margin for rounding; ``score_worker`` is decisive.
    """
    colocation = colocations.lookup(worker)
    max_cpu = colocation.compute_max_filler_cpu(
        colocations.interference, image, least_slack=_MIN_PLACEMENT_SLACK
    )
    return _ROUNDING_MARGIN * min(max_cpu, colocation.spare_cpu / _MIN_CPU_SHARE)


def score_worker(
    worker: Worker, state: TaskState, colocations: ColocationCache
) -> float | None:
    """Return the score of an open worker with capacity; None if it is not eligible."""
    step = state.step
    slack = float("inf")
    if step.filler:
        colocation = colocations.lookup(worker)
        slack = colocation.predict_slack(colocations.interference, step)
        if slack < _MIN_PLACEMENT_SLACK:
            return None
        if worker.over_limit_since_ms is not None and colocation.is_disturbed_by(
            colocations.interference, step
        ):
            return None
        if colocation.spare_cpu < _MIN_CPU_SHARE * step.demand.cpu:
            return None
        score = colocation.spare_cpu
    else:
        # Tasks are packed tightly to keep capacity for large tasks.
        score = float(worker.cpu - worker.report.capacity.cpu)
        requested_cpu = worker.cpu + worker.borrowed_cpu + step.demand.cpu
        score -= _PREEMPTION_PENALTY * max(
            0, requested_cpu - worker.report.capacity.cpu
        )
        if step.latency_limit_ms:
            colocation = colocations.lookup(worker)
            slack = colocation.predict_slack(colocations.interference, step)
            others = {victim.image for victim in colocation.victims} - {step.image}
            score -= _MIXED_IMAGE_PENALTY * len(others)
        if step.long_running and colocations.spreads_services:
            score -= compute_concentration_penalty(worker, state.task, step)
    score -= _SLACK_PENALTY * max(0.0, _SUFFICIENT_SLACK - slack)
    if step.data_rack and step.data_rack not in worker.report.labels:
        score -= _AVOIDANCE_PENALTY / 2
    if worker.report.worker_id in state.shared.failed_on:
        score -= _AVOIDANCE_PENALTY
    score -= _FAULTY_WORKER_PENALTY * worker.is_faulty(colocations.now_ms)
    score -= compute_risk_penalty(worker, state, colocations)
    return score - _FAULT_PENALTY * len(worker.faulty_jobs)


def rate_worker(
    worker: Worker, state: TaskState, colocations: ColocationCache
) -> float | None:
    """Return the score of an open worker for a task; None if it is not eligible."""
    if not can_host(worker, state):
        return None
    return score_worker(worker, state, colocations)
