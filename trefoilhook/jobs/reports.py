"""Conversion of workers' usage reports to the types used by placement."""

from trefoilhook import placement, workers

__all__ = ["read_report"]


def read_report(
    worker_id: str, report: workers.UsageReport, now_ms: float
) -> placement.UsageReport:
    """Convert a worker's usage report, with its time on the owner's clock.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    report : workers.UsageReport
        Report to convert. It states the age of the measurement, because the clocks of
        worker and owner are not synchronised.
    now_ms : float
        Monotonic time of arrival, in ms.
    """
    usage = tuple(
        placement.TaskUsage(task_id=each.job_id, used=each.resources)
        for each in report.usages
    )
    slowdowns = tuple(
        placement.ServiceSlowdown(task_id=each.job_id, slowdown=each.slowdown)
        for each in report.usages
    )
    return placement.UsageReport(
        worker_id=worker_id,
        measured_at_ms=now_ms - report.age_ms,
        usage=usage,
        slowdowns=slowdowns,
    )
