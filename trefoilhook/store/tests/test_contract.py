"""Contract of the store adapter with a store, faults included."""

import unittest
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.exceptions import (
    ConflictError,
    LeaseLostError,
    RequestError,
    StoreError,
    StoreRateError,
    StoreUnavailableError,
)
from trefoilhook.standins import (
    Availability,
    FaultSettings,
    StoreSettings,
    StoreStandin,
    TcpCut,
)
from trefoilhook.store import (
    MAX_VALUE_BYTES,
    StoreClient,
    build_nonce,
    swap_reading_back,
)

_TIMEOUT_MS = 500.0


@attrs.frozen(kw_only=True)
class Bench:
    """A store and a client of it."""

    clock: Clock
    store: StoreStandin
    client: StoreClient

    def connect(self, port: int | None = None) -> StoreClient:
        """Build another client, to the store or to what stands before it."""
        return StoreClient(
            host="127.0.0.1",
            port=port or self.store.server.port,
            clock=self.clock,
            timeout_ms=_TIMEOUT_MS,
        )


def run_with_store(
    scenario: Callable[[Bench], Awaitable[None]],
    *,
    settings: StoreSettings | None = None,
) -> None:
    """Run ``scenario`` against a store in virtual time."""

    async def main() -> None:
        clock = build_system_clock()
        store = StoreStandin(clock=clock, settings=settings)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(store.run)
            client = StoreClient(
                host="127.0.0.1", port=port, clock=clock, timeout_ms=_TIMEOUT_MS
            )
            await scenario(Bench(clock=clock, store=store, client=client))
            nursery.cancel_scope.cancel()

    # The sockets are real, so the virtual clock must not jump while bytes are on
    # their way through the kernel: it waits for quiet first.
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.02))


class ValuesTest(unittest.TestCase):
    """Gets, lists and swaps of a healthy store."""

    def test_swaps(self):
        # (key, value, expected revision, what comes of it) on a store where a = 1
        # stands at revision 1.
        table = [
            ("a", b"2", 1, 2),
            ("a", None, 1, 2),
            ("b", b"\x00\xff", 0, 2),
            ("b", b"", 0, 2),
            ("b", b"x" * MAX_VALUE_BYTES, 0, 2),
            ("a", b"2", 0, ConflictError),
            ("a", b"2", 7, ConflictError),
            ("b", b"2", 1, ConflictError),
            ("b", b"x" * (MAX_VALUE_BYTES + 1), 0, RequestError),
        ]
        for key, value, expected, outcome in table:
            with self.subTest(key=key, expected=expected, outcome=outcome):
                run_with_store(self._build_swap(key, value, expected, outcome))

    def _build_swap(self, key, value, expected, outcome):
        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"1", expected_revision=0)
            if isinstance(outcome, int):
                found = await bench.client.swap(key, value, expected_revision=expected)
                self.assertEqual(found, outcome)
                entry = await bench.client.get(key)
                self.assertEqual(entry and entry.value, value)
                return
            before = await bench.client.get(key)
            with self.assertRaises(outcome) as caught:
                await bench.client.swap(key, value, expected_revision=expected)
            self.assertEqual(await bench.client.get(key), before)
            if outcome is ConflictError:
                self.assertEqual(caught.exception.current, before)

        return scenario

    def test_pages_hold_every_key_once(self):
        async def scenario(bench: Bench) -> None:
            names = [f"root/{number}" for number in range(7)]
            for name in names:
                await bench.client.swap(name, b"v", expected_revision=0)
            await bench.client.swap("other", b"v", expected_revision=0)
            found, after_key = [], ""
            while after_key is not None:
                page = await bench.client.list_entries(
                    "root/", after_key=after_key, limit=3
                )
                found += [entry.key for entry in page.entries]
                after_key = page.next_key
            self.assertEqual(found, names)

        run_with_store(scenario)

    def test_large_values_shorten_pages_and_batches(self):
        async def scenario(bench: Bench) -> None:
            large = b"x" * MAX_VALUE_BYTES
            for number in range(6):
                await bench.client.swap(f"k{number}", large, expected_revision=0)
            page = await bench.client.list_entries("")
            self.assertEqual((len(page.entries), page.next_key), (4, "k3"))
            first = await bench.client.watch("", after_revision=0, wait_ms=0)
            rest = await bench.client.watch(
                "", after_revision=first.revision, wait_ms=0
            )
            keys = [entry.key for entry in first.entries + rest.entries]
            self.assertEqual(keys, [f"k{number}" for number in range(6)])

        run_with_store(scenario)


class WatchTest(unittest.TestCase):
    """Long-polling watches."""

    def test_watch_wakes_for_its_prefix_only(self):
        async def scenario(bench: Bench) -> None:
            batches = []

            async def watch() -> None:
                batches.append(
                    await bench.client.watch("a/", after_revision=0, wait_ms=20_000)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await bench.client.swap("b/1", b"no", expected_revision=0)
                await bench.client.swap("a/1", b"yes", expected_revision=0)
            self.assertEqual([entry.key for entry in batches[0].entries], ["a/1"])
            self.assertEqual(bench.store.counts.calls["watch"], 1)

        run_with_store(scenario)

    def test_batches(self):
        # What a watch says after a = 1, b = 2 and the deletion of a (revisions 1-3).
        table = [
            (0, ["b"], ["a"], 3, False),
            (2, [], ["a"], 3, False),
            (3, [], [], 3, False),
            (9, [], [], 3, True),
        ]

        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"1", expected_revision=0)
            await bench.client.swap("b", b"2", expected_revision=0)
            await bench.client.swap("a", None, expected_revision=1)
            for after, keys, deleted, revision, is_reset in table:
                batch = await bench.client.watch("", after_revision=after, wait_ms=0)
                found = (
                    [entry.key for entry in batch.entries],
                    [gone.key for gone in batch.deleted],
                    batch.revision,
                    batch.is_reset,
                )
                self.assertEqual(found, (keys, deleted, revision, is_reset))

        run_with_store(scenario)

    def test_forgotten_history_asks_for_a_new_list(self):
        # A watcher was away for longer than the store remembers. What it missed is
        # gone, so an ordinary batch would leave it at old values for good.
        async def scenario(bench: Bench) -> None:
            for revision in range(4):
                await bench.client.swap("a", b"x", expected_revision=revision)
            old = await bench.client.watch("", after_revision=1, wait_ms=0)
            known = await bench.client.watch("", after_revision=2, wait_ms=0)
            self.assertEqual((old.is_reset, known.is_reset), (True, False))

        run_with_store(scenario, settings=StoreSettings(history_events=2))

    def test_silent_watch_is_given_up(self):
        # Changes stop arriving at one instance while its other calls work: what
        # carried its watch forgot the connection. The adapter gives the watch up
        # after its wait and timeout, and the next one sees the change.
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(FaultSettings(silent_watches=1))
            with self.assertRaises(StoreUnavailableError):
                await bench.client.watch("", after_revision=0, wait_ms=100)
            await bench.client.swap("a", b"1", expected_revision=0)
            batch = await bench.client.watch("", after_revision=0, wait_ms=100)
            self.assertEqual(batch.revision, 1)

        run_with_store(scenario)


class LeaseTest(unittest.TestCase):
    """Leases on the store's clock."""

    def test_lapsed_lease_takes_its_keys(self):
        async def scenario(bench: Bench) -> None:
            lease = await bench.client.grant_lease(200)
            await bench.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            batch = await bench.client.watch("", after_revision=1, wait_ms=20_000)
            self.assertEqual([gone.key for gone in batch.deleted], ["a"])
            with self.assertRaises(LeaseLostError):
                await bench.client.keep_alive(lease.lease_id)
            with self.assertRaises(LeaseLostError):
                await bench.client.revoke_lease(lease.lease_id)
            with self.assertRaises(LeaseLostError):
                await bench.client.swap(
                    "b", b"1", expected_revision=0, lease_id=lease.lease_id
                )

        run_with_store(scenario)

    def test_lease_lapses_while_the_store_is_down(self):
        # The store is down for longer than a lease. Its holder is told on return that
        # the lease is lost, and its keys are gone: the time went on counting.
        async def scenario(bench: Bench) -> None:
            lease = await bench.client.grant_lease(100)
            await bench.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            await bench.store.server.change_faults(
                FaultSettings(availability=Availability.REFUSING)
            )
            await bench.clock.sleep_ms(200)
            await bench.store.server.change_faults(FaultSettings())
            self.assertIsNone(await _retry_get(bench, "a"))
            with self.assertRaises(LeaseLostError):
                await bench.client.keep_alive(lease.lease_id)

        run_with_store(scenario)

    def test_rewritten_key_leaves_its_old_lease(self):
        async def scenario(bench: Bench) -> None:
            lease = await bench.client.grant_lease(60_000)
            await bench.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            await bench.client.swap("a", b"2", expected_revision=1)
            await bench.client.revoke_lease(lease.lease_id)
            self.assertIsNotNone(await bench.client.get("a"))

        run_with_store(scenario)


async def _retry_get(bench: Bench, key: str):
    while True:
        try:
            return await bench.client.get(key)
        except StoreUnavailableError:
            await bench.clock.sleep_ms(10)


class FaultTest(unittest.TestCase):
    """What the adapter says of a store at fault."""

    def test_faults(self):
        # (fault, error, is proved unsent, did the swap take effect)
        refusing = FaultSettings(availability=Availability.REFUSING)
        hanging = FaultSettings(availability=Availability.HANGING)
        table = [
            (refusing, StoreUnavailableError, True, False),
            (hanging, StoreUnavailableError, False, False),
            (FaultSettings(lost_answers=1), StoreUnavailableError, False, True),
            (FaultSettings(delay_ms=1_000), StoreUnavailableError, False, False),
        ]
        for fault, error, is_unsent, is_done in table:
            with self.subTest(fault=fault):
                run_with_store(self._build_fault(fault, error, is_unsent, is_done))

    def _build_fault(self, fault, error, is_unsent, is_done):
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(fault)
            with self.assertRaises(error) as caught:
                await bench.client.swap("a", b"1", expected_revision=0)
            self.assertEqual(caught.exception.is_proved_unsent, is_unsent)
            self.assertEqual(bench.store.state.get("a") is not None, is_done)

        return scenario

    def test_connections_that_went_silent_together(self):
        # Several open connections to the store are forgotten at once by what carries
        # them. After the first time-out the others are not tried one by one.
        async def scenario(bench: Bench) -> None:
            cut = TcpCut(
                clock=bench.clock,
                target_host="127.0.0.1",
                target_port=bench.store.server.port,
            )
            async with trio.open_nursery() as nursery:
                port = await nursery.start(cut.run)
                client = bench.connect(port)
                async with trio.open_nursery() as calls:
                    for _ in range(4):
                        calls.start_soon(client.get, "a")
                self.assertEqual(cut.forget_connections(), 4)
                with self.assertRaises(StoreUnavailableError):
                    await client.get("a")
                self.assertIsNone(await client.get("a"))
                nursery.cancel_scope.cancel()

        run_with_store(scenario)

    def test_watch_is_not_answered_by_a_store_that_hangs(self):
        async def scenario(bench: Bench) -> None:
            lease = await bench.client.grant_lease(1_000)
            await bench.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_in_vain, bench)
                await bench.clock.sleep_ms(500)
                hanging = FaultSettings(availability=Availability.HANGING)
                await bench.store.server.change_faults(hanging)

        run_with_store(scenario)

    async def _watch_in_vain(self, bench: Bench) -> None:
        with self.assertRaises(StoreUnavailableError):
            await bench.client.watch("", after_revision=1, wait_ms=5_000)

    def test_call_above_the_rate_changes_nothing(self):
        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"1", expected_revision=0)
            with self.assertRaises(StoreRateError):
                await bench.client.swap("b", b"1", expected_revision=0)
            self.assertIsNone(await bench.client.get("b"))
            self.assertEqual(bench.store.counts.refused_calls, 1)

        run_with_store(scenario, settings=StoreSettings(writes_per_s=1.0))

    def test_unknown_path_is_refused(self):
        async def scenario(bench: Bench) -> None:
            with self.assertRaises(StoreError):
                await bench.client._call("GET", "/v1/nothing")

        run_with_store(scenario)


class ReadingBackTest(unittest.TestCase):
    """A lost answer told from a lost race."""

    def test_answer_lost_after_the_effect_is_a_success(self):
        # A journal commit's answer is lost after the store applied it. Sent again it
        # meets its own effect, which looks like a lost race: the operator would be
        # told "not accepted" of a job that then runs.
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(
                FaultSettings(lost_answers=2, lost_kind="swap")
            )
            revision = await _swap_back(bench, "a", build_nonce().encode())
            self.assertEqual(revision, 1)
            self.assertEqual(bench.store.state.revision, 1)

        run_with_store(scenario)

    def test_lost_race_is_a_conflict(self):
        async def scenario(bench: Bench) -> None:
            await bench.client.swap("a", b"other", expected_revision=0)
            with self.assertRaises(ConflictError) as caught:
                await _swap_back(bench, "a", build_nonce().encode())
            self.assertEqual(caught.exception.current.value, b"other")

        run_with_store(scenario)

    def test_lost_answer_then_overwritten_stays_unknown(self):
        # The first answer is lost; before the writer reads back, another instance
        # writes on top. Neither "done" nor "lost race" could be proved.
        async def scenario(bench: Bench) -> None:
            await bench.store.server.change_faults(FaultSettings(lost_answers=1))
            other = bench.connect()

            async def overwrite() -> None:
                while bench.store.state.revision < 1:
                    await bench.clock.sleep_ms(1)
                await other.swap("a", b"other", expected_revision=1)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(overwrite)
                with self.assertRaises(StoreUnavailableError) as caught:
                    await _swap_back(bench, "a", build_nonce().encode())
            self.assertFalse(caught.exception.is_proved_unsent)

        run_with_store(scenario)

    def test_store_gone_for_longer(self):
        # (availability, is the failure proved unsent)
        table = [(Availability.REFUSING, True), (Availability.HANGING, False)]
        for availability, is_unsent in table:
            with self.subTest(availability=availability):

                async def scenario(
                    bench: Bench, availability=availability, is_unsent=is_unsent
                ) -> None:
                    await bench.store.server.change_faults(
                        FaultSettings(availability=availability)
                    )
                    with self.assertRaises(StoreUnavailableError) as caught:
                        await _swap_back(bench, "a", b"nonce", timeout_ms=600)
                    self.assertEqual(caught.exception.is_proved_unsent, is_unsent)

                run_with_store(scenario)


async def _swap_back(bench: Bench, key, value, *, timeout_ms=10_000) -> int:
    return await swap_reading_back(
        bench.client,
        key,
        value,
        expected_revision=0,
        clock=bench.clock,
        timeout_ms=timeout_ms,
    )
