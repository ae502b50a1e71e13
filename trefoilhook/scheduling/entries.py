"""How well the entries of workers in the store are known."""

import attrs

__all__ = ["EntriesAge"]

_STALE_MS = 3500.0
"""Nothing is started by a list of workers that was read longer ago, in ms: a worker's
capacity may have shrunk, which the platform gives a scheduler 4.5 s to notice. A watch
is answered each second, and one that fails is made anew within 2.2 s."""


@attrs.define(kw_only=True)
class EntriesAge:
    """When the entries of workers were read, and how steadily.

    Parameters
    ----------
    read_ms : float
        When they were last read, in ms.
    steady_since_ms : float
        Since when no read of them has failed, in ms.
    """

    read_ms: float = float("-inf")
    steady_since_ms: float = float("inf")

    def is_stale(self, now_ms: float) -> bool:
        """Tell whether too much may have changed since the last read."""
        return now_ms - self.read_ms > _STALE_MS

    def note_read(self, now_ms: float) -> None:
        """Note that every change up to now is known."""
        self.read_ms = now_ms
        self.steady_since_ms = min(self.steady_since_ms, now_ms)

    def note_failure(self) -> None:
        """Note that a read failed."""
        self.steady_since_ms = float("inf")
