"""Workers that answered again after a silence.

An owner that is short of processor time or bandwidth misses answers of workers that do
answer. Such workers fall silent and answer again by turns, while those behind a network
partition remain silent.
"""

import collections

import attrs

__all__ = ["Recoveries"]

_WINDOW_MS = 6000.0
"""Time for which a recovery counts, in ms; covers a silence until the expiry of the
leases."""

_MAX_SHARE = 0.02
"""Recoveries within that time that are not frequent yet, as a fraction of the
workers."""


@attrs.define(kw_only=True)
class Recoveries:
    """Recent times at which workers answered again, without a restart."""

    _times_ms: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def record(self, now_ms: float) -> None:
        """Record that a worker answers again."""
        self._times_ms.append(now_ms)
        self._forget(now_ms)

    def are_frequent(self, workers: int, now_ms: float) -> bool:
        """Return whether the owner seems to miss answers.

        Parameters
        ----------
        workers : int
            Number of workers.
        now_ms : float
            Current time, in ms.
        """
        self._forget(now_ms)
        return len(self._times_ms) > max(1.0, _MAX_SHARE * workers)

    def _forget(self, now_ms: float) -> None:
        while self._times_ms and self._times_ms[0] < now_ms - _WINDOW_MS:
            self._times_ms.popleft()
