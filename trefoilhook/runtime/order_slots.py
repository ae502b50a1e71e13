"""Limits on the orders that an owner sends at the same time.

Sending hundreds of orders at once blocks a small owner for longer than the timeout of
the first of them and of concurrent polls. Most of them start fillers, which run for
seconds: the starts of urgent tasks, whose objective is less than a second longer than
their run time, must not queue behind them.
"""

import collections
import contextlib
from collections.abc import AsyncIterator

import trio

from trefoilhook.scheduling import Order, PaceOrder, StartOrder

__all__ = ["OrderSlots"]

_MAX_STARTS = 64
"""Maximum number of concurrent start orders. Sending 64 takes about 0.1 s on a small
instance; with answers after 2 ms, the limit doesn't bound the start rate."""

_MIN_URGENT = 8
"""Number of these that are never for fillers, whose workers may leave them unanswered
until the timeout."""

_MAX_PACES = 64
"""Maximum number of concurrent orders to change a pace."""


class _StartSlots:
    """Slots of start orders; one that is released goes to an urgent start first."""

    def __init__(self) -> None:
        self._free = _MAX_STARTS
        self._urgent: collections.deque[trio.Event] = collections.deque()
        self._fillers: collections.deque[trio.Event] = collections.deque()

    @contextlib.asynccontextmanager
    async def hold(self, *, is_filler: bool) -> AsyncIterator[None]:
        """Wait for a slot, and hold it during the context."""
        await self._acquire(self._fillers if is_filler else self._urgent)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, waiting: collections.deque[trio.Event]) -> None:
        is_granted = trio.Event()
        waiting.append(is_granted)
        self._grant()
        try:
            await is_granted.wait()
        except BaseException:
            if is_granted.is_set():
                self._release()
            else:
                waiting.remove(is_granted)
            raise

    def _release(self) -> None:
        self._free += 1
        self._grant()

    def _grant(self) -> None:
        """Grant the free slots to the orders that wait."""
        for waiting, reserved in ((self._urgent, 0), (self._fillers, _MIN_URGENT)):
            while waiting and self._free > reserved:
                self._free -= 1
                waiting.popleft().set()


class OrderSlots:
    """Slots that orders hold while they are sent."""

    def __init__(self) -> None:
        self._starts = _StartSlots()
        self._paces = trio.CapacityLimiter(_MAX_PACES)

    def hold(self, order: Order) -> contextlib.AbstractAsyncContextManager[object]:
        """Return a context that waits until an order may be sent."""
        if isinstance(order, StartOrder):
            return self._starts.hold(is_filler=order.is_filler)
        if isinstance(order, PaceOrder):
            return self._paces
        return contextlib.nullcontext()
