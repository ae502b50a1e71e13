"""``account``: where the worth of jobs and services is lost, out of log files."""

import json
from collections import Counter
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilhook.account import build_loss_report
from trefoilhook.command.exit_codes import USAGE_EXIT_CODE
from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.settings import dump_json

__all__ = ["AccountCommand"]

_NOTHING_FOUND = 1

_DEFAULT_BIN_S = "10"


class AccountCommand(Command):
    """Tells what late, failed and refused jobs were lost by."""

    name = "account"
    description = "Tell where the worth of jobs and services is lost, out of logs."
    options = [
        LOG_OPTION,
        option(
            "bin",
            description="Length of the moments told apart, in s.",
            flag=False,
            default=_DEFAULT_BIN_S,
        ),
        option("json", description="Print the account as JSON."),
        option("html", description="Write a page with plots here.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        bin_s = _parse_length(self.option("bin"))
        if bin_s is None:
            text = f"--bin {self.option('bin')}: must be a number of seconds over 0"
            self.io.write_error_line(text, type=Type.RAW)
            return USAGE_EXIT_CODE
        unread: Counter[str] = Counter()
        try:
            lines = read_logs(self.option("log"), unread=unread)
        except OSError as error:
            self.io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE
        account = build_loss_report(lines, bin_s=bin_s, unread=unread)
        # Drawing libraries take long to load; no other command should wait for them.
        from trefoilhook.account.page import render_html, render_text

        if self.option("json"):
            text = json.dumps(dump_json(account), indent=2)
        elif self.option("html"):
            text = f"written to {self.option('html')}"
            page = render_html(account)
            Path(self.option("html")).write_text(page, encoding="utf-8")
        else:
            text = render_text(account)
        self.io.write_line(text, type=Type.RAW)
        return 0 if account.queues or account.services else _NOTHING_FOUND


def _parse_length(text: str) -> float | None:
    try:
        length_s = float(text)
    except ValueError:
        return None
    return length_s if 0.0 < length_s < float("inf") else None
