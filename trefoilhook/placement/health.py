"""Quarantine of faulty workers, and detection of jobs that fail on every worker."""

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import TaskState, WorkerState
from trefoilhook.placement.shapes import StopOutcome
from trefoilhook.placement.shard import ShardRecords

__all__ = [
    "begin_quarantine",
    "end_quarantine",
    "fails_everywhere",
    "is_quarantine_over",
    "needs_quarantine",
    "record_outcome",
]

_MAX_FAILED_TASKS = 16


def record_outcome(
    state: ShardRecords,
    task: TaskState,
    worker: WorkerState,
    outcome: StopOutcome,
) -> None:
    """Record the outcome of an attempt for its worker and its task.

    Notes
    -----
    A failure counts against the worker unless the same task has also failed on another
    worker. It counts against the task unless the worker itself is in quarantine or on
    probation; see :func:`fails_everywhere`.
    """
    health = worker.health
    if outcome is StopOutcome.FINISHED:
        health.failed_tasks.clear()
        health.on_probation = False
        health.quarantines = 0
    elif outcome is StopOutcome.FAILED:
        _record_failure(state, task, worker)


def _record_failure(state: ShardRecords, task: TaskState, worker: WorkerState) -> None:
    task_id = task.shape.task_id
    history = state.history(task_id)
    history.failed_on.add(worker.shape.worker_id)
    failed_tasks = worker.health.failed_tasks
    if len(history.failed_on) > 1:
        # The task failed on several workers, so its failures are no evidence against
        # any of them.
        for worker_id in history.failed_on:
            other = state.workers.get(worker_id)
            if other is not None and task_id in other.health.failed_tasks:
                other.health.failed_tasks.remove(task_id)
    elif task_id not in failed_tasks:
        failed_tasks.append(task_id)
        del failed_tasks[:-_MAX_FAILED_TASKS]


def needs_quarantine(worker: WorkerState, policy: Policy) -> bool:
    """Return whether a worker has failed too many distinct tasks in a row."""
    health = worker.health
    if health.quarantined_until_ms is not None:
        return False
    limit = 1 if health.on_probation else policy.worker_failure_limit
    return len(health.failed_tasks) >= limit


def begin_quarantine(worker: WorkerState, now_ms: float, policy: Policy) -> None:
    """Close a worker to new tasks; the duration doubles after a failed probation."""
    health = worker.health
    duration_ms = policy.quarantine_ms * 2.0**health.quarantines
    health.quarantined_until_ms = now_ms + duration_ms
    health.quarantines += 1
    health.failed_tasks.clear()


def is_quarantine_over(worker: WorkerState, now_ms: float) -> bool:
    """Return whether the quarantine of a worker has expired."""
    until_ms = worker.health.quarantined_until_ms
    return until_ms is not None and now_ms >= until_ms


def end_quarantine(worker: WorkerState) -> None:
    """Reopen a worker on probation: one task at a time until one succeeds."""
    worker.health.quarantined_until_ms = None
    worker.health.on_probation = True


def fails_everywhere(state: ShardRecords, task_id: str, policy: Policy) -> bool:
    """Return whether a task has failed on enough different workers to be refused.

    Notes
    -----
    Failures on a worker that is in quarantine or on probation are not counted, so that
    a job is not refused because of faulty workers.
    """
    history = state.histories.get(task_id)
    if history is None or len(history.failed_on) < policy.job_failure_limit:
        return False
    counted = [name for name in history.failed_on if not _is_untrusted(state, name)]
    return len(counted) >= policy.job_failure_limit


def _is_untrusted(state: ShardRecords, worker_id: str) -> bool:
    worker = state.workers.get(worker_id)
    if worker is None:
        return False
    health = worker.health
    return health.on_probation or health.quarantined_until_ms is not None
