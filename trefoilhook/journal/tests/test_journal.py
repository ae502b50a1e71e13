"""Journal under lost responses, concurrent owners and compaction."""

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
    """One store with successive owners of the journal."""

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

    def test_previous_owner_can_not_append(self):
        # An owner is suspended while its successor loads the journal. If it could still
        # append, records confirmed as durable would be missing for the successor.
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

    def test_append_during_a_takeover_is_read_or_refused(self):
        # The previous owner appends while the next one loads the journal, at any point
        # of the loading. The append must either fail or be seen by the next owner.
        async def scenario() -> None:
            for delay_ms in range(0, 24):
                first = self._open(100 + 2 * delay_ms)
                await first.load()
                second = self._open(101 + 2 * delay_ms)
                confirmed: list[str] = []
                name = f"d{delay_ms}"

                async def append(
                    first=first, name=name, confirmed=confirmed, ms=delay_ms
                ):
                    await self.clock.sleep_ms(ms)
                    try:
                        await first.append([_record(name)] * 12)
                        confirmed.append(name)
                        await first.append([_record(f"{name}-next")])
                        confirmed.append(f"{name}-next")
                    except FencedError:
                        return

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(append)
                    seen = _names(await second.load())
                with self.subTest(delay_ms=delay_ms):
                    self.assertLessEqual(set(confirmed), set(seen))

        self._run(scenario)

    def test_append_with_a_lost_response_is_recognised(self):
        # The store applies an append, but its response is lost and the append times
        # out. The next append must recognise the write by its nonce and add to it.
        async def scenario() -> None:
            client = VirtualStoreClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.responses_to_drop = 1
            with self.assertRaises(StoreUnavailableError):
                await journal.append([_record("j1")])
            await journal.append([_record("j1"), _record("j2")])
            names = _names(await self._open(2).load())
            self.assertEqual(names, ["j1", "j2"])

        self._run(scenario)

    def test_outage_is_reported_as_unsent(self):
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

    def test_compaction_keeps_needed_records_and_bounds_pages(self):
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

    def test_previous_owner_can_not_compact(self):
        # A suspended owner resumes in the middle of a compaction. If it could change
        # the head, the records of the next owner would be lost.
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

    def test_partial_append_is_not_reported_as_unsent(self):
        # An append spans several pages and the store fails between them. Some jobs are
        # recorded; if the error claimed otherwise, operators would submit them again.
        async def scenario() -> None:
            client = _SingleWriteClient(store=self.store, is_unsent=True)
            journal = self._open(1, client)
            await journal.load()
            client.is_counting = True
            with self.assertRaises(StoreUnavailableError) as caught:
                await journal.append([_record(f"j{n}") for n in range(60)])
            self.assertFalse(caught.exception.is_proved_unsent)
            self.assertGreater(len(await self._open(2).load()), 0)

        self._run(scenario)

    def test_lost_answer_to_the_change_of_generation(self):
        # A compaction changes the head, but the response is lost. If the old pages were
        # still written afterwards, jobs confirmed as recorded there would be missing
        # for the next owner.
        for lost, is_late in ((1, False), (2, False), (1, True), (2, True)):

            async def scenario(lost=lost, is_late=is_late) -> None:
                client = _HeadResponseDroppingClient(store=self.store)
                journal = self._open(1, client)
                await journal.load()
                client.head_responses_to_drop = lost
                client.is_late = is_late
                confirmed = []
                for number in range(40):
                    name = f"j{number}"
                    with contextlib.suppress(StoreUnavailableError):
                        await journal.append([_record(name, result="x" * 300)])
                        confirmed.append(name)
                self.assertEqual(client.head_responses_to_drop, 0)
                self.assertGreater(len(confirmed), 36)
                names = _names(await self._open(2).load())
                self.assertLessEqual(set(confirmed), set(names))

            with self.subTest(lost=lost, is_late=is_late):
                self._run(scenario)

    def test_appends_go_to_the_new_generation_after_a_lost_response(self):
        # As above, but later compactions fail, so that records appended after the lost
        # response remain in the generation to which they were first written.
        async def scenario() -> None:
            client = _HeadResponseDroppingClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.head_responses_to_drop = 1
            while client.head_responses_to_drop:
                await journal.append([_record("a", result="x" * 270)])
            self.assertLess(journal._pages[-1].size, _SMALL.page_bytes)
            client.is_compaction_blocked = True
            await journal.append([_record("told")])
            self.assertIn("told", _names(await self._open(2).load()))

        self._run(scenario)

    def test_outage_with_an_unconfirmed_head_is_reported_as_unsent(self):
        # The outcome of a head change is unknown and the store is unreachable. New
        # records are not sent, so the error must state that they are not recorded.
        async def scenario() -> None:
            client = _HeadResponseDroppingClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            client.head_responses_to_drop = 1
            while client.head_responses_to_drop:
                await journal.append([_record("a", result="x" * 1_100)])
            client.is_cut = True
            with self.assertRaises(StoreUnsentError):
                await journal.append([_record("b")])

        self._run(scenario)

    def test_outage_with_a_full_page_is_reported_as_unsent(self):
        async def scenario() -> None:
            client = VirtualStoreClient(store=self.store)
            journal = self._open(1, client)
            await journal.load()
            await journal.append([_record("a", result="x" * 1_100)])
            client.is_cut = True
            with self.assertRaises(StoreUnsentError):
                await journal.append([_record("b")])

        self._run(scenario)

    def test_second_writer_at_the_same_epoch_is_fenced(self):
        # The journal is opened twice at the same epoch, which claims do not allow. One
        # writer must be fenced, and neither may adopt the writes of the other.
        async def scenario(is_head_lost) -> None:
            client = _HeadResponseDroppingClient(store=self.store)
            first = self._open(1, client)
            await first.load()
            client.head_responses_to_drop = int(is_head_lost)
            while client.head_responses_to_drop:
                await first.append([_record("a", result="x" * 1_100)])
            second = self._open(1)
            await second.load()
            with self.assertRaises(FencedError):
                await first.append([_record("b")])
            await second.append([_record("c")])

        for is_head_lost in (False, True):
            with self.subTest(is_head_lost=is_head_lost):
                self._run(functools.partial(scenario, is_head_lost))

    def test_previous_owner_opens_a_page_while_the_next_one_loads(self):
        # After the next owner has read the pages, the previous one appends before the
        # next one creates its page. Loading must still succeed, and the result of the
        # append must be correct.
        async def scenario() -> None:
            first = self._open(1)
            await first.load()
            await first.append([_record("a", result="x" * 1_100)])
            outcomes: list[object] = []
            client = _ConcurrentWriteClient(store=self.store)
            client.callback = functools.partial(_try_appending, first, outcomes)
            second = self._open(2, client)
            self.assertEqual(_names(await second.load()), ["a"])
            self.assertIsInstance(outcomes[0], FencedError)
            await second.append([_record("kept")])
            self.assertIn("kept", _names(await self._open(3).load()))

        self._run(scenario)

    def test_previous_owner_does_not_delete_the_next_ones_pages(self):
        # An owner is suspended after a compaction, before deleting the old pages. It
        # resumes after the next owner has compacted, and lists the pages of that owner,
        # which it must not delete.
        async def scenario() -> None:
            client = _PausedListClient(store=self.store)
            first = self._open(1, client)
            await first.load()
            client.is_suspended = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_append_many, first, "a", 20)
                await client.list_reached.wait()
                second = self._open(2)
                await second.load()
                await _append_many(second, "b", 40)
                client.resume.set()
            names = _names(await self._open(3).load())
            self.assertLessEqual({f"b{number}" for number in range(40)}, set(names))

        self._run(scenario)

    def test_previous_owner_finds_its_pages_deleted(self):
        # An owner is suspended while loading, or with a full or partly filled page. The
        # next owner compacts, which deletes the pages that fence the first one, so that
        # it can create its next page or finds its own page deleted. Its records would
        # never be read, so it must raise FencedError; any other error would terminate
        # the instance.
        async def scenario(is_loading, size) -> None:
            client = _PausedListClient(store=self.store)
            first = self._open(1, client)
            if not is_loading:
                await first.load()
                await first.append([_record("a", result="x" * size)])
            client.is_suspended = is_loading
            client.suspended_prefix = f"journal/{_SHARD}/1-0/"
            outcomes: list[object] = []
            async with trio.open_nursery() as nursery:
                if is_loading:
                    nursery.start_soon(_load_and_append, first, outcomes)
                    await client.list_reached.wait()
                second = self._open(2)
                await second.load()
                await _append_many(second, "b", 40)
                client.resume.set()
            if not is_loading:
                await _try_appending(first, outcomes)
            self.assertIsInstance(outcomes[0], FencedError)

        for is_loading, size in ((False, 1_100), (True, 0), (False, 100)):
            with self.subTest(is_loading=is_loading, size=size):
                self._run(functools.partial(scenario, is_loading, size))

    def test_compaction_keeps_the_checkpoint_of_a_job_started_anew(self):
        # A job is evicted and restarted, and then its owner fails. If compaction
        # dropped the checkpoint, the next attempt would repeat work from the beginning.
        evicted = _record("j", RecordKind.EVICTED, checkpoint="half")
        started = _record("j", RecordKind.STARTING, worker_id="w")
        accepted = _record("j", RecordKind.ACCEPTED)
        for order in ([evicted, started], [started, evicted]):
            with self.subTest(order=order):
                kept = compact_records([accepted, *order], ended_after_ms=0.0)
                self.assertEqual(kept, [accepted, *order])


async def _try_appending(journal, outcomes):
    try:
        outcomes.append(await journal.append([_record("lost")]))
    except FencedError as error:
        outcomes.append(error)


async def _load_and_append(journal, outcomes):
    try:
        await journal.load()
    except FencedError as error:
        outcomes.append(error)
    else:
        await _try_appending(journal, outcomes)


async def _append_many(journal, prefix, count):
    for number in range(count):
        record = _record(f"{prefix}{number}", result="x" * 300)
        with contextlib.suppress(FencedError):
            await journal.append([record])


class _HeadResponseDroppingClient(VirtualStoreClient):
    """Drops responses to head changes; late changes take effect after 5 ms."""

    head_responses_to_drop = 0
    is_late = False
    is_compaction_blocked = False

    async def swap(self, key, value, **more):
        is_first_page = key.endswith("/000000") and not more["expected_revision"]
        if self.is_compaction_blocked and is_first_page:
            raise StoreUnsentError("writes of new generations are blocked")
        is_lost = self.head_responses_to_drop and key.endswith("/head")
        if not is_lost:
            return await super().swap(key, value, **more)
        self.head_responses_to_drop -= 1
        if self.is_late:
            trio.lowlevel.spawn_system_task(self._swap_late, key, value, more)
        else:
            await super().swap(key, value, **more)
        raise StoreUnavailableError("the response was lost")

    async def _swap_late(self, key, value, more):
        await trio.sleep(0.005)
        with contextlib.suppress(ConflictError):
            await super().swap(key, value, **more)


class _ConcurrentWriteClient(VirtualStoreClient):
    """Runs a callback just before the first page is created."""

    callback = None

    async def swap(self, key, value, **more):
        if self.callback is not None and more["expected_revision"] == 0:
            callback, self.callback = self.callback, None
            await callback()
        return await super().swap(key, value, **more)


class _SingleWriteClient(VirtualStoreClient):
    """Client that loses the connection to the store after one more write."""

    is_counting = False

    async def swap(self, *args, **kwargs):
        result = await super().swap(*args, **kwargs)
        self.is_cut = self.is_counting
        return result


class _PausedListClient(VirtualStoreClient):
    """Suspends before listing the entries under a prefix."""

    is_suspended = False
    suspended_prefix = f"journal/{_SHARD}/"

    def __init__(self, *, store):
        super().__init__(store=store)
        self.list_reached = trio.Event()
        self.resume = trio.Event()

    async def list_entries(self, prefix, **more):
        if self.is_suspended and prefix == self.suspended_prefix:
            self.list_reached.set()
            await self.resume.wait()
        return await super().list_entries(prefix, **more)
