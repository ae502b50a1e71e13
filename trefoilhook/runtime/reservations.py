"""Log lines and counters for the workers that are reserved for waiting tasks."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import ReservationChange, Reservations

__all__ = ["report_reservations"]


def report_reservations(reservations: Reservations, metrics: ProcessMetrics) -> None:
    """Log and count the changes of the reservations since the last call."""
    for change in reservations.take_changes():
        if change.has_begun:
            _log_begin(change)
        else:
            metrics.count("reservations", change.reason.value)
            _log_end(change)


def _log_begin(change: ReservationChange) -> None:
    reservation = change.reservation
    log_event(
        Event.WORKER_RESERVED,
        worker=reservation.worker_id,
        step=_format_step(change),
        why=change.reason.value,
        cpu=reservation.demand.cpu,
        due_ms=round(reservation.due_ms - reservation.begun_ms),
    )


def _log_end(change: ReservationChange) -> None:
    reservation = change.reservation
    log_event(
        Event.RESERVATION_ENDED,
        worker=reservation.worker_id,
        step=_format_step(change),
        why=change.reason.value,
        lasted_ms=round(change.at_ms - reservation.begun_ms),
    )


def _format_step(change: ReservationChange) -> str:
    return ".".join(map(str, change.reservation.step))
