"""``interruptions``: reports for how long and why service tasks did not run."""

from collections.abc import Mapping

from trefoilhook.command.log_reports import LogReportCommand, build_options
from trefoilhook.interruptions import (
    InterruptionReport,
    build_interruption_report,
    render_text,
)
from trefoilhook.story import LogLine

__all__ = ["InterruptionsCommand"]


class InterruptionsCommand(LogReportCommand[InterruptionReport]):
    """Lists the times before and between runs of service tasks, across all owners."""

    name = "interruptions"
    description = "Show for how long and why service tasks did not run, from logs."
    options = build_options("interruption")

    def build_report(
        self, lines: list[LogLine], *, min_s: float, unread: Mapping[str, int]
    ) -> InterruptionReport:
        """Build the report from log lines."""
        return build_interruption_report(lines, min_s=min_s, unread=unread)

    def render_report(self, report: InterruptionReport) -> str:
        """Render the report as text."""
        return render_text(report)

    def has_results(self, report: InterruptionReport) -> bool:
        """Return whether the report lists anything."""
        return bool(report.interruptions or report.first_starts)
