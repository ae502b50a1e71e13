"""Reads the log files given to a command."""

import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from cleo.helpers import option

from trefoilhook.story import LogLine, read_lines

__all__ = ["LOG_OPTION", "read_logs"]

LOG_OPTION = option(
    "log",
    description="A log file; repeatable. Without any, standard input is read.",
    flag=False,
    multiple=True,
)


def read_logs(
    names: Sequence[str], *, unread: Counter[str] | None = None
) -> list[LogLine]:
    """Read the lines of all files, or of standard input if none is given.

    Skipped lines are counted in ``unread``, by reason.
    """
    if not names:
        return list(read_lines(sys.stdin, unread=unread))
    lines: list[LogLine] = []
    for name in names:
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            lines.extend(read_lines(file, unread=unread))
    return lines
