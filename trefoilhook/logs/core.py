"""Writing of numbered events through loguru."""

import sys
import time
from typing import Any

from loguru import logger

from trefoilhook.logs.events import Event

__all__ = ["configure_logs", "log_event"]

_MAX_PER_EVENT_PER_S = 50
_windows: dict[Event, tuple[int, int]] = {}


def configure_logs(*, level: str = "INFO", as_json: bool = True) -> None:
    """Send events to standard error from ``level`` up, one JSON object a line."""
    logger.remove()
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format="{level} {message} {extra}")


def _take_budget(event: Event) -> bool:
    """Count one line against the event's budget, so that a burst can't fill a disk."""
    second = int(time.monotonic())
    window, used = _windows.get(event, (second, 0))
    if window != second:
        window, used = second, 0
    _windows[event] = (window, used + 1)
    return used < _MAX_PER_EVENT_PER_S


def log_event(event: Event, **fields: Any) -> None:
    """Write one event.

    Parameters
    ----------
    event : Event
        The numbered event.
    **fields
        Typed details: ids, counts and durations; never a token or a body.
    """
    if not _take_budget(event):
        return
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=1).log(event.level.value, event.description)
