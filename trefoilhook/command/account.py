"""``account``: reports why jobs and services miss their objectives, from logs."""

import json
from collections import Counter
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilhook.account import build_loss_report
from trefoilhook.command.exits import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.settings import dump_json

__all__ = ["AccountCommand"]

_NOTHING_FOUND = 1

_DEFAULT_BIN_S = "10"


class AccountCommand(Command):
    """Attributes late, failed and refused jobs, and slow services, to causes."""

    name = "account"
    description = "Show why jobs and services miss their objectives, from logs."
    options = [
        LOG_OPTION,
        option(
            "bin",
            description="Length of the intervals that losses are grouped by, in s.",
            flag=False,
            default=_DEFAULT_BIN_S,
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
        bin_s = _parse_length(self.option("bin"))
        if bin_s is None:
            text = f"--bin {self.option('bin')}: must be a number of seconds above 0"
            self.io.write_error_line(text, type=Type.RAW)
            return USAGE_EXIT_CODE
        unread: Counter[str] = Counter()
        try:
            lines = read_logs(self.option("log"), unread=unread)
        except OSError as error:
            self.io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE
        report = build_loss_report(lines, bin_s=bin_s, unread=unread)
        # Imported here, as loading plotting libraries would slow other commands down.
        from trefoilhook.account.page import render_html, render_text

        if self.option("json"):
            text = json.dumps(dump_json(report), indent=2)
        elif self.option("html"):
            text = f"written to {self.option('html')}"
            page = render_html(report)
            Path(self.option("html")).write_text(page, encoding="utf-8")
        else:
            text = render_text(report)
        self.io.write_line(text, type=Type.RAW)
        return 0 if report.queues or report.services else _NOTHING_FOUND


def _parse_length(text: str) -> float | None:
    try:
        length_s = float(text)
    except ValueError:
        return None
    return length_s if 0.0 < length_s < float("inf") else None
