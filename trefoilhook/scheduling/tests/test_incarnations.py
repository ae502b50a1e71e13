"""Tests of workers that restart under the same id."""

import unittest

import attrs

from trefoilhook.scheduling import (
    AdviceRequest,
    EndKind,
    JobRecord,
    OrderOutcome,
    PollAnswer,
    StartOrder,
    StopOrder,
    StopReason,
    acknowledge,
    apply_poll_answer,
    apply_report,
    confirm_start,
    decode_progress,
    encode_progress,
    handle_worker_loss,
    is_settled,
    release_expired,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    TASK_LEASE_MS,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.tests.crash_cases import find_suspicion
from trefoilhook.scheduling.tickets import Grant, name_step

BORN_MS = 1_000


class RestartCase(unittest.TestCase):
    """One task runs on the first of two workers that report their process start."""

    def setUp(self):
        self.shard = Shard(workers=0)
        self.shard.add_worker("w0", born_ms=BORN_MS)
        self.shard.submit(build_job(SMALL))
        self.order = self.shard.start_one()
        self.shard.add_worker("w1", born_ms=BORN_MS)
        self.shard.poll_all()

    @property
    def worker(self):
        """The current incarnation of the first worker."""
        return self.shard.scheduler.workers["w0"]

    def plan_saved(self) -> list[StartOrder]:
        """Return the planned starts once the roster and the suspects are saved."""
        for worker in self.shard.scheduler.workers.values():
            worker.is_in_roster = worker.has_answered_token
        planned = list_starts(self.shard.plan())
        self.shard.save()
        return planned + list_starts(self.shard.plan())

    def restart(self) -> int:
        """Restart the first worker without reporting the restart to the owner."""
        self.shard.advance_time(50.0)
        self.shard.workers["w0"].restart(self.shard.now_ms)
        return self.shard.workers["w0"].born_ms

    def write_entry(self, born_ms: int | None, **fields) -> bool:
        """Apply an entry of the first worker."""
        report = attrs.evolve(self.worker.report, born_ms=born_ms, **fields)
        return apply_report(self.shard.scheduler, report, self.shard.now_ms)

    def answer(self, born_ms: int | None, **fields) -> None:
        """Apply an empty answer of the first worker."""
        values = {"clock_ms": 10.0, "running": (), "ends": (), **fields}
        now_ms = self.shard.now_ms
        apply_poll_answer(
            self.shard.scheduler,
            "w0",
            PollAnswer(born_ms=born_ms, **values),
            sent_ms=now_ms,
            now_ms=now_ms,
        )


class SeenInAnswerTest(RestartCase):
    """The restart is seen in the answer to a poll."""

    def test_task_of_previous_process_restarts_once(self):
        # Guards against a task that waits for the report of a process that has ended.
        self.restart()
        self.shard.poll("w0")
        (start,) = self.plan_saved()
        self.assertEqual(start.worker_id, "w1")

    def test_clock_and_leases_begin_again(self):
        # Guards against leases that never expire and deadlines on the clock of the
        # previous process.
        earlier_ms = self.worker.lease_until_ms
        self.restart()
        self.shard.poll("w0")
        self.assertLess(self.worker.estimate_clock(self.shard.now_ms), 100.0)
        self.assertLess(self.worker.lease_until_ms, earlier_ms)

    def test_ends_are_numbered_anew(self):
        # Guards against ignoring ends of the new process as already applied, and
        # against acknowledging ends that it has not reported.
        for number in range(3):
            self.shard.submit(build_job(SMALL, job_id=f"a{number}"))
            self.shard.end(self.shard.start_one(), EndKind.DONE)
        self.shard.save()
        self.assertGreater(acknowledge(self.worker) + len(self.worker.ends_taken), 0)
        self.restart()
        self.shard.poll("w0")
        self.assertEqual(acknowledge(self.worker), 0)
        self.write_entry(self.shard.workers["w0"].born_ms)
        self.shard.scheduler.exclude_worker("w1")
        (start,) = self.plan_saved()
        self.shard.workers["w0"].run(start)
        self.shard.end(start, EndKind.DONE)
        self.assertFalse(self.shard.scheduler.jobs["j"].is_open)

    def test_nothing_starts_before_the_entry_is_renewed(self):
        # Guards against starts based on the capacity of the previous process, which may
        # differ from that of the new one.
        born_ms = self.restart()
        self.shard.poll("w0")
        self.shard.scheduler.exclude_worker("w1")
        self.assertEqual(self.plan_saved(), [])
        self.assertTrue(self.write_entry(born_ms))
        self.assertEqual(len(self.plan_saved()), 1)

    def test_draining_ended_with_the_previous_process(self):
        self.write_entry(BORN_MS, draining=True, remaining_ms=100.0)
        self.restart()
        self.shard.poll("w0")
        self.assertFalse(self.worker.report.draining)

    def test_learned_state_is_dropped(self):
        # Guards against avoiding the new process for the faults of the previous one.
        self.worker.avoid_until_ms = self.shard.now_ms + 60_000.0
        self.worker.faulty_jobs.update({"a", "b"})
        step = name_step(self.order.task)
        request = AdviceRequest(step=step, workers=("w0", "w1"))
        grants = (Grant(worker_id="w0", ticket="t"),)
        tickets = self.shard.scheduler.tickets
        tickets.record_answer(request, grants, until_ms=1e9)
        self.restart()
        self.shard.poll("w0")
        self.assertEqual(self.worker.avoid_until_ms, 0.0)
        self.assertEqual(self.worker.faulty_jobs, set())
        self.assertIsNone(tickets.find(step, "w0", self.shard.now_ms))

    def test_answer_of_previous_process_arrives_late(self):
        # Guards against attributing runs of the previous process to the new one.
        late = self.shard.workers["w0"].answer_poll(self.shard.now_ms)
        self.restart()
        self.shard.poll("w0")
        current = self.worker
        self.answer(BORN_MS, running=late.running, clock_ms=late.clock_ms)
        self.assertIs(self.worker, current)
        self.assertEqual(self.worker.runs, {})

    def test_answers_without_birth(self):
        # Older platforms do not report the process start; a worker is one incarnation.
        shard = Shard(workers=1)
        worker = shard.scheduler.workers["w0"]
        shard.workers["w0"].restart(shard.now_ms)
        shard.workers["w0"].born_ms = None
        shard.poll("w0")
        self.assertIs(shard.scheduler.workers["w0"], worker)
        self.assertTrue(worker.usable)


class SeenInEntryTest(RestartCase):
    """The restart is seen in the store, while the worker cannot be reached."""

    def test_unreachable_worker_restarts(self):
        # Guards against a task that waits for a listed but unreachable worker, which
        # restarted during a network partition before its entry expired.
        self.shard.silence("w0")
        self.shard.advance_time(2 * TASK_LEASE_MS)
        self.shard.poll("w1")
        self.assertTrue(self.write_entry(self.restart()))
        self.assertEqual(self.worker.runs, {})
        (start,) = self.plan_saved()
        self.assertEqual(start.worker_id, "w1")

    def test_nothing_starts_there_before_an_answer(self):
        self.write_entry(self.restart())
        self.shard.scheduler.exclude_worker("w1")
        self.assertEqual(self.shard.plan(), [])

    def test_entry_of_previous_process_arrives_late(self):
        # Guards against applying the capacity and the draining state of the previous
        # process.
        born_ms = self.restart()
        self.shard.poll("w0")
        self.write_entry(born_ms)
        self.assertFalse(self.write_entry(BORN_MS, draining=True))
        self.assertFalse(self.worker.usable)
        self.assertFalse(self.worker.report.draining)
        self.assertTrue(self.write_entry(born_ms))
        self.assertTrue(self.worker.usable)

    def test_entry_without_birth_is_foreign(self):
        # Guards against ending a worker's runs because of an entry of another writer.
        self.assertFalse(self.write_entry(None))
        self.assertFalse(self.worker.usable)
        self.assertEqual(len(self.worker.runs), 1)
        self.shard.poll_all()
        self.assertEqual(len(self.worker.runs), 1)

    def test_later_entry_is_foreign(self):
        # Guards against a worker that stays unusable because of an entry with a wrong
        # process start; the worker's answers take precedence.
        self.write_entry(BORN_MS + 10**12)
        self.answer(BORN_MS)
        self.assertEqual((self.worker.born_ms, self.worker.usable), (BORN_MS, False))
        self.assertTrue(self.write_entry(BORN_MS))
        self.assertTrue(self.worker.usable)


class LateStartTest(RestartCase):
    """A start order without an answer is executed by the next process."""

    def setUp(self):
        super().setUp()
        self.shard.submit(build_job(SMALL, job_id="late"))
        (self.late,) = list_starts(self.shard.plan())
        self.worker_id = self.late.worker_id
        self.shard.answer(self.late, OrderOutcome.NO_ANSWER)

    def find_orders(self, kind: type) -> list:
        """Return the orders of one plan that concern the late task."""
        orders = self.shard.plan()
        self.shard.save()
        orders += self.shard.plan()
        return [
            order
            for order in orders
            if isinstance(order, kind) and order.task == self.late.task
        ]

    def restart_late(self, *, seen_in_entry: bool = False) -> None:
        """Restart the worker of the late start, and let the owner detect it."""
        shard = self.shard
        shard.advance_time(50.0)
        shard.workers[self.worker_id].restart(shard.now_ms)
        born_ms = shard.workers[self.worker_id].born_ms
        report = shard.scheduler.workers[self.worker_id].report
        if not seen_in_entry:
            shard.poll(self.worker_id)
        report = attrs.evolve(report, born_ms=born_ms)
        apply_report(shard.scheduler, report, shard.now_ms)

    def test_start_is_ruled_out_first(self):
        # Guards against two runs of a task, one by an order from before the restart.
        self.restart_late()
        shard = self.shard
        (stop,) = self.find_orders(StopOrder)
        self.assertEqual((stop.attempt, stop.reason), (1_000_001, StopReason.UNCERTAIN))
        self.assertEqual(self.find_orders(StartOrder), [])
        shard.answer(stop, OrderOutcome.DONE)
        shard.advance_time(10.0)
        shard.poll_all()
        (start,) = self.find_orders(StartOrder)
        self.assertGreater(start.attempt, stop.attempt)

    def test_executed_start_is_stopped(self):
        self.restart_late()
        shard = self.shard
        shard.workers[self.worker_id].run(self.late)
        shard.poll_all()
        for _ in range(4):
            shard.step()
            shard.save()
        self.assertEqual(shard.count_running("late"), 1)

    def test_start_that_was_ruled_out_before(self):
        # Guards against a second run of a task because the stop was confirmed by the
        # previous process but is unknown to the next one.
        shard = self.shard
        shard.scheduler.cancel_job("late", revision=3)
        (stop,) = self.find_orders(StopOrder)
        shard.answer(stop, OrderOutcome.DONE)
        shard.advance_time(10.0)
        shard.poll_all()
        worker = shard.scheduler.workers[self.worker_id]
        self.assertNotIn((self.late.task, self.late.attempt), worker.runs)
        self.restart_late()
        (again,) = self.find_orders(StopOrder)
        self.assertEqual((again.task, again.attempt), (stop.task, stop.attempt))

    def test_waiting_task_is_held(self):
        # Guards against a second run of a task that was requeued after its lease
        # expired, while the next process may still execute the first start.
        shard = self.shard
        worker = shard.scheduler.workers[self.worker_id]
        run = worker.runs[self.late.task, self.late.attempt]
        shard.scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, "")
        self.restart_late()
        self.assertEqual(self.find_orders(StartOrder), [])

    def test_checkpoint_of_released_start_is_outdated(self):
        # Guards against a task that resumes from the checkpoint of an earlier attempt.
        shard = self.shard
        worker = shard.scheduler.workers[self.worker_id]
        run = worker.runs[self.late.task, self.late.attempt]
        run.checkpoint = "earlier"
        shard.scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, run.checkpoint)
        checkpoints = shard.scheduler.jobs["late"].progress.checkpoints
        checkpoints[0, 0, 0] = "later"
        self.restart_late()
        (stop,) = self.find_orders(StopOrder)
        shard.answer(stop, OrderOutcome.DONE)
        shard.advance_time(10.0)
        shard.poll_all()
        self.assertEqual(checkpoints[0, 0, 0], "later")

    def test_old_start_is_not_held(self):
        # Guards against holding a task for a start that can no longer be executed.
        run = self.shard.scheduler.workers[self.worker_id].runs[
            self.late.task, self.late.attempt
        ]
        run.started_ms -= 10 * TASK_LEASE_MS
        self.restart_late()
        self.assertEqual(len(self.find_orders(StartOrder)), 1)

    def test_silent_successor_holds_the_start_for_its_leases(self):
        # Guards against a task that waits forever, and against a second start while the
        # first order is still valid.
        self.restart_late(seen_in_entry=True)
        shard = self.shard
        shard.silence(self.worker_id)
        shard.scheduler.mark_unlisted(self.worker_id)
        release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(self.find_orders(StartOrder), [])
        longest_ms = shard.scheduler.limits.max_task_lease_ms
        shard.advance_time(TASK_LEASE_MS + longest_ms)
        release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(self.find_orders(StartOrder), [])
        shard.advance_time(0.1 * TASK_LEASE_MS)
        shard.poll("w0" if self.worker_id == "w1" else "w1")
        release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(len(self.find_orders(StartOrder)), 1)

    def test_cancelled_job(self):
        # Guards against a task that continues after its job was cancelled.
        self.restart_late()
        shard = self.shard
        shard.scheduler.cancel_job("late", revision=3)
        shard.workers[self.worker_id].run(self.late)
        shard.step()
        self.assertEqual(shard.count_running("late"), 0)


class EarlyStartTest(unittest.TestCase):
    """A start order that the next process executes before the owner knows of it."""

    def setUp(self):
        self.shard = Shard(workers=0)
        for worker_id in ("w0", "w1"):
            self.shard.add_worker(worker_id, born_ms=1)
        self.shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        (self.order,) = list_starts(self.shard.plan())
        confirm_start(self.shard.scheduler, self.order, self.shard.now_ms)
        self.worker = self.shard.workers[self.order.worker_id]

    def count_runs(self) -> int:
        """Execute the starts of two plans and return the number of runs."""
        starts = list_starts(self.shard.plan())
        self.shard.save()
        for start in starts + list_starts(self.shard.plan()):
            self.shard.workers[start.worker_id].run(start)
        return self.shard.count_running()

    def test_confirmed_by_next_process_before_its_entry(self):
        # Guards against a second run of a task that the next process has confirmed.
        self.worker.restart(self.shard.now_ms)
        self.worker.run(self.order)
        self.shard.answer(self.order, OrderOutcome.DONE)
        report = self.shard.scheduler.workers[self.order.worker_id].report
        report = attrs.evolve(report, born_ms=self.worker.born_ms)
        apply_report(self.shard.scheduler, report, self.shard.now_ms)
        self.assertEqual(self.count_runs(), 1)

    def test_confirmed_before_older_answer_of_next_process(self):
        # Guards against the same if the answer to a poll was overtaken.
        shard = self.shard
        self.worker.restart(shard.now_ms)
        answer = self.worker.answer_poll(shard.now_ms)
        self.worker.run(self.order)
        shard.answer(self.order, OrderOutcome.DONE)
        apply_poll_answer(
            shard.scheduler,
            self.order.worker_id,
            answer,
            sent_ms=shard.now_ms,
            now_ms=shard.now_ms + 5.0,
        )
        self.assertEqual(self.count_runs(), 1)

    def test_lease_granted_by_next_process_has_expired(self):
        # Guards against a second run beside one whose lease the next process granted
        # by its own clock, on which the order is never late.
        shard = self.shard
        shard.scheduler.exclude_worker("w1" if self.order.worker_id == "w0" else "w0")
        shard.answer(self.order, OrderOutcome.NO_ANSWER)
        self.worker.restart(shard.now_ms)
        shard.advance_time(3000.0)
        longest_ms = shard.scheduler.limits.max_task_lease_ms
        expires_ms = shard.now_ms + longest_ms
        shard.advance_time(50.0)
        shard.poll(self.order.worker_id)
        shard.silence(self.order.worker_id)
        while not shard.scheduler.waiting and shard.now_ms < expires_ms + longest_ms:
            shard.advance_time(20.0)
            release_expired(shard.scheduler, shard.now_ms)
        self.assertGreaterEqual(shard.now_ms, expires_ms)
        self.assertTrue(shard.scheduler.waiting)


class CrashLossTest(RestartCase):
    """A task crashes workers that restart under the same id."""

    def crash(self) -> None:
        """Report a lost and then a refused connection to the first worker."""
        shard = self.shard
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.silence("w0", OrderOutcome.CONNECTION_LOST)
        shard.advance_time(200.0)
        shard.silence("w0", OrderOutcome.CONNECTION_REFUSED)
        shard.plan()

    def test_answer_of_successor_retracts_nothing(self):
        # Guards against a crash loop that is never detected.
        self.crash()
        self.restart()
        self.shard.poll("w0")
        self.shard.poll("w0")
        self.assertEqual(find_suspicion(self.shard).crashes, 1)

    def test_same_process_answers_again(self):
        self.crash()
        handle_worker_loss(self.shard.scheduler, self.worker, self.shard.now_ms)
        self.assertEqual(find_suspicion(self.shard).crashes, 1)
        self.shard.add_worker("w0", born_ms=BORN_MS)
        suspicion = find_suspicion(self.shard)
        self.assertEqual(suspicion.crashes if suspicion is not None else 0, 0)

    def test_owner_dies_between_crash_and_restart(self):
        # Guards against a next owner that mistakes the successor for the crashed worker
        # and discards the evidence.
        self.crash()
        self.restart()
        later = take_over(self.shard)
        later.plan()
        self.assertEqual(find_suspicion(later).crashes, 1)

    def test_owner_dies_after_recorded_start(self):
        self.crash()
        self.restart()
        self.shard.poll("w0")
        (start,) = self.plan_saved()
        self.shard.workers[start.worker_id].restart(self.shard.now_ms)
        later = take_over(self.shard)
        later.plan()
        self.assertEqual(find_suspicion(later).unproved_losses, 1)


class TakeoverTest(RestartCase):
    """The owner is killed between a restart and its detection."""

    def test_task_of_previous_process_restarts_once(self):
        # Guards against a next owner that waits for a process of the roster that has
        # ended although its successor answers.
        self.restart()
        later = take_over(self.shard)
        self.assertTrue(is_settled(later.scheduler, ["w0", "w1"], later.now_ms))
        later.settled = True
        (start,) = list_starts(later.step())
        self.assertEqual(start.worker_id, "w1")
        self.assertEqual(later.count_running(), 1)

    def test_late_start_runs_on_the_next_process(self):
        # Guards against a second run of a task whose start order is executed after the
        # intended process and the sending owner have ended.
        self.restart()
        self.shard.workers["w0"].run(self.order)
        later = take_over(self.shard)
        later.settled = True
        self.assertEqual(list_starts(later.step()), [])
        self.assertEqual(later.count_running(), 1)

    def test_late_start_of_cancelled_job(self):
        # Guards against a run that is never stopped because its job was cancelled
        # before it began and the owner that started it has ended.
        self.shard.scheduler.cancel_job("j", revision=3)
        self.shard.save()
        self.restart()
        later = take_over(self.shard)
        later.workers["w0"].run(self.order)
        later.poll_all()
        later.step()
        self.assertEqual(later.count_running(), 0)

    def test_unreachable_successor_is_not_awaited(self):
        # Guards against a shard that stays unsettled while a restarted worker, whose
        # entry is renewed, is unreachable for the next owner.
        born_ms = self.restart()
        self.write_entry(born_ms)
        roster = [f"w0@{BORN_MS}", f"w1@{BORN_MS}"]
        later = take_over(self.shard, unreachable="w0")
        self.assertFalse(is_settled(later.scheduler, roster, later.now_ms))
        later.advance_time(10_000.0)
        self.assertTrue(is_settled(later.scheduler, roster, later.now_ms))
        for name in ("w0", f"w0@{born_ms}"):
            roster[0] = name
            self.assertFalse(is_settled(later.scheduler, roster, later.now_ms))

    def test_restart_during_takeover(self):
        # Guards against runs held forever by the new owner because the worker restarts
        # after answering it.
        later = take_over(self.shard)
        self.assertEqual(len(later.scheduler.workers["w0"].runs), 1)
        later.advance_time(50.0)
        later.workers["w0"].restart(later.now_ms)
        later.poll("w0")
        later.settled = True
        self.assertEqual(later.scheduler.workers["w0"].runs, {})
        later.plan()
        later.save()
        (start,) = list_starts(later.plan())
        self.assertEqual(start.worker_id, "w1")


def take_over(first: Shard, *, unreachable: str = "") -> Shard:
    """Return the shard of the next owner, loaded from the saved state."""
    later = Shard(workers=0, epoch=first.scheduler.epoch + 1, settled=False)
    later.now_ms = first.now_ms + 500.0
    later.scheduler.entries.note_read(later.now_ms)
    later.workers = first.workers
    for state in first.scheduler.jobs.values():
        later.scheduler.add_job(
            JobRecord(job=state.job, phase=state.phase),
            revision=9,
            is_new=False,
            wall_ms=later.now_ms,
            progress=decode_progress(encode_progress(state.progress)),
            progress_revision=9,
        )
    # The entries describe the incarnations known to the first owner.
    for worker_id, worker in first.scheduler.workers.items():
        if worker_id == unreachable:
            apply_report(later.scheduler, worker.report, later.now_ms)
            continue
        later.add_worker(worker_id, born_ms=worker.report.born_ms)
    later.settled = True
    return later


if __name__ == "__main__":
    unittest.main()


class VeryLateStartTest(unittest.TestCase):
    """A start that the next process of a silent worker executes seconds later."""

    def test_late_start_is_over_before_its_task_is_released(self):
        # Guards against two runs of a task: the next process executes the order 8 s
        # after it was sent, and holds it for the longest lease.
        shard = Shard(workers=0)
        shard.add_worker("w0", born_ms=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        confirm_start(shard.scheduler, order, shard.now_ms)
        sent_ms = shard.now_ms
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.silence("w0")
        shard.advance_time(3000.0)
        report = shard.scheduler.workers["w0"].report
        report = attrs.evolve(report, born_ms=int(shard.now_ms))
        apply_report(shard.scheduler, report, shard.now_ms)
        shard.scheduler.exclude_worker("w0")
        shard.silence("w0")
        while shard.scheduler.workers["w0"].runs:
            shard.advance_time(20.0)
            release_expired(shard.scheduler, shard.now_ms)
        late_end_ms = sent_ms + 8000.0 + shard.scheduler.limits.max_task_lease_ms
        self.assertGreaterEqual(shard.now_ms, late_end_ms)
