"""Handling of unreadable rows in the lists that a worker reports.

An unreadable end may be that of a completed task. Two conclusions would run the task
again: that the attempt is over without an end because no list contains it, and that the
worker may discard the end. Neither is drawn while the row is present: its attempt keeps
its task and its capacity until the row becomes readable, or until the worker's
incarnation or its leases are proved to have ended. Treating the row as a failure or as
an expired lease would either lose the work or repeat it.
"""

from collections.abc import Collection

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.messages import PollAnswer
from trefoilhook.scheduling.models import TaskId

__all__ = [
    "find_hidden_attempts",
    "has_too_many_held_ends",
    "identifies_all_attempts",
    "record_unreadable",
]

_MAX_HELD_ENDS = 250
"""Number of ends held back by another end above which a worker gets no new task:
half of the page of ends in a poll, so that the ends of current runs still fit."""


def record_unreadable(worker: Worker, answer: PollAnswer) -> None:
    """Record the number from which ends must not be acknowledged.

    An end without a readable number may be any end, so that none is acknowledged.
    """
    numbers = [row.number or 0 for row in answer.unreadable if row.is_end]
    worker.first_unreadable_end = min(numbers, default=None)


def find_hidden_attempts(
    worker: Worker,
    answer: PollAnswer,
    listed: Collection[tuple[TaskId, int]],
    now_ms: float,
) -> set[tuple[TaskId, int]]:
    """Return the unlisted attempts that an unreadable row may refer to.

    They count as progressing, which is unknown: a stalled attempt would otherwise be
    stopped repeatedly on a worker where it may already have ended.
    """
    named = {row.attempt for row in answer.unreadable}
    hidden = {
        key
        for key in worker.runs
        if key not in listed and (None in named or key in named)
    }
    for key in hidden:
        worker.runs[key].progressed_ms = now_ms
    return hidden


def identifies_all_attempts(answer: PollAnswer) -> bool:
    """Return whether every unreadable row identifies its attempt."""
    return all(row.attempt is not None for row in answer.unreadable)


def has_too_many_held_ends(worker: Worker) -> bool:
    """Return whether too many ends are held back by an unreadable or unproved one."""
    is_holding = worker.first_unreadable_end is not None or bool(worker.unproved_ends)
    return is_holding and len(worker.ends_taken) > _MAX_HELD_ENDS
