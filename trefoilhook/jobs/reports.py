"""From a worker's measurements to what placement learns from."""

from trefoilhook import placement, workers

__all__ = ["read_report"]


def read_report(
    worker_id: str, report: workers.UsageReport, now_ms: float
) -> placement.UsageReport:
    """Return a worker's report with its time on the owner's clock.

    Parameters
    ----------
    worker_id : str
        The worker.
    report : workers.UsageReport
        What it told; it gives the age of its measurement, since its clock is its own.
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
