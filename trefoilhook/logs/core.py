"""Rate-limited logging of numbered events."""

import sys
import time
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from trefoilhook.logs.events import DECISION_EVENTS, Event

__all__ = [
    "EventRateLimiter",
    "WriteEvent",
    "configure_logs",
    "log_event",
    "set_writer",
]

WriteEvent = Callable[[Event, dict[str, Any]], None]

_MAX_LINES_PER_EVENT_PER_S = 100
"""Rate limit of each event that reports a state; excess lines are only counted."""

_MAX_LINES_PER_DECISION_PER_S = 1000
"""Rate limit of each event in `DECISION_EVENTS`, which no later line repeats. An owner
of 250 workers starts about 480 tasks per second; a line takes 210 bytes and 18 us."""


@attrs.define(kw_only=True)
class EventRateLimiter:
    """Limits the lines of each event per second, so that a burst can't fill a disk.

    Parameters
    ----------
    write : callable
        Writes an event that is within its rate limit.
    read_s : callable, optional
        Returns the monotonic time, in s.

    Notes
    -----
    Lines over the limit are counted. The count is written before the first line of any
    event in a later second.
    """

    write: WriteEvent
    monotonic_s: Callable[[], float] = time.monotonic
    _second: int = 0
    _seen: dict[Event, int] = attrs.Factory(dict)

    def log(self, event: Event, fields: dict[str, Any]) -> None:
        """Write an event, or count it if it is over its rate limit."""
        second = int(self.monotonic_s())
        if second != self._second:
            self._write_suppressed_counts()
            self._second = second
        seen = self._seen.get(event, 0)
        self._seen[event] = seen + 1
        if seen < _get_limit(event):
            self.write(event, fields)

    def _write_suppressed_counts(self) -> None:
        for event, seen in self._seen.items():
            count = seen - _get_limit(event)
            if count > 0:
                self.write(Event.LINES_SUMMED, {"of": event.name, "count": count})
        self._seen.clear()


def _get_limit(event: Event) -> int:
    return (
        _MAX_LINES_PER_DECISION_PER_S
        if event in DECISION_EVENTS
        else _MAX_LINES_PER_EVENT_PER_S
    )


def _write_with_loguru(event: Event, fields: dict[str, Any]) -> None:
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=3).log(event.level.value, event.description)


_rate_limiter = EventRateLimiter(write=_write_with_loguru)


def set_writer(write: WriteEvent) -> None:
    """Write events by ``write`` instead of loguru."""
    _rate_limiter.write = write


def configure_logs(*, level: str = "INFO", as_json: bool = True) -> None:
    """Log events of ``level`` and above to standard error, by default as JSON lines."""
    logger.remove()
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format="{level} {message} {extra}")


def log_event(event: Event, **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event : Event
        The numbered event.
    **fields
        Details such as ids, counts and durations; never a token or a body.
    """
    _rate_limiter.log(event, fields)
