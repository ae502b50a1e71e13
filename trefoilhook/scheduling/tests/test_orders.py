"""Orders without an answer, lost workers, new owners: never two runs of one task."""

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
    collect_changes,
    confirm_change,
    is_settled,
    release_lapsed,
    take_look,
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
    """An order that went without an answer may be carried out at any later time."""

    def test_start_is_repeated_with_the_same_attempt(self):
        # A worker leaves a start unanswered and carries it out late. Started elsewhere
        # meanwhile, the seat check would run twice.
        shard = Shard()
        shard.submit(build_job())
        (first,) = shard.plan()
        shard.answer(first, OrderOutcome.NO_ANSWER)
        shard.pass_time(150.0)
        (second,) = shard.plan()
        self.assertEqual(second, first)

    def test_task_waits_until_the_lease_has_surely_lapsed(self):
        # The worker with the unanswered start can't be reached any more. Until its
        # clock, 2 % slow at worst, is past the deadline, the task may begin there; and
        # while the store lists the worker, the task may have been done there.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.pass_time(TASK_LEASE_MS * 1.015)
        self.assertEqual(release_lapsed(shard.scheduler, shard.now_ms), [])
        shard.pass_time(TASK_LEASE_MS * 0.04)
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual((lapse.worker_id, lapse.given_up), ("w0", ()))
        self.assertEqual(lapse.awaited, 1)
        self.assertEqual(release_lapsed(shard.scheduler, shard.now_ms), [])
        self.assertEqual(len(shard.scheduler.waiting), 0)
        shard.scheduler.unlist_worker("w0")
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual(lapse.given_up, ((order.task, order.attempt),))
        self.assertEqual(lapse.awaited, 0)
        self.assertEqual(len(shard.scheduler.waiting), 1)

    def test_start_is_not_sent_again_after_its_time(self):
        # A start got no answer and its worker stays silent past the lease. Sent again
        # 40 times a second, it kept connections that looks at the worker wanted.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.pass_time(TASK_LEASE_MS * 1.1)
        release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual(shard.plan(), [])
        shard.look("w0")
        self.assertEqual([start.attempt for start in shard.plan()], [order.attempt])

    def test_lapsed_task_that_lasts_does_not_wait_for_its_worker(self):
        # A watcher runs until it is cancelled: none of its ends is one as done. Kept
        # waiting for a silent worker, it would be away for as long as the silence.
        shard = Shard()
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        order = shard.start_one()
        shard.silence(order.worker_id)
        shard.pass_time(TASK_LEASE_MS * 1.2)
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual(lapse.given_up, ((order.task, order.attempt),))
        shard.look("w1" if order.worker_id == "w0" else "w0")
        self.assertNotEqual(shard.start_one().worker_id, order.worker_id)

    def test_refusal_after_silence_is_followed_by_a_stop(self):
        # The first copy of a start got no answer, the second is turned away as the
        # worker is unhealthy. The first may still be carried out: only an acknowledged
        # stop rules that out.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.pass_time(150.0)
        (again,) = shard.plan()
        shard.answer(again, OrderOutcome.UNHEALTHY)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        self.assertEqual(len(shard.scheduler.waiting), 0)
        shard.answer(stop, OrderOutcome.DONE)
        shard.pass_time(10.0)
        shard.look("w0")
        self.assertEqual(len(shard.scheduler.waiting), 1)

    def test_definite_refusal_frees_the_task_at_once(self):
        for outcome in (OrderOutcome.NOT_SENT, OrderOutcome.NO_ROOM):
            with self.subTest(outcome=outcome):
                shard = Shard(workers=1)
                shard.submit(build_job())
                (order,) = shard.plan()
                shard.answer(order, outcome)
                self.assertEqual(len(shard.scheduler.waiting), 1)
                self.assertEqual(shard.scheduler.workers["w0"].cpu, 0)

    def test_unanswered_start_holds_its_room(self):
        # Two tasks that fill a worker each: the second may not join the first while
        # nobody knows whether the first is there.
        whole = Step(count=2, demand=Demand(cpu=4000))
        shard = Shard(workers=1)
        shard.submit(build_job(whole))
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.look("w0")
        self.assertEqual(list_starts(shard.plan()), [])

    def test_fence_ends_the_ownership(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.FENCED)
        self.assertTrue(shard.scheduler.deposed)


class LostWorkerTest(unittest.TestCase):
    """Workers that restart, leave the list or come back."""

    def test_restart_at_the_same_address_frees_at_once(self):
        # A worker crashes and is back under a new id. What ran there is gone, and
        # waiting for its lease would cost the client 5 s.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w9"] = FakeWorker(worker_id="w9")
        shard.add_worker("w9", host="w0")
        shard.answer(order, OrderOutcome.OTHER_LIFE)
        self.assertNotIn("w0", shard.scheduler.workers)
        # Its next start only waits for the note of the loss.
        self.assertEqual(shard.plan(), [])
        self.assertEqual(len(shard.scheduler.workers["w9"].runs), 1)
        shard.save()
        self.assertEqual(shard.start_one().worker_id, "w9")

    def test_late_report_of_an_earlier_life_frees_nothing(self):
        # A worker crashes behind a cut and is back under a new id, with a task. Then
        # the last report of its earlier life, held up by the cut, reaches the store.
        # Taken for a restart, it would have the task started elsewhere, too.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["ghost"] = FakeWorker(worker_id="ghost")
        shard.add_worker("ghost", host=order.worker_id)
        self.assertIn(order.worker_id, shard.scheduler.workers)
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(order, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_worker_off_the_list_may_still_run_its_task(self):
        # The store drops a worker that is cut off; its task runs on until the lease
        # ends. Started elsewhere before, it would run twice.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.unlist_worker(order.worker_id)
        shard.pass_time(TASK_LEASE_MS * 0.9)
        self.assertEqual(release_lapsed(shard.scheduler, shard.now_ms), [])
        self.assertEqual(list_starts(shard.plan()), [])
        shard.pass_time(TASK_LEASE_MS * 0.2)
        release_lapsed(shard.scheduler, shard.now_ms)
        shard.look("w1" if order.worker_id == "w0" else "w0")
        again = shard.start_one()
        self.assertNotEqual(again.worker_id, order.worker_id)
        self.assertGreater(again.attempt, order.attempt)

    def test_done_behind_a_cut_is_taken_in_afterwards(self):
        # A task is done on a worker that is cut off, from the store, too, so that its
        # entry is gone. It is started again elsewhere once the lease has lapsed. The
        # worker comes back: the first result counts, and the second run is stopped.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.unlist_worker(order.worker_id)
        shard.pass_time(TASK_LEASE_MS * 1.2)
        release_lapsed(shard.scheduler, shard.now_ms)
        for worker_id in shard.workers:
            if worker_id != order.worker_id:
                shard.look(worker_id)
        (again,) = list_starts(shard.plan())
        shard.workers[again.worker_id].run(again)
        shard.answer(again, OrderOutcome.DONE)
        shard.add_worker(order.worker_id)
        shard.end(order, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        stops = [order for order in shard.plan() if isinstance(order, StopOrder)]
        self.assertEqual([stop.attempt for stop in stops], [again.attempt])

    def test_task_of_a_silent_worker_is_not_started_while_it_may_be_done(self):
        # An order is billed twice. Its task is done on a worker whose answers don't
        # reach the owner for longer than a lease, though the store lists the worker all
        # the while. That no lease is left proves that the task doesn't run, not that
        # it hasn't ended as done; taken for both, it was started again elsewhere.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers[order.worker_id].end(order.task, order.attempt, EndKind.DONE)
        shard.silence(order.worker_id)
        for _ in range(20):
            shard.pass_time(TASK_LEASE_MS / 10.0)
            release_lapsed(shard.scheduler, shard.now_ms)
            shard.look("w1" if order.worker_id == "w0" else "w0")
            self.assertEqual(list_starts(shard.plan()), [])
        shard.look(order.worker_id)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        self.assertEqual(shard.plan(), [])

    def test_silent_worker_whose_entry_is_unreadable_is_not_waited_for(self):
        # A worker dies and another writer's entry stands under its key for good. Taken
        # for a sign of life, it would keep the worker's task from being started again.
        shard = Shard()
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.bar_worker(order.worker_id)
        shard.silence(order.worker_id)
        shard.pass_time(TASK_LEASE_MS * 1.2)
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual(lapse.given_up, ((order.task, order.attempt),))
        shard.look("w1" if order.worker_id == "w0" else "w0")
        self.assertNotEqual(shard.start_one().worker_id, order.worker_id)

    def test_run_missing_from_a_later_look_is_over(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].running.clear()
        shard.pass_time(10.0)
        shard.look("w0")
        again = shard.start_one()
        self.assertGreater(again.attempt, order.attempt)

    def test_draining_worker_gets_no_new_task(self):
        shard = Shard(workers=1)
        shard.add_worker("w0", draining=True, remaining_ms=2000.0)
        shard.submit(build_job())
        self.assertEqual(shard.step(), [])

    def test_silent_worker_gets_no_new_task(self):
        shard = Shard(workers=1)
        shard.pass_time(3000.0)
        shard.submit(build_job())
        self.assertEqual(shard.plan(), [])


class TakeoverTest(unittest.TestCase):
    """What a new owner finds and may do."""

    def test_running_task_is_adopted(self):
        # The owner dies while a roster is built. The next owner finds it at its worker;
        # started anew, it would run in two places.
        first = Shard()
        first.submit(build_job())
        order = first.start_one()
        second = Shard(epoch=2, settled=False)
        second.workers = first.workers
        second.submit(build_job(), certain=False)
        second.look_all()
        second.settled = True
        self.assertEqual(list_starts(second.step()), [])
        second.end(order, EndKind.DONE)
        self.assertIs(second.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_earlier_job_waits_until_all_is_known(self):
        # One worker of the former owner can't be reached: its jobs may run there. A job
        # accepted since the takeover can't.
        shard = Shard(epoch=2, settled=False)
        shard.submit(build_job(job_id="old"), certain=False)
        shard.submit(build_job(job_id="new"))
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["new"])
        shard.settled = True
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["old"])

    def test_earlier_jobs_wait_for_a_silent_worker_that_is_listed(self):
        # A task is done on a worker, its owner dies, and the next owner can't reach the
        # worker, though the store lists it. Once every lease of the earlier owner was
        # over, the next one took the task for one that runs nowhere and never ran.
        shard = Shard(workers=1, epoch=2, settled=False)
        shard.scheduler.workers["w0"].is_known = False
        roster = ("w0", "gone")
        past_ms = shard.scheduler.limits.settled_at_ms + 1.0
        self.assertFalse(is_settled(shard.scheduler, roster, past_ms - 2.0))
        self.assertFalse(is_settled(shard.scheduler, roster, past_ms))
        shard.scheduler.unlist_worker("w0")
        self.assertTrue(is_settled(shard.scheduler, roster, past_ms))

    def test_worker_off_the_list_may_run_an_earlier_task_until_leases_are_over(self):
        # The owner dies while a worker is cut off. The store drops the worker, which
        # runs on for a lease; taken for gone, its task would run in two places.
        shard = Shard(workers=0, epoch=2, settled=False)
        past_ms = shard.scheduler.limits.settled_at_ms
        self.assertFalse(is_settled(shard.scheduler, ("gone",), past_ms - 1.0))
        self.assertTrue(is_settled(shard.scheduler, ("gone",), past_ms))

    def test_full_page_of_ends_does_not_settle_a_worker(self):
        # A worker lists 500 ends at a time. The end of a task that is done is the
        # 501st: taken for all that there is, the first page had it started again.
        shard = Shard(workers=1, epoch=2, settled=False)
        worker = shard.scheduler.workers["w0"]
        worker.is_known = False
        for index in range(501):
            shard.workers["w0"].end(TaskId("x", 0, 0, index), 1, EndKind.DONE)
        page = shard.workers["w0"].look(shard.now_ms)
        first = attrs.evolve(page, ends=page.ends[:500])
        rest = attrs.evolve(page, ends=page.ends[500:])
        for look, known in ((first, False), (rest, True)):
            take_look(
                shard.scheduler,
                "w0",
                look,
                sent_ms=shard.now_ms,
                now_ms=shard.now_ms,
            )
            settled = is_settled(shard.scheduler, ("w0",), shard.now_ms)
            self.assertEqual(settled, known)

    def test_adopted_run_has_the_lease_of_the_earlier_owner(self):
        # A new owner reads a worker once, and its next order there gets no answer. The
        # run it found has a whole lease of the earlier owner; taken for one without
        # any, it was given up 10 ms later and started elsewhere beside itself.
        first = Shard()
        first.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        order = first.start_one()
        second = Shard(epoch=2)
        second.workers = first.workers
        second.submit(build_job(attrs.evolve(SMALL, long_running=True)), certain=False)
        for worker_id in second.workers:
            second.scheduler.workers.pop(worker_id)
            second.add_worker(worker_id)
        second.silence(order.worker_id)
        second.pass_time(10.0)
        self.assertEqual(release_lapsed(second.scheduler, second.now_ms), [])
        second.pass_time(TASK_LEASE_MS * 1.04)
        (lapse,) = release_lapsed(second.scheduler, second.now_ms)
        self.assertEqual(lapse.given_up, ((order.task, order.attempt),))

    def test_earlier_task_that_lasts_does_not_wait_for_a_silent_worker(self):
        # One worker of the roster is listed and silent. A watcher of an earlier owner
        # runs nowhere once every lease is over, and no end of it is one as done.
        shard = Shard(epoch=2, settled=False)
        lasting = build_job(attrs.evolve(SMALL, long_running=True), job_id="lasting")
        shard.submit(lasting, certain=False)
        shard.submit(build_job(job_id="ending"), certain=False)
        self.assertEqual(list_starts(shard.plan()), [])
        shard.now_ms = shard.scheduler.limits.settled_at_ms
        shard.look_all()
        starts = list_starts(shard.plan())
        self.assertEqual([order.task.job_id for order in starts], ["lasting"])

    def test_earlier_jobs_do_not_wait_for_an_unreadable_entry(self):
        # A worker of the roster is dead, and another writer's entry stands for good
        # under its key: what had been accepted before would wait for ever.
        shard = Shard(workers=1, epoch=2, settled=False)
        shard.scheduler.workers["w0"].is_known = False
        shard.scheduler.bar_worker("w0")
        past_ms = shard.scheduler.limits.settled_at_ms + 1.0
        self.assertTrue(is_settled(shard.scheduler, ("w0",), past_ms))

    def test_attempts_of_a_later_owner_are_higher(self):
        # Starts aren't written down. A worker refuses a run that isn't higher than one
        # it has ended, so a later owner that began at 1 again would never get through.
        first = Shard()
        first.submit(build_job())
        order = first.start_one()
        first.end(order, EndKind.STOPPED)
        second = Shard(epoch=2)
        second.submit(build_job(), certain=False)
        self.assertGreater(second.start_one().attempt, order.attempt)

    def test_end_that_two_owners_see_counts_once(self):
        # A failed end is written, its acknowledgement is lost with the owner. Counted
        # again by the next owner, the job would fail one attempt too early.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.end(order, EndKind.FAILED)
        progress = shard.scheduler.jobs["j"].progress
        second = Shard(workers=1, epoch=2, settled=False)
        second.workers = shard.workers
        second.submit(build_job(), certain=False, progress=progress)
        second.look_all()
        state = second.scheduler.jobs["j"]
        self.assertEqual(state.count_failures(order.task), 1)

    def test_task_of_a_cancelled_job_is_stopped(self):
        first = Shard(workers=1)
        first.submit(build_job())
        first.start_one()
        second = Shard(workers=1, epoch=2)
        second.workers = first.workers
        second.submit(build_job(), certain=False)
        second.scheduler.cancel_job("j", revision=5)
        second.look_all()
        second.step()
        self.assertEqual(second.count_running(), 0)


class AcknowledgementTest(unittest.TestCase):
    """A worker may forget an end only once its effect is in the store."""

    def test_end_is_acknowledged_after_it_is_saved(self):
        # The owner acknowledges an end and dies before writing it: the task is done,
        # nobody knows, and it runs again.
        shard = Shard(workers=1)
        shard.submit(build_job(SMALL, SMALL))
        order, _ = list_starts(shard.step())
        shard.end(order, EndKind.DONE)
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 0)
        shard.save()
        self.assertEqual(acknowledge(worker), 1)

    def test_last_end_waits_for_the_end_of_the_job(self):
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
        other.look("w0")
        worker = other.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 1)


class OrderTableTest(unittest.TestCase):
    """The start order carries what the task needs."""

    def test_checkpoint_goes_with_the_next_start(self):
        shard = Shard(workers=1)
        step = Step(count=1, demand=Demand(cpu=1000), checkpointing=True)
        shard.submit(build_job(step))
        shard.end(shard.start_one(), EndKind.STOPPED, "c7")
        order = shard.start_one()
        self.assertIsInstance(order, StartOrder)
        self.assertEqual(order.checkpoint, "c7")
