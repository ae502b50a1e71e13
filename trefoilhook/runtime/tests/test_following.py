"""Tests that followed keys are soon up to date after a failed watch."""

import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.platform import Changes, Listing
from trefoilhook.runtime.following import WATCH_WAIT_MS, follow

_TIMEOUT_MS = 1000.0
_MAX_DELAY_MS = 250.0
"""Maximum time from a failed watch to the next read, in ms: a pause and one answer."""


class _Store:
    """A store without changes whose first watch is never answered."""

    def __init__(self) -> None:
        self.waits_ms: list[int] = []

    async def list_items(self, prefix: str) -> Listing:
        return Listing(items=(), as_of=1)

    async def wait_for_retry(self, pause_ms: float) -> None:
        await trio.sleep(pause_ms / 1000.0)

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Changes:
        self.waits_ms.append(wait_ms)
        if len(self.waits_ms) == 1:
            await trio.sleep((wait_ms + _TIMEOUT_MS) / 1000.0)
            raise StoreUnavailableError("no answer")
        await trio.sleep(wait_ms / 1000.0)
        return Changes(changes=(), as_of=after)


class FollowTest(unittest.TestCase):
    """Tests of `follow` on virtual time."""

    def test_first_watch_after_a_failure_proves_freshness_at_once(self):
        # Guards against starting no task after an outage until a watch without changes
        # ends.
        store, failed_ms, read_ms = _Store(), [], []

        async def main() -> None:
            clock = build_system_clock()
            with trio.move_on_after(6.0):
                await follow(
                    store,
                    "op/",
                    clock=clock,
                    take_listing=lambda listing: None,
                    take_change=lambda change: None,
                    note_read=lambda read: read_ms.append(clock.monotonic_ms()),
                    note_failure=lambda: failed_ms.append(clock.monotonic_ms()),
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(read_ms[0] - failed_ms[0], _MAX_DELAY_MS)
        self.assertEqual(store.waits_ms[:3], [WATCH_WAIT_MS, 0, WATCH_WAIT_MS])
