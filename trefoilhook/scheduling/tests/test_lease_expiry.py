"""Tests of runs on silent workers that keep their entry past their leases."""

import unittest

import attrs

from trefoilhook.scheduling import (
    EndKind,
    JobPhase,
    OrderOutcome,
    StartOrder,
    Step,
    StopOrder,
    acknowledge,
    release_expired,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    TASK_LEASE_MS,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.unread import has_too_many_held_ends

SERVICE = attrs.evolve(SMALL, long_running=True)


def hand_over(shard: Shard, *jobs: tuple[str, Step]) -> Shard:
    """Return the shard under the next owner, which has heard all workers."""
    later = Shard(workers=0, epoch=2)
    later.now_ms = shard.now_ms
    later.workers = shard.workers
    for job_id, step in jobs:
        later.submit(build_job(step, job_id=job_id), is_new=False)
    for worker_id in reversed(later.workers):
        later.add_worker(worker_id)
    later.save()
    return later


class SilentWorkerTest(unittest.TestCase):
    """A listed worker with a service task and a batch task falls silent."""

    def setUp(self):
        self.shard = Shard(workers=1)
        self.service = self.start("service", SERVICE)
        self.batch = self.start("batch", SMALL)

    def start(self, job_id: str, step) -> StartOrder:
        """Start the only task of a job."""
        self.shard.submit(build_job(step, job_id=job_id))
        return self.shard.start_one()

    def expire_leases(self) -> list[str]:
        """Let the leases expire; return the jobs whose runs are given up."""
        self.shard.silence("w0")
        self.shard.advance_time(TASK_LEASE_MS * 1.2)
        expiries = release_expired(self.shard.scheduler, self.shard.now_ms)
        return sorted(task.job_id for expiry in expiries for task, _ in expiry.given_up)

    def start_again(self) -> StartOrder:
        """Start the batch task on another worker."""
        self.shard.add_worker("w1")
        orders = list_starts(self.shard.plan())
        (again,) = [order for order in orders if order.task == self.batch.task]
        self.shard.workers["w1"].run(again)
        self.shard.answer(again, OrderOutcome.DONE)
        return again

    def end_at_worker(self, order: StartOrder, kind: EndKind) -> None:
        """End a run while the worker is silent."""
        self.shard.workers["w0"].end(order.task, order.attempt, kind)

    def return_and_acknowledge(self) -> int:
        """Poll the worker again and return up to where its ends are acknowledged."""
        self.shard.poll("w0")
        self.shard.save()
        return acknowledge(self.shard.scheduler.workers["w0"])

    def test_batch_run_beside_service_is_released_with_its_leases(self):
        # Guards against keeping a batch task stopped for as long as its worker is cut
        # off from the owner, but not from the store.
        self.assertEqual(self.expire_leases(), ["batch", "service"])
        self.assertEqual(self.shard.scheduler.workers["w0"].runs, {})

    def test_batch_run_is_kept_while_the_owner_misses_answers(self):
        # Guards against running a completed task again whose worker lists its end in
        # answers that an overloaded owner misses.
        for number in range(3):
            self.shard.add_worker(f"flapping{number}")
        self.shard.silence("w0")
        self.shard.advance_time(TASK_LEASE_MS * 1.2)
        for number in range(2):
            self.shard.silence(f"flapping{number}")
            self.shard.poll(f"flapping{number}")
        self.assertEqual(self.expire_leases(), ["service"])
        self.shard.advance_time(10_000.0)
        expiries = release_expired(self.shard.scheduler, self.shard.now_ms)
        self.assertEqual([len(each.given_up) for each in expiries], [1])

    def test_batch_run_without_service_is_kept(self):
        # Guards against running a completed task again: nothing shows that the expiry
        # has ended anything.
        shard = self.shard = Shard(workers=1)
        self.start("batch", SMALL)
        self.assertEqual(self.expire_leases(), [])
        shard.advance_time(TASK_LEASE_MS * 10.0)
        self.assertEqual(release_expired(shard.scheduler, shard.now_ms), [])
        self.assertEqual(len(shard.scheduler.workers["w0"].runs), 1)

    def test_service_that_may_have_ended_before_proves_nothing(self):
        # Guards against running a completed task again: nothing ran there any more when
        # the leases expired.
        cases = {
            "stopping": self.cancel,
            "start unanswered": self.unconfirm,
            "missing from the last answer": self.unlist,
        }
        for name, prepare in cases.items():
            with self.subTest(name):
                self.setUp()
                prepare()
                self.assertNotIn("batch", self.expire_leases())

    def cancel(self) -> None:
        """Cancel the service."""
        self.shard.scheduler.cancel_job("service", revision=2)

    def unconfirm(self) -> None:
        """Make the service task's start an unanswered one."""
        run = self.get_run(self.service)
        run.is_confirmed = run.has_been_listed = False

    def unlist(self) -> None:
        """Make the last answer one without the service task."""
        run = self.get_run(self.service)
        run.seen_ms = self.shard.scheduler.workers["w0"].poll_sent_ms - 1.0

    def get_run(self, order: StartOrder):
        """Return the run of an order on the silent worker."""
        return self.shard.scheduler.workers["w0"].runs[order.task, order.attempt]

    def test_late_end_counts_once(self):
        # Guards against a task that is counted twice, or whose second run continues:
        # the worker answers again and lists the end of the released run.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        again = self.start_again()
        self.end_at_worker(self.service, EndKind.LEASE_EXPIRED)
        acknowledged = self.return_and_acknowledge()
        self.assertEqual(acknowledged, 2)
        self.assertIs(self.shard.scheduler.jobs["batch"].phase, JobPhase.COMPLETED)
        stops = [each for each in self.shard.plan() if isinstance(each, StopOrder)]
        self.assertEqual([stop.attempt for stop in stops], [again.attempt])
        self.shard.end(again, EndKind.DONE)
        progress = self.shard.scheduler.jobs["batch"].progress
        self.assertEqual(list(progress.done.values()), [{0}])

    def test_late_end_that_no_expiry_followed_is_not_acknowledged(self):
        # Guards against acknowledging the end of a completed task that has been started
        # again: the service task failed by itself, so that the expiry ended nothing.
        for kind in (EndKind.DONE, EndKind.FAILED):
            with self.subTest(kind):
                self.setUp()
                self.end_at_worker(self.batch, kind)
                self.expire_leases()
                self.start_again()
                self.end_at_worker(self.service, EndKind.FAILED)
                self.assertEqual(self.return_and_acknowledge(), 0)

    def test_next_owner_does_not_acknowledge_the_end(self):
        # Guards against acknowledging the end of a completed task that a previous owner
        # has started again: no expiry followed that end.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        self.start_again()
        self.end_at_worker(self.service, EndKind.FAILED)
        later = hand_over(self.shard, ("service", SERVICE), ("batch", SMALL))
        self.assertEqual(acknowledge(later.scheduler.workers["w0"]), 0)

    def test_end_of_a_task_that_was_not_started_again_is_acknowledged(self):
        # Guards against a worker whose ends are held back for nothing: the worker
        # answers before the task has been started again.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        self.end_at_worker(self.service, EndKind.FAILED)
        self.assertEqual(self.return_and_acknowledge(), 2)

    def test_later_expiry_permits_the_acknowledgement(self):
        # Guards against a worker whose ends are held back for good.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        self.start_again()
        self.end_at_worker(self.service, EndKind.FAILED)
        self.assertEqual(self.return_and_acknowledge(), 0)
        self.end_at_worker(self.service, EndKind.LEASE_EXPIRED)
        self.assertEqual(self.return_and_acknowledge(), 3)

    def test_expiry_is_found_in_any_order(self):
        # Guards against holding back an end because the answer lists it after the end
        # of the run that the expiry has ended.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        self.start_again()
        self.end_at_worker(self.service, EndKind.LEASE_EXPIRED)
        self.shard.workers["w0"].ends.reverse()
        self.assertEqual(self.return_and_acknowledge(), 2)

    def test_worker_with_many_ends_behind_an_unproved_one_gets_no_task(self):
        # Guards against a full page of ends that hides those of new runs.
        self.end_at_worker(self.batch, EndKind.DONE)
        self.expire_leases()
        self.start_again()
        self.end_at_worker(self.service, EndKind.FAILED)
        for index in range(249):
            task = attrs.evolve(self.batch.task, index=index + 1)
            self.shard.workers["w0"].end(task, 1, EndKind.STOPPED)
        self.shard.poll("w0")
        self.assertTrue(has_too_many_held_ends(self.shard.scheduler.workers["w0"]))
