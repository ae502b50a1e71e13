"""Workers that had left as planned before a takeover."""

import json
import unittest
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import HistoryLostError, StoreUnavailableError
from trefoilhook.platform import Change, Changes, Item
from trefoilhook.runtime import keys
from trefoilhook.runtime.departures import find_departures, has_left
from trefoilhook.runtime.revisions import RevisionLog
from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    build_body,
    run_cluster,
)
from trefoilhook.runtime.tests.test_handovers import find_job_inside
from trefoilhook.runtime.tests.test_lease_limits import start_service
from trefoilhook.runtime.tests.test_takeovers import (
    WORKERS,
    kill_owner,
    remove_worker,
    wait_for_groups,
)
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

ENTRY_LIFE_MS = 4500.0

MAX_HELD_S = 2.0
"""Time after a takeover in which a task that is not held must be started, in s. Leases
of 5 s, granted until 2 s before the takeover, are still in force then."""

_ENTRY = PlatformWorker(
    worker_id="w1", clock=build_boottime_clock(), task_ms=1.0
).describe("s", port=80)


def build_write(
    revision: int, *, key: str = "servers/w1", state: str = "draining", **fields: Any
) -> Change:
    """Build a write of a worker's entry."""
    table = {**_ENTRY, "born": 7, "state": state, "remaining_ms": 900, **fields}
    value = json.dumps(table).encode()
    item = Item(key=key, value=value, revision=revision, created=1)
    return Change(key=key, revision=revision, item=item)


def build_removal(revision: int, *, key: str = "servers/w1") -> Change:
    """Build the removal of a worker's entry."""
    return Change(key=key, revision=revision, item=None)


def build_log(*, reset_after: int = 0) -> RevisionLog:
    """Build a log whose revision 10 N was reached between N - 1 and N s."""
    log = RevisionLog()
    for number in range(1, 20):
        sent_ms = 1000.0 * (number - 1)
        log.note(sent_ms=sent_ms, received_ms=sent_ms + 1000.0, as_of=10 * number)
        if 10 * number == reset_after:
            log.reset()
    return log


class HistoryTest(unittest.TestCase):
    """What the history of an entry proves."""

    def check(
        self,
        *changes: Change,
        expected: bool,
        name: str = "w1@7",
        log: RevisionLog | None = None,
    ) -> None:
        """Compare what a history proves."""
        result = has_left(
            name,
            changes,
            revisions=log or build_log(),
            entry_life_ms=ENTRY_LIFE_MS,
        )
        self.assertEqual(result, expected)

    def test_removal_soon_after_the_last_write(self):
        # Guards against tasks held for 7.4 s for workers that left as planned.
        self.check(build_write(25), build_write(45), build_removal(55), expected=True)

    def test_removal_after_silence(self):
        # Guards against a second run beside one on a draining worker that was cut off
        # from the store, and lives.
        self.check(build_write(25), build_removal(70), expected=False)

    def test_bounds_that_allow_for_silence(self):
        # Guards against times taken for exact: the first write may have been made 4 s
        # before the removal, and the second one 3 s.
        self.check(build_write(20), build_removal(31), expected=False)
        self.check(build_write(20), build_removal(30), expected=True)

    def test_worker_that_was_not_draining(self):
        # Guards against a removal by others taken for a planned leave.
        self.check(
            build_write(25),
            build_write(45, state="ready"),
            build_removal(47),
            expected=False,
        )

    def test_entry_written_again(self):
        # Guards against a worker given up that registered again.
        self.check(build_write(45), build_removal(47), build_write(48), expected=False)

    def test_entry_that_was_not_removed(self):
        # Guards against a worker given up while it drains.
        self.check(build_write(45), build_write(47), expected=False)

    def test_another_incarnation(self):
        # Guards against the leave of one process taken for that of another.
        self.check(build_write(45), build_removal(47), expected=False, name="w1@8")
        self.check(build_write(45), build_removal(47), expected=False, name="w1")

    def test_last_write_before_the_history(self):
        # Guards against a removal alone taken for a proof.
        self.check(build_removal(47), expected=False)
        self.check(expected=False)

    def test_write_before_a_failure_of_the_store(self):
        # Guards against an entry that could not be renewed while the store was away.
        log = build_log(reset_after=50)
        self.check(build_write(45), build_removal(55), expected=False, log=log)

    def test_removal_that_cannot_be_dated(self):
        # Guards against a removal taken for earlier than it may have been.
        self.check(build_write(185), build_removal(195), expected=False)

    def test_unreadable_entry(self):
        # Guards against a takeover that ends by a foreign entry.
        write = build_write(45)
        item = attrs.evolve(write.item, value=b"{")
        self.check(attrs.evolve(write, item=item), build_removal(47), expected=False)


@attrs.define(kw_only=True)
class FakeStore:
    """Store with a history, whose first reads fail."""

    changes: Sequence[Change] = ()
    failures: int = 0
    is_history_lost: bool = False
    reads: list[str] = attrs.Factory(list)
    active: int = 0
    max_active: int = 0

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Changes:
        """Return the changes under a prefix."""
        self.reads.append(prefix)
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        await trio.sleep(0)
        self.active -= 1
        if self.is_history_lost:
            raise HistoryLostError("gone")
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("no answer")
        found = [
            change
            for change in self.changes
            if change.key.startswith(prefix) and change.revision > after
        ]
        return Changes(changes=tuple(found), as_of=190)

    async def wait_for_retry(self, pause_ms: float) -> None:
        """Wait before a retry."""
        await trio.sleep(0)


class ReadTest(unittest.TestCase):
    """Reads of the histories."""

    def find(self, store: FakeStore, *names: str) -> list[str]:
        """Return the incarnations that have left."""
        found: list[str] = []

        async def run() -> None:
            await find_departures(
                store,
                names,
                revisions=build_log(),
                entry_life_ms=ENTRY_LIFE_MS,
                take_departure=found.append,
            )

        trio.run(run)
        return found

    def test_entry_whose_id_begins_that_of_another(self):
        # Guards against the leave of a worker taken for that of another.
        store = FakeStore(
            changes=[
                build_write(45),
                build_removal(47),
                build_write(48, key="servers/w12", state="ready"),
            ]
        )
        self.assertEqual(self.find(store, "w1@7", "w12@7"), ["w1@7"])

    def test_failed_read_is_repeated(self):
        store = FakeStore(changes=[build_write(45), build_removal(47)], failures=2)
        self.assertEqual(self.find(store, "w1@7"), ["w1@7"])

    def test_history_that_cannot_be_read(self):
        # Guards against a takeover that fails with the history, or waits for it.
        changes = [build_write(45), build_removal(47)]
        for store in (
            FakeStore(changes=changes, failures=99),
            FakeStore(changes=changes, is_history_lost=True),
        ):
            self.assertEqual(self.find(store, "w1@7"), [])
            self.assertLessEqual(len(store.reads), 3)

    def test_number_of_reads_is_bounded(self):
        # Guards against a takeover that spends the reads of all instances.
        store = FakeStore()
        self.find(store, *(f"w{number}@7" for number in range(1000)))
        self.assertEqual(len(store.reads), 128)
        self.assertLessEqual(store.max_active, 8)


class DepartureTest(unittest.TestCase):
    """Takeovers right after a worker has left as planned."""

    def check(
        self,
        *,
        is_held: bool,
        delay_s: float = 0.2,
        lose_history: Callable[[Cluster], None] = lambda cluster: None,
    ) -> None:
        """Remove a draining worker, kill the owner, and expect a job's next step.

        Parameters
        ----------
        is_held : bool
            Whether the step waits for the worker, which is in the group of its job.
        delay_s : float, optional
            Time between the last write of the worker's entry and its removal, in s.
        lose_history : callable, optional
            Called after the removal.
        """

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await wait_for_groups(cluster)
            job = find_job_inside(cluster, "w0")
            worker = cluster.workers["w0"]
            entry = {**worker.describe("s"), "state": "draining", "remaining_ms": 600}
            cluster.store.write("servers/w0", entry)
            await trio.sleep(delay_s)
            await cluster.send(owner, "POST", PREFIX + job, build_body(1, 1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            self.assertEqual(worker.records, [])
            await remove_worker(cluster, "w0")
            lose_history(cluster)
            owner = await kill_owner(cluster, owner)
            with trio.move_on_after(MAX_HELD_S):
                await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(len(cluster.list_runs()), 1 if is_held else 2)
            await cluster.wait_for_state(owner, job, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=WORKERS, task_ms=1500.0)

    def test_worker_that_left_is_not_awaited(self):
        # Guards against tasks held until leases expire on a worker that has left.
        self.check(is_held=False)

    def test_worker_without_a_known_history_is_awaited(self):
        # Guards against a missing entry taken for a planned leave.
        self.check(is_held=True, lose_history=lambda each: each.store.compact_history())

    def test_worker_whose_entry_expired_is_awaited(self):
        # Guards against a second run beside one on a draining worker that lives.
        self.check(is_held=True, delay_s=ENTRY_LIFE_MS / 1000.0)


class OutageTest(unittest.TestCase):
    """An outage of the store, in which keys expire, within an ownership."""

    def test_worker_whose_entry_expired_in_an_outage_is_awaited(self):
        # Guards against a second run beside one on a draining worker that lives: an
        # owner that claims the shard again has seen the outage only by its renewals.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            await wait_for_groups(cluster)
            owner = await start_service(cluster)
            await trio.sleep(0.2)
            store = cluster.store
            worker = next(
                each
                for each in cluster.workers.values()
                if any(run.ended_ms is None for run in each.records)
            )
            key = f"servers/{worker.worker_id}"
            entry = {**worker.describe("s"), "state": "draining", "remaining_ms": 9000}
            worker.fault = WorkerFault.SILENT
            store.fault = StoreFault.BUSY
            store.write(key, entry)
            await trio.sleep(0.6)
            store.remove(key)
            store.remove(keys.owner_key(keys.SHARD))
            store._leases.clear()
            store.fault = StoreFault.NONE
            await trio.sleep(1.8)
            store.write(key, entry)
            await trio.sleep(2.0)
            self.assertTrue(owner.process.is_owner)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        # The first call after the outage may fail as well, which hides the fault.
        for attempt in range(4):
            with self.subTest(attempt=attempt):
                run_cluster(scenario, instances=1, workers=WORKERS, task_ms=600_000.0)
