"""Commands that print a report on long waits, built from logs."""

import json
import math
from abc import abstractmethod
from collections import Counter
from collections.abc import Mapping
from typing import Generic, TypeVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from trefoilhook.command.exits import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.settings import dump_json
from trefoilhook.story import LogLine

__all__ = ["LogReportCommand", "build_options"]

_NOTHING_FOUND = 1

ReportT = TypeVar("ReportT")


def build_options(what: str) -> list[Option]:
    """Return the options of a command that reports ``what`` with a duration."""
    return [
        LOG_OPTION,
        option(
            "min",
            description=f"Shortest {what} to report, in s.",
            flag=False,
            default="0",
        ),
        option("json", description="Print the report as JSON."),
    ]


class LogReportCommand(Command, Generic[ReportT]):
    """Prints a report as text or JSON; the exit code tells whether it has results."""

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
        report = self.build_report(lines, min_s=min_s, unread=unread)
        if self.option("json"):
            text = json.dumps(dump_json(report), indent=2)
        else:
            text = self.render_report(report)
        self.io.write_line(text, type=Type.RAW)
        return 0 if self.has_results(report) else _NOTHING_FOUND

    @abstractmethod
    def build_report(
        self, lines: list[LogLine], *, min_s: float, unread: Mapping[str, int]
    ) -> ReportT:
        """Build the report from log lines."""

    @abstractmethod
    def render_report(self, report: ReportT) -> str:
        """Render the report as text."""

    @abstractmethod
    def has_results(self, report: ReportT) -> bool:
        """Return whether the report lists anything."""


def _parse_duration(text: str) -> float | None:
    try:
        duration_s = float(text)
    except ValueError:
        return None
    return duration_s if 0.0 <= duration_s < math.inf else None
