"""What of a shard's state has to be written, and what may be acknowledged after."""

import attrs

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker

__all__ = ["JobChange", "acknowledge", "collect_changes", "confirm_change"]


@attrs.frozen(kw_only=True)
class JobChange:
    """What has to be written of a job.

    Parameters
    ----------
    state : JobState
        The job.
    version : int
        Its version that the change stands for.
    is_end : bool
        Whether its record changes, because it ended.
    is_first_start : bool
        Whether its mark among the waiting jobs goes.
    """

    state: JobState
    version: int
    is_end: bool
    is_first_start: bool


def collect_changes(scheduler: Scheduler) -> list[JobChange]:
    """List what has to be written, the ends of jobs first."""
    changes = [
        JobChange(
            state=state,
            version=state.version,
            is_end=not state.phase_saved,
            is_first_start=state.marked and (state.started or not state.is_open),
        )
        for state in scheduler.dirty
    ]
    changes.sort(key=lambda change: not change.is_end)
    return changes


def confirm_change(scheduler: Scheduler, change: JobChange, *, revision: int) -> None:
    """Note that a change is in the store."""
    state = change.state
    state.saved_version = max(state.saved_version, change.version)
    if change.is_first_start:
        state.marked = False
    if change.is_end:
        state.phase_saved = True
        state.revision = revision
        state.progress_revision = 0
    else:
        state.progress_revision = revision
    if state.saved_version >= state.version and state.phase_saved:
        scheduler.dirty.discard(state)


def acknowledge(worker: Worker) -> int:
    """Return up to which number the worker may forget its ends."""
    while worker.unacknowledged:
        number, is_saved = worker.unacknowledged[0]
        is_held = worker.unread_from is not None and number >= worker.unread_from
        if is_held or not is_saved():
            break
        worker.acknowledged = number
        worker.ends_taken.discard(number)
        worker.unacknowledged.popleft()
    return worker.acknowledged
