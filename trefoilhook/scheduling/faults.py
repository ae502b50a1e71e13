"""Failures that count against the worker on which they occurred.

A worker may fail all that it starts, and a task may fail wherever it is started. The
first failure of a task counts against its worker. If the task fails again elsewhere, it
is the likelier cause, and its failures count against no worker.
"""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.messages import AttemptEnd, EndKind

__all__ = ["record_end", "record_service"]

_FAULT_THRESHOLD = 2
"""Number of jobs with attempts that failed on a worker, without a successful one in
between, from which it is faulty: with 3 % of attempts failing independently this
happens by chance once in 1,100."""

_FAULTY_TASK_WORKERS = 2
"""Number of workers on which a task has to fail in turn to be the likelier cause."""

_FAULT_AVOIDANCE_MS = 3000.0
"""Time for which other workers are preferred to a faulty one; doubled with each further
fault."""

_MAX_FAULT_AVOIDANCE_MS = 12_000.0
"""Limit of that time, so that a repaired worker is tried again."""

_SOUND_RUN_MS = 3000.0
"""Running time from which a long-running task counts as successful, as it never ends
so. A worker that fails all that it starts does so at once."""


def record_end(
    scheduler: Scheduler, worker: Worker, end: AttemptEnd, now_ms: float
) -> None:
    """Record what the end of an attempt tells about its worker."""
    if end.kind is EndKind.DONE:
        worker.faulty_jobs.clear()
    elif end.kind is EndKind.FAILED:
        state = scheduler.jobs.get(end.task.job_id)
        task = state.find_task(end.task) if state is not None else None
        if task is not None and task.shared.failed_in_turn_on:
            task.shared.failed_in_turn_on.add(worker.report.worker_id)
            _exonerate_workers(scheduler, task)
            return
        if task is not None:
            task.shared.failed_in_turn_on.add(worker.report.worker_id)
        _count_failure(worker, end.task.job_id, now_ms)


def _count_failure(worker: Worker, job_id: str, now_ms: float) -> None:
    # Counted by job, as all tasks of a job may fail for the same reason.
    worker.faulty_jobs.add(job_id)
    worker.faulted_ms = now_ms
    faults = len(worker.faulty_jobs)
    if faults >= _FAULT_THRESHOLD:
        avoidance_ms = _FAULT_AVOIDANCE_MS * 2 ** (faults - _FAULT_THRESHOLD)
        avoidance_ms = min(avoidance_ms, _MAX_FAULT_AVOIDANCE_MS)
        worker.faulty_until_ms = max(worker.faulty_until_ms, now_ms + avoidance_ms)


def record_service(scheduler: Scheduler, worker: Worker, run: Run) -> None:
    """Record that a run goes on, which is the success of a long-running task."""
    if run.proved_ms < _SOUND_RUN_MS:
        return
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if task is None or not task.step.long_running:
        return
    task.shared.failed_in_turn_on.clear()
    if worker.faulty_jobs and run.started_ms >= worker.faulted_ms:
        worker.faulty_jobs.clear()


def _exonerate_workers(scheduler: Scheduler, task: TaskState) -> None:
    """Remove the failures of a task's job if the task failed on several workers."""
    if len(task.shared.failed_in_turn_on) < _FAULTY_TASK_WORKERS:
        return
    for worker_id in task.shared.failed_in_turn_on:
        worker = scheduler.workers.get(worker_id)
        if worker is None or task.task.job_id not in worker.faulty_jobs:
            continue
        worker.faulty_jobs.discard(task.task.job_id)
        if len(worker.faulty_jobs) < _FAULT_THRESHOLD:
            worker.faulty_until_ms = 0.0
