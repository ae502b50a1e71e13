"""What rows of a worker's lists that can't be read keep from being concluded.

An end that can't be read may be that of a task that is done. Two conclusions would have
it run again: that the attempt is over without an end because no list names it, and that
the worker may forget the end. Neither is drawn while such a row stands, so its attempt
holds its task and its room until the row can be read, or the worker's life or its
leases are proved over. Reading the row as a failure or as a lapse instead would be a
guess that costs either the work or a second run of it.
"""

from collections.abc import Collection

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.messages import Look
from trefoilhook.scheduling.models import TaskId

__all__ = ["is_clogged", "keep_hidden", "names_all", "note_unread"]

_MOST_HELD_ENDS = 250
"""Ends held back behind one that can't be read past which a worker gets no new task:
half of the page that a look lists, so that what runs there still finds room on it."""


def note_unread(worker: Worker, look: Look) -> None:
    """Note from which end on nothing may be acknowledged.

    An end without a readable number may be any, so nothing more is acknowledged then.
    """
    numbers = [row.number or 0 for row in look.unread if row.is_end]
    worker.unread_from = min(numbers, default=None)


def keep_hidden(
    worker: Worker, look: Look, listed: Collection[tuple[TaskId, int]], now_ms: float
) -> set[tuple[TaskId, int]]:
    """Return the attempts that aren't listed but may be meant by an unread row.

    They count as making progress, which can't be told: stops to one that stands still
    would be sent again and again to a worker where it may have ended.
    """
    named = {row.attempt for row in look.unread}
    hidden = {
        key
        for key in worker.runs
        if key not in listed and (None in named or key in named)
    }
    for key in hidden:
        worker.runs[key].progressed_ms = now_ms
    return hidden


def names_all(look: Look) -> bool:
    """Tell whether every row names its attempt, so that all on the worker are known."""
    return all(row.attempt is not None for row in look.unread)


def is_clogged(worker: Worker) -> bool:
    """Tell whether too many ends are held back behind one that can't be read."""
    return worker.unread_from is not None and len(worker.ends_taken) > _MOST_HELD_ENDS
