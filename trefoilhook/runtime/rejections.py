"""Invalid external data, which is logged once and counted each time."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics

__all__ = ["Rejections"]

_MAX_INVALID_KEYS = 2000
"""Maximum number of tracked invalid keys, about 200 bytes each. It exceeds the number
of worker keys of a day. Beyond it, the oldest key is dropped, and logged again if it is
still invalid."""

_MAX_REASON_LENGTH = 200
"""Maximum length of a logged reason, in characters. Reasons name fields, so only a path
of many fields is longer."""


class Rejections:
    """Logs each invalid entry once, until it is valid again.

    An entry that stays invalid must not flood the log: worker entries are rewritten
    with each heartbeat, and foreign entries at any rate.

    Parameters
    ----------
    metrics : ProcessMetrics
        Counts all rejections by event.
    """

    def __init__(self, *, metrics: ProcessMetrics) -> None:
        self._metrics = metrics
        self._invalid: dict[tuple[Event, str], None] = {}

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
        if (event, key) in self._invalid:
            return
        if len(self._invalid) >= _MAX_INVALID_KEYS:
            del self._invalid[next(iter(self._invalid))]
        self._invalid[event, key] = None
        log_event(event, key=key, revision=revision, error=reason[:_MAX_REASON_LENGTH])

    def accept(self, event: Event, key: str) -> None:
        """Record that an entry is valid or has been removed."""
        self._invalid.pop((event, key), None)
