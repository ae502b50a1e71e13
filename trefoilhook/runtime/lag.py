"""How far a process is behind itself, and how patient that makes it with others."""

import math

import attrs

__all__ = ["LoopLag"]

_HALF_LIFE_MS = 1000.0
"""How soon half of a lag is forgotten, in ms: planning of a burst comes and goes within
about a second."""

_TURNS = 7.0
"""Turns of the event loop that an exchange takes over a new connection, counted; over
an open one it takes two."""

_MOST_EXTRA_MS = 600.0
"""Longest addition to a timeout, in ms. A look that waits 1,500 ms and has 600 ms for
its answer then ends after 2.7 s, and two more fit into a task lease of 5 s."""


@attrs.define(kw_only=True)
class LoopLag:
    """How late this process's own timers have been of late.

    Guards against taking one's own slowness for another's silence: an owner that plans
    for half a second at a time reads an answer that came in 2 ms after the time that
    it had given it. It would count sound workers as silent, have their tasks lapse, and
    ask again, which makes it slower still.
    """

    _lag_ms: float = 0.0
    _noted_ms: float = 0.0

    def note(self, lag_ms: float, now_ms: float) -> None:
        """Note that a timer was late by ``lag_ms``."""
        self._lag_ms = max(lag_ms, self.read(now_ms))
        self._noted_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the lag of late, in ms."""
        halves = (now_ms - self._noted_ms) / _HALF_LIFE_MS
        return self._lag_ms * math.pow(0.5, halves)

    def extend(self, timeout_ms: float, now_ms: float) -> float:
        """Return a timeout with the time added that is lost on this side, in ms."""
        return timeout_ms + min(_MOST_EXTRA_MS, _TURNS * self.read(now_ms))
