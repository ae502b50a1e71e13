"""Entries and rows that can't be read: nothing is concluded from them."""

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
    UnreadRow,
    acknowledge,
    is_settled,
    release_lapsed,
    take_look,
)
from trefoilhook.scheduling.fleet import RunPhase
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

_STALL_TIMEOUT_MS = 10_000.0
"""Well over the time after which an attempt without progress is stopped, in ms."""


def look_with(shard: Shard, *unread: UnreadRow) -> None:
    """Have the first worker looked at, with rows in place of ends of their numbers."""
    numbers = {row.number for row in unread}
    whole = shard.workers["w0"].look(shard.now_ms)
    ends = tuple(end for end in whole.ends if end.number not in numbers)
    look = attrs.evolve(whole, ends=ends, unread=unread)
    take_look(shard.scheduler, "w0", look, sent_ms=shard.now_ms, now_ms=shard.now_ms)


def build_unread(number: int, attempt=None) -> UnreadRow:
    """Build the row of an end."""
    return UnreadRow(reason="how", is_end=True, number=number, attempt=attempt)


class BarredWorkerTest(unittest.TestCase):
    """A worker whose entry names none to use."""

    def test_nothing_new_starts_and_what_runs_stays(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.scheduler.bar_worker("w0")
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

    def test_worker_that_is_not_known(self):
        shard = Shard(workers=0)
        shard.scheduler.bar_worker("w0")
        self.assertEqual(shard.scheduler.workers, {})

    def test_start_without_an_answer_is_not_sent_again(self):
        # A start gets no answer, and the worker's entry is overwritten. Sent again it
        # would be a start there; a stop rules the first copy out.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.scheduler.bar_worker("w0")
        shard.pass_time(200.0)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        shard.answer(stop, OrderOutcome.DONE)
        shard.pass_time(100.0)
        shard.look("w0")
        self.assertEqual(shard.scheduler.workers["w0"].runs, {})


class UnreadEndTest(unittest.TestCase):
    """Ends that can't be read."""

    def test_attempt_is_held_until_its_end_can_be_read(self):
        # A worker names an end in a way that isn't known. Taken for an attempt that
        # never was there, the task would be started again although it may be done.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        worker = shard.scheduler.workers[order.worker_id]
        self.assertEqual(order.worker_id, "w0")
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        for row in (
            build_unread(1, (order.task, order.attempt)),
            build_unread(1),
        ):
            with self.subTest(row=row):
                shard.pass_time(_STALL_TIMEOUT_MS)
                look_with(shard, row)
                self.assertIn((order.task, order.attempt), worker.runs)
                self.assertEqual(shard.plan(), [])
                self.assertEqual(acknowledge(worker), 0)
        shard.look("w0")
        self.assertEqual(worker.runs, {})
        shard.save()
        self.assertEqual(acknowledge(worker), 1)
        self.assertEqual(shard.plan(), [])

    def test_later_ends_count_and_wait_for_it(self):
        shard = Shard(workers=1)
        shard.submit(build_job(SMALL, SMALL))
        first, second = list_starts(shard.step())
        worker = shard.scheduler.workers["w0"]
        for order in (first, second):
            shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        shard.pass_time(10.0)
        look_with(shard, build_unread(1, (first.task, first.attempt)))
        self.assertEqual(list(worker.runs), [(first.task, first.attempt)])
        shard.save()
        self.assertEqual(acknowledge(worker), 0)
        # The first can be read now. It isn't written yet, so neither is acknowledged.
        shard.look("w0")
        self.assertEqual(worker.runs, {})
        self.assertEqual(acknowledge(worker), 0)
        shard.save()
        self.assertEqual(acknowledge(worker), 2)
        self.assertEqual(worker.ends_taken, set())

    def test_end_that_is_listed_again_counts_once(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.end(order, EndKind.FAILED)
        shard.look("w0")
        state = shard.scheduler.jobs["j"]
        self.assertEqual(state.count_failures(order.task), 1)
        shard.save()
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(acknowledge(worker), 1)
        shard.look("w0")
        self.assertEqual(len(worker.unacknowledged), 0)

    def test_job_that_is_cancelled_lets_go(self):
        # How the attempt ended has no effect any more; stops would be sent for good.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        row = build_unread(1, (order.task, order.attempt))
        look_with(shard, row)
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(len(worker.runs), 1)
        shard.scheduler.cancel_job("j", revision=2)
        look_with(shard, row)
        self.assertEqual((worker.runs, worker.cpu), ({}, 0))
        self.assertEqual(shard.plan(), [])

    def test_leases_that_lapse_end_the_wait(self):
        # The worker is lost with the end unread: its attempt is over by proof, once the
        # store lists it no more.
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        shard.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        look_with(shard, build_unread(1, (order.task, order.attempt)))
        shard.silence("w0")
        shard.pass_time(20_000.0)
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual((lapse.awaited, lapse.given_up), (1, ()))
        shard.scheduler.unlist_worker("w0")
        (lapse,) = release_lapsed(shard.scheduler, shard.now_ms)
        self.assertEqual(lapse.given_up, ((order.task, order.attempt),))

    def test_worker_with_many_ends_behind_it_gets_nothing_new(self):
        # Its lists have room for 500 ends, so what ends later would not be seen.
        shard = Shard(workers=1)
        worker = shard.scheduler.workers["w0"]
        worker.unread_from = 1
        for number in range(2, 253):
            worker.record_end(number, lambda: True)
        shard.submit(build_job())
        self.assertEqual(acknowledge(worker), 0)
        self.assertEqual(shard.plan(), [])
        worker.unread_from = None
        acknowledge(worker)
        self.assertEqual(len(list_starts(shard.plan())), 1)


class TakeoverTest(unittest.TestCase):
    """A new owner that can't read all that a worker lists."""

    def _take_over(self, *unread: UnreadRow) -> tuple[Shard, StartOrder]:
        """Have a task start under one owner, and be done before the next one looks."""
        earlier = Shard(workers=1)
        earlier.submit(build_job())
        order = earlier.start_one()
        earlier.workers["w0"].end(order.task, order.attempt, EndKind.DONE)
        later = Shard(workers=0, epoch=2)
        later.workers = earlier.workers
        report = earlier.scheduler.workers["w0"].report
        later.scheduler.update_worker(report)
        later.scheduler.workers["w0"].rostered = True
        later.submit(build_job(), certain=False)
        rows = unread or (build_unread(1, (order.task, order.attempt)),)
        look_with(later, *rows)
        return later, order

    def test_end_that_names_its_attempt(self):
        # The owner dies, and a worker's word for the end of its task isn't known to the
        # next one. The task may be done: it is held as if it ran.
        shard, order = self._take_over()
        self.assertTrue(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        self.assertEqual(shard.plan(), [])
        for _ in range(2):
            shard.pass_time(_STALL_TIMEOUT_MS)
            look_with(shard, build_unread(1, (order.task, order.attempt)))
            self.assertEqual(shard.plan(), [])
        shard.look("w0")
        self.assertEqual(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)
        self.assertEqual(shard.plan(), [])

    def test_row_that_may_mean_any_attempt(self):
        # The same, but it can't be told which task the row is about: until it can, no
        # task of the earlier owner may start, however long that takes.
        shard, _ = self._take_over(build_unread(1))
        self.assertFalse(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        shard.pass_time(2 * _STALL_TIMEOUT_MS)
        look_with(shard, UnreadRow(reason="task", is_end=False), build_unread(1))
        self.assertFalse(is_settled(shard.scheduler, ["w0"], shard.now_ms))
        shard.look("w0")
        self.assertTrue(is_settled(shard.scheduler, ["w0"], shard.now_ms))

    def test_end_of_an_attempt_that_was_followed(self):
        # A later attempt is known: the row is about one that was given up before.
        shard, order = self._take_over()
        state = shard.scheduler.jobs["j"].find_task(order.task)
        shard.look("w0")
        state.done = False
        state.last_attempt = order.attempt + 1
        look_with(shard, build_unread(1, (order.task, order.attempt)))
        self.assertEqual(shard.scheduler.workers["w0"].runs, {})


class UnreadRunningTest(unittest.TestCase):
    """Rows of what runs that can't be read."""

    def test_attempt_that_may_be_meant_is_not_over(self):
        # One row of a worker's list can't be read. Any run that isn't listed may be
        # it, and one that was taken for over would be started a second time.
        shard = Shard(workers=2)
        shard.submit(build_job())
        order = shard.start_one()
        worker = shard.scheduler.workers["w0"]
        row = UnreadRow(reason="task", is_end=False)
        shard.workers["w0"].running.clear()
        for _ in range(3):
            shard.pass_time(_STALL_TIMEOUT_MS)
            shard.look("w1")
            look_with(shard, row)
            self.assertIn((order.task, order.attempt), worker.runs)
            self.assertEqual(shard.plan(), [])
        shard.look("w0")
        self.assertEqual(worker.runs, {})

    def test_figures_that_cannot_be_read_keep_the_last(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        run = shard.scheduler.workers["w0"].runs[order.task, order.attempt]
        shard.workers["w0"].update(order.task, order.attempt, percent=40.0, load=7.0)
        shard.look("w0")
        shard.workers["w0"].update(order.task, order.attempt, percent=None, load=None)
        shard.pass_time(_STALL_TIMEOUT_MS)
        shard.look("w0")
        self.assertEqual((run.percent, run.load), (40.0, 7.0))
        self.assertEqual(shard.plan(), [])

    def test_task_of_a_step_that_its_job_has_not(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        odd = TaskId("j", 0, 7, 0)
        running = Running(task=odd, attempt=3, checkpoint="", percent=0.0, load=0.0)
        shard.workers["w0"].running[odd, 3] = running
        shard.look("w0")
        orders = shard.plan()
        self.assertIn(odd, [o.task for o in orders if isinstance(o, StopOrder)])


class HeldBackTest(unittest.TestCase):
    """Jobs whose records can't be read."""

    def test_what_runs_of_it_is_left_alone(self):
        # A new owner can't read a job's record. Its attempts aren't stopped, and their
        # ends stay with the workers until an owner can read it.
        shard = Shard(workers=1)
        shard.scheduler.held_back.add("gone")
        task = TaskId("gone", 0, 0, 0)
        running = Running(task=task, attempt=3, checkpoint="", percent=0.0, load=0.0)
        shard.workers["w0"].running[task, 3] = running
        shard.look("w0")
        worker = shard.scheduler.workers["w0"]
        self.assertIs(worker.runs[task, 3].phase, RunPhase.RUNNING)
        self.assertEqual(shard.plan(), [])
        shard.workers["w0"].end(task, 3, EndKind.DONE)
        shard.look("w0")
        self.assertEqual(acknowledge(worker), 0)
        shard.scheduler.held_back.discard("gone")
        self.assertEqual(acknowledge(worker), 1)


if __name__ == "__main__":
    unittest.main()
