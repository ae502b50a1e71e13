"""Assignment while no places can be recorded: each task to the group of its job."""

from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.rounds import (
    AssignmentRound,
    next_attempt_number,
    reserve_capacity,
)
from trefoilhook.scheduling.tickets import name_step
from trefoilhook.scheduling.waits import WaitReason

__all__ = ["assign_in_groups"]


def assign_in_groups(
    assignment_round: AssignmentRound, ready: list[list[TaskState]]
) -> None:
    """Assign tasks to the workers on which the next owner expects them anyway.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round.
    ready : list of list of TaskState
        Tasks to start by step, in order of rank.

    Notes
    -----
    A group is too small for a gang, whose members wait.
    """
    now_ms = assignment_round.now_ms
    for tasks in ready:
        is_permitted = assignment_round.isolation.may_start(
            tasks[0], now_ms, is_overdue=assignment_round.is_overdue(tasks[0])
        )
        if (
            tasks[0].step.gang
            or not is_permitted
            or not _assign_step(assignment_round, tasks)
        ):
            assignment_round.scheduler.waits.record(
                name_step(tasks[0].task), WaitReason.NOT_RECORDED, now_ms
            )


def _assign_step(assignment_round: AssignmentRound, tasks: list[TaskState]) -> bool:
    """Assign the tasks of one step; return whether all of them were placed."""
    scheduler = assignment_round.scheduler
    groups = scheduler.groups
    if groups is None:
        return False
    names = set(groups.list_group(tasks[0].task.job_id))
    workers = [
        worker
        for worker in assignment_round.list_open(tasks[0])
        if worker.incarnation in names
    ]
    for task in tasks:
        candidates = assignment_round.rate(task, workers)
        worker = candidates.pop_best()
        if worker is None:
            return False
        reserve_capacity(
            assignment_round, task, worker, next_attempt_number(scheduler, task)
        )
    return True
