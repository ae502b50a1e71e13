"""Unsaved changes of a shard, and the acknowledgements that they permit once saved."""

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState

__all__ = ["JobChange", "acknowledge", "collect_changes", "confirm_change"]


@attrs.frozen(kw_only=True)
class JobChange:
    """Change of a job that must be saved.

    Parameters
    ----------
    state : JobState
        State of the job.
    version : int
        Version of the job that is saved by the change.
    is_end : bool
        Whether the record changes because the job ended.
    is_first_start : bool
        Whether the job is removed from the list of jobs that wait for their first
        start.
    """

    state: JobState
    version: int
    is_end: bool
    is_first_start: bool


def collect_changes(scheduler: Scheduler) -> list[JobChange]:
    """Return the changes to save, ends of jobs first, then the oldest."""
    changes = [
        JobChange(
            state=state,
            version=state.version,
            is_end=not state.phase_saved,
            is_first_start=state.is_listed_waiting
            and (state.started or not state.is_open),
        )
        for state in scheduler.dirty
    ]
    changes.sort(
        key=lambda change: (not change.is_end, change.state.min_unsaved_version)
    )
    return changes


def confirm_change(scheduler: Scheduler, change: JobChange, *, revision: int) -> None:
    """Record that a change is saved."""
    state = change.state
    state.saved_version = max(state.saved_version, change.version)
    if change.is_first_start:
        state.is_listed_waiting = False
    if change.is_end:
        # Nothing else is kept of an ended job.
        state.saved_version = max(state.saved_version, state.version)
        state.phase_saved = True
        state.revision = revision
        state.progress_revision = 0
    else:
        state.progress_revision = revision
    if state.saved_version >= state.version and state.phase_saved:
        scheduler.dirty.discard(state)
    else:
        state.min_unsaved_version = max(
            state.min_unsaved_version, state.saved_version + 1
        )


def acknowledge(worker: Worker) -> int:
    """Return the number up to which a worker may discard its ends."""
    while worker.unacknowledged:
        number, is_saved = worker.unacknowledged[0]
        is_held = (
            worker.first_unreadable_end is not None
            and number >= worker.first_unreadable_end
        )
        if is_held or number in worker.unproved_ends or not is_saved():
            break
        worker.acknowledged = number
        worker.ends_taken.discard(number)
        worker.unacknowledged.popleft()
    return worker.acknowledged
