"""Tests of the store's client when all of its idle connections have gone silent."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.platform import KeyValueStore
from trefoilhook.standins.cut import CutSettings, Partition, TcpCut
from trefoilhook.standins.platform_store import PlatformStore

_KEY = "a/b"
_CONNECTIONS = 6
_OVERDUE_MS = 800.0
"""Maximum time after which an overdue read is abandoned, in ms: 600 ms, and the period
of the check."""

_Scenario = Callable[[KeyValueStore, TcpCut], Awaitable[None]]


def _run(scenario: _Scenario) -> None:
    """Run a scenario with open connections, also for probes."""

    async def main() -> None:
        clock = build_boottime_clock()
        server = PlatformStore(clock=clock)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.server.run)
            server.write(_KEY, 1)
            cut = TcpCut(clock=clock, target_host="127.0.0.1", target_port=port)
            store = KeyValueStore(
                address=("127.0.0.1", await nursery.start(cut.run)),
                timeout_ms=1000.0,
                clock=clock,
            )
            nursery.start_soon(store.run_probes, _KEY)
            # A read that is never answered makes the store suspect.
            cut.set(CutSettings(partition=Partition.SILENT))
            with trio.move_on_after(0.7):
                await store.get(_KEY)
            cut.set(CutSettings(delay_ms=20.0))
            await trio.sleep(1.0)
            async with trio.open_nursery() as reads:
                for _ in range(_CONNECTIONS):
                    reads.start_soon(store.get, _KEY)
            cut.set(CutSettings())
            cut.blackhole_connections()
            await scenario(store, cut)
            nursery.cancel_scope.cancel()

    trio.run(main)


class DeadConnectionTest(unittest.TestCase):
    """New connections work."""

    def test_abandoned_read_is_repeated_over_a_new_connection(self):
        # Guards against a repetition that waits for its timeout on another connection
        # that is dead as well.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            before_s = trio.current_time()
            self.assertIsNotNone(await store.get(_KEY))
            elapsed_ms = (trio.current_time() - before_s) * 1000.0
            self.assertLess(elapsed_ms, _OVERDUE_MS + 400.0)

        _run(scenario)

    def test_probes_use_new_connections(self):
        # Guards against a store that counts as unavailable because the probe was sent
        # over a connection that is as dead as that of the overdue read.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.get, _KEY)
                for _ in range(120):
                    await trio.sleep(0.01)
                    self.assertFalse(store.is_unavailable)

        _run(scenario)
