"""``burn``: reports the error-budget burn rates of queues, from logs."""

import json
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilhook.burn import build_job_report
from trefoilhook.command.exits import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.configuration import Objective
from trefoilhook.settings import FieldError, dump_json

__all__ = ["BurnCommand"]

_NOTHING_FOUND = 1

_DEFAULT_TARGET = "0.99"
"""Share of jobs that must be good, equal to the default of a service's objective."""


class BurnCommand(Command):
    """Reports the error-budget burn of jobs by queue."""

    name = "burn"
    description = "Show the error-budget burn rates of queues, from logs."
    options = [
        LOG_OPTION,
        option(
            "target",
            description="Share of jobs that must meet their objective.",
            flag=False,
            default=_DEFAULT_TARGET,
        ),
        option("json", description="Print the report as JSON."),
        option(
            "html",
            description="Write the report with plots to this HTML file.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        target = _parse_target(self.option("target"))
        if target is None:
            text = f"--target {self.option('target')}: must be a share, such as 0.99"
            self.io.write_error_line(text, type=Type.RAW)
            return USAGE_EXIT_CODE
        try:
            lines = read_logs(self.option("log"))
        except OSError as error:
            self.io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE
        report = build_job_report(lines, target=target)
        # Imported here, as loading plotting libraries would slow other commands down.
        from trefoilhook.burn.page import render_html, render_text

        if self.option("json"):
            text = json.dumps(dump_json(report), indent=2)
        elif self.option("html"):
            text = f"written to {self.option('html')}"
            Path(self.option("html")).write_text(render_html(report), encoding="utf-8")
        else:
            text = render_text(report)
        self.io.write_line(text, type=Type.RAW)
        return 0 if report.services else _NOTHING_FOUND


def _parse_target(text: str) -> float | None:
    try:
        return Objective(target=float(text)).target
    except (ValueError, FieldError):
        return None
