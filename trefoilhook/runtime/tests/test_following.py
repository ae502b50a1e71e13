"""Tests that followed keys are soon up to date after a failed watch."""

import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.platform import Change, Changes, Item, KeyValueStore, Listing
from trefoilhook.runtime.following import (
    WATCH_WAIT_MS,
    KeyRead,
    _drop_superseded,
    follow,
)

_TIMEOUT_MS = 1000.0
_MAX_OVERDUE_MS = 450.0
"""Maximum time from the end of a watch's wait to the answer over a new connection."""

_MAX_DELAY_MS = 250.0
"""Maximum time from a failed watch to the next read, in ms: a pause and one answer."""


class _Store:
    """A store without changes whose first watches are never answered."""

    def __init__(self, *, unanswered: int) -> None:
        self.unanswered = unanswered
        self.waits_ms: list[int] = []
        self.closed = 0

    async def close(self) -> None:
        self.closed += 1

    async def list_items(self, prefix: str) -> Listing:
        return Listing(items=(), as_of=1)

    async def wait_for_retry(self, pause_ms: float) -> None:
        await trio.sleep(pause_ms / 1000.0)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int, note_received
    ) -> Changes:
        self.waits_ms.append(wait_ms)
        if len(self.waits_ms) <= self.unanswered:
            await trio.sleep((wait_ms + _TIMEOUT_MS) / 1000.0)
            raise StoreUnavailableError("no answer")
        await trio.sleep(wait_ms / 1000.0)
        return Changes(changes=(), as_of=after)


class FollowTest(unittest.TestCase):
    """Tests of `follow` on virtual time."""

    def test_first_watch_after_a_failure_proves_freshness_at_once(self):
        # Guards against starting no task after an outage until a watch without changes
        # ends.
        store = _Store(unanswered=2)
        failed_ms, read_ms = self._follow(store)
        self.assertLessEqual(read_ms[0] - failed_ms[0], _MAX_DELAY_MS)
        self.assertEqual(store.waits_ms[:4], [WATCH_WAIT_MS, 0, 0, WATCH_WAIT_MS])

    def test_overdue_watch_is_repeated_over_a_new_connection(self):
        # Guards against knowledge that ages until a timeout because the connection of
        # a watch is dead while new ones work.
        store = _Store(unanswered=1)
        failed_ms, read_ms = self._follow(store)
        self.assertEqual(failed_ms, [])
        self.assertEqual(store.closed, 1)
        self.assertLessEqual(read_ms[0], WATCH_WAIT_MS + _MAX_OVERDUE_MS)
        self.assertEqual(store.waits_ms[:3], [WATCH_WAIT_MS, 0, WATCH_WAIT_MS])

    def _follow(self, store: _Store) -> tuple[list[float], list[float]]:
        """Follow keys for some seconds; return times of failures and of reads."""
        failed_ms: list[float] = []
        read_ms: list[float] = []

        async def main() -> None:
            clock = build_system_clock()
            began_ms = clock.monotonic_ms()
            with trio.move_on_after(6.0):
                await follow(
                    store,
                    "op/",
                    clock=clock,
                    take_listing=lambda listing: None,
                    take_change=lambda change: None,
                    note_read=lambda read: read_ms.append(
                        clock.monotonic_ms() - began_ms
                    ),
                    note_failure=lambda: failed_ms.append(
                        clock.monotonic_ms() - began_ms
                    ),
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        # The first read is the listing.
        return failed_ms, read_ms[1:]


class _LateStore(_Store):
    """A store whose answers are handled late, the first with a change."""

    def __init__(self, *, late_ms: float) -> None:
        super().__init__(unanswered=0)
        self._late_ms = late_ms

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int, note_received
    ) -> Changes:
        self.waits_ms.append(wait_ms)
        await trio.sleep((wait_ms + self._late_ms) / 1000.0)
        change = Change(key=prefix, revision=after + 1, item=None)
        changes = (change,) if len(self.waits_ms) == 1 else ()
        return Changes(changes=changes, as_of=after + 1)


class ConfirmationTest(unittest.TestCase):
    """Tests of the time up to which `follow` reports all changes as known."""

    def test_late_handling_confirms_nothing_newer(self):
        # Guards against a lagging process that takes old answers for current ones.
        late_ms = 300.0
        store = _LateStore(late_ms=late_ms)
        reads: list[KeyRead] = []

        async def main() -> None:
            with trio.move_on_after(3.5):
                await follow(
                    store,
                    "op/",
                    clock=build_system_clock(),
                    take_listing=lambda listing: None,
                    take_change=lambda change: None,
                    note_read=reads.append,
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        began_ms = reads[0].confirmed_ms
        confirmed_ms = [read.confirmed_ms - began_ms for read in reads[:4]]
        first_end_ms = WATCH_WAIT_MS + late_ms
        second_end_ms = first_end_ms + store.waits_ms[1] + late_ms
        expected_ms = (
            0.0,
            0.0,
            second_end_ms - late_ms,
            second_end_ms + WATCH_WAIT_MS,
        )
        for found, expected in zip(confirmed_ms, expected_ms, strict=True):
            self.assertAlmostEqual(found, expected, delta=1.0)
        self.assertLess(store.waits_ms[1], WATCH_WAIT_MS)


class RefusedWatchTest(unittest.TestCase):
    """Watches that fail without an answer, or with a refusal."""

    def _list_targets(self, answer: bytes) -> list[bytes]:
        """Follow keys of a store that answers each call by ``answer`` and closes."""
        targets: list[bytes] = []

        async def serve(stream: trio.SocketStream) -> None:
            data = bytes(await stream.receive_some())
            targets.append(data.split(b" ")[1])
            await stream.send_all(answer)
            await stream.aclose()

        async def main() -> None:
            clock = build_system_clock()
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, serve, 0)
                port = listeners[0].socket.getsockname()[1]
                store = KeyValueStore(
                    address=("127.0.0.1", port), timeout_ms=1000.0, clock=clock
                )
                with trio.move_on_after(1.5):
                    await follow(
                        store,
                        "op/",
                        clock=clock,
                        take_listing=lambda listing: None,
                        take_change=lambda change: None,
                        listing=Listing(items=(), as_of=1),
                    )
                nursery.cancel_scope.cancel()

        trio.run(main)
        return targets

    def test_failed_watch_does_not_list_the_keys(self):
        # Guards against listings by all instances while the store refuses calls, or
        # whenever it closes a waiting watch.
        refusal = b"HTTP/1.1 %d \r\ncontent-length: 0\r\n\r\n"
        for answer in (b"", refusal % 503, refusal % 429):
            with self.subTest(answer):
                targets = self._list_targets(answer)
                self.assertIn(b"/trefoilhook/kv-watch", targets[0])
                self.assertFalse([each for each in targets if b"kv-range" in each])


class _BusyStore(_Store):
    """A store in which one key is written every few milliseconds."""

    _PERIOD_S = 1.0 / 300.0

    def __init__(self) -> None:
        super().__init__(unanswered=0)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int, note_received
    ) -> Changes:
        self.waits_ms.append(wait_ms)
        await trio.sleep(self._PERIOD_S)
        revision = int(trio.current_time() / self._PERIOD_S)
        changes = tuple(_write(prefix + "k", each) for each in range(after, revision))
        return Changes(changes=changes, as_of=revision)


def _write(key: str, revision: int) -> Change:
    item = Item(key=key, value=b"", revision=revision, created=1)
    return Change(key=key, revision=revision, item=item)


class CollectionTest(unittest.TestCase):
    """Tests of keys that change all the time."""

    def test_busy_key_is_read_at_a_bounded_rate(self):
        # Guards against one key that changes hundreds of times a second: an owner would
        # read it as often, which uses up its time and the store's rate limit.
        store = _BusyStore()
        taken: list[Change] = []
        reads: list[KeyRead] = []

        async def main() -> None:
            with trio.move_on_after(10.0):
                await follow(
                    store,
                    "servers/",
                    clock=build_system_clock(),
                    take_listing=lambda listing: None,
                    take_change=taken.append,
                    note_read=reads.append,
                    collect_ms=50.0,
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(len(store.waits_ms), 201)
        self.assertLessEqual(len(taken), 201)
        self.assertGreater(taken[-1].revision, 2_900)
        self.assertGreater(len(reads), 190)

    def test_only_superseded_writes_are_left_out(self):
        # Guards against a lost removal, or a lost write before one: the last entry of a
        # worker tells whether it was drained.
        gone = Change(key="a", revision=4, item=None)
        changes = [
            _write("a", 1),
            _write("b", 2),
            _write("a", 3),
            gone,
            _write("a", 5),
            _write("b", 6),
            _write("a", 7),
        ]
        kept = [each.revision for each in _drop_superseded(changes)]
        self.assertEqual(kept, [3, 4, 6, 7])
