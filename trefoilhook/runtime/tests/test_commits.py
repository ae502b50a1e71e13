"""Tests of the writes of a shard's changes."""

import unittest
from collections.abc import Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.platform import MAX_ROWS, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.commits import Committer
from trefoilhook.scheduling import EndKind
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job

CALL_MS = 50.0
"""Duration of a call to the store, in ms."""


@attrs.define(kw_only=True)
class SlowStore:
    """Store that takes its time for each transaction."""

    is_answering: bool = True
    revision: int = 10
    begun: list[Transaction] = attrs.Factory(list)
    written_ms: dict[str, float] = attrs.Factory(dict)
    open_keys: set[str] = attrs.Factory(set)
    most_open: int = 0
    conflicts: list[str] = attrs.Factory(list)
    _open: int = 0

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction."""
        names = {put.key for put in transaction.puts}
        self.conflicts += names & self.open_keys
        self.open_keys |= names
        self.begun.append(transaction)
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        try:
            await trio.sleep(CALL_MS / 1000.0)
        finally:
            self._open -= 1
            self.open_keys -= names
        if not self.is_answering:
            raise StoreUnavailableError("no answer")
        self.revision += 1
        for name in names:
            self.written_ms.setdefault(name, trio.current_time() * 1000.0)
        return self.revision

    async def wait_for_retry(self, pause_ms: float) -> None:
        """Wait before a retry."""
        await trio.sleep(pause_ms / 1000.0)


@attrs.define(kw_only=True)
class Case:
    """A committer of a shard whose jobs have two tasks each."""

    shard: Shard
    store: SlowStore
    committer: Committer

    @classmethod
    def build(cls, *, jobs: int) -> "Case":
        """Build a shard with running jobs whose start is to be written."""
        shard = Shard(workers=jobs // 2 + 1)
        for number in range(jobs):
            job = build_job(
                attrs.evolve(SMALL, count=2, estimate_ms=60_000.0),
                job_id=f"{number:016x}",
            )
            shard.submit(job)
        shard.step()
        shard.poll_all()
        store = SlowStore()
        committer = Committer(
            store=store,
            clock=build_system_clock(),
            scheduler=shard.scheduler,
            owner_revision=1,
            on_ownership_lost=lambda: None,
            notify=lambda: None,
        )
        return cls(shard=shard, store=store, committer=committer)

    def end_task(self, job_id: str, index: int) -> None:
        """End a running task, and wake the committer as the answer to a poll does."""
        for worker_id, worker in self.shard.workers.items():
            for task, attempt in list(worker.running):
                if task.job_id == job_id and task.index == index:
                    worker.end(task, attempt, EndKind.DONE)
                    self.shard.poll(worker_id)
        self.committer.wake()


def run(case: Case, scenario: Callable) -> None:
    """Run a scenario beside the committer, on virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.committer.run)
            with trio.fail_after(20.0):
                await scenario()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


class CommitterTest(unittest.TestCase):
    """Which changes are written first, and how many at a time."""

    def test_end_of_a_job_does_not_wait_for_progress_of_others(self):
        # Guards against a completed job that is shown as running while the progress of
        # a hundred other jobs is written, one transaction after another.
        case = Case.build(jobs=100)
        ended = f"{99:016x}"

        async def scenario() -> None:
            for number in range(99):
                case.end_task(f"{number:016x}", 0)
            await trio.sleep(0.06)
            self.assertTrue(case.store.begun)
            case.end_task(ended, 0)
            case.end_task(ended, 1)
            began_ms = trio.current_time() * 1000.0
            key = keys.job_key(keys.SHARD, ended)
            while key not in case.store.written_ms:
                await trio.sleep(0.001)
            # Its progress may be in flight: two calls, and the windows before them.
            spent_ms = case.store.written_ms[key] - began_ms
            self.assertLess(spent_ms, 2 * CALL_MS + 50.0)

        run(case, scenario)

    def test_progress_of_many_jobs_is_written_within_few_calls(self):
        # Guards against ends that workers list again and again, as the progress of all
        # jobs takes longer to write than a poll waits for it.
        case = Case.build(jobs=60)

        async def scenario() -> None:
            for number in range(60):
                case.end_task(f"{number:016x}", 0)
            began_ms = trio.current_time() * 1000.0
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)
            spent_ms = trio.current_time() * 1000.0 - began_ms
            # For so long a poll waits before the worker lists its ends again.
            self.assertLess(spent_ms, 200.0)

        run(case, scenario)

    def test_job_has_one_write_at_a_time(self):
        # Guards against a second write of a job with a revision that the first changes.
        case = Case.build(jobs=12)

        async def scenario() -> None:
            for index in range(2):
                for number in range(12):
                    case.end_task(f"{number:016x}", index)
                    await trio.sleep(0.007)
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)
            self.assertEqual(case.store.conflicts, [])
            self.assertEqual(
                {job.phase.value for job in case.shard.scheduler.jobs.values()},
                {"completed"},
            )

        run(case, scenario)

    def test_transactions_are_bounded(self):
        # Guards against transactions that the store refuses for their size, and a store
        # that is flooded by the changes of a burst.
        case = Case.build(jobs=200)

        async def scenario() -> None:
            for number in range(200):
                case.end_task(f"{number:016x}", 0)
                case.end_task(f"{number:016x}", number % 2)
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)
            rows = [
                len(each.preconditions) + len(each.puts) + len(each.removals)
                for each in case.store.begun
            ]
            self.assertLessEqual(max(rows), MAX_ROWS)
            self.assertLessEqual(case.store.most_open, 5)

        run(case, scenario)

    def test_failed_writes_are_repeated_with_a_pause(self):
        # Guards against a committer that repeats its writes without a pause while the
        # store is away, or gives a change up.
        case = Case.build(jobs=20)
        case.store.is_answering = False

        async def scenario() -> None:
            for number in range(20):
                case.end_task(f"{number:016x}", 0)
            await trio.sleep(2.0)
            # Each takes a call and a pause of 150 ms.
            self.assertLessEqual(len(case.store.begun), 5 * 11)
            case.store.is_answering = True
            while case.shard.scheduler.dirty:
                await trio.sleep(0.001)

        run(case, scenario)

    def test_waits_end_with_the_write_that_they_are_for(self):
        # Guards against waits that are never over, and against waking all of them.
        case = Case.build(jobs=40)
        woken: list[int] = []

        async def wait(number: int) -> None:
            state = case.shard.scheduler.jobs[f"{number:016x}"]
            await case.committer.wait_until(state.track_save())
            woken.append(number)

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    case.end_task(f"{number:016x}", 0)
                    nursery.start_soon(wait, number)
                await trio.sleep(0.04 + 1.1 * CALL_MS / 1000.0)
                self.assertTrue(0 < len(woken) <= 40)
            self.assertEqual(sorted(woken), list(range(40)))
            self.assertEqual(case.committer._waits, {})

        run(case, scenario)

    def test_last_write_includes_all_changes(self):
        # Guards against changes that are lost at the end of an ownership because they
        # were being written.
        case = Case.build(jobs=30)

        async def main() -> None:
            with trio.move_on_after(0.06):
                for number in range(30):
                    case.end_task(f"{number:016x}", 0)
                await case.committer.run()
            await case.committer.flush()
            self.assertEqual(case.shard.scheduler.dirty, set())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


if __name__ == "__main__":
    unittest.main()
