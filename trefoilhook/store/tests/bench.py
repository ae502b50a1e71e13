"""A store in virtual time, for the tests of this package."""

from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.standins import (
    StoreSettings,
    StoreStandin,
)
from trefoilhook.store import (
    StoreClient,
    build_nonce,
)

__all__ = ["Bench", "run_with_store"]

_TIMEOUT_MS = 500.0
_LONG_TIMEOUT_MS = 60_000.0


@attrs.frozen(kw_only=True)
class Bench:
    """A store and a client of it."""

    clock: Clock
    store: StoreStandin
    client: StoreClient
    token: str

    def connect(self, port: int | None = None) -> StoreClient:
        """Build another client, to the store or to what stands before it."""
        return StoreClient(
            host="127.0.0.1",
            port=port or self.store.server.port,
            clock=self.clock,
            timeout_ms=_TIMEOUT_MS,
            token=self.token,
        )


def run_with_store(
    scenario: Callable[[Bench], Awaitable[None]],
    *,
    settings: StoreSettings | None = None,
    is_large: bool = False,
) -> None:
    """Run ``scenario`` against a store in virtual time.

    Large values go through the kernel in pieces with pauses of its own, which a
    virtual clock would take for quiet: these run in real time with a long timeout.
    """
    timeout_ms = _LONG_TIMEOUT_MS if is_large else _TIMEOUT_MS

    async def main() -> None:
        clock = build_system_clock()
        token = build_nonce()
        store = StoreStandin(clock=clock, settings=settings, token=token)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(store.run)
            client = StoreClient(
                host="127.0.0.1",
                port=port,
                clock=clock,
                timeout_ms=timeout_ms,
                token=token,
            )
            await scenario(Bench(clock=clock, store=store, client=client, token=token))
            nursery.cancel_scope.cancel()

    # The sockets are real, so the virtual clock must not jump while bytes are on
    # their way through the kernel: it waits for quiet first.
    virtual = trio.testing.MockClock(autojump_threshold=0.05)
    trio.run(main, clock=None if is_large else virtual)
