"""Freshness of the worker entries read from the store."""

import attrs

__all__ = ["EntryFreshness"]

_STALE_MS = 3500.0
"""Maximum age of the list of workers for starting tasks. A worker's capacity may
shrink, and the platform requires a scheduler to react within 4.5 s. A watch is answered
every second, and a failed watch is re-established within 2.2 s."""


@attrs.define(kw_only=True)
class EntryFreshness:
    """Times at which the worker entries were read.

    Parameters
    ----------
    read_ms : float
        Time of the last read, in ms.
    steady_since_ms : float
        Time since when no read has failed, in ms.
    """

    read_ms: float = float("-inf")
    steady_since_ms: float = float("inf")

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the last read is too old for tasks to be started."""
        return now_ms - self.read_ms > _STALE_MS

    def note_read(self, confirmed_ms: float) -> None:
        """Record that all changes up to a time are known."""
        self.read_ms = max(self.read_ms, confirmed_ms)
        self.steady_since_ms = min(self.steady_since_ms, confirmed_ms)

    def note_failure(self) -> None:
        """Record a failed read."""
        self.steady_since_ms = float("inf")
