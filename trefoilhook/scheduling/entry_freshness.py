"""Freshness of the worker entries read from the store."""

import attrs

from trefoilhook.scheduling.freshness import Freshness

__all__ = ["EntryFreshness"]

_STALE_MS = 3500.0
"""Maximum age of the list of workers for starting tasks. A worker's capacity may
shrink, and the platform requires a scheduler to react within 4.5 s. A watch is answered
every second, and a failed watch is re-established within 2.2 s."""

_MIN_STEADY_READ_MS = 3000.0
"""Time for which the list of workers must have been read without a failure before a
missing entry is evidence: after an outage of the store, entries are restored within 2
s."""


@attrs.define(kw_only=True)
class EntryFreshness(Freshness):
    """How current the worker entries are, and since when they are read steadily.

    Parameters
    ----------
    steady_since_ms : float
        Time since when no read has failed, in ms.
    """

    max_age_ms: float = _STALE_MS
    steady_since_ms: float = float("inf")

    def note_read(self, confirmed_ms: float) -> None:
        """Record that all changes up to a time are known."""
        super().note_read(confirmed_ms)
        self.steady_since_ms = min(self.steady_since_ms, confirmed_ms)

    def is_steady(self, now_ms: float) -> bool:
        """Return whether a missing entry is evidence that its worker has ended."""
        return now_ms - self.steady_since_ms >= _MIN_STEADY_READ_MS

    def note_failure(self) -> None:
        """Record a failed read."""
        self.steady_since_ms = float("inf")
