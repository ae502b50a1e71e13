"""Workers that have shut down as planned, as their entries in the store show.

A worker that shuts down announces it in its entry, and the entry is removed when it has
left. The entry of a worker that does not report any more is removed as well, but only
after several reports were missed, while its tasks may run on.
"""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.incarnations import may_still_start

__all__ = ["has_left"]

_ENTRY_MARGIN_MS = 1000.0
"""Margin on the time for which the entry of a silent worker remains, in ms."""


def has_left(scheduler: Scheduler, worker: Worker, now_ms: float) -> bool:
    """Return whether the removal of an entry proves that its worker has shut down.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    worker : Worker
        Worker without an entry.
    now_ms : float
        Time at which the removal was seen, in ms.
    """
    written_ms = worker.entry_written_ms
    silence_ms = scheduler.limits.entry_life_ms - _ENTRY_MARGIN_MS
    return (
        not worker.listed
        and worker.report.draining
        and now_ms - written_ms < silence_ms
        # During an outage of the store entries are removed early.
        and scheduler.entries.steady_since_ms <= written_ms
        and not _may_restart_with_starts(scheduler, worker)
    )


def _may_restart_with_starts(scheduler: Scheduler, worker: Worker) -> bool:
    """Return whether the next process under the same id may execute a late start."""
    if worker.born_ms is None:
        return False
    return (
        worker.incarnation in scheduler.predecessors.awaited
        or bool(worker.unanswered_starts)
        or any(may_still_start(run) for run in worker.runs.values())
    )
