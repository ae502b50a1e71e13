"""Contract of the store client with a healthy store: values, watches, leases."""

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
from trefoilhook.store.tests.fixture import StoreFixture, run_with_store


class ValuesTest(unittest.TestCase):
    """Gets, lists and swaps on a healthy store."""

    def test_swaps(self):
        # (key, value, expected revision, resulting revision or error) on a store that
        # holds a = 1 at revision 1.
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
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.client.swap("a", b"1", expected_revision=0)
            if isinstance(outcome, int):
                found = await fixture.client.swap(
                    key, value, expected_revision=expected
                )
                self.assertEqual(found, outcome)
                entry = await fixture.client.get(key)
                self.assertEqual(entry and entry.value, value)
                return
            before = await fixture.client.get(key)
            with self.assertRaises(outcome) as caught:
                await fixture.client.swap(key, value, expected_revision=expected)
            self.assertEqual(await fixture.client.get(key), before)
            if outcome is ConflictError:
                self.assertEqual(caught.exception.current, before)

        return scenario

    def test_pages_contain_each_key_once(self):
        async def scenario(fixture: StoreFixture) -> None:
            names = [f"root/{number}" for number in range(7)]
            for name in names:
                await fixture.client.swap(name, b"v", expected_revision=0)
            await fixture.client.swap("other", b"v", expected_revision=0)
            found, after_key = [], ""
            while after_key is not None:
                page = await fixture.client.list_entries(
                    "root/", after_key=after_key, limit=3
                )
                found += [entry.key for entry in page.entries]
                after_key = page.next_key
            self.assertEqual(found, names)

        run_with_store(scenario, is_large=True)

    def test_large_values_shorten_pages_and_batches(self):
        async def scenario(fixture: StoreFixture) -> None:
            large = b"x" * MAX_VALUE_BYTES
            for number in range(6):
                await fixture.client.swap(f"k{number}", large, expected_revision=0)
            page = await fixture.client.list_entries("")
            self.assertEqual((len(page.entries), page.next_key), (4, "k3"))
            first = await fixture.client.watch("", after_revision=0, wait_ms=0)
            rest = await fixture.client.watch(
                "", after_revision=first.revision, wait_ms=0
            )
            keys = [entry.key for entry in first.entries + rest.entries]
            self.assertEqual(keys, [f"k{number}" for number in range(6)])

        run_with_store(scenario, is_large=True)


class WatchTest(unittest.TestCase):
    """Long-polling watches."""

    def test_watch_returns_for_its_prefix_only(self):
        async def scenario(fixture: StoreFixture) -> None:
            batches = []

            async def watch() -> None:
                batches.append(
                    await fixture.client.watch("a/", after_revision=0, wait_ms=20_000)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await fixture.client.swap("b/1", b"no", expected_revision=0)
                await fixture.client.swap("a/1", b"yes", expected_revision=0)
            self.assertEqual([entry.key for entry in batches[0].entries], ["a/1"])
            self.assertEqual(fixture.store.counts.calls["watch"], 1)

        run_with_store(scenario)

    def test_watch_batches(self):
        # (after revision, changed keys, deleted keys, revision, is_reset) of a watch
        # after a = 1, b = 2 and the deletion of a (revisions 1 to 3).
        table = [
            (0, ["b"], ["a"], 3, False),
            (2, [], ["a"], 3, False),
            (3, [], [], 3, False),
            (9, [], [], 3, True),
        ]

        async def scenario(fixture: StoreFixture) -> None:
            await fixture.client.swap("a", b"1", expected_revision=0)
            await fixture.client.swap("b", b"2", expected_revision=0)
            await fixture.client.swap("a", None, expected_revision=1)
            for after, keys, deleted, revision, is_reset in table:
                batch = await fixture.client.watch("", after_revision=after, wait_ms=0)
                found = (
                    [entry.key for entry in batch.entries],
                    [each.key for each in batch.deleted],
                    batch.revision,
                    batch.is_reset,
                )
                self.assertEqual(found, (keys, deleted, revision, is_reset))

        run_with_store(scenario)

    def test_open_watch_goes_silent_while_new_ones_work(self):
        # An open watch stops delivering changes without an error. It times out, and
        # the next watch delivers the change.
        async def scenario(fixture: StoreFixture) -> None:
            async def expect_watch_timeout() -> None:
                with self.assertRaises(StoreUnavailableError):
                    await fixture.client.watch("", after_revision=0, wait_ms=1_000)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(expect_watch_timeout)
                await fixture.clock.sleep_ms(100)
                fixture.store.silence_watches()
                await fixture.client.swap("a", b"1", expected_revision=0)
                batch = await fixture.client.watch("", after_revision=0, wait_ms=1_000)
                self.assertEqual(batch.revision, 1)

        run_with_store(scenario)

    def test_watch_may_wait_longer_than_call_timeout(self):
        async def scenario(fixture: StoreFixture) -> None:
            batch = await fixture.client.watch("", after_revision=0, wait_ms=20_000)
            self.assertEqual((batch.revision, batch.is_reset), (0, False))

        run_with_store(scenario)

    def test_watch_resets_when_history_is_truncated(self):
        # A watcher continues from a revision older than the store's history. An
        # ordinary batch would lack changes, and the watcher would keep outdated values.
        async def scenario(fixture: StoreFixture) -> None:
            for revision in range(4):
                await fixture.client.swap("a", b"x", expected_revision=revision)
            old = await fixture.client.watch("", after_revision=1, wait_ms=0)
            known = await fixture.client.watch("", after_revision=2, wait_ms=0)
            self.assertEqual((old.is_reset, known.is_reset), (True, False))

        run_with_store(scenario, settings=StoreSettings(history_events=2))

    def test_silent_watch_times_out(self):
        # The network drops the connection of a watch without notice while other calls
        # work. The client ends the watch after its wait plus the timeout, and the next
        # watch delivers the change.
        async def scenario(fixture: StoreFixture) -> None:
            await fixture.store.server.change_faults(FaultSettings(silent_watches=1))
            with self.assertRaises(StoreUnavailableError):
                await fixture.client.watch("", after_revision=0, wait_ms=100)
            await fixture.client.swap("a", b"1", expected_revision=0)
            batch = await fixture.client.watch("", after_revision=0, wait_ms=100)
            self.assertEqual(batch.revision, 1)

        run_with_store(scenario)


class LeaseTest(unittest.TestCase):
    """Leases, whose time is counted by the store's clock."""

    def test_expired_lease_deletes_its_keys(self):
        async def scenario(fixture: StoreFixture) -> None:
            lease = await fixture.client.grant_lease(200)
            await fixture.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            batch = await fixture.client.watch("", after_revision=1, wait_ms=20_000)
            self.assertEqual([each.key for each in batch.deleted], ["a"])
            with self.assertRaises(LeaseLostError):
                await fixture.client.keep_alive(lease.lease_id)
            with self.assertRaises(LeaseLostError):
                await fixture.client.revoke_lease(lease.lease_id)
            with self.assertRaises(LeaseLostError):
                await fixture.client.swap(
                    "b", b"1", expected_revision=0, lease_id=lease.lease_id
                )

        run_with_store(scenario)

    def test_lease_expires_while_store_is_down(self):
        # The store is down for longer than a lease lasts. Leases continue to age, so
        # afterwards the keys are deleted and the holder gets `LeaseLostError`.
        async def scenario(fixture: StoreFixture) -> None:
            lease = await fixture.client.grant_lease(100)
            await fixture.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            await fixture.store.server.change_faults(
                FaultSettings(availability=Availability.REFUSING)
            )
            await fixture.clock.sleep_ms(200)
            await fixture.store.server.change_faults(FaultSettings())
            self.assertIsNone(await fixture.client.get("a"))
            with self.assertRaises(LeaseLostError):
                await fixture.client.keep_alive(lease.lease_id)

        run_with_store(scenario)

    def test_expired_lease_is_refused_before_its_timer_fires(self):
        # The store is suspended for longer than a lease lasts. When it resumes, it
        # reads a keep-alive before its timers fire; this must not renew the lease.
        async def main() -> None:
            now_ms = [0.0]
            clock = Clock(
                monotonic_ms=lambda: now_ms[0],
                wall_ms=lambda: now_ms[0],
                sleep_ms=lambda _: trio.sleep_forever(),
            )
            store = StoreStandin(clock=clock)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(store.run)
                client = StoreClient(
                    host="127.0.0.1", port=port, clock=clock, timeout_ms=60_000
                )
                lease = await client.grant_lease(1_000)
                now_ms[0] = 1_001.0
                with self.assertRaises(LeaseLostError):
                    await client.keep_alive(lease.lease_id)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_rewritten_key_is_detached_from_its_lease(self):
        async def scenario(fixture: StoreFixture) -> None:
            lease = await fixture.client.grant_lease(60_000)
            await fixture.client.swap(
                "a", b"1", expected_revision=0, lease_id=lease.lease_id
            )
            await fixture.client.swap("a", b"2", expected_revision=1)
            await fixture.client.revoke_lease(lease.lease_id)
            self.assertIsNotNone(await fixture.client.get("a"))

        run_with_store(scenario)
