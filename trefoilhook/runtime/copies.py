"""Logs and counts copies of speculative tasks."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import CopySettlement, CopyStart, Scheduler

__all__ = ["log_copies"]


def log_copies(scheduler: Scheduler, metrics: ProcessMetrics) -> None:
    """Log and count the copies started and settled since the last call."""
    copies = scheduler.copies
    for start in copies.started:
        metrics.count("copies", "started")
        _log_start(start)
    for settlement in copies.settled:
        metrics.count("copies", settlement.outcome.value)
        metrics.observe("copy_saved_ms", settlement.saved_ms)
        metrics.observe("copy_wasted_ms", settlement.wasted_ms)
        _log_settlement(settlement)
    copies.started.clear()
    copies.settled.clear()


def _log_start(start: CopyStart) -> None:
    log_event(
        Event.COPY_STARTED,
        task=str(start.task),
        attempt=start.attempt,
        original=start.original,
        worker=start.worker_id,
        ran_ms=round(start.ran_ms),
        expected_ms=round(start.expected_ms),
        rest_ms=round(start.rest_ms),
        silent=start.is_silent,
    )


def _log_settlement(settlement: CopySettlement) -> None:
    log_event(
        Event.COPY_SETTLED,
        task=str(settlement.start.task),
        attempt=settlement.start.attempt,
        original=settlement.start.original,
        how=settlement.outcome.value,
        saved_ms=round(settlement.saved_ms),
        wasted_ms=round(settlement.wasted_ms),
    )
