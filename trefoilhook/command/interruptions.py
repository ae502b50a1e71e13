"""``interruptions``: reports for how long and why service tasks did not run."""

import json
import math
from collections import Counter

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilhook.command.exits import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.interruptions import build_interruption_report, render_text
from trefoilhook.settings import dump_json

__all__ = ["InterruptionsCommand"]

_NOTHING_FOUND = 1


class InterruptionsCommand(Command):
    """Lists the times before and between runs of service tasks, across all owners."""

    name = "interruptions"
    description = "Show for how long and why service tasks did not run, from logs."
    options = [
        LOG_OPTION,
        option(
            "min",
            description="Shortest interruption to report, in s.",
            flag=False,
            default="0",
        ),
        option("json", description="Print the report as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        min_s = _parse_duration(self.option("min"))
        if min_s is None:
            text = f"--min {self.option('min')}: must be a number of seconds from 0 on"
            self.io.write_error_line(text, type=Type.RAW)
            return USAGE_EXIT_CODE
        unread: Counter[str] = Counter()
        try:
            lines = read_logs(self.option("log"), unread=unread)
        except OSError as error:
            self.io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE
        report = build_interruption_report(lines, min_s=min_s, unread=unread)
        if self.option("json"):
            text = json.dumps(dump_json(report), indent=2)
        else:
            text = render_text(report)
        self.io.write_line(text, type=Type.RAW)
        has_results = report.interruptions or report.first_starts
        return 0 if has_results else _NOTHING_FOUND


def _parse_duration(text: str) -> float | None:
    try:
        duration_s = float(text)
    except ValueError:
        return None
    return duration_s if 0.0 <= duration_s < math.inf else None
