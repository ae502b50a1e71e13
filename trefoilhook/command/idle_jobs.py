"""``idle-jobs``: reports for how long and why nothing of batch jobs ran."""

from collections.abc import Mapping

from trefoilhook.command.log_reports import LogReportCommand, build_options
from trefoilhook.interruptions import (
    IdleJobReport,
    build_idle_job_report,
    render_idle_jobs,
)
from trefoilhook.story import LogLine

__all__ = ["IdleJobsCommand"]


class IdleJobsCommand(LogReportCommand[IdleJobReport]):
    """Lists the times for which nothing of a batch job ran, across all owners."""

    name = "idle-jobs"
    description = "Show for how long and why nothing of batch jobs ran, from logs."
    options = build_options("time")

    def build_report(
        self, lines: list[LogLine], *, min_s: float, unread: Mapping[str, int]
    ) -> IdleJobReport:
        """Build the report from log lines."""
        return build_idle_job_report(lines, min_s=min_s, unread=unread)

    def render_report(self, report: IdleJobReport) -> str:
        """Render the report as text."""
        return render_idle_jobs(report)

    def has_results(self, report: IdleJobReport) -> bool:
        """Return whether the report lists anything."""
        return bool(report.stretches)
