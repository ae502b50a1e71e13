"""The stored groups while writes of them get no answer."""

import unittest
from collections.abc import Callable
from unittest import mock

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_boottime_clock, build_system_clock
from trefoilhook.exceptions import StoreError, StoreUnavailableError
from trefoilhook.platform import Item, PreconditionError, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.polling import WorkerPoller
from trefoilhook.runtime.roster import Roster
from trefoilhook.runtime.turns import Turns
from trefoilhook.scheduling import Demand, TaskId, has_lease_limits
from trefoilhook.scheduling.fleet import Run, RunPhase
from trefoilhook.scheduling.tests.cases import TASK_LEASE_MS, Shard
from trefoilhook.takeover import (
    Member,
    PlaceLedger,
    Predecessors,
    WorkerGroups,
    decode_head,
)


@attrs.define(kw_only=True)
class FakeStore:
    """Store whose commits succeed, are refused, get no answer, or meet another head."""

    revision: int = 1
    is_answering: bool = True
    is_refusing: bool = False
    commits: list[Transaction] = attrs.Factory(list)
    late_revision: int = 0

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction."""
        self.commits.append(transaction)
        if not self.is_answering:
            raise StoreUnavailableError("no answer")
        if self.is_refusing:
            raise StoreError("refused")
        if self.late_revision:
            revisions = {
                keys.owner_key(keys.SHARD): 1,
                keys.groups_key(keys.SHARD): self.late_revision,
                keys.roster_key(keys.SHARD): self.late_revision,
            }
            self.late_revision = 0
            raise PreconditionError(
                "carried out late",
                items=tuple(
                    Item(key=key, value=b"", revision=revision, created=1)
                    for key, revision in revisions.items()
                ),
            )
        self.revision += 1
        return self.revision

    async def wait_for_retry(self, pause_ms: float) -> None:
        """Wait before a retry."""
        await trio.sleep(pause_ms / 1000.0)


def build_poller(shard: Shard) -> WorkerPoller:
    """Build the poller of an owner that has just claimed the shard."""
    return WorkerPoller(
        clock=build_boottime_clock(),
        ownership=Ownership(
            epoch=1,
            owner_revision=1,
            claimed_ms=shard.now_ms,
            lease=1,
            valid_until_ms=shard.now_ms + 2000.0,
        ),
        scheduler=shard.scheduler,
        committer=None,
        metrics=ProcessMetrics(),
        rejections=None,
        notify=lambda: None,
        on_ownership_lost=lambda: None,
        on_first_answer=lambda: None,
        turns=Turns(read_lag_ms=lambda: 0.0),
        extend_timeout=lambda timeout_ms: timeout_ms,
        switch_work=lambda kind: None,
    )


class LeaseLimitTest(unittest.TestCase):
    """Leases that the next owner would not expect."""

    def test_lease_ends_with_the_claim_until_the_worker_is_stored(self):
        # Guards against a second run of a task: the next owner counts the leases on a
        # worker from the last epoch whose groups contain it.
        shard = Shard()
        poller = build_poller(shard)
        worker = shard.scheduler.workers["w0"]
        limit_ms = worker.estimate_clock(shard.now_ms) + TASK_LEASE_MS
        shard.advance_time(1500.0)
        worker.is_in_roster = False
        request = poller._build_poll_request(worker, shard.now_ms)
        self.assertEqual(request.deadline_ms, limit_ms)
        worker.is_in_roster = True
        request = poller._build_poll_request(worker, shard.now_ms)
        self.assertEqual(request.deadline_ms, limit_ms + 1500.0)

    def test_limited_worker_gets_no_lease(self):
        # Guards against a second run of a task: the next owner may know a limit of the
        # leases on the worker.
        shard = Shard()
        poller = build_poller(shard)
        worker = shard.scheduler.workers["w0"]
        worker.is_in_roster = worker.is_lease_limited = True
        lease_until_ms = worker.lease_until_ms
        request = poller._build_poll_request(worker, shard.now_ms)
        self.assertIsNone(request.deadline_ms)
        self.assertEqual(worker.lease_until_ms, lease_until_ms)

    def test_limit_that_was_not_written_is_lifted(self):
        # Guards against a worker that never gets a lease again, as the write of its
        # limit failed before it answered.
        shard = Shard()
        clock = attrs.evolve(
            build_boottime_clock(), monotonic_ms=lambda: shard.now_ms + 2000.0
        )

        async def scenario() -> None:
            store = FakeStore()
            roster = build_roster(shard, store, clock=clock)
            worker = shard.scheduler.workers["w0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                store.is_refusing = True
                shard.silence("w0")
                roster.notify_change()
                await trio.sleep(0.1)
                self.assertTrue(worker.is_lease_limited)
                self.assertFalse(roster.limits_leases(worker.incarnation))
                store.is_refusing = False
                shard.poll("w0")
                await trio.sleep(0.5)
                self.assertFalse(worker.is_lease_limited)
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_limit_in_a_write_without_an_answer_holds(self):
        # Guards against a lease that is granted while a limit may be in the store.
        shard = Shard()
        clock = attrs.evolve(
            build_boottime_clock(), monotonic_ms=lambda: shard.now_ms + 2000.0
        )

        async def scenario() -> None:
            store = FakeStore()
            roster = build_roster(shard, store, clock=clock)
            worker = shard.scheduler.workers["w0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                store.is_answering = False
                shard.silence("w0")
                roster.notify_change()
                await trio.sleep(0.1)
                shard.poll("w0")
                roster.notify_change()
                await trio.sleep(0.1)
                self.assertTrue(worker.is_lease_limited)
                self.assertTrue(roster.limits_leases(worker.incarnation))
                nursery.cancel_scope.cancel()

        trio.run(scenario)

    def test_limit_on_a_worker_that_never_answers_is_not_written_again(self):
        # Guards against a write of the groups with each answer of any worker, for as
        # long as a worker is listed that a previous owner limited, and that has been
        # accounted for meanwhile.
        shard = Shard()
        clock = attrs.evolve(build_boottime_clock(), monotonic_ms=lambda: shard.now_ms)

        async def scenario() -> None:
            store = FakeStore()
            roster = build_roster(shard, store, clock=clock)
            worker = shard.scheduler.workers["w0"]
            worker.has_answered_token = worker.has_reported_all = False
            # As set when the worker is added.
            shard.scheduler.lease_limits = {"w0": shard.now_ms}
            worker.is_lease_limited = True
            worker.is_in_roster = False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                for _ in range(20):
                    if has_lease_limits(shard.scheduler, shard.now_ms):
                        roster.notify_change()
                    await trio.sleep(0.02)
                self.assertLess(len(store.commits), 5)
                nursery.cancel_scope.cancel()

        trio.run(scenario)


def build_run() -> Run:
    """Build a run of a task."""
    return Run(
        task=TaskId("j", 0, 0, 0),
        attempt=7,
        room=Demand(),
        phase=RunPhase.RUNNING,
        started_ms=0.0,
    )


def build_roster(
    shard: Shard, store: FakeStore, *, clock: Clock | None = None
) -> Roster:
    """Build the roster of a first owner."""
    return Roster(
        store=store,
        clock=clock or build_boottime_clock(),
        ownership=Ownership(
            epoch=1,
            owner_revision=1,
            claimed_ms=0.0,
            lease=1,
            valid_until_ms=2000.0,
        ),
        scheduler=shard.scheduler,
        notify=lambda: None,
    )


class HandOverTest(unittest.TestCase):
    """The last write of an owner that gives the shard up."""

    def hand_over(self, *, late_revision: int = 0, has_group_start: bool = False):
        """Hand a shard over, and return the commits since its first groups."""

        async def scenario() -> list[Transaction]:
            shard = Shard()
            shard.scheduler.places = PlaceLedger(epoch=1)
            store = FakeStore()
            roster = build_roster(shard, store)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            if has_group_start:
                shard.scheduler.group_starts[build_run()] = "w0"
            store.late_revision = late_revision
            store.commits.clear()
            await roster.hand_over()
            return store.commits

        return trio.run(scenario)

    def test_interrupted_write_that_is_carried_out(self):
        # Guards against a planned takeover that holds groups, as a write of them was
        # under way at the end.
        commits = self.hand_over(late_revision=7)
        self.assertEqual(len(commits), 2)
        key = keys.groups_key(keys.SHARD)
        revisions = {row.key: row.revision for row in commits[1].preconditions}
        self.assertEqual(revisions[key], 7)
        (value,) = [put.value for put in commits[1].puts if put.key == key]
        self.assertTrue(decode_head(value).groups.has_all_places)

    def test_elapsed_part_of_a_wait_is_written_exactly(self):
        # Guards against a wait for the leases on a lost worker that is extended by
        # rounding at each planned takeover.
        time = trio.testing.MockClock()

        async def scenario() -> dict[int, int]:
            shard = Shard()
            shard.scheduler.places = PlaceLedger(epoch=1)
            lost = Member(name="gone", address="10.0.0.9:80")
            groups = WorkerGroups(epoch=0, count=1).replace_members([lost])
            shard.scheduler.predecessors = Predecessors(groups=[groups])
            store = FakeStore()
            roster = build_roster(shard, store, clock=build_system_clock())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            time.jump(1.4)
            await roster.hand_over()
            (value,) = [
                put.value
                for put in store.commits[-1].puts
                if put.key == keys.groups_key(keys.SHARD)
            ]
            return decode_head(value).elapsed_ms

        self.assertEqual(trio.run(scenario, clock=time), {0: 1400})

    def test_limits_are_written_exactly(self):
        # Guards against lease limits that are extended by rounding at each planned
        # takeover.
        steps_ms: list[float | None] = []

        def record_step(scheduler, now_ms, *, step_ms=None):
            steps_ms.append(step_ms)
            return {}

        with mock.patch("trefoilhook.runtime.roster.limit_leases", record_step):
            self.hand_over()
        self.assertEqual(steps_ms[-1], 1.0)
        self.assertIsNone(steps_ms[0])

    def test_start_without_a_place(self):
        # Guards against a second run beside one that the next owner does not know.
        self.assertEqual(self.hand_over(has_group_start=True), [])


class UnansweredWriteTest(unittest.TestCase):
    """Workers that groups in the store may not contain."""

    def test_worker_left_out_of_an_unanswered_write_is_not_used(self):
        # Guards against a start on a worker that the next owner does not know: the
        # worker returns after groups without it were sent.
        async def scenario() -> None:
            shard = Shard()
            store = FakeStore()
            roster = build_roster(shard, store)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                self.assertTrue(roster.contains("w0"))
                store.is_answering = False
                shard.scheduler.drop_worker("w0")
                shard.scheduler.unreleased.clear()
                roster.notify_change()
                await trio.sleep(0.1)
                self.assertFalse(roster.contains("w0"))
                self.assertTrue(roster.contains("w1"))
                nursery.cancel_scope.cancel()

        trio.run(scenario)


class ChangedWorkerTest(unittest.TestCase):
    """Groups that are written because a known worker has changed."""

    def write_after(self, change: Callable[[Shard], None]) -> list[Member]:
        """Return the workers in the last groups written after a change."""

        async def scenario() -> list[Member]:
            shard = Shard(workers=0)
            for number in range(2):
                shard.add_worker(f"w{number}", born_ms=1000)
            store = FakeStore()
            roster = build_roster(shard, store)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(roster.run)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(len(store.commits), 1)
                change(shard)
                roster.notify_change()
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()
            self.assertGreater(len(store.commits), 1)
            key = keys.groups_key(keys.SHARD)
            (value,) = [put.value for put in store.commits[-1].puts if put.key == key]
            return list(decode_head(value).groups.members.values())

        return trio.run(scenario)

    # Guards against a next owner that polls an address where nobody answers.
    def test_new_address_is_written(self):
        def change(shard: Shard) -> None:
            worker = shard.scheduler.workers["w0"]
            worker.report = attrs.evolve(worker.report, host="elsewhere")

        addresses = {member.address for member in self.write_after(change)}
        self.assertEqual(addresses, {"elsewhere:1", "w1:1"})

    # Guards against a next owner that doesn't await the process that runs the tasks.
    def test_restarted_worker_is_written(self):
        def change(shard: Shard) -> None:
            shard.workers["w0"].restart(shard.now_ms)
            shard.poll("w0")

        names = {member.name for member in self.write_after(change)}
        self.assertLessEqual({"w0@100000", "w1@1000"}, names)

    # Guards against a name without the start that was learned after the entry.
    def test_late_start_time_is_written(self):
        def change(shard: Shard) -> None:
            shard.scheduler.workers["w0"].born_ms = 2000

        names = {member.name for member in self.write_after(change)}
        self.assertLessEqual({"w0@2000", "w1@1000"}, names)
