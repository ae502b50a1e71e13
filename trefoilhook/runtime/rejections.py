"""What was read from outside and can't be used: logged once, counted each time."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import Figures

__all__ = ["Rejections"]

_MOST_REMEMBERED = 2000
"""Keys known to be bad, past which the oldest is forgotten and logged anew if it still
is: over the keys that one day's workers take, at some 200 bytes each."""

_MOST_REASON = 200
"""Longest reason in a line; reasons name fields, so only a path of many is longer."""


class Rejections:
    """Tells each bad entry once, until it is sound again.

    Guards against a log that an entry fills which stays bad: a worker's is written anew
    with each heartbeat, and by another writer as often as it likes.

    Parameters
    ----------
    figures : Figures
        Where every one is counted, by event.
    """

    def __init__(self, *, figures: Figures) -> None:
        self._figures = figures
        self._bad: dict[tuple[Event, str], None] = {}

    def report(self, event: Event, key: str, reason: str, *, revision: int = 0) -> None:
        """Count an entry that can't be used, and log it if it was sound before.

        Parameters
        ----------
        event : Event
            What kind of entry it is.
        key : str
            Which one; for what is no key of the store, who sent it.
        reason : str
            What is wrong with it; no values.
        revision : int, optional
            The store's revision of it; 0 for what isn't in the store.
        """
        self._figures.count("rejected", event.name.lower())
        if (event, key) in self._bad:
            return
        if len(self._bad) >= _MOST_REMEMBERED:
            del self._bad[next(iter(self._bad))]
        self._bad[event, key] = None
        log_event(event, key=key, revision=revision, error=reason[:_MOST_REASON])

    def accept(self, event: Event, key: str) -> None:
        """Note that an entry is sound, or gone."""
        self._bad.pop((event, key), None)
