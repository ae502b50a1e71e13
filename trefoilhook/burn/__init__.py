"""Error-budget burn rates of services and job queues."""

from trefoilhook.burn.core import (
    Alert,
    BurnReport,
    SeriesPoint,
    ServiceBurn,
    SourceRow,
    TeamBurn,
    WindowBurn,
)
from trefoilhook.burn.ledger import BurnLedger, is_counted
from trefoilhook.burn.outcomes import (
    JobOutcome,
    build_job_report,
    classify_jobs,
    classify_jobs_by_id,
)
from trefoilhook.burn.report import FindObjective, build_report

__all__ = [
    "Alert",
    "BurnLedger",
    "BurnReport",
    "FindObjective",
    "JobOutcome",
    "SeriesPoint",
    "ServiceBurn",
    "SourceRow",
    "TeamBurn",
    "WindowBurn",
    "build_job_report",
    "build_report",
    "classify_jobs",
    "classify_jobs_by_id",
    "is_counted",
]
