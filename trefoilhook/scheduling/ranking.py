"""The order in which waiting steps get their places."""

from trefoilhook.scheduling.book import TaskState

__all__ = ["TOO_LATE", "judge_lateness", "rank_step"]

_LATE_FACTOR = 3.0
"""Up to so many times its objective a late job is still of some use to its users."""

TOO_LATE = 2
"""Rank of a job past that: it comes after all others of its priority."""


def judge_lateness(state: TaskState, wall_ms: float) -> int:
    """Return 0 for a job that can be in time, 1 for late, `TOO_LATE` past any use."""
    job = state.job
    left_ms = job.due_ms - wall_ms
    if left_ms > state.step.estimate_ms:
        return 0
    objective_ms = job.due_ms - job.job.accepted_ms
    if left_ms + (_LATE_FACTOR - 1.0) * objective_ms > state.step.estimate_ms:
        return 1
    return TOO_LATE


def rank_step(
    tasks: list[TaskState], wall_ms: float
) -> tuple[int, bool, bool, int, float, str, int, int]:
    """Order of the waiting steps: by priority, by who can be in time, the small first.

    A job is worth a fixed part and a part by its work, so small ones earn most by the
    core and second.

    Long-running tasks come after the others of their priority: those give their room
    back in a second, and earn several times as much by the core and second. But one
    that ran and ended comes first: on a full fleet the place that it left is the only
    one of its size, and small tasks that keep coming would take it for good.
    """
    state = tasks[0]
    job = state.job
    priority = job.queue.priority if job.queue is not None else 0
    late = judge_lateness(state, wall_ms)
    lasts = state.step.long_running
    is_new = not (lasts and any(task.last_attempt for task in tasks))
    name = state.task
    return (
        priority,
        is_new,
        lasts,
        late,
        job.work,
        name.job_id,
        name.occurrence,
        name.step,
    )
