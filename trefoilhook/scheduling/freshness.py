"""Freshness of state that is read from the store."""

import math

import attrs

__all__ = ["Freshness"]


@attrs.define(kw_only=True)
class Freshness:
    """Time up to which all changes of some keys are known.

    Parameters
    ----------
    max_age_ms : float
        Maximum age for decisions to be based on the keys, in ms; infinite if there is
        no limit.

    Attributes
    ----------
    read_ms : float
        Monotonic time up to which all changes are known, in ms.
    """

    max_age_ms: float = math.inf
    read_ms: float = attrs.field(default=-math.inf, init=False)

    def note_read(self, confirmed_ms: float) -> None:
        """Record that all changes up to a time are known."""
        self.read_ms = max(self.read_ms, confirmed_ms)

    def measure_age(self, now_ms: float) -> float:
        """Return the time since when changes may be unknown, in ms."""
        return now_ms - self.read_ms

    def is_stale(self, now_ms: float) -> bool:
        """Return whether the keys are too old for decisions."""
        return self.measure_age(now_ms) > self.max_age_ms
