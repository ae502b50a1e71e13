"""The journal under lost answers, former owners and compaction."""

import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import (
    FencedError,
    StoreUnavailableError,
    StoreUnsentError,
)
from trefoilhook.jobs import JobRecord, RecordKind
from trefoilhook.journal import JournalSettings, open_journal
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient

_SHARD = "wrk-000"
_SMALL = JournalSettings(page_bytes=1_024, compact_pages=4, write_timeout_ms=10)


def _record(name: str, kind: RecordKind = RecordKind.CANCELLED, **more) -> JobRecord:
    return JobRecord(kind=kind, job_id=name, **more)


def _names(records) -> list[str]:
    return [record.job_id for record in records]


class JournalTest(unittest.TestCase):
    """One store, one owner after another."""

    def _run(self, scenario) -> None:
        async def run() -> None:
            self.clock = build_system_clock()
            self.store = VirtualStore(clock=self.clock)
            await scenario()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def _open(self, epoch: int, client=None, settings=_SMALL):
        return open_journal(
            store=client or VirtualStoreClient(store=self.store),
            shard_id=_SHARD,
            epoch=epoch,
            clock=self.clock,
            settings=settings,
        )

    def test_records_outlast_their_owner_in_order(self):
        async def scenario() -> None:
            first = self._open(1)
            self.assertEqual(list(await first.load()), [])
            for number in range(100):
                await first.append([_record(f"j{number}")])
            second = self._open(2)
            wanted = [f"j{number}" for number in range(100)]
            self.assertEqual(_names(await second.load()), wanted)

        self._run(scenario)

    def test_one_append_is_one_write_however_many_records(self):
        async def scenario() -> None:
            journal = self._open(1, settings=JournalSettings())
            await journal.load()
            before = self.store.state.calls["swap"]
            await journal.append([_record(f"j{number}") for number in range(200)])
            self.assertEqual(self.store.state.calls["swap"] - before, 1)

        self._run(scenario)

    def test_former_owner_can_not_append(self):
        # An owner is frozen while the next one loads the journal. What it appends
        # afterwards would be lost to the next owner although it was told "recorded".
        async def scenario() -> None:
            for appended in (0, 30):
                first = self._open(10 * appended + 1)
                await first.load()
                await first.append([_record(f"a{n}") for n in range(appended)])
                second = self._open(10 * appended + 2)
                await second.load()
                with self.assertRaises(FencedError):
                    await first.append([_record("late")])

        self._run(scenario)

    def test_append_that_overtakes_the_takeover_is_read(self):
        # The former owner's append reaches the store while the next owner loads, at
        # any point of its loading. It is either refused or seen by the next owner.
        async def scenario() -> None:
            for delay_ms in range(0, 24):
                first = self._open(100 + 2 * delay_ms)
                await first.load()
                second = self._open(101 + 2 * delay_ms)
                told: list[str] = []
                name = f"d{delay_ms}"

                async def append(first=first, name=name, told=told, ms=delay_ms):
                    await self.clock.sleep_ms(ms)
                    try:
                        await first.append([_record(name)] * 12)
                        told.append(name)
                        await first.append([_record(f"{name}-next")])
                        told.append(f"{name}-next")
                    except FencedError:
                        return

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(append)
                    seen = _names(await second.load())
                with self.subTest(delay_ms=delay_ms):
                    self.assertLessEqual(set(told), set(seen))

        self._run(scenario)

    def test_lost_answer_is_found_again(self):
        # The store takes the append and its answer gets lost, at first for longer than
        # the journal looks. The next append finds it by its nonce and adds to it.
        async def scenario() -> None:
            client = VirtualStoreClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.answers_to_lose = 1
            with self.assertRaises(StoreUnavailableError):
                await journal.append([_record("j1")])
            await journal.append([_record("j1"), _record("j2")])
            names = _names(await self._open(2).load())
            self.assertEqual(names, ["j1", "j2"])

        self._run(scenario)

    def test_outage_is_a_sure_no(self):
        async def scenario() -> None:
            client = VirtualStoreClient(store=self.store, is_unsent=True)
            journal = self._open(1, client)
            await journal.load()
            client.is_cut = True
            with self.assertRaises(StoreUnsentError):
                await journal.append([_record("j1")])
            client.is_cut = False
            await journal.append([_record("j2")])
            self.assertEqual(_names(await self._open(2).load()), ["j2"])

        self._run(scenario)

    def test_compaction_keeps_what_counts_and_bounds_the_rest(self):
        async def scenario() -> None:
            journal = self._open(1)
            await journal.load()
            await journal.append([_record("w", RecordKind.WORKER_ADDED, worker_id="w")])
            for number in range(300):
                name = f"j{number}"
                await journal.append([_record(name, RecordKind.ACCEPTED)])
                await journal.append([_record(name, RecordKind.ENDED, at_ms=1.0)])
            await journal.append([_record("open", RecordKind.ACCEPTED)])
            self.assertLessEqual(journal.page_count, 6)
            names = _names(await self._open(2).load())
            self.assertIn("w", names)
            self.assertIn("open", names)
            self.assertLess(len(names), 100)
            stored = self.store.state.list_entries("journal/", after_key="", limit=999)
            self.assertLessEqual(len(stored.entries), 9)

        self._run(scenario)

    def test_former_owner_can_not_compact(self):
        # The frozen owner wakes up in the middle of a compaction and changes the head:
        # the records of the next owner would be gone.
        async def scenario() -> None:
            first = self._open(1)
            await first.load()
            await first.append([_record(f"a{n}") for n in range(60)])
            second = self._open(2)
            await second.load()
            await second.append([_record("kept")])
            with self.assertRaises(FencedError):
                await first._compact()
            self.assertIn("kept", _names(await self._open(3).load()))

        self._run(scenario)

    def test_append_larger_than_a_value_is_split(self):
        async def scenario() -> None:
            journal = self._open(1, settings=JournalSettings())
            await journal.load()
            await journal.append(
                [_record(f"j{n}", result="x" * 20_000) for n in range(120)]
            )
            self.assertEqual(len(await self._open(2).load()), 120)

        self._run(scenario)
