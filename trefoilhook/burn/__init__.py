"""Service-level burn: how fast services use their error budget up."""

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
    judge_each_job,
    judge_jobs,
    report_jobs,
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
    "build_report",
    "is_counted",
    "judge_each_job",
    "judge_jobs",
    "report_jobs",
]
