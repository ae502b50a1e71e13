"""Logs and counts the errors in planning that did not end the ownership."""

from trefoilhook.logs import Event, describe_failure, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling.failures import FailureTracker

__all__ = ["log_plan_failures"]


def log_plan_failures(
    failures: FailureTracker, metrics: ProcessMetrics, *, epoch: int
) -> None:
    """Log and count the errors since the last call."""
    for failure in failures.unreported:
        metrics.count("plan_failures", "job" if failure.job_id else "worker")
        subject = (
            {"job": failure.job_id} if failure.job_id else {"worker": failure.worker_id}
        )
        log_event(
            Event.PLAN_FAILED,
            epoch=epoch,
            **subject,
            **describe_failure(failure.error),
        )
    failures.unreported.clear()
