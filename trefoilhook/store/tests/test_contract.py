"""Contract of the store adapter with a healthy store: values, watches, leases."""

import unittest

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import LeaseLostError, RequestError, StoreUnavailableError
from trefoilhook.standins import (
    Availability,
    FaultSettings,
    StoreSettings,
    StoreStandin,
)
from trefoilhook.store import (
    MAX_VALUE_BYTES,
    ConflictError,
    StoreClient,
)
from trefoilhook.store.tests.bench import Bench, run_with_store


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
                scenario = self._build_swap(key, value, expected, outcome)
                run_with_store(scenario, is_large=True)

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

        run_with_store(scenario, is_large=True)

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

        run_with_store(scenario, is_large=True)


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

    def test_open_watches_go_silent_while_new_ones_work(self):
        # One instance stops hearing of changes though its watch is still open. It
        # gives the watch up and hears of the change by the next one.
        async def scenario(bench: Bench) -> None:
            async def watch_in_vain() -> None:
                with self.assertRaises(StoreUnavailableError):
                    await bench.client.watch("", after_revision=0, wait_ms=1_000)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_in_vain)
                await bench.clock.sleep_ms(100)
                bench.store.silence_watches()
                await bench.client.swap("a", b"1", expected_revision=0)
                batch = await bench.client.watch("", after_revision=0, wait_ms=1_000)
                self.assertEqual(batch.revision, 1)

        run_with_store(scenario)

    def test_watch_may_wait_longer_than_a_call(self):
        async def scenario(bench: Bench) -> None:
            batch = await bench.client.watch("", after_revision=0, wait_ms=20_000)
            self.assertEqual((batch.revision, batch.is_reset), (0, False))

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
            self.assertIsNone(await bench.client.get("a"))
            with self.assertRaises(LeaseLostError):
                await bench.client.keep_alive(lease.lease_id)

        run_with_store(scenario)

    def test_lease_has_lapsed_before_its_timer_fires(self):
        # The store is frozen for longer than a lease. Thawed, it reads a keep-alive
        # before its own timers fire: the lease must not come back to life.
        async def main() -> None:
            now_ms = [0.0]
            frozen = Clock(
                monotonic_ms=lambda: now_ms[0],
                wall_ms=lambda: now_ms[0],
                sleep_ms=lambda _: trio.sleep_forever(),
            )
            store = StoreStandin(clock=frozen)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(store.run)
                client = StoreClient(
                    host="127.0.0.1", port=port, clock=frozen, timeout_ms=60_000
                )
                lease = await client.grant_lease(1_000)
                now_ms[0] = 1_001.0
                with self.assertRaises(LeaseLostError):
                    await client.keep_alive(lease.lease_id)
                nursery.cancel_scope.cancel()

        trio.run(main)

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
