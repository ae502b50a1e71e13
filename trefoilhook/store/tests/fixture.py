"""Test fixture: a store and its client on virtual time."""

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
    generate_nonce,
)

__all__ = ["StoreFixture", "run_with_store"]

_TIMEOUT_MS = 500.0
_LONG_TIMEOUT_MS = 60_000.0


@attrs.frozen(kw_only=True)
class StoreFixture:
    """A store and a client connected to it."""

    clock: Clock
    store: StoreStandin
    client: StoreClient
    token: str

    def connect(self, port: int | None = None) -> StoreClient:
        """Build another client, connected to the store or to a proxy at ``port``."""
        return StoreClient(
            host="127.0.0.1",
            port=port or self.store.server.port,
            clock=self.clock,
            timeout_ms=_TIMEOUT_MS,
            token=self.token,
        )


def run_with_store(
    scenario: Callable[[StoreFixture], Awaitable[None]],
    *,
    settings: StoreSettings | None = None,
    is_large: bool = False,
) -> None:
    """Run ``scenario`` against a store on virtual time.

    The kernel transfers large values in pieces with pauses, during which the virtual
    clock would jump: such scenarios run in real time with a long timeout.
    """
    timeout_ms = _LONG_TIMEOUT_MS if is_large else _TIMEOUT_MS

    async def main() -> None:
        clock = build_system_clock()
        token = generate_nonce()
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
            await scenario(
                StoreFixture(clock=clock, store=store, client=client, token=token)
            )
            nursery.cancel_scope.cancel()

    # The sockets are real, so the virtual clock must not jump while the kernel still
    # transfers bytes: it jumps only after 50 ms without activity.
    virtual = trio.testing.MockClock(autojump_threshold=0.05)
    trio.run(main, clock=None if is_large else virtual)
