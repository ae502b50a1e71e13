"""Order in which waiting steps are assigned."""

from trefoilhook.scheduling.job_state import TaskState

__all__ = ["MAX_LATENESS_FACTOR", "TOO_LATE", "StepRank", "get_lateness", "rank_step"]

StepRank = tuple[int, bool, bool, bool, int, float, str, int, int]
"""Sort key of a waiting step."""

MAX_LATENESS_FACTOR = 3.0
"""A late job has some value to its users up to this multiple of its objective."""

TOO_LATE = 2
"""Rank of a job beyond that; it follows all other jobs of its priority."""


def get_lateness(state: TaskState, wall_ms: float) -> int:
    """Return 0 for a job that can meet its objective, 1 for late, or `TOO_LATE`."""
    job = state.job
    remaining_ms = job.due_ms - wall_ms
    if remaining_ms > state.step.estimate_ms:
        return 0
    objective_ms = job.due_ms - job.job.accepted_ms
    if (
        remaining_ms + (MAX_LATENESS_FACTOR - 1.0) * objective_ms
        > state.step.estimate_ms
    ):
        return 1
    return TOO_LATE


def rank_step(tasks: list[TaskState], wall_ms: float, *, level: int = 0) -> StepRank:
    """Return the sort key of a waiting step.

    Steps are sorted by priority, then by whether their job is guaranteed, then by
    whether the objective can be met, then by remaining work. A job has a fixed value
    plus one that grows with its work, so that small jobs have the highest value per
    core and second. Work spent on a job is lost if it is not completed, so that the
    remaining work counts. A guarantee ends once the job is too late.

    Long-running tasks follow the others of their priority, which free their capacity
    within a second and have several times their value per core and second. A
    long-running task that has already run comes first: on a full fleet the capacity
    that it freed is the only one of its size, and a steady stream of small tasks would
    occupy it permanently. Long-running tasks are sorted by ``level``, the share of
    their step that is at work, instead of lateness.
    """
    state = tasks[0]
    job = state.job
    is_long_running = state.step.long_running
    late = level if is_long_running else get_lateness(state, wall_ms)
    is_guaranteed = job.is_guaranteed and not is_long_running and late < TOO_LATE
    is_new = not (is_long_running and any(task.may_have_run for task in tasks))
    name = state.task
    return (
        job.priority,
        is_new,
        is_long_running,
        not is_guaranteed,
        late,
        job.work if is_long_running else job.measure_remaining_work(name.occurrence),
        name.job_id,
        name.occurrence,
        name.step,
    )
