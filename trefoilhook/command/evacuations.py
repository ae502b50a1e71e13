"""``evacuations``: lists evacuated failure domains and the runs that remain there."""

import datetime
import json

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilhook.account import EvacuationReport, list_evacuations
from trefoilhook.command.exits import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.settings import dump_json

__all__ = ["EvacuationsCommand"]

_NOTHING_FOUND = 1


class EvacuationsCommand(Command):
    """Lists evacuations of failure domains, as text or JSON."""

    name = "evacuations"
    description = "List evacuated failure domains and the remaining runs, from logs."
    options = [LOG_OPTION, option("json", description="Print them as JSON.")]

    def handle(self) -> int:
        """Run the command."""
        try:
            reports = list_evacuations(read_logs(self.option("log")))
        except OSError as error:
            self.io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE
        if self.option("json"):
            self.io.write_line(json.dumps(dump_json(reports), indent=2), type=Type.RAW)
        else:
            for report in reports:
                self.io.write_line(_describe(report), type=Type.RAW)
        return 0 if reports else _NOTHING_FOUND


def _describe(report: EvacuationReport) -> str:
    state = "in force"
    if report.ended_s is not None:
        state = f"until {_format_time(report.ended_s)}"
    parts = [
        f"{report.failure_domain}: since {_format_time(report.began_s)}",
        state,
        f"known to {len(report.instances)} instances",
    ]
    if report.counted_s is not None:
        parts.append(
            f"at {_format_time(report.counted_s)} {report.runs} runs on "
            f"{report.busy_workers} workers, {report.long_running} of them long-running"
        )
    return ", ".join(parts)


def _format_time(time_s: float) -> str:
    time = datetime.datetime.fromtimestamp(time_s, tz=datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S")
