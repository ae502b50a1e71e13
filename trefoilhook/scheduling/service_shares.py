"""Ranks the waiting tasks of service jobs by the share of their step that is at work.

A service with no task at work is unavailable, while one that lacks few of its tasks is
hardly affected. The waiting tasks of a step are therefore assigned in parts, each
ranked by the share of the step that is at work before it is assigned.
"""

from collections.abc import Iterable, Iterator

from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.tickets import name_step

__all__ = ["count_at_work", "split_by_share"]

_PART_COUNT = 4
"""Number of parts of a step that are ranked separately. More parts are fairer, but the
workers are rated again for each of them."""


def split_by_share(
    steps: Iterable[list[TaskState]], now_ms: float
) -> Iterator[tuple[int, list[TaskState]]]:
    """Yield waiting tasks by step or part of a step, with their level.

    No part has both tasks that have run and new ones.

    Parameters
    ----------
    steps : iterable of list of TaskState
        Waiting tasks by step.
    now_ms : float
        Current time, in ms.

    Yields
    ------
    level : int
        For service tasks, the share of the step at work before them, in parts; 0 for
        others.
    tasks : list of TaskState
        The tasks.
    """
    for tasks in steps:
        step = tasks[0].step
        if not step.long_running or step.gang:
            yield 0, tasks
            continue
        at_work = count_at_work(tasks[0])
        # Most steps are placed completely in their first round.
        has_waited = _has_waited(tasks, now_ms)
        # Tasks that have run come first, as they rank before urgent tasks and need not
        # leave capacity to them.
        tasks.sort(key=lambda task: (not task.may_have_run, task.task.index))
        parts: dict[tuple[int, bool], list[TaskState]] = {}
        for number, task in enumerate(tasks):
            before = at_work + (number if has_waited else 0)
            level = _PART_COUNT * before // step.count
            parts.setdefault((level, task.may_have_run), []).append(task)
        yield from ((level, part) for (level, _), part in parts.items())


def _has_waited(tasks: list[TaskState], now_ms: float) -> bool:
    return any(
        task.waiting_since_ms is not None and task.waiting_since_ms < now_ms
        for task in tasks
    )


def count_at_work(task: TaskState) -> int:
    """Return the number of tasks of a task's step that have an attempt."""
    step = name_step(task.task)
    return sum(
        bool(other.attempts)
        for name, other in task.job.tasks.items()
        if name_step(name) == step
    )
