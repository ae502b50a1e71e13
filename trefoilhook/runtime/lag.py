"""Event loop lag of the process, and timeouts that are extended by it."""

import math

import attrs

__all__ = ["LoopLag"]

_HALF_LIFE_MS = 1000.0
"""Half-life of a recorded lag, in ms. The planning load of a burst lasts about 1 s."""

_TURNS_PER_EXCHANGE = 7.0
"""Event loop iterations of an exchange over a new connection; an open one takes two."""

_MAX_EXTENSION_MS = 600.0
"""Maximum extension of a timeout, in ms. A poll that waits 1,500 ms with a timeout of
600 ms then ends after 2.7 s at most, which leaves time for two more within a task lease
of 5 s."""


@attrs.define(kw_only=True)
class LoopLag:
    """Recent delay of this process's timers.

    An owner that plans for half a second reads an answer that arrived within 2 ms only
    after the timeout. Without an extension, it would treat healthy workers as
    unresponsive, let their task leases expire and repeat its calls, which adds load.
    """

    _lag_ms: float = 0.0
    _recorded_ms: float = 0.0

    def note(self, lag_ms: float, now_ms: float) -> None:
        """Record that a timer fired ``lag_ms`` late."""
        self._lag_ms = max(lag_ms, self.read(now_ms))
        self._recorded_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the decayed lag, in ms."""
        halves = (now_ms - self._recorded_ms) / _HALF_LIFE_MS
        return self._lag_ms * math.pow(0.5, halves)

    def extend(self, timeout_ms: float, now_ms: float) -> float:
        """Return a timeout extended by the expected lag of this process, in ms."""
        return timeout_ms + min(
            _MAX_EXTENSION_MS, _TURNS_PER_EXCHANGE * self.read(now_ms)
        )
