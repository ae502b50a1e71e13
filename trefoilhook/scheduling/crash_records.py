"""Persistent records of runs that may have caused a crash.

A crash is proved only some seconds later, when another incarnation of the worker
answers. If the owner is lost in between, the next owner reads from the jobs' progress
which runs were exposed and where suspected tasks were started, and evaluates them once
it knows what is running.
"""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crashes import (
    SuspectUnit,
    attribute_to_units,
    find_cause,
    list_exposed_runs,
    partition_runs,
)
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.messages import LossCause, Suspect, WorkerLoss
from trefoilhook.scheduling.takeovers import is_held_for_predecessors

__all__ = ["record_exposure", "resolve_recorded", "retract_exposure"]

_MAX_EXPOSURE_MS = 10_000.0
"""Running time above which a run is not recorded when its worker's process ends, in ms.
It is still evaluated if the same owner evaluates the loss."""

_MAX_EXPOSED_RUNS = 16
"""Maximum number of recorded runs per worker: the most recently started ones, which are
the most likely causes."""

_DEFAULT_RUN_MS = 1000.0
"""Assumed running time of a recorded attempt if it is unknown, in ms."""


def record_exposure(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Record the runs that may have ended the process of a worker that refuses calls.

    Guards against losing a crash together with the owner before the end of the worker
    is proved, which takes some seconds: the next owner reads the record.
    """
    silence = worker.silence
    if silence is None or silence.is_recorded or not silence.was_refused:
        return
    silence.is_recorded = True
    if find_cause(scheduler, worker, now_ms) is not LossCause.CRASHED:
        return
    runs = list_exposed_runs(worker)
    units, _ = partition_runs(scheduler, worker, runs, now_ms)
    units.sort(key=lambda unit: unit.ran_ms)
    for unit in units[:_MAX_EXPOSED_RUNS]:
        if unit.ran_ms > _MAX_EXPOSURE_MS:
            break
        suspicion = scheduler.suspects.get_or_add(unit.task)
        suspicion.record_attempt(unit.attempt, worker.incarnation)
        suspicion.ran_ms = unit.ran_ms


def retract_exposure(scheduler: Scheduler, worker: Worker) -> None:
    """Remove the record, as the worker answers and its process has not ended."""
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        suspicion = task.suspicion if task is not None else None
        if task is None or suspicion is None or suspicion.attempt != run.attempt:
            continue
        suspicion.ran_ms = None
        if not suspicion.notes:
            suspicion.clear_attempt()
        scheduler.suspects.discard_negligible(task)


def resolve_recorded(
    scheduler: Scheduler, now_ms: float, *, is_final: bool = True
) -> None:
    """Evaluate the attempts that a previous owner recorded and that are not running.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    now_ms : float
        Current time, in ms.
    is_final : bool, optional
        Whether every worker that may run them has answered or is lost. Otherwise only
        the tasks that wait for no worker are evaluated.
    """
    by_worker: dict[str, list[tuple[SuspectUnit, bool]]] = {}
    unresolved: list[TaskState] = []
    for task in scheduler.suspects.recorded:
        suspicion = task.suspicion
        if suspicion is None or not suspicion.attempt or not task.job.is_open:
            continue
        members = task.job.list_unit(task.unit)
        is_running = any(member.attempts for member in members)
        # A gang whose other members are still listed may have lost a worker.
        if task.done or (is_running and not task.step.gang):
            continue
        workers = [scheduler.find_incarnation(name) for name in suspicion.workers]
        is_open = not is_final and is_held_for_predecessors(scheduler, task)
        if is_open or any(
            worker is not None and not worker.has_reported_all for worker in workers
        ):
            unresolved.append(task)
            continue
        lost_workers = [
            name
            for name in suspicion.workers
            if scheduler.find_incarnation(name) is None
        ]
        if not lost_workers:
            if not is_running:
                suspicion.clear_attempt()
                scheduler.suspects.discard_negligible(task)
            continue
        is_exposed = suspicion.ran_ms is not None
        ran_ms = suspicion.ran_ms if suspicion.ran_ms is not None else _DEFAULT_RUN_MS
        unit = SuspectUnit(task=task, attempt=suspicion.attempt, ran_ms=ran_ms)
        by_worker.setdefault(lost_workers[0], []).append((unit, is_exposed))
    scheduler.suspects.recorded = unresolved
    for worker_id, rows in by_worker.items():
        _attribute_recorded(scheduler, worker_id, rows, now_ms)


def _attribute_recorded(
    scheduler: Scheduler,
    worker_id: str,
    rows: list[tuple[SuspectUnit, bool]],
    now_ms: float,
) -> None:
    units = [unit for unit, _ in rows]
    is_exposed = any(exposed for _, exposed in rows)
    cause = LossCause.CRASHED if is_exposed else LossCause.PARTITIONED
    if worker_id in scheduler.suspects.drained:
        cause = LossCause.DRAINED
    suspects: tuple[Suspect, ...] = ()
    if cause is LossCause.DRAINED:
        for unit in units:
            scheduler.suspects.get_or_add(unit.task).clear_attempt()
            scheduler.suspects.discard_negligible(unit.task)
    else:
        suspects = attribute_to_units(scheduler, worker_id, units, [], cause, now_ms)
    scheduler.suspects.losses.append(
        WorkerLoss(worker_id=worker_id, cause=cause, runs=len(units), suspects=suspects)
    )
