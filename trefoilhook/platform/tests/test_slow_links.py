"""Tests of the store's client on a link that is slow for the size of the answers."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.logs.tests.lines import capture_lines, find_line
from trefoilhook.platform import KeyValueStore
from trefoilhook.standins.cut import CutSettings, Partition, TcpCut
from trefoilhook.standins.platform_store import PlatformStore

_KEY = "a/large"
_SMALL_KEY = "b/small"
_TIMEOUT_MS = 1000.0
_BYTES = 300_000
_LINK_BYTES_PER_S = 200_000.0
"""Rate at which the encoded value takes 2 s, in bytes per second."""

_Scenario = Callable[[KeyValueStore, TcpCut], Awaitable[None]]


def _run(scenario: _Scenario) -> None:
    """Run a scenario with a large value behind a slow link."""

    async def main() -> None:
        clock = build_boottime_clock()
        server = PlatformStore(clock=clock)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.server.run)
            server.write_bytes(_KEY, b"x" * _BYTES)
            server.write(_SMALL_KEY, 1)
            cut = TcpCut(clock=clock, target_host="127.0.0.1", target_port=port)
            cut.set(CutSettings(answer_bytes_per_s=_LINK_BYTES_PER_S))
            store = KeyValueStore(
                address=("127.0.0.1", await nursery.start(cut.run)),
                timeout_ms=_TIMEOUT_MS,
                clock=clock,
            )
            nursery.start_soon(store.run_probes, _SMALL_KEY)
            with trio.fail_after(20.0):
                await scenario(store, cut)
            nursery.cancel_scope.cancel()

    trio.run(main)


class LogTest(unittest.TestCase):
    """What the log tells of an answer that takes long."""

    def test_received_bytes_of_a_lost_answer_are_logged(self):
        # Guards against a large answer on a slow link that looks like a silent store.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            async def cut_off() -> None:
                await trio.sleep(0.5)
                cut.set(CutSettings(partition=Partition.SILENT))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(cut_off)
                with self.assertRaises(StoreUnavailableError):
                    await store.get(_KEY)

        with capture_lines() as lines:
            _run(scenario)
        detail = find_line(lines, "STORE_DOWN")["detail"]
        self.assertRegex(detail, r"[1-9]\d{4,} bytes received")


if __name__ == "__main__":
    unittest.main()
