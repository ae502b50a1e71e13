"""Order in which waiting steps are assigned."""

from trefoilhook.scheduling.job_state import TaskState

__all__ = ["TOO_LATE", "get_lateness", "rank_step"]

_MAX_LATENESS_FACTOR = 3.0
"""A late job has some value to its users up to this multiple of its objective."""

_AGED_SHARE = 0.5
"""Share of its slack after which a job is not passed over by later ones."""

TOO_LATE = 2
"""Rank of a job beyond that; it follows all other jobs of its priority."""


def get_lateness(state: TaskState, wall_ms: float) -> int:
    """Return 0 for a job that can meet its objective, 1 for late, or `TOO_LATE`."""
    job = state.job
    remaining_ms = job.due_ms - wall_ms
    rest_ms = job.rests_ms[state.task.step]
    if remaining_ms > rest_ms:
        return 0
    objective_ms = job.due_ms - job.job.accepted_ms
    if remaining_ms + (_MAX_LATENESS_FACTOR - 1.0) * objective_ms > rest_ms:
        return 1
    return TOO_LATE


def age_work(state: TaskState, wall_ms: float) -> float:
    """Return the work of a job, reduced by the slack that it has spent waiting.

    The slack is the time until the end of the objective that the rest of the critical
    path leaves. The result is 0 once half of it is spent: later jobs, however small,
    rank behind the job, and the other half remains for its tasks to be placed.
    """
    job = state.job
    slack_ms = job.due_ms - job.job.accepted_ms - max(job.rests_ms)
    if slack_ms <= 0.0:
        return job.work
    left_ms = job.due_ms - wall_ms - job.rests_ms[state.task.step]
    spent = 1.0 - left_ms / slack_ms
    return job.work * min(1.0, max(0.0, 1.0 - spent / _AGED_SHARE))


def rank_step(
    tasks: list[TaskState], wall_ms: float, *, level: int = 0
) -> tuple[int, bool, bool, int, float, float, str, int, int]:
    """Return the sort key of a waiting step.

    Steps are sorted by priority, then by whether the objective can be met, then by
    work as far as the job has slack, then by the latest start that meets the objective.
    A job has a fixed value plus one that grows with its work, so that small jobs have
    the highest value per core and second.

    Long-running tasks follow the others of their priority, which free their capacity
    within a second and have several times their value per core and second. A
    long-running task that has already run comes first: on a full fleet the capacity
    that it freed is the only one of its size, and a steady stream of small tasks would
    occupy it permanently. Long-running tasks are sorted by ``level``, the share of
    their step that is at work, instead of by lateness.
    """
    state = tasks[0]
    job = state.job
    priority = job.queue.priority if job.queue is not None else 0
    is_long_running = state.step.long_running
    late = level if is_long_running else get_lateness(state, wall_ms)
    is_new = not (is_long_running and any(task.may_have_run for task in tasks))
    name = state.task
    return (
        priority,
        is_new,
        is_long_running,
        late,
        job.work if late or is_long_running else age_work(state, wall_ms),
        job.due_ms - job.rests_ms[name.step],
        name.job_id,
        name.occurrence,
        name.step,
    )
