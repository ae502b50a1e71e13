"""The stored groups while writes of them get no answer."""

import unittest

import attrs
import trio
import trio.testing

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.platform import Transaction
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.polling import WorkerPoller
from trefoilhook.runtime.roster import Roster
from trefoilhook.scheduling.tests.cases import TASK_LEASE_MS, Shard


@attrs.define(kw_only=True)
class FakeStore:
    """Store whose commits succeed, or get no answer."""

    revision: int = 1
    is_answering: bool = True
    commits: list[Transaction] = attrs.Factory(list)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction."""
        self.commits.append(transaction)
        if not self.is_answering:
            raise StoreUnavailableError("no answer")
        self.revision += 1
        return self.revision

    async def wait_for_retry(self, pause_ms: float) -> None:
        """Wait before a retry."""
        await trio.sleep(pause_ms / 1000.0)


class LeaseLimitTest(unittest.TestCase):
    """Leases on workers that the stored groups do not contain yet."""

    def test_lease_ends_with_the_claim_until_the_worker_is_stored(self):
        # Guards against a second run of a task: the next owner counts the leases on a
        # worker from the last epoch whose groups contain it.
        shard = Shard()
        ownership = Ownership(
            epoch=1,
            owner_revision=1,
            claimed_ms=shard.now_ms,
            lease=1,
            valid_until_ms=shard.now_ms + 2000.0,
        )
        poller = WorkerPoller(
            clock=build_boottime_clock(),
            ownership=ownership,
            scheduler=shard.scheduler,
            committer=None,
            metrics=ProcessMetrics(),
            rejections=None,
            notify=lambda: None,
            on_ownership_lost=lambda: None,
            on_first_answer=lambda: None,
        )
        worker = shard.scheduler.workers["w0"]
        limit_ms = worker.estimate_clock(shard.now_ms) + TASK_LEASE_MS
        shard.advance_time(1500.0)
        worker.is_in_roster = False
        request = poller._build_poll_request(worker, shard.now_ms)
        self.assertEqual(request.deadline_ms, limit_ms)
        worker.is_in_roster = True
        request = poller._build_poll_request(worker, shard.now_ms)
        self.assertEqual(request.deadline_ms, limit_ms + 1500.0)


class UnansweredWriteTest(unittest.TestCase):
    """Workers that groups in the store may not contain."""

    def test_worker_left_out_of_an_unanswered_write_is_not_used(self):
        # Guards against a start on a worker that the next owner does not know: the
        # worker returns after groups without it were sent.
        async def scenario() -> None:
            shard = Shard()
            store = FakeStore()
            roster = Roster(
                store=store,
                clock=build_boottime_clock(),
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
