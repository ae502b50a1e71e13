"""What of a crash outlives its owner: notes of runs that may have caused one.

A crash is proved some seconds after it, when another life answers. If the owner is lost
meanwhile, the next one finds in the jobs' progress which runs were exposed to it, and
where suspected tasks were ordered, and judges them once it knows what runs.
"""

from trefoilhook.scheduling.book import TaskState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crashes import (
    SuspectUnit,
    blame,
    find_cause,
    sort_runs,
)
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.messages import LossCause, Suspect, WorkerLoss

__all__ = ["note_exposed", "resolve_recorded", "retract_exposed"]

_EXPOSED_MS = 10_000.0
"""A run that has gone on for longer isn't noted when its worker's process ends, in ms;
it is weighed all the same once the loss is judged by the same owner."""

_MOST_EXPOSED = 16
"""Runs of one worker that are noted, the latest started: the likeliest causes."""

_UNKNOWN_RAN_MS = 1000.0
"""Time until the loss of a recorded attempt of which that isn't known, in ms."""


def note_exposed(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Note which runs may have ended a worker's process, as soon as that shows.

    Guards against a crash that is forgotten because its owner is lost before the
    worker's end is proved, which takes some seconds: the next owner finds the note.
    """
    silence = worker.silence
    if silence is None or silence.is_noted or not silence.was_refused:
        return
    silence.is_noted = True
    if find_cause(scheduler, worker, now_ms) is not LossCause.CRASHED:
        return
    runs = [run for run in worker.runs.values() if run.may_have_run]
    cases, _ = sort_runs(scheduler, worker, runs, now_ms)
    cases.sort(key=lambda case: case.ran_ms)
    for case in cases[:_MOST_EXPOSED]:
        if case.ran_ms > _EXPOSED_MS:
            break
        suspicion = scheduler.suspects.suspect(case.task)
        suspicion.place(case.attempt, worker.report.worker_id)
        suspicion.ran_ms = case.ran_ms


def retract_exposed(scheduler: Scheduler, worker: Worker) -> None:
    """Take the note back, as the worker answers: its process never ended."""
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        suspicion = task.suspicion if task is not None else None
        if task is None or suspicion is None or suspicion.attempt != run.attempt:
            continue
        suspicion.ran_ms = None
        if not suspicion.notes:
            suspicion.settle()
        scheduler.suspects.clear_blank(task)


def resolve_recorded(scheduler: Scheduler, now_ms: float) -> None:
    """Judge the attempts that an earlier owner recorded and that run nowhere now.

    Called once every worker that may run them has told what it knows, or is gone.
    """
    by_worker: dict[str, list[tuple[SuspectUnit, bool]]] = {}
    unheard: list[TaskState] = []
    for task in scheduler.suspects.recorded:
        suspicion = task.suspicion
        if suspicion is None or not suspicion.attempt or not task.job.is_open:
            continue
        if task.done or task.attempts:
            continue
        workers = [scheduler.workers.get(name) for name in suspicion.workers]
        if any(worker is not None and not worker.is_known for worker in workers):
            unheard.append(task)
            continue
        gone = [name for name in suspicion.workers if name not in scheduler.workers]
        if not gone:
            suspicion.settle()
            scheduler.suspects.clear_blank(task)
            continue
        is_exposed = suspicion.ran_ms is not None
        ran_ms = suspicion.ran_ms if suspicion.ran_ms is not None else _UNKNOWN_RAN_MS
        case = SuspectUnit(task=task, attempt=suspicion.attempt, ran_ms=ran_ms)
        by_worker.setdefault(gone[0], []).append((case, is_exposed))
    scheduler.suspects.recorded = unheard
    for worker_id, rows in by_worker.items():
        _attribute_recorded(scheduler, worker_id, rows, now_ms)


def _attribute_recorded(
    scheduler: Scheduler,
    worker_id: str,
    rows: list[tuple[SuspectUnit, bool]],
    now_ms: float,
) -> None:
    cases = [case for case, _ in rows]
    is_exposed = any(exposed for _, exposed in rows)
    cause = LossCause.CRASHED if is_exposed else LossCause.CUT_OFF
    if worker_id in scheduler.suspects.drained:
        cause = LossCause.DRAINED
    suspects: tuple[Suspect, ...] = ()
    if cause is LossCause.DRAINED:
        for case in cases:
            scheduler.suspects.suspect(case.task).settle()
            scheduler.suspects.clear_blank(case.task)
    else:
        suspects = blame(scheduler, worker_id, cases, [], cause, now_ms)
    scheduler.suspects.losses.append(
        WorkerLoss(worker_id=worker_id, cause=cause, runs=len(cases), suspects=suspects)
    )
