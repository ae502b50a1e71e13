"""Limits on the orders that an owner sends at the same time.

Sending hundreds of orders at once blocks a small owner for longer than the timeout of
the first of them and of concurrent polls. An order for a filler is one of hundreds, and
a filler runs for seconds: the starts of urgent tasks, whose objective is less than a
second longer than their run time, must not queue behind them.
"""

import contextlib
from collections.abc import AsyncIterator

import trio

from trefoilhook.scheduling import Order, PaceOrder, StartOrder

__all__ = ["OrderSlots"]

_MAX_STARTS = 64
"""Maximum number of concurrent start orders. Sending 64 takes about 0.1 s on a small
instance; with answers after 2 ms, the limit doesn't bound the start rate."""

_MAX_FILLER_STARTS = 40
"""Maximum number of these that are for fillers. The others are free for urgent starts
at once; a smaller number would bound the start rate of a small owner."""

_MAX_PACES = 64
"""Maximum number of concurrent orders to change a pace."""


class OrderSlots:
    """Slots that orders hold while they are sent."""

    def __init__(self) -> None:
        self._starts = trio.CapacityLimiter(_MAX_STARTS)
        self._filler_starts = trio.CapacityLimiter(_MAX_FILLER_STARTS)
        self._paces = trio.CapacityLimiter(_MAX_PACES)

    @contextlib.asynccontextmanager
    async def hold(self, order: Order) -> AsyncIterator[None]:
        """Wait until an order may be sent, and hold its slots during the context."""
        async with contextlib.AsyncExitStack() as held:
            for limiter in self._list_limiters(order):
                await held.enter_async_context(limiter)
            yield

    def _list_limiters(self, order: Order) -> list[trio.CapacityLimiter]:
        if isinstance(order, PaceOrder):
            return [self._paces]
        if not isinstance(order, StartOrder):
            return []
        if order.is_filler:
            return [self._filler_starts, self._starts]
        return [self._starts]
