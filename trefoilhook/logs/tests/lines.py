"""Helpers that capture log lines in tests."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger

__all__ = ["capture_lines", "count_lines", "find_line"]


@contextmanager
def capture_lines() -> Iterator[list[dict]]:
    """Collect the fields of every event that is logged."""
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        yield lines
    finally:
        logger.remove(sink)


def count_lines(lines: list[dict]) -> Counter:
    """Count lines by the name of their event."""
    return Counter(line["event_name"] for line in lines)


def find_line(lines: list[dict], name: str) -> dict:
    """Return the only line of an event."""
    (line,) = (line for line in lines if line["event_name"] == name)
    return line
