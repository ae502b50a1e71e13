"""Writing of numbered events, bounded a second."""

import sys
import time
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from trefoilhook.logs.events import DECISIONS, Event

__all__ = ["LineBudget", "WriteEvent", "configure_logs", "log_event", "set_writer"]

WriteEvent = Callable[[Event, dict[str, Any]], None]

_MAX_PER_EVENT_PER_S = 100
"""Lines a second of one event that tells of a state: past this it is summed up."""

_MAX_PER_DECISION_PER_S = 1000
"""Lines a second of one kind of decision, which no later line tells again. An owner of
250 workers starts some 480 tasks a second; a line takes 210 bytes and 18 us."""


@attrs.define(kw_only=True)
class LineBudget:
    """Bounds the lines of each event, so that a burst can't fill a disk.

    Parameters
    ----------
    write : callable
        Writes an event that is within its budget.
    read_s : callable, optional
        Tells the time, in s.

    Notes
    -----
    Lines over the budget are counted, and the count is written with the first line,
    of whatever event, of a later second.
    """

    write: WriteEvent
    read_s: Callable[[], float] = time.monotonic
    _second: int = 0
    _used: dict[Event, int] = attrs.Factory(dict)

    def take(self, event: Event, fields: dict[str, Any]) -> None:
        """Write an event, or count it."""
        second = int(self.read_s())
        if second != self._second:
            self._sum_up()
            self._second = second
        used = self._used.get(event, 0)
        self._used[event] = used + 1
        if used < _find_limit(event):
            self.write(event, fields)

    def _sum_up(self) -> None:
        for event, used in self._used.items():
            count = used - _find_limit(event)
            if count > 0:
                self.write(Event.LINES_SUMMED, {"of": event.name, "count": count})
        self._used.clear()


def _find_limit(event: Event) -> int:
    return _MAX_PER_DECISION_PER_S if event in DECISIONS else _MAX_PER_EVENT_PER_S


def _write_by_library(event: Event, fields: dict[str, Any]) -> None:
    bound = logger.bind(event=event.number, event_name=event.name, **fields)
    bound.opt(depth=3).log(event.level.value, event.description)


_budget = LineBudget(write=_write_by_library)


def set_writer(write: WriteEvent) -> None:
    """Have events written by ``write`` instead of by the library."""
    _budget.write = write


def configure_logs(*, level: str = "INFO", as_json: bool = True) -> None:
    """Send events to standard error from ``level`` up, one JSON object a line."""
    logger.remove()
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format="{level} {message} {extra}")


def log_event(event: Event, **fields: Any) -> None:
    """Write one event.

    Parameters
    ----------
    event : Event
        The numbered event.
    **fields
        Typed details: ids, counts and durations; never a token or a body.
    """
    _budget.take(event, fields)
