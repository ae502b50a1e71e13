"""Tests of concurrent writes at the edges of leases, cancellations and ownerships."""

import unittest

import attrs
import trio
import trio.testing

from trefoilhook.exceptions import LeaseLostError
from trefoilhook.platform import Item, PreconditionError, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.tests.test_commits import Case, SlowStore, run
from trefoilhook.scheduling import collect_changes


@attrs.define(kw_only=True)
class LeaseStore(SlowStore):
    """Store in which a lease ends while writes that use it are in flight."""

    lost_lease: int = 0
    delays_ms: list[float] = attrs.Factory(list)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction, later than the ones begun before."""
        if self.delays_ms:
            await trio.sleep(self.delays_ms.pop(0) / 1000.0)
        revision = await SlowStore.commit(self, transaction)
        if any(put.lease == self.lost_lease for put in transaction.puts):
            raise LeaseLostError("gone")
        return revision


@attrs.define(kw_only=True)
class SlowerStore(SlowStore):
    """Store that takes 0.4 s for each transaction."""

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction."""
        await trio.sleep(0.35)
        return await SlowStore.commit(self, transaction)


@attrs.define(kw_only=True)
class CheckingStore(SlowStore):
    """Store that checks preconditions, and may take effect without an answer."""

    items: dict[str, Item] = attrs.Factory(dict)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction at once, and answer later."""
        for row in transaction.preconditions:
            item = self.items.get(row.key)
            if (item.revision if item is not None else 0) != row.revision:
                await trio.sleep(0.006)
                keys_ = {each.key for each in transaction.preconditions}
                raise PreconditionError(
                    "changed",
                    items=tuple(self.items[key] for key in keys_ if key in self.items),
                )
        self.revision += 1
        revision = self.revision
        for put in transaction.puts:
            self.items[put.key] = Item(
                key=put.key, value=put.value, revision=revision, created=revision
            )
        for key in transaction.removals:
            self.items.pop(key, None)
        await trio.sleep(0.006)
        return revision


def use(case: Case, store: SlowStore) -> None:
    """Have a committer write to another store."""
    case.store = store
    case.committer._store = store


def use_checking(case: Case) -> CheckingStore:
    """Have a committer write to a store that checks revisions."""
    store = CheckingStore(revision=1000)
    owner = keys.owner_key(keys.SHARD)
    store.items[owner] = Item(key=owner, value=b"{}", revision=1, created=1)
    for state in case.shard.scheduler.jobs.values():
        key = keys.job_key(keys.SHARD, state.job.job_id)
        store.items[key] = Item(
            key=key, value=b"{}", revision=state.revision, created=1
        )
    use(case, store)
    return store


class CommitterReviewTest(unittest.TestCase):
    """What concurrent writes must not lose."""

    def test_late_write_with_a_lost_lease_keeps_the_next_lease(self):
        # Guards against ended jobs that are kept for ever: a write with the lost lease
        # that is answered after another one discards the lease granted meanwhile.
        case = Case.build(jobs=2)
        store = LeaseStore(lost_lease=7, delays_ms=[0.0, 100.0])
        first, second = (f"{number:016x}" for number in range(2))

        async def scenario() -> None:
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)
            use(case, store)
            case.committer.set_retention(7)
            for index in range(2):
                case.end_task(first, index)
            await trio.sleep(0.01)
            for index in range(2):
                case.end_task(second, index)
            await trio.sleep(0.07)
            case.committer.set_retention(8)
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)
            self.assertEqual(case.committer._retention_lease, 8)

        run(case, scenario)

    def test_last_write_saves_the_changes_beside_one_that_was_in_flight(self):
        # Guards against a hand-over without the changes that share a transaction with
        # one whose earlier write took effect without an answer.
        case = Case.build(jobs=30)
        use_checking(case)

        async def main() -> None:
            await case.committer.flush()
            self.assertEqual(case.shard.scheduler.dirty, set())
            case.end_task(f"{0:016x}", 0)
            with trio.move_on_after(0.043):
                await case.committer.run()
            for number in range(1, 10):
                case.end_task(f"{number:016x}", 0)
            await case.committer.flush()
            self.assertEqual(len(case.shard.scheduler.dirty), 0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def test_cancelled_job_leaves_no_progress(self):
        # Guards against a progress row that nothing removes: a job cancelled between
        # the choice of its end for a transaction and the write.
        case = Case.build(jobs=1)
        store = use_checking(case)
        job_id = f"{0:016x}"

        async def main() -> None:
            await case.committer.flush()
            for index in range(2):
                case.end_task(job_id, index)
            changes = collect_changes(case.shard.scheduler)
            key = keys.job_key(keys.SHARD, job_id)
            store.revision += 1
            store.items[key] = attrs.evolve(store.items[key], revision=store.revision)
            case.shard.scheduler.cancel_job(job_id, revision=store.revision)
            await case.committer._write(changes)
            while case.shard.scheduler.dirty:
                await case.committer.flush()
            self.assertNotIn(keys.progress_key(keys.SHARD, job_id), store.items)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

    def test_progress_of_each_job_is_written_while_all_jobs_change(self):
        # Guards against ends that are never acknowledged on a slow store: the same jobs
        # are written again and again, and the others never.
        case = Case.build(jobs=200)
        scheduler = case.shard.scheduler
        store = SlowerStore()
        case.store = store
        case.committer._store = store

        async def scenario() -> None:
            # 14 transactions of 15 jobs, three at a time, take 2 s.
            for _ in range(150):
                for state in scheduler.jobs.values():
                    scheduler._mark_dirty(state)
                case.committer.wake()
                await trio.sleep(0.1)
            self.assertEqual(len(store.written_ms), 200)

        run(case, scenario)


if __name__ == "__main__":
    unittest.main()
