"""Telling jobs that fail everywhere from workers that fail everything."""

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.records import TaskState, WorkerState
from trefoilhook.placement.shapes import StopOutcome
from trefoilhook.placement.shard import ShardRecords

__all__ = [
    "begin_quarantine",
    "end_quarantine",
    "fails_everywhere",
    "needs_quarantine",
    "quarantine_is_over",
    "record_outcome",
]

_FAILED_KEPT = 16


def record_outcome(
    state: ShardRecords,
    task: TaskState,
    worker: WorkerState,
    outcome: StopOutcome,
) -> None:
    """Count how an attempt ended for its worker and for its task.

    Notes
    -----
    A failure counts against the worker unless the same task has failed on another
    worker too; it counts against the task where the worker is not itself failing
    one task after another.
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
    failed = worker.health.failed_tasks
    if len(history.failed_on) > 1:
        # The task failed elsewhere too: no evidence against any of its workers.
        for worker_id in history.failed_on:
            other = state.workers.get(worker_id)
            if other is not None and task_id in other.health.failed_tasks:
                other.health.failed_tasks.remove(task_id)
    elif task_id not in failed:
        failed.append(task_id)
        del failed[:-_FAILED_KEPT]


def needs_quarantine(worker: WorkerState, policy: Policy) -> bool:
    """Tell whether a worker has failed too many different tasks in a row."""
    health = worker.health
    if health.quarantined_until_ms is not None:
        return False
    limit = 1 if health.on_probation else policy.worker_failure_limit
    return len(health.failed_tasks) >= limit


def begin_quarantine(worker: WorkerState, now_ms: float, policy: Policy) -> None:
    """Close a worker to new tasks; each failed probation doubles the time."""
    health = worker.health
    duration_ms = policy.quarantine_ms * 2.0**health.quarantines
    health.quarantined_until_ms = now_ms + duration_ms
    health.quarantines += 1
    health.failed_tasks.clear()


def quarantine_is_over(worker: WorkerState, now_ms: float) -> bool:
    """Tell whether a worker has served its quarantine."""
    until_ms = worker.health.quarantined_until_ms
    return until_ms is not None and now_ms >= until_ms


def end_quarantine(worker: WorkerState) -> None:
    """Open a worker on probation: one task at a time until one succeeds."""
    worker.health.quarantined_until_ms = None
    worker.health.on_probation = True


def fails_everywhere(state: ShardRecords, task_id: str, policy: Policy) -> bool:
    """Tell whether a task has failed on enough different workers to be refused.

    Notes
    -----
    Guards against refusing a sound job because of bad luck with workers: failures on
    a worker that is itself in quarantine or on probation don't count.
    """
    history = state.histories.get(task_id)
    if history is None or len(history.failed_on) < policy.job_failure_limit:
        return False
    sound = [name for name in history.failed_on if not _is_suspect(state, name)]
    return len(sound) >= policy.job_failure_limit


def _is_suspect(state: ShardRecords, worker_id: str) -> bool:
    worker = state.workers.get(worker_id)
    if worker is None:
        return False
    health = worker.health
    return health.on_probation or health.quarantined_until_ms is not None
