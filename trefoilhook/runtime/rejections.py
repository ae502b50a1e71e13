"""Invalid external data, which is logged once and counted each time."""

import attrs

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics

__all__ = ["Rejections"]

_MAX_INVALID_KEYS = 2000
"""Maximum number of tracked keys, about 200 bytes each. It exceeds the number of worker
keys of a day. Beyond it, the oldest key is dropped, and logged again if it is still
invalid."""

_MAX_REASON_LENGTH = 200
"""Maximum length of a logged reason, in characters. Reasons name fields, so only a path
of many fields is longer."""

_MAX_LINES_PER_KEY = 5
"""Maximum number of lines about a key in `_KEY_WINDOW_MS`, if it is valid in between.
Two writers of one key may alternate hundreds of times a second, and would use up the
lines for all keys; an operator who mends an entry by hand tries less often."""

_KEY_WINDOW_MS = 10_000.0


@attrs.define(kw_only=True)
class _Report:
    """The last lines about a key.

    Parameters
    ----------
    since_ms : float
        Start of the window in which lines are counted, in ms.
    lines : int
        Number of lines since then.
    is_current : bool
        Whether the key has not been valid since the last line.
    """

    since_ms: float
    lines: int = 0
    is_current: bool = False


class Rejections:
    """Logs each invalid entry once, until it is valid again.

    An entry that stays invalid must not flood the log: worker entries are rewritten
    with each heartbeat, and foreign entries at any rate.

    Parameters
    ----------
    clock : Clock
        Time source.
    metrics : ProcessMetrics
        Counts all rejections by event.
    """

    def __init__(self, *, clock: Clock, metrics: ProcessMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._reports: dict[tuple[Event, str], _Report] = {}

    def report(self, event: Event, key: str, reason: str, *, revision: int = 0) -> None:
        """Count an invalid entry, and log it unless it is already known as invalid.

        Parameters
        ----------
        event : Event
            Event to log, which depends on the kind of entry.
        key : str
            Key in the store, or the sender of data that isn't in the store.
        reason : str
            Why the entry is invalid, without any of its values.
        revision : int, optional
            Revision of the entry, or 0 for data that isn't in the store.
        """
        self._metrics.count("rejected", event.name.lower())
        known = self._reports.get((event, key))
        if known is None:
            known = self._begin(event, key)
        if known.is_current or not self._take_line(known):
            return
        known.is_current = True
        log_event(event, key=key, revision=revision, error=reason[:_MAX_REASON_LENGTH])

    def accept(self, event: Event, key: str) -> None:
        """Record that an entry is valid or has been removed."""
        known = self._reports.get((event, key))
        if known is not None:
            known.is_current = False

    def _begin(self, event: Event, key: str) -> _Report:
        if len(self._reports) >= _MAX_INVALID_KEYS:
            del self._reports[next(iter(self._reports))]
        report = _Report(since_ms=self._clock.monotonic_ms())
        self._reports[event, key] = report
        return report

    def _take_line(self, report: _Report) -> bool:
        """Count a line about a key; return False if there were too many."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - report.since_ms >= _KEY_WINDOW_MS:
            report.since_ms, report.lines = now_ms, 0
        report.lines += 1
        return report.lines <= _MAX_LINES_PER_KEY
