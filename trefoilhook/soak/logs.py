"""Reads the log files of the instances of a soak run."""

from collections.abc import Iterator
from pathlib import Path

from trefoilhook.logs import Event

__all__ = ["LOG_FILE", "read_failures"]

LOG_FILE = "log.jsonl"
"""Name of the log in the folder of an instance."""

_FAILURES = tuple(
    f'"event_name":"{event.name}"'
    for event in (
        Event.OWNER_FAILED,
        Event.PLAN_FAILED,
        Event.CALL_FAILED,
        Event.HANDLER_FAILED,
    )
)
"""Parts of the lines that report an unexpected exception."""


def read_failures(path: Path) -> Iterator[str]:
    """Yield the lines of a log that report a contained exception."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for line in file:
            if any(part in line for part in _FAILURES):
                yield line.strip()
