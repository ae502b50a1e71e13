"""Takeover of a shard: which workers are accounted for, and what must be recorded.

`trefoilhook.takeover` holds what previous owners left, and this module relates it to
the state of the shard.
"""

import math
from collections.abc import Collection, Iterable, Mapping

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker, get_worker_id
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.lease_expiry import release_unstarted
from trefoilhook.scheduling.models import TaskId
from trefoilhook.takeover import Place

__all__ = [
    "MissingEvidence",
    "account_for_workers",
    "are_starts_recorded",
    "has_lease_limits",
    "is_held_for_predecessors",
    "is_start_recorded",
    "limit_leases",
    "list_awaited_workers",
    "list_unaccounted",
    "list_unreported",
    "list_unreleased",
    "record_group_starts",
    "request_place",
    "summarize_missing_evidence",
    "withdraw_unrecorded",
]

_MIN_SILENCE_MS = 400.0
"""Silence of a worker from which the next owner is told when its leases expire, in ms.
A failed poll is repeated after 200 ms, and each limit takes two writes."""

_LIMIT_STEP_MS = 500.0
"""Interval at which the remaining time of leases is written, in ms."""

# Workers of previous owners.


def list_unreported(scheduler: Scheduler, names: Iterable[str]) -> list[str]:
    """Return the workers that have not yet reported all runs and ends to this owner.

    The report of a later incarnation counts, as its predecessor runs nothing. So does
    the proof that an incarnation has ended.
    """
    workers = ((name, scheduler.workers.get(get_worker_id(name))) for name in names)
    return [
        name
        for name, worker in workers
        if name not in scheduler.ended_incarnations
        and (worker is None or not worker.has_reported_all)
    ]


def list_unaccounted(
    scheduler: Scheduler, names: Iterable[str], now_ms: float
) -> list[str]:
    """Return the incarnations whose runs and ends are not accounted for.

    Once a worker has answered under this owner's fencing token, it executes no more
    orders of previous owners, and the answer contains its runs and its ends. A worker
    that does not answer is given up once all leases on it have expired and its entry is
    no longer in the store. While the entry exists, the worker is alive and may hold the
    end of a completed task, which would run twice if it were started again elsewhere.
    """
    unreported = list_unreported(scheduler, names)
    if not unreported:
        return []
    answering = {
        worker.report.address: worker.report.worker_id
        for worker in scheduler.workers.values()
        if worker.has_answered_token
    }
    return [
        name
        for name in unreported
        if not (
            _is_replaced(scheduler, name, answering)
            or (
                _have_leases_expired(scheduler, name, now_ms)
                and _is_known_gone(scheduler, name, now_ms)
            )
        )
    ]


def _have_leases_expired(scheduler: Scheduler, name: str, now_ms: float) -> bool:
    """Return whether all leases on an incarnation, also of this owner, have expired."""
    worker = scheduler.find_incarnation(name)
    return now_ms >= _find_previous_expiry(scheduler, name) and (
        worker is None or worker.has_expired_leases(now_ms)
    )


def _find_previous_expiry(scheduler: Scheduler, name: str) -> float:
    """Return when all leases of previous owners on an incarnation expire, in ms.

    The limit that an owner recorded says nothing of a later process under the same id,
    which may execute a late start.
    """
    expiry_ms = scheduler.find_lease_expiry(name)
    is_current = scheduler.find_incarnation(name) is not None
    if not is_current and get_worker_id(name) in scheduler.workers:
        return expiry_ms
    return min(expiry_ms, scheduler.lease_limits.get(name, expiry_ms))


def _is_replaced(scheduler: Scheduler, name: str, answering: Mapping[str, str]) -> bool:
    """Return whether another worker has answered at the address of an incarnation.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    name : str
        The incarnation.
    answering : mapping of str to str
        Ids of the workers that have answered, by address.
    """
    worker_id = answering.get(scheduler.predecessors.get_address(name))
    return worker_id is not None and worker_id != get_worker_id(name)


def _is_known_gone(scheduler: Scheduler, name: str, now_ms: float) -> bool:
    worker = scheduler.find_incarnation(name)
    if worker is not None and worker.is_known_alive:
        return False
    # Entries are restored long before the leases of the last claim have expired.
    return now_ms >= scheduler.limits.settled_at_ms or scheduler.entries.is_steady(
        now_ms
    )


@attrs.frozen(kw_only=True)
class MissingEvidence:
    """What is not yet proved of the workers of previous owners.

    Parameters
    ----------
    leases : int
        Number of incarnations on which leases may still run.
    listed : int
        Number of those whose entry is in the store or not yet proved absent.
    lease_ms : float
        Longest remaining time of the leases by this owner's clock, in ms.
    """

    leases: int
    listed: int
    lease_ms: float


def summarize_missing_evidence(scheduler: Scheduler, now_ms: float) -> MissingEvidence:
    """Summarize why the awaited workers that do not answer are not given up yet."""
    awaited = scheduler.predecessors.awaited
    leased = [
        name for name in awaited if not _have_leases_expired(scheduler, name, now_ms)
    ]
    remaining_ms = [_find_last_expiry(scheduler, name) - now_ms for name in leased]
    return MissingEvidence(
        leases=len(leased),
        listed=sum(not _is_known_gone(scheduler, name, now_ms) for name in awaited),
        lease_ms=max(remaining_ms, default=0.0),
    )


def _find_last_expiry(scheduler: Scheduler, name: str) -> float:
    """Return when the leases on an incarnation, also of this owner, expire, in ms."""
    expiry_ms = _find_previous_expiry(scheduler, name)
    worker = scheduler.find_incarnation(name)
    if worker is None or worker.clock_read_ms == float("-inf"):
        return expiry_ms
    return max(expiry_ms, worker.find_lease_expiry())


def account_for_workers(scheduler: Scheduler, now_ms: float) -> None:
    """Update the workers of previous owners that are accounted for."""
    predecessors = scheduler.predecessors
    if not predecessors.awaited:
        return
    awaited = set(list_unaccounted(scheduler, predecessors.awaited, now_ms))
    accounted = predecessors.awaited - awaited
    for name in accounted:
        predecessors.account(name)
        scheduler.unreleased[name] = scheduler.last_change
    if accounted:
        _retire_places(scheduler, accounted)
    for name in awaited:
        if _have_leases_expired(scheduler, name, now_ms):
            predecessors.expire(name)


def _retire_places(scheduler: Scheduler, names: Collection[str]) -> None:
    """Release the places on accounted workers of attempts that no longer run."""
    if scheduler.places is None:
        return
    running = {
        (str(task), attempt)
        for name in names
        if (worker := scheduler.workers.get(get_worker_id(name))) is not None
        for task, attempt in worker.runs
    }
    for place in scheduler.places.list_places():
        if place.worker not in names or (place.task, place.attempt) in running:
            continue
        is_saved = scheduler.track_save(place.task.partition(".")[0])
        scheduler.places.retire(place.task, place.attempt, is_saved)


def list_unreleased(scheduler: Scheduler) -> set[str]:
    """Return the workers that the next owner must still know as previous ones.

    A worker that is accounted for is released once everything learned from it is in the
    store: the ends that it reported, and the places of the runs found there.
    """
    last_saved = scheduler.find_last_saved_change()
    for name, change in list(scheduler.unreleased.items()):
        required = max(change, scheduler.end_changes.get(get_worker_id(name), 0))
        if required <= last_saved and _are_runs_recorded(scheduler, name):
            del scheduler.unreleased[name]
    if not scheduler.unreleased:
        scheduler.end_changes.clear()
    return scheduler.predecessors.awaited | scheduler.unreleased.keys()


def _are_runs_recorded(scheduler: Scheduler, name: str) -> bool:
    """Return whether the next owner knows all runs without knowing an incarnation.

    A start for an earlier incarnation may be held on its successor, with a place that
    names the earlier one.
    """
    worker = scheduler.workers.get(get_worker_id(name))
    if worker is None or scheduler.places is None:
        return True
    if not all(is_saved() for _, is_saved in worker.unacknowledged):
        return False
    is_current = worker.incarnation == name
    return all(
        _is_known_to_successor(scheduler, run)
        and (
            is_current
            or scheduler.places.find_worker(str(run.task), run.attempt) != name
        )
        for run in worker.runs.values()
    )


def limit_leases(
    scheduler: Scheduler, now_ms: float, *, step_ms: float = _LIMIT_STEP_MS
) -> dict[str, int]:
    """Return the time within which all leases on silent workers expire, in ms.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    now_ms : float
        Current time, in ms.
    step_ms : float, optional
        Resolution of the current time, in ms; the values are constant within a step.

    Returns
    -------
    dict of str to int
        Remaining times by incarnation, for workers on which this owner grants no lease.
    """
    rounded_now_ms = now_ms - now_ms % step_ms
    expiries = {
        name: rounded_now_ms
        for name in scheduler.unreleased
        if name in scheduler.ended_incarnations
        and scheduler.find_incarnation(name) is None
    }
    for name in scheduler.predecessors.awaited & scheduler.lease_limits.keys():
        worker = scheduler.find_incarnation(name)
        if worker is None or not worker.has_answered_token:
            expiries[name] = scheduler.lease_limits[name]
    for worker in scheduler.workers.values():
        if worker.silence is not None and _is_silent(worker, now_ms):
            expiries[worker.incarnation] = worker.find_lease_expiry()
    return {
        name: math.ceil(max(0.0, expiry_ms - rounded_now_ms))
        for name, expiry_ms in expiries.items()
    }


def _is_silent(worker: Worker, now_ms: float) -> bool:
    silence = worker.silence
    return (
        worker.has_answered_token
        and silence is not None
        and (
            silence.indicates_process_exit
            or now_ms - silence.began_ms >= _MIN_SILENCE_MS
        )
    )


def has_lease_limits(scheduler: Scheduler, now_ms: float) -> bool:
    """Return whether leases on a worker are limited or should be."""
    # Nearly all workers answer and have no limit.
    concerned = [
        worker
        for worker in scheduler.workers.values()
        if worker.silence is not None or worker.is_lease_limited
    ]
    return any(
        worker.has_answered_token
        and (worker.is_lease_limited or _is_silent(worker, now_ms))
        for worker in concerned
    )


# Tasks that wait.


def _list_unit(task: TaskState) -> list[str]:
    """Return the ids of the tasks that are started together with ``task``."""
    if not task.step.gang:
        return [str(task.task)]
    name = task.task
    return [
        str(TaskId(name.job_id, name.occurrence, name.step, index))
        for index in range(task.step.count)
    ]


def is_held_for_predecessors(scheduler: Scheduler, task: TaskState) -> bool:
    """Return whether a previous owner's run of a task is not accounted for."""
    return any(
        scheduler.predecessors.holds(
            name, task.task.job_id, never_ends=task.step.long_running
        )
        for name in _list_unit(task)
    )


def list_awaited_workers(scheduler: Scheduler, task: TaskState) -> list[str]:
    """Return the incarnations of previous owners for which a task waits."""
    names: set[str] = set()
    for name in _list_unit(task):
        names.update(
            scheduler.predecessors.list_awaited(
                name, task.task.job_id, never_ends=task.step.long_running
            )
        )
    return sorted(names)


# Starts that the next owner must know.


def _is_known_to_successor(scheduler: Scheduler, run: Run) -> bool:
    return (
        scheduler.places is None
        or run.is_group_start
        or scheduler.places.is_recorded(str(run.task), run.attempt)
    )


def _is_in_group(scheduler: Scheduler, worker: Worker, run: Run) -> bool:
    """Return whether a run is on a worker of its job's group in the store."""
    groups = scheduler.groups
    return groups is not None and groups.covers(run.task.job_id, worker.incarnation)


def is_start_recorded(
    scheduler: Scheduler, worker: Worker, run: Run, now_ms: float
) -> bool:
    """Return whether the next owner will know of a start; if not, request a record.

    Guards against a second run of the task: without a record, the next owner would not
    wait for the worker. While none can be written, it waits for the job's group.
    """
    if _is_known_to_successor(scheduler, run):
        return True
    if (
        scheduler.places is not None
        and scheduler.places.is_stalled(now_ms)
        and _is_in_group(scheduler, worker, run)
    ):
        run.is_group_start = scheduler.has_group_starts = True
        scheduler.group_starts[run] = worker.incarnation
        return True
    request_place(scheduler, worker, run)
    return False


def are_starts_recorded(scheduler: Scheduler) -> bool:
    """Return whether each start of this owner has a place in the store.

    It must not send any more. Runs of earlier epochs count as well, so that nothing
    found on a worker depends on the groups of this epoch.
    """
    if scheduler.places is None or scheduler.group_starts:
        return False
    if not all(is_saved() for is_saved in scheduler.group_ends):
        return False
    return all(
        _is_known_to_successor(scheduler, run)
        for worker in scheduler.workers.values()
        for run in worker.runs.values()
        if run.task.job_id in scheduler.jobs and not _is_unsent(run)
    )


def record_group_starts(scheduler: Scheduler, now_ms: float) -> None:
    """Request places for starts without one, once places can be recorded again."""
    if scheduler.places is None or scheduler.places.is_stalled(now_ms):
        return
    for run, name in list(scheduler.group_starts.items()):
        place = Place(task=str(run.task), attempt=run.attempt, worker=name)
        if scheduler.places.request(place):
            run.is_group_start = False
            del scheduler.group_starts[run]
    scheduler.group_ends = [
        is_saved for is_saved in scheduler.group_ends if not is_saved()
    ]


def _is_unsent(run: Run) -> bool:
    """Return whether a start was certainly not sent."""
    is_starting = run.phase is RunPhase.STARTING
    return is_starting and not (run.in_flight or run.may_have_run)


def request_place(scheduler: Scheduler, worker: Worker, run: Run) -> None:
    """Request a record of the worker of a run unless the next owner knows it."""
    if scheduler.places is None or _is_known_to_successor(scheduler, run):
        return
    scheduler.places.request(
        Place(task=str(run.task), attempt=run.attempt, worker=worker.incarnation)
    )


def withdraw_unrecorded(scheduler: Scheduler, now_ms: float) -> None:
    """Withdraw the starts that wait for a record while none can be written.

    Their tasks are then started inside their groups.
    """
    if scheduler.places is None or not scheduler.places.is_stalled(now_ms):
        return
    for worker in scheduler.workers.values():
        for run in list(worker.pending_runs):
            if (
                _is_unsent(run)
                and not _is_known_to_successor(scheduler, run)
                and not _is_in_group(scheduler, worker, run)
            ):
                release_unstarted(scheduler, worker, run)
