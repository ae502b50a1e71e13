"""Tests of unanswered orders, lost workers and takeovers: no task runs twice."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    JobPhase,
    OrderOutcome,
    StartOrder,
    Step,
    StopOrder,
    TaskId,
    acknowledge,
    apply_poll_answer,
    collect_changes,
    confirm_change,
    confirm_start,
    is_settled,
    release_expired,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    TASK_LEASE_MS,
    FakeWorker,
    Shard,
    build_job,
    list_starts,
)


class UnansweredOrderTest(unittest.TestCase):
    """An unanswered order may be executed at any later time."""

    def test_start_is_repeated_with_the_same_attempt(self):
        # Guards against two concurrent runs: the worker does not answer a start order
        # but executes it late, after the task has been started elsewhere.
        shard = Shard()
        shard.submit(build_job())
        (first,) = shard.plan()
        shard.answer(first, OrderOutcome.NO_ANSWER)
        shard.advance_time(150.0)
        (second,) = shard.plan()
        self.assertEqual(second, first)

    def test_queued_start_on_a_worker_that_falls_silent(self):
        # Guards against a task that waits for the leases on a silent worker although
        # its order still waited for its turn as the worker fell silent.
        shard = Shard()
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.silence(order.worker_id)
        self.assertFalse(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.WITHDRAWN)
        (other,) = list_starts(shard.plan())
        self.assertNotEqual(other.worker_id, order.worker_id)

    def test_unanswered_start_on_a_silent_worker_is_repeated(self):
        # Guards against a second run of a task whose order may have been executed.
        shard = Shard()
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.silence(order.worker_id)
        shard.advance_time(150.0)
        (again,) = shard.plan()
        self.assertEqual(again, order)
        self.assertTrue(confirm_start(shard.scheduler, again, shard.now_ms))

    def test_task_waits_until_lease_expiry_is_proved(self):
        # The worker with an unanswered start is unreachable. The task may start there
        # until the worker's clock, up to 2 % slow, has passed the deadline, and may
        # have been completed there while the worker's entry exists.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.advance_time(TASK_LEASE_MS * 1.015)
        self.assertEqual(release_expired(shard.scheduler, shard.now_ms), [])
        shard.advance_time(TASK_LEASE_MS * 0.04)
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual((expiry.worker_id, expiry.given_up), ("w0", ()))
        self.assertEqual(expiry.awaited, 1)
        self.assertEqual(release_expired(shard.scheduler, shard.now_ms), [])
        self.assertEqual(len(shard.scheduler.waiting), 0)
        shard.scheduler.mark_unlisted("w0")
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(expiry.given_up, ((order.task, order.attempt),))
        self.assertEqual(expiry.awaited, 0)
        self.assertEqual(len(shard.scheduler.waiting), 1)

    def test_start_is_not_repeated_after_lease_expiry(self):
        # Guards against repeating a start 40 times a second on a worker that is silent
        # past the lease, which occupied the connections needed for polls.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.advance_time(TASK_LEASE_MS * 1.1)
        release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(shard.plan(), [])
        shard.poll("w0")
        self.assertEqual([start.attempt for start in shard.plan()], [order.attempt])

    def test_long_running_task_does_not_wait_for_silent_worker(self):
        # A long-running task is never completed. Guards against keeping it stopped for
        # as long as its worker is silent.
        shard = Shard()
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        order = shard.start_one()
        shard.silence(order.worker_id)
        shard.advance_time(TASK_LEASE_MS * 1.2)
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(expiry.given_up, ((order.task, order.attempt),))
        shard.poll("w1" if order.worker_id == "w0" else "w0")
        self.assertNotEqual(shard.start_one().worker_id, order.worker_id)

    def test_refused_retry_of_unanswered_start_is_followed_by_stop(self):
        # The first copy of a start is unanswered and the second is refused. The first
        # may still be executed until a stop order is acknowledged.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.advance_time(150.0)
        (again,) = shard.plan()
        shard.answer(again, OrderOutcome.UNHEALTHY)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        self.assertEqual(len(shard.scheduler.waiting), 0)
        shard.answer(stop, OrderOutcome.DONE)
        shard.advance_time(10.0)
        shard.poll("w0")
        self.assertEqual(len(shard.scheduler.waiting), 1)

    def test_definite_refusal_releases_task_immediately(self):
        for outcome in (OrderOutcome.NOT_SENT, OrderOutcome.NO_ROOM):
            with self.subTest(outcome=outcome):
                shard = Shard(workers=1)
                shard.submit(build_job())
                (order,) = shard.plan()
                shard.answer(order, outcome)
                self.assertEqual(len(shard.scheduler.waiting), 1)
                self.assertEqual(shard.scheduler.workers["w0"].cpu, 0)

    def test_unanswered_start_holds_capacity(self):
        # Each of two tasks fills a worker: the second must not be placed beside the
        # first while it is unknown whether the first was started.
        whole = Step(count=2, demand=Demand(cpu=4000))
        shard = Shard(workers=1)
        shard.submit(build_job(whole))
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.poll("w0")
        self.assertEqual(list_starts(shard.plan()), [])

    def test_fenced_order_ends_ownership(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.FENCED)
        self.assertTrue(shard.scheduler.is_superseded)


class LostWorkerTest(unittest.TestCase):
    """Workers that restart, leave the store or return."""

    def test_restarted_worker_releases_runs_immediately(self):
        # A worker crashes and restarts under a new id. Guards against delaying its
        # tasks for 5 s until the lease expires.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w9"] = FakeWorker(worker_id="w9")
        shard.add_worker("w9", host="w0")
        shard.answer(order, OrderOutcome.OTHER_INCARNATION)
        self.assertNotIn("w0", shard.scheduler.workers)
        # The next start only waits until the loss is recorded.
        self.assertEqual(shard.plan(), [])
        self.assertEqual(len(shard.scheduler.workers["w9"].runs), 1)
        shard.save()
        self.assertEqual(shard.start_one().worker_id, "w9")

    def test_late_report_of_earlier_incarnation_releases_nothing(self):
        # A worker crashes during a partition, restarts and gets a task. Guards against
        # taking the delayed last report of the earlier incarnation for a restart, which
        # would start the task twice.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["ghost"] = FakeWorker(worker_id="ghost")
        shard.add_worker("ghost", host=order.worker_id)
        self.assertIn(order.worker_id, shard.scheduler.workers)
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(order, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_unlisted_worker_may_still_run_its_task(self):
        # Guards against two concurrent runs: the entry of a partitioned worker expires,
        # but its task runs until the lease expires.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.mark_unlisted(order.worker_id)
        shard.advance_time(TASK_LEASE_MS * 0.9)
        self.assertEqual(release_expired(shard.scheduler, shard.now_ms), [])
        self.assertEqual(list_starts(shard.plan()), [])
        shard.advance_time(TASK_LEASE_MS * 0.2)
        release_expired(shard.scheduler, shard.now_ms)
        shard.poll("w1" if order.worker_id == "w0" else "w0")
        again = shard.start_one()
        self.assertNotEqual(again.worker_id, order.worker_id)
        self.assertGreater(again.attempt, order.attempt)

    def test_completion_during_partition_is_applied_afterwards(self):
        # A task is completed on a partitioned worker whose entry has expired, and is
        # started again elsewhere after the lease. When the worker returns, the first
        # result counts and the second run is stopped.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.mark_unlisted(order.worker_id)
        shard.advance_time(TASK_LEASE_MS * 1.2)
        release_expired(shard.scheduler, shard.now_ms)
        for worker_id in shard.workers:
            if worker_id != order.worker_id:
                shard.poll(worker_id)
        (again,) = list_starts(shard.plan())
        shard.workers[again.worker_id].run(again)
        shard.answer(again, OrderOutcome.DONE)
        shard.add_worker(order.worker_id)
        shard.end(order, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        stops = [order for order in shard.plan() if isinstance(order, StopOrder)]
        self.assertEqual([stop.attempt for stop in stops], [again.attempt])

    def test_task_of_silent_worker_is_not_restarted_while_it_may_be_done(self):
        # Guards against running a completed task again: its worker is listed, but its
        # answers do not arrive for longer than a lease. An expired lease proves that
        # the task is not running, not that it was not completed.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers[order.worker_id].end(order.task, order.attempt, EndKind.DONE)
        shard.silence(order.worker_id)
        for _ in range(20):
            shard.advance_time(TASK_LEASE_MS / 10.0)
            release_expired(shard.scheduler, shard.now_ms)
            shard.poll("w1" if order.worker_id == "w0" else "w0")
            self.assertEqual(list_starts(shard.plan()), [])
        shard.poll(order.worker_id)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        self.assertEqual(shard.plan(), [])

    def test_silent_worker_with_unreadable_entry_is_not_awaited(self):
        # A worker dies, and another process has overwritten its entry, which never
        # expires. Guards against taking the entry as a sign of life, so that the task
        # is never restarted.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.exclude_worker(order.worker_id)
        shard.silence(order.worker_id)
        shard.advance_time(TASK_LEASE_MS * 1.2)
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(expiry.given_up, ((order.task, order.attempt),))
        shard.poll("w1" if order.worker_id == "w0" else "w0")
        self.assertNotEqual(shard.start_one().worker_id, order.worker_id)

    def test_run_missing_from_later_poll_is_over(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].running.clear()
        shard.advance_time(10.0)
        shard.poll("w0")
        again = shard.start_one()
        self.assertGreater(again.attempt, order.attempt)

    def test_draining_worker_gets_no_new_task(self):
        shard = Shard(workers=1)
        shard.add_worker("w0", draining=True, remaining_ms=2000.0)
        shard.submit(build_job())
        self.assertEqual(shard.step(), [])

    def test_silent_worker_gets_no_new_task(self):
        shard = Shard(workers=1)
        shard.advance_time(3000.0)
        shard.submit(build_job())
        self.assertEqual(shard.plan(), [])


class TakeoverTest(unittest.TestCase):
    """State found by a new owner and its permitted actions."""

    def test_running_task_is_adopted(self):
        # Guards against two concurrent runs: the owner dies while a task is running,
        # and the next owner finds the task at its worker.
        first = Shard()
        first.submit(build_job())
        order = first.start_one()
        second = Shard(epoch=2, settled=False)
        second.workers = first.workers
        second.submit(build_job(), is_new=False)
        second.poll_all()
        second.settled = True
        self.assertEqual(list_starts(second.step()), [])
        second.end(order, EndKind.DONE)
        self.assertIs(second.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_earlier_job_waits_until_takeover_is_settled(self):
        # While a worker of the previous owner is unreachable, earlier jobs may be
        # running there, but not a job accepted since the takeover.
        shard = Shard(epoch=2, settled=False)
        shard.submit(build_job(job_id="old"), is_new=False)
        shard.submit(build_job(job_id="new"))
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["new"])
        shard.settled = True
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["old"])

    def test_earlier_jobs_wait_for_silent_listed_worker(self):
        # Guards against running a completed task again: its owner dies, and the next
        # owner cannot reach the listed worker. The expiry of all leases of the earlier
        # owner does not show that the task never ran.
        shard = Shard(workers=1, epoch=2, settled=False)
        shard.scheduler.workers["w0"].has_reported_all = False
        roster = ("w0", "gone")
        past_ms = shard.scheduler.limits.settled_at_ms + 1.0
        self.assertFalse(is_settled(shard.scheduler, roster, past_ms - 2.0))
        self.assertFalse(is_settled(shard.scheduler, roster, past_ms))
        shard.scheduler.mark_unlisted("w0")
        self.assertTrue(is_settled(shard.scheduler, roster, past_ms))

    def test_unlisted_worker_may_run_earlier_task_until_lease_expiry(self):
        # Guards against two concurrent runs: the owner dies during a partition, and the
        # worker continues for a lease after its entry has expired.
        shard = Shard(workers=0, epoch=2, settled=False)
        past_ms = shard.scheduler.limits.settled_at_ms
        self.assertFalse(is_settled(shard.scheduler, ("gone",), past_ms - 1.0))
        self.assertTrue(is_settled(shard.scheduler, ("gone",), past_ms))

    def test_full_page_of_ends_does_not_settle_worker(self):
        # An answer contains 500 ends at most. Guards against restarting a completed
        # task whose end is the 501st.
        shard = Shard(workers=1, epoch=2, settled=False)
        worker = shard.scheduler.workers["w0"]
        worker.has_reported_all = False
        for index in range(501):
            shard.workers["w0"].end(TaskId("x", 0, 0, index), 1, EndKind.DONE)
        page = shard.workers["w0"].answer_poll(shard.now_ms)
        first = attrs.evolve(page, ends=page.ends[:500])
        rest = attrs.evolve(page, ends=page.ends[500:])
        for answer, known in ((first, False), (rest, True)):
            apply_poll_answer(
                shard.scheduler,
                "w0",
                answer,
                sent_ms=shard.now_ms,
                now_ms=shard.now_ms,
            )
            settled = is_settled(shard.scheduler, ("w0",), shard.now_ms)
            self.assertEqual(settled, known)

    def test_adopted_run_has_lease_of_previous_owner(self):
        # Guards against two concurrent runs: a new owner polls a worker once, and its
        # next order is unanswered. The adopted run has a full lease of the earlier
        # owner, and must not be given up 10 ms later.
        first = Shard()
        first.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        order = first.start_one()
        second = Shard(epoch=2)
        second.workers = first.workers
        second.submit(build_job(attrs.evolve(SMALL, long_running=True)), is_new=False)
        for worker_id in second.workers:
            second.scheduler.workers.pop(worker_id)
            second.add_worker(worker_id)
        second.silence(order.worker_id)
        second.advance_time(10.0)
        self.assertEqual(release_expired(second.scheduler, second.now_ms), [])
        second.advance_time(TASK_LEASE_MS * 1.04)
        (expiry,) = release_expired(second.scheduler, second.now_ms)
        self.assertEqual(expiry.given_up, ((order.task, order.attempt),))

    def test_earlier_long_running_task_does_not_wait_for_silent_worker(self):
        # A worker in the roster is listed and silent. A long-running task of an earlier
        # owner is never completed and cannot run after the expiry of all leases.
        shard = Shard(epoch=2, settled=False)
        lasting = build_job(attrs.evolve(SMALL, long_running=True), job_id="lasting")
        shard.submit(lasting, is_new=False)
        shard.submit(build_job(job_id="ending"), is_new=False)
        self.assertEqual(list_starts(shard.plan()), [])
        shard.now_ms = shard.scheduler.limits.settled_at_ms
        shard.poll_all()
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["lasting"])

    def test_earlier_jobs_do_not_wait_for_unreadable_entry(self):
        # A worker in the roster is dead, and another process has overwritten its entry,
        # which never expires. Guards against earlier jobs that wait forever.
        shard = Shard(workers=1, epoch=2, settled=False)
        shard.scheduler.workers["w0"].has_reported_all = False
        shard.scheduler.exclude_worker("w0")
        past_ms = shard.scheduler.limits.settled_at_ms + 1.0
        self.assertTrue(is_settled(shard.scheduler, ("w0",), past_ms))

    def test_attempts_of_a_later_owner_are_higher(self):
        # Starts are not persisted. A worker refuses attempts that are not higher than
        # an ended one, so that a later owner must not start at 1 again.
        first = Shard()
        first.submit(build_job())
        order = first.start_one()
        first.end(order, EndKind.STOPPED)
        second = Shard(epoch=2)
        second.submit(build_job(), is_new=False)
        self.assertGreater(second.start_one().attempt, order.attempt)

    def test_end_seen_by_two_owners_counts_once(self):
        # A failed end is saved, but its acknowledgement is lost with the owner. Guards
        # against counting it twice, so that the job fails one attempt too early.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.end(order, EndKind.FAILED)
        progress = shard.scheduler.jobs["j"].progress
        second = Shard(workers=1, epoch=2, settled=False)
        second.workers = shard.workers
        second.submit(build_job(), is_new=False, progress=progress)
        second.poll_all()
        state = second.scheduler.jobs["j"]
        self.assertEqual(state.count_failures(order.task), 1)

    def test_task_of_a_cancelled_job_is_stopped(self):
        first = Shard(workers=1)
        first.submit(build_job())
        first.start_one()
        second = Shard(workers=1, epoch=2)
        second.workers = first.workers
        second.submit(build_job(), is_new=False)
        second.scheduler.cancel_job("j", revision=5)
        second.poll_all()
        second.step()
        self.assertEqual(second.count_running(), 0)


class AcknowledgementTest(unittest.TestCase):
    """A worker may discard an end only after its effect is saved."""

    def test_end_is_acknowledged_after_it_is_saved(self):
        # Guards against running a completed task again because the owner dies after
        # acknowledging its end and before saving it.
        shard = Shard(workers=1)
        shard.submit(build_job(SMALL, SMALL))
        order, _ = list_starts(shard.step())
        shard.end(order, EndKind.DONE)
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 0)
        shard.save()
        self.assertEqual(acknowledge(worker), 1)

    def test_last_end_is_acknowledged_after_job_end_is_saved(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        shard.end(shard.start_one(), EndKind.DONE)
        worker = shard.scheduler.workers["w0"]
        (change,) = collect_changes(shard.scheduler)
        self.assertTrue(change.is_end)
        self.assertEqual(acknowledge(worker), 0)
        confirm_change(shard.scheduler, change, revision=7)
        self.assertEqual(acknowledge(worker), 1)

    def test_end_of_an_unknown_job_is_acknowledged(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        other = Shard(workers=1, epoch=2)
        other.workers = shard.workers
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        other.poll("w0")
        worker = other.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 1)


class OrderTableTest(unittest.TestCase):
    """Contents of start orders."""

    def test_next_start_contains_checkpoint(self):
        shard = Shard(workers=1)
        step = Step(count=1, demand=Demand(cpu=1000), checkpointing=True)
        shard.submit(build_job(step))
        shard.end(shard.start_one(), EndKind.STOPPED, "c7")
        order = shard.start_one()
        self.assertIsInstance(order, StartOrder)
        self.assertEqual(order.checkpoint, "c7")
