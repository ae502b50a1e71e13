"""Turns of work that can wait, of which each pass of the event loop gets a few.

In each pass, the loop runs one step of every ready task. While an owner is short of
processor time, hundreds are ready: answers of workers, starts of fillers and changes of
pace. A write to the store, or the start of an urgent task, takes several steps, each of
which then waits for all of them. With few of the others in each pass, passes are short,
and as much is done in total.
"""

import collections
from collections.abc import Callable

import trio

__all__ = ["Turns"]

_TURNS_PER_PASS = 10
"""Turns granted in each pass of the loop. An answer or an order takes 0.4 ms on a small
instance, so that they add about 4 ms to a pass."""

_MIN_OTHER_TURNS = 3
"""Number of these that are never for urgent work: the leases on workers without urgent
tasks would expire while their answers wait."""

_MIN_LAG_MS = 5.0
"""Lag of the event loop below which nothing waits for a turn, in ms."""


class Turns:
    """Grants turns to the tasks that wait, most of them to urgent ones first.

    Parameters
    ----------
    read_lag_ms : callable
        Returns the recent lag of the event loop, in ms.
    """

    def __init__(self, *, read_lag_ms: Callable[[], float]) -> None:
        self._read_lag_ms = read_lag_ms
        self._urgent: collections.deque[trio.Event] = collections.deque()
        self._others: collections.deque[trio.Event] = collections.deque()
        self._wake = trio.Event()

    async def wait(self, *, is_urgent: bool = False) -> None:
        """Wait for a turn, unless the loop keeps up with all of them."""
        if not self._is_waited_for() and self._read_lag_ms() < _MIN_LAG_MS:
            return
        waiting = self._urgent if is_urgent else self._others
        granted = trio.Event()
        waiting.append(granted)
        self._wake.set()
        try:
            await granted.wait()
        finally:
            if not granted.is_set():
                waiting.remove(granted)

    async def run(self) -> None:
        """Grant turns in each pass of the loop, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._is_waited_for():
                self._grant()
                await trio.lowlevel.checkpoint()

    def _is_waited_for(self) -> bool:
        return bool(self._urgent or self._others)

    def _grant(self) -> None:
        others = min(len(self._others), _MIN_OTHER_TURNS)
        urgent = min(len(self._urgent), _TURNS_PER_PASS - others)
        others = min(len(self._others), _TURNS_PER_PASS - urgent)
        for waiting, count in ((self._urgent, urgent), (self._others, others)):
            for _ in range(count):
                waiting.popleft().set()
