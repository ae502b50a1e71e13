"""Long-running tasks that wait to be restarted.

Their previous attempts are known to be over. A task with an attempt that may still be
running, for example on a worker that does not answer, does not wait.
"""

from collections.abc import Iterable

from trefoilhook.scheduling.job_state import TaskState

__all__ = ["find_longest_wait", "list_restarts", "measure_wait"]


def list_restarts(waiting: Iterable[TaskState]) -> list[TaskState]:
    """Return the long-running tasks among ``waiting`` that may have run before."""
    return [task for task in waiting if task.step.long_running and task.may_have_run]


def measure_wait(task: TaskState, now_ms: float) -> float:
    """Return the time for which a task has waited for a worker, in ms.

    The wait begins with the first round after the end of the previous attempt.
    """
    if task.waiting_since_ms is None:
        return 0.0
    return now_ms - task.waiting_since_ms


def find_longest_wait(tasks: Iterable[TaskState], now_ms: float) -> TaskState | None:
    """Return the task that has waited longest, or None if there is none."""
    return max(tasks, key=lambda task: measure_wait(task, now_ms), default=None)
