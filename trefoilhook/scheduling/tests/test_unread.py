"""Tests of unreadable entries and rows: no conclusion is drawn from them."""

import unittest

import attrs

from trefoilhook.scheduling import (
    EndKind,
    JobPhase,
    OrderOutcome,
    Running,
    StartOrder,
    StopOrder,
    TaskId,
    UnreadableRow,
    acknowledge,
    apply_poll_answer,
    is_settled,
    release_expired,
)
from trefoilhook.scheduling.fleet import RunPhase
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

_STALL_TIMEOUT_MS = 10_000.0
"""More than the time after which an attempt without progress is stopped, in ms."""


def poll_with(shard: Shard, *unreadable: UnreadableRow) -> None:
    """Poll the first worker, with unreadable rows in place of some ends."""
    numbers = {row.number for row in unreadable}
    complete = shard.workers["w0"].answer_poll(shard.now_ms)
    ends = tuple(end for end in complete.ends if end.number not in numbers)
    answer = attrs.evolve(complete, ends=ends, unreadable=unreadable)
    apply_poll_answer(
        shard.scheduler, "w0", answer, sent_ms=shard.now_ms, now_ms=shard.now_ms
    )


def build_unreadable(number: int, attempt=None) -> UnreadableRow:
    """Build an unreadable row of an end."""
    return UnreadableRow(reason="how", is_end=True, number=number, attempt=attempt)


class UnusableEntryTest(unittest.TestCase):
    """Workers with unusable entries."""

    def test_running_tasks_continue_and_none_is_started(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.exclude_worker("w0")
        shard.submit(build_job(job_id="k"))
        self.assertEqual(shard.step(), [])
        worker = shard.scheduler.workers["w0"]
        self.assertIn((order.task, order.attempt), worker.runs)
        self.assertEqual(worker.cpu, SMALL.demand.cpu)
        shard.end(order, EndKind.DONE)
        self.assertEqual(worker.runs, {})
        self.assertEqual(shard.step(), [])
        shard.add_worker("w0")
        self.assertEqual(len(list_starts(shard.step())), 1)

    def test_unknown_worker(self):
        shard = Shard(workers=0)
        shard.scheduler.exclude_worker("w0")
        self.assertEqual(shard.scheduler.workers, {})

    def test_unanswered_start_is_not_repeated(self):
        # A start is unanswered, and the worker's entry is overwritten. A repeated order
        # could start the task; a stop order rules out the first copy.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.scheduler.exclude_worker("w0")
        shard.advance_time(200.0)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        shard.answer(stop, OrderOutcome.DONE)
        shard.advance_time(100.0)
        shard.poll("w0")
        self.assertEqual(shard.scheduler.workers["w0"].runs, {})


class UnreadableEndTest(unittest.TestCase):
    """Unreadable ends."""

    def test_attempt_is_held_until_end_is_readable(self):
        # A worker reports an unknown kind of end. Guards against taking the attempt for
        # one that never started, and running a task again that may be completed.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        worker = shard.scheduler.workers[order.worker_id]
        self.assertEqual(order.worker_id, "w0")
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        for row in (
            build_unreadable(1, (order.task, order.attempt)),
            build_unreadable(1),
        ):
            with self.subTest(row=row):
                shard.advance_time(_STALL_TIMEOUT_MS)
                poll_with(shard, row)
                self.assertIn((order.task, order.attempt), worker.runs)
                self.assertEqual(shard.plan(), [])
                self.assertEqual(acknowledge(worker), 0)
        shard.poll("w0")
        self.assertEqual(worker.runs, {})
        shard.save()
        self.assertEqual(acknowledge(worker), 1)
        self.assertEqual(shard.plan(), [])

    def test_later_ends_are_applied_but_not_acknowledged(self):
        shard = Shard(workers=1)
        shard.submit(build_job(SMALL, SMALL))
        first, second = list_starts(shard.step())
        worker = shard.scheduler.workers["w0"]
        for order in (first, second):
            shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        shard.advance_time(10.0)
        poll_with(shard, build_unreadable(1, (first.task, first.attempt)))
        self.assertEqual(list(worker.runs), [(first.task, first.attempt)])
        shard.save()
        self.assertEqual(acknowledge(worker), 0)
        # The first end is readable now but not saved, so that neither is acknowledged.
        shard.poll("w0")
        self.assertEqual(worker.runs, {})
        self.assertEqual(acknowledge(worker), 0)
        shard.save()
        self.assertEqual(acknowledge(worker), 2)
        self.assertEqual(worker.ends_taken, set())

    def test_repeated_end_counts_once(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.end(order, EndKind.FAILED)
        shard.poll("w0")
        state = shard.scheduler.jobs["j"]
        self.assertEqual(state.count_failures(order.task), 1)
        shard.save()
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 1)
        shard.poll("w0")
        self.assertEqual(len(worker.unacknowledged), 0)

    def test_cancelled_job_releases_attempt(self):
        # The result of the attempt no longer matters; stop orders would be repeated
        # forever.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        row = build_unreadable(1, (order.task, order.attempt))
        poll_with(shard, row)
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(len(worker.runs), 1)
        shard.scheduler.cancel_job("j", revision=2)
        poll_with(shard, row)
        self.assertEqual((worker.runs, worker.cpu), ({}, 0))
        self.assertEqual(shard.plan(), [])

    def test_lease_expiry_ends_wait(self):
        # The worker is lost with the unreadable end: its attempt is proved to be over
        # once its entry is gone.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        poll_with(shard, build_unreadable(1, (order.task, order.attempt)))
        shard.silence("w0")
        shard.advance_time(20_000.0)
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual((expiry.awaited, expiry.given_up), (1, ()))
        shard.scheduler.mark_unlisted("w0")
        (expiry,) = release_expired(shard.scheduler, shard.now_ms)
        self.assertEqual(expiry.given_up, ((order.task, order.attempt),))

    def test_worker_with_many_held_ends_gets_no_task(self):
        # An answer contains 500 ends at most, so that later ones would not be seen.
        shard = Shard(workers=1)
        worker = shard.scheduler.workers["w0"]
        worker.first_unreadable_end = 1
        for number in range(2, 253):
            worker.record_end(number, lambda: True)
        shard.submit(build_job())
        self.assertEqual(acknowledge(worker), 0)
        self.assertEqual(shard.plan(), [])
        worker.first_unreadable_end = None
        acknowledge(worker)
        self.assertEqual(len(list_starts(shard.plan())), 1)


class TakeoverTest(unittest.TestCase):
    """New owners that cannot read all rows of a worker."""

    def _take_over(self, *unreadable: UnreadableRow) -> tuple[Shard, StartOrder]:
        """Complete a task under one owner before the first poll of the next one."""
        earlier = Shard(workers=1)
        earlier.submit(build_job())
        order = earlier.start_one()
        earlier.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        later = Shard(workers=0, epoch=2)
        later.workers = earlier.workers
        report = earlier.scheduler.workers["w0"].report
        later.scheduler.update_worker(report)
        later.scheduler.workers["w0"].is_in_roster = True
        later.submit(build_job(), is_new=False)
        rows = unreadable or (build_unreadable(1, (order.task, order.attempt)),)
        poll_with(later, *rows)
        return later, order

    def test_unreadable_end_with_attempt(self):
        # The owner dies, and the kind of an end is unknown to the next owner. The task
        # may be completed, so that it is held as if it ran.
        shard, order = self._take_over()
        self.assertTrue(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        self.assertEqual(shard.plan(), [])
        for _ in range(2):
            shard.advance_time(_STALL_TIMEOUT_MS)
            poll_with(shard, build_unreadable(1, (order.task, order.attempt)))
            self.assertEqual(shard.plan(), [])
        shard.poll("w0")
        self.assertEqual(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        self.assertEqual(shard.plan(), [])

    def test_unreadable_row_without_attempt(self):
        # The same with an unknown task: until the row is readable, no task of the
        # previous owner may start.
        shard, _ = self._take_over(build_unreadable(1))
        self.assertFalse(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        shard.advance_time(2 * _STALL_TIMEOUT_MS)
        poll_with(
            shard, UnreadableRow(reason="task", is_end=False), build_unreadable(1)
        )
        self.assertFalse(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        shard.poll("w0")
        self.assertTrue(is_settled(shard.scheduler, ["w0"], shard.now_ms))

    def test_unreadable_end_of_superseded_attempt(self):
        # A later attempt is known, so that the row refers to one that was given up.
        shard, order = self._take_over()
        state = shard.scheduler.jobs["j"].find_task(order.task)
        shard.poll("w0")
        state.done = False
        state.last_attempt = order.attempt + 1
        poll_with(shard, build_unreadable(1, (order.task, order.attempt)))
        self.assertEqual(shard.scheduler.workers["w0"].runs, {})


class UnreadableRunningTest(unittest.TestCase):
    """Unreadable rows of running attempts."""

    def test_attempt_possibly_in_unreadable_row_is_not_over(self):
        # Any unlisted run may be the subject of an unreadable row. Guards against
        # starting such a run a second time.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        worker = shard.scheduler.workers["w0"]
        row = UnreadableRow(reason="task", is_end=False)
        shard.workers["w0"].running.clear()
        for _ in range(3):
            shard.advance_time(_STALL_TIMEOUT_MS)
            shard.poll("w1")
            poll_with(shard, row)
            self.assertIn((order.task, order.attempt), worker.runs)
            self.assertEqual(shard.plan(), [])
        shard.poll("w0")
        self.assertEqual(worker.runs, {})

    def test_unreadable_values_keep_last_value(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        run = shard.scheduler.workers["w0"].runs[order.task, order.attempt]
        shard.workers["w0"].update(order.task, order.attempt, percent=40.0, load=7.0)
        shard.poll("w0")
        shard.workers["w0"].update(order.task, order.attempt, percent=None, load=None)
        shard.advance_time(_STALL_TIMEOUT_MS)
        shard.poll("w0")
        self.assertEqual((run.percent, run.load), (40.0, 7.0))
        self.assertEqual(shard.plan(), [])

    def test_task_of_nonexistent_step_is_stopped(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        odd = TaskId("j", 0, 7, 0)
        running = Running(task=odd, attempt=3, checkpoint="", percent=0.0, load=0.0)
        shard.workers["w0"].running[odd, 3] = running
        shard.poll("w0")
        orders = shard.plan()
        self.assertIn(odd, [o.task for o in orders if isinstance(o, StopOrder)])


class UnreadableJobTest(unittest.TestCase):
    """Jobs with unreadable records."""

    def test_runs_of_unreadable_job_are_not_stopped(self):
        # A new owner cannot read a job's record. The job's attempts are not stopped,
        # and their ends remain with the workers until an owner can read the record.
        shard = Shard(workers=1)
        shard.scheduler.unreadable_jobs.add("gone")
        task = TaskId("gone", 0, 0, 0)
        running = Running(task=task, attempt=3, checkpoint="", percent=0.0, load=0.0)
        shard.workers["w0"].running[task, 3] = running
        shard.poll("w0")
        worker = shard.scheduler.workers["w0"]
        self.assertIs(worker.runs[task, 3].phase, RunPhase.RUNNING)
        self.assertEqual(shard.plan(), [])
        shard.workers["w0"].end(task, 3, EndKind.DONE)
        shard.poll("w0")
        self.assertEqual(acknowledge(worker), 0)
        shard.scheduler.unreadable_jobs.discard("gone")
        self.assertEqual(acknowledge(worker), 1)


if __name__ == "__main__":
    unittest.main()
