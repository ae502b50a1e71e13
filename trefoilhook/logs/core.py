"""Writing of numbered events through loguru."""

import sys
import time
from typing import Any

from loguru import logger

from trefoilhook.logs.events import Event

__all__ = ["configure_logs", "log_event"]

_MAX_PER_EVENT_PER_S = 100
"""Lines a second of one event. An owner of 33 workers starts some 80 tasks a second,
each with a line of about 200 bytes; past this a burst is summed up."""

_windows: dict[Event, tuple[int, int]] = {}


def configure_logs(*, level: str = "INFO", as_json: bool = True) -> None:
    """Send events to standard error from ``level`` up, one JSON object a line."""
    logger.remove()
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format="{level} {message} {extra}")


def _take_budget(event: Event) -> bool:
    """Count one line against the event's budget, so that a burst can't fill a disk.

    Lines over the budget are counted, and the count is written with the event's first
    line of a later second.
    """
    second = int(time.monotonic())
    window, used = _windows.get(event, (second, 0))
    if window != second:
        if used > _MAX_PER_EVENT_PER_S:
            _write(
                Event.LINES_SUMMED,
                {"of": event.name, "count": used - _MAX_PER_EVENT_PER_S},
            )
        used = 0
    _windows[event] = (second, used + 1)
    return used < _MAX_PER_EVENT_PER_S


def _write(event: Event, fields: dict[str, Any]) -> None:
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=2).log(event.level.value, event.description)


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
    _write(event, fields)
