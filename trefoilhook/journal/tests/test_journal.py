"""The journal under lost answers, former owners and compaction."""

import contextlib
import functools
import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import FencedError, StoreUnavailableError, StoreUnsentError
from trefoilhook.jobs import JobRecord, RecordKind
from trefoilhook.journal import JournalSettings, open_journal
from trefoilhook.journal.compaction import compact_records
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient
from trefoilhook.store import ConflictError

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

    def test_append_that_is_cut_short_is_no_sure_no(self):
        # A burst of jobs fills two pages and the store goes down between them. The
        # first ones are recorded: told "not run", their operators would submit again.
        async def scenario() -> None:
            client = _OneWrite(store=self.store, is_unsent=True)
            journal = self._open(1, client)
            await journal.load()
            client.is_counting = True
            with self.assertRaises(StoreUnavailableError) as caught:
                await journal.append([_record(f"j{n}") for n in range(60)])
            self.assertFalse(caught.exception.is_proved_unsent)
            self.assertGreater(len(await self._open(2).load()), 0)

        self._run(scenario)

    def test_lost_answer_to_the_change_of_generation(self):
        # A compaction changes the head, and the store's answer is lost for good. Were
        # the old pages still written afterwards, every job recorded there would be
        # gone with the next owner, although its operator was told "recorded".
        for lost, is_late in ((1, False), (2, False), (1, True), (2, True)):

            async def scenario(lost=lost, is_late=is_late) -> None:
                client = _HeadLoser(store=self.store)
                journal = self._open(1, client)
                await journal.load()
                client.heads_to_lose = lost
                client.is_late = is_late
                told = []
                for number in range(40):
                    name = f"j{number}"
                    with contextlib.suppress(StoreUnavailableError):
                        await journal.append([_record(name, result="x" * 300)])
                        told.append(name)
                self.assertEqual(client.heads_to_lose, 0)
                self.assertGreater(len(told), 36)
                names = _names(await self._open(2).load())
                self.assertLessEqual(set(told), set(names))

            with self.subTest(lost=lost, is_late=is_late):
                self._run(scenario)

    def test_new_generation_is_written_once_it_is_found_in_use(self):
        # As above, but the next compactions fail, so that what is recorded after the
        # lost answer stands only where it was written first.
        async def scenario() -> None:
            client = _HeadLoser(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.heads_to_lose = 1
            while client.heads_to_lose:
                await journal.append([_record("a", result="x" * 270)])
            self.assertLess(journal._pages[-1].size, _SMALL.page_bytes)
            client.is_compaction_blocked = True
            await journal.append([_record("told")])
            self.assertIn("told", _names(await self._open(2).load()))

        self._run(scenario)

    def test_outage_with_an_unsure_head_is_a_sure_no(self):
        # The head's change is unsure and the store is gone. New records were not sent
        # anywhere, so an operator may be told that they are not recorded.
        async def scenario() -> None:
            client = _HeadLoser(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.heads_to_lose = 1
            while client.heads_to_lose:
                await journal.append([_record("a", result="x" * 1_100)])
            client.is_cut = True
            with self.assertRaises(StoreUnsentError):
                await journal.append([_record("b")])

        self._run(scenario)

    def test_outage_with_a_full_page_is_a_sure_no(self):
        async def scenario() -> None:
            client = VirtualStoreClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            await journal.append([_record("a", result="x" * 1_100)])
            client.is_cut = True
            with self.assertRaises(StoreUnsentError):
                await journal.append([_record("b")])

        self._run(scenario)

    def test_second_writer_at_the_same_epoch_is_a_fence(self):
        # A journal is opened twice at one epoch, which a claim never does. One of the
        # two must stop; neither may take the other's writes for its own.
        async def scenario(is_head_lost) -> None:
            client = _HeadLoser(store=self.store)
            first = self._open(1, client)
            await first.load()
            client.heads_to_lose = int(is_head_lost)
            while client.heads_to_lose:
                await first.append([_record("a", result="x" * 1_100)])
            second = self._open(1)
            await second.load()
            with self.assertRaises(FencedError):
                await first.append([_record("b")])
            await second.append([_record("c")])

        for is_head_lost in (False, True):
            with self.subTest(is_head_lost=is_head_lost):
                self._run(functools.partial(scenario, is_head_lost))

    def test_former_owner_opens_a_page_while_the_next_one_loads(self):
        # The next owner has read the pages when the former one takes the place of the
        # page that the next one is about to open. It must load all the same, and what
        # the former one was told must be true.
        async def scenario() -> None:
            first = self._open(1)
            await first.load()
            await first.append([_record("a", result="x" * 1_100)])
            ends: list[object] = []
            client = _Interloper(store=self.store)
            client.meanwhile = functools.partial(_try_appending, first, ends)
            second = self._open(2, client)
            self.assertEqual(_names(await second.load()), ["a"])
            self.assertIsInstance(ends[0], FencedError)
            await second.append([_record("kept")])
            self.assertIn("kept", _names(await self._open(3).load()))

        self._run(scenario)

    def test_former_owner_does_not_delete_the_next_ones_pages(self):
        # An owner is frozen after a compaction, just before it deletes old pages. It
        # wakes up after the next owner compacted too, lists the store, and finds pages
        # that it doesn't know: the next owner's.
        async def scenario() -> None:
            frozen = _FrozenLister(store=self.store)
            first = self._open(1, frozen)
            await first.load()
            frozen.is_frozen = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_append_many, first, "a", 20)
                await frozen.reached.wait()
                second = self._open(2)
                await second.load()
                await _append_many(second, "b", 40)
                frozen.thaw.set()
            names = _names(await self._open(3).load())
            self.assertLessEqual({f"b{number}" for number in range(40)}, set(names))

        self._run(scenario)

    def test_former_owner_finds_its_pages_deleted(self):
        # An owner is frozen with a full page, in the middle of its loading, or with
        # room in its page. The next one compacts, which deletes the pages that fence
        # the first: it finds the place of its next page free, or its own page gone.
        # What it recorded there nobody would ever read; and it must learn that it is
        # fenced, since any other error would end the whole instance.
        async def scenario(is_loading, size) -> None:
            frozen = _FrozenLister(store=self.store)
            first = self._open(1, frozen)
            if not is_loading:
                await first.load()
                await first.append([_record("a", result="x" * size)])
            frozen.is_frozen = is_loading
            frozen.frozen_prefix = f"journal/{_SHARD}/1-0/"
            ends: list[object] = []
            async with trio.open_nursery() as nursery:
                if is_loading:
                    nursery.start_soon(_load_and_append, first, ends)
                    await frozen.reached.wait()
                second = self._open(2)
                await second.load()
                await _append_many(second, "b", 40)
                frozen.thaw.set()
            if not is_loading:
                await _try_appending(first, ends)
            self.assertIsInstance(ends[0], FencedError)

        for is_loading, size in ((False, 1_100), (True, 0), (False, 100)):
            with self.subTest(is_loading=is_loading, size=size):
                self._run(functools.partial(scenario, is_loading, size))

    def test_compaction_keeps_the_checkpoint_of_a_job_started_anew(self):
        # A job is evicted, recorded to start anew, and its owner dies. Without the
        # checkpoint the next attempt would begin at the start and do work twice.
        evicted = _record("j", RecordKind.EVICTED, checkpoint="half")
        started = _record("j", RecordKind.STARTING, worker_id="w")
        accepted = _record("j", RecordKind.ACCEPTED)
        for order in ([evicted, started], [started, evicted]):
            with self.subTest(order=order):
                kept = compact_records([accepted, *order], ended_after_ms=0.0)
                self.assertEqual(kept, [accepted, *order])


async def _try_appending(journal, ends):
    try:
        ends.append(await journal.append([_record("lost")]))
    except FencedError as error:
        ends.append(error)


async def _load_and_append(journal, ends):
    try:
        await journal.load()
    except FencedError as error:
        ends.append(error)
    else:
        await _try_appending(journal, ends)


async def _append_many(journal, prefix, count):
    for number in range(count):
        record = _record(f"{prefix}{number}", result="x" * 300)
        with contextlib.suppress(FencedError):
            await journal.append([record])


class _HeadLoser(VirtualStoreClient):
    """Loses answers to changes of the head; late ones take effect 5 ms after."""

    heads_to_lose = 0
    is_late = False
    is_compaction_blocked = False

    async def swap(self, key, value, **more):
        is_first_page = key.endswith("/000000") and not more["expected_revision"]
        if self.is_compaction_blocked and is_first_page:
            raise StoreUnsentError("no new generation")
        is_lost = self.heads_to_lose and key.endswith("/head")
        if not is_lost:
            return await super().swap(key, value, **more)
        self.heads_to_lose -= 1
        if self.is_late:
            trio.lowlevel.spawn_system_task(self._swap_late, key, value, more)
        else:
            await super().swap(key, value, **more)
        raise StoreUnavailableError("the answer was lost")

    async def _swap_late(self, key, value, more):
        await trio.sleep(0.005)
        with contextlib.suppress(ConflictError):
            await super().swap(key, value, **more)


class _Interloper(VirtualStoreClient):
    """Lets something happen just before the first page is created."""

    meanwhile = None

    async def swap(self, key, value, **more):
        if self.meanwhile is not None and more["expected_revision"] == 0:
            meanwhile, self.meanwhile = self.meanwhile, None
            await meanwhile()
        return await super().swap(key, value, **more)


class _OneWrite(VirtualStoreClient):
    """A client that loses the store after one more write."""

    is_counting = False

    async def swap(self, *args, **kwargs):
        result = await super().swap(*args, **kwargs)
        self.is_cut = self.is_counting
        return result


class _FrozenLister(VirtualStoreClient):
    """Stands still before it lists what stands under a prefix."""

    is_frozen = False
    frozen_prefix = f"journal/{_SHARD}/"

    def __init__(self, *, store):
        super().__init__(store=store)
        self.reached = trio.Event()
        self.thaw = trio.Event()

    async def list_entries(self, prefix, **more):
        if self.is_frozen and prefix == self.frozen_prefix:
            self.reached.set()
            await self.thaw.wait()
        return await super().list_entries(prefix, **more)
