"""The log lines of the instances of one test."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from loguru import logger


@contextmanager
def collect_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the fields of every log line."""
    lines: list[dict[str, Any]] = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        yield lines
    finally:
        logger.remove(sink)
