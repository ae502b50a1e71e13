"""Lines on what became of the runs on silent workers."""

from trefoilhook.logs import Event, log_event
from trefoilhook.scheduling import Lapse

__all__ = ["log_lapse"]


def log_lapse(lapse: Lapse) -> None:
    """Tell of a worker whose leases are over, and of each run given up there."""
    log_event(
        Event.WORKER_LOST,
        worker=lapse.worker_id,
        why="leases lapsed",
        listed=lapse.listed,
        silent_ms=round(lapse.silent_ms),
        given_up=len(lapse.given_up),
        awaited=lapse.awaited,
    )
    for task, attempt in lapse.given_up:
        log_event(
            Event.TASK_GIVEN_UP,
            task=str(task),
            attempt=attempt,
            worker=lapse.worker_id,
            why="leases lapsed",
        )
