"""Tests of the store's client on a link that is slow for the size of the answers."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.http import HttpResponse
from trefoilhook.logs.tests.lines import capture_lines, find_line
from trefoilhook.platform import Change, KeyValueStore, Listing
from trefoilhook.runtime.following import follow
from trefoilhook.standins.cut import CutSettings, Partition, TcpCut
from trefoilhook.standins.platform_store import PlatformStore

_KEY = "a/large"
_SMALL_KEY = "b/small"
_PAGES = 4
_PAGE_ITEMS = 500
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
            for number in range(_PAGES * _PAGE_ITEMS):
                server.write_bytes(f"c/{number:04}", b"")
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


class SlowLinkTest(unittest.TestCase):
    """An answer takes longer to receive than the timeout of a call."""

    def test_large_answer_is_received(self):
        # Guards against a read that is given up while its answer is being received, and
        # then takes as long again.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            item = await store.get(_KEY)
            self.assertEqual(len(item.value), _BYTES)
            self.assertLess(cut.answered_bytes, 2 * _BYTES)

        with capture_lines() as lines:
            _run(scenario)
        self.assertGreater(find_line(lines, "STORE_ANSWER_LONG")["bytes"], _BYTES)

    def test_large_answer_is_received_beside_small_ones(self):
        # Guards against a read that is abandoned because later calls are answered, and
        # against a store that counts as unavailable while the link is full.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            async def read_small() -> None:
                while True:
                    await store.get(_SMALL_KEY)
                    self.assertFalse(store.is_unavailable)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_small)
                await trio.sleep(0.1)
                self.assertIsNotNone(await store.get(_KEY))
                nursery.cancel_scope.cancel()
            self.assertEqual(store.failures, 0)

        _run(scenario)

    def test_overdue_watch_is_not_repeated_while_it_is_received(self):
        # Guards against a second transfer that halves the rate of the first.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            changes: list[Change] = []
            with trio.move_on_after(3.0):
                await follow(
                    store,
                    "a/",
                    clock=build_boottime_clock(),
                    take_listing=lambda listing: None,
                    take_change=changes.append,
                    listing=Listing(items=(), as_of=0),
                )
            self.assertEqual([change.key for change in changes], [_KEY])
            self.assertLess(cut.answered_bytes, 2 * _BYTES)

        _run(scenario)

    def test_answer_that_breaks_off_is_given_up(self):
        # Guards against a read that waits for the rest of a lost answer.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            async def cut_off() -> None:
                await trio.sleep(0.5)
                cut.set(CutSettings(partition=Partition.SILENT))

            began_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cut_off)
                with self.assertRaises(StoreUnavailableError):
                    await store.get(_KEY)
            self.assertLess(trio.current_time() - began_s, 2.0)

        with capture_lines() as lines:
            _run(scenario)
        # Tells the operator that the store had answered.
        detail = find_line(lines, "STORE_DOWN")["detail"]
        self.assertRegex(detail, r"[1-9]\d{4,} bytes received")


class ListingTest(unittest.TestCase):
    """A listing of several pages."""

    def test_failed_page_does_not_repeat_the_others(self):
        # Guards against a listing that never ends, as one of its pages fails each time.
        async def scenario(store: KeyValueStore, cut: TcpCut) -> None:
            cut.set(CutSettings())
            call = store._call_repeatable
            reads: list[str] = []

            async def fail_sometimes(*args, **options) -> HttpResponse:
                reads.append(options["query"].get("after", ""))
                if len(reads) % 3 == 0:
                    raise StoreUnavailableError("no answer")
                return await call(*args, **options)

            with mock.patch.object(store, "_call_repeatable", fail_sometimes):
                listing = await store.list_items("c/")
            self.assertEqual(len(listing.items), _PAGES * _PAGE_ITEMS)
            self.assertEqual(reads.count(""), 1)

        _run(scenario)


if __name__ == "__main__":
    unittest.main()
