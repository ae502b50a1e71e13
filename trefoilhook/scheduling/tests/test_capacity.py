"""Workers whose capacity shrinks and grows while they run."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    OrderOutcome,
    StartOrder,
    Step,
    StopOrder,
    StopReason,
    begin_start,
)
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts


def resize(shard: Shard, worker_id: str, **figures: int) -> None:
    """Have a worker report another capacity."""
    report = shard.scheduler.workers[worker_id].report
    capacity = attrs.evolve(report.capacity, **figures)
    shard.scheduler.update_worker(attrs.evolve(report, capacity=capacity))


class ShrinkingTest(unittest.TestCase):
    """No start takes a worker over the capacity that it reports."""

    def test_full_worker_takes_nothing_until_it_fits(self):
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(SMALL, count=3)))
        shard.step()
        resize(shard, "w0", cpu=2000)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.step()), [])
        resize(shard, "w0", cpu=4000)
        self.assertEqual(len(list_starts(shard.step())), 1)

    def test_what_is_being_stopped_still_counts(self):
        shard = Shard(workers=1, cpu=2000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2)))
        shard.step()
        shard.scheduler.cancel_job("j", revision=2)
        resize(shard, "w0", cpu=1500)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])

    def test_unanswered_start_is_not_repeated_where_it_fits_no_more(self):
        # Guards against a start whose first copy got no answer, and that is carried
        # out on the next try, when the worker has shrunk.
        for figures in ({"cpu": 500}, {"memory_mb": 50}):
            with self.subTest(figures):
                shard = Shard(workers=1)
                shard.submit(build_job())
                (order,) = shard.plan()
                shard.answer(order, OrderOutcome.NO_ANSWER)
                resize(shard, "w0", **figures)
                shard.pass_time(150.0)
                (again,) = shard.plan()
                self.assertIsInstance(again, StopOrder)

    def test_start_that_never_left_goes_elsewhere(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        resize(shard, "w0", cpu=500)
        self.assertFalse(begin_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.WITHDRAWN)
        shard.add_worker("w1")
        self.assertEqual(shard.start_one().worker_id, "w1")
        self.assertIsNone(shard.scheduler.workers["w0"].silence)

    def test_order_that_waits_for_its_turn_is_looked_at_again(self):
        # Guards against starts that wait behind many others to be sent, and leave for a
        # worker that has shrunk meanwhile, or for a job that was cancelled.
        shard = Shard(workers=1)
        shard.submit(build_job(attrs.evolve(SMALL, count=4)))
        orders = shard.plan()
        resize(shard, "w0", cpu=2500)
        sent = 0
        for order in orders:
            if begin_start(shard.scheduler, order, shard.now_ms):
                sent += 1
            else:
                shard.answer(order, OrderOutcome.WITHDRAWN)
        self.assertEqual(sent, 2)
        shard.scheduler.cancel_job("j", revision=2)
        due = [begin_start(shard.scheduler, order, shard.now_ms) for order in orders]
        self.assertEqual(due, [False] * 4)

    def test_only_what_is_too_much_is_withdrawn(self):
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(SMALL, count=4)))
        for order in shard.plan():
            shard.scheduler.workers["w0"].runs[
                order.task, order.attempt
            ].in_flight = False
        resize(shard, "w0", cpu=2500)
        self.assertEqual(len(list_starts(shard.plan())), 2)

    def test_confirmed_run_goes_on(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        resize(shard, "w0", cpu=500)
        self.assertEqual(shard.step(), [])
        self.assertIn((order.task, order.attempt), shard.workers["w0"].running)

    def test_new_owner_of_a_shrunk_worker_starts_nothing_there(self):
        first = Shard(workers=1, cpu=4000)
        first.submit(build_job(attrs.evolve(SMALL, count=3)))
        first.step()
        second = Shard(workers=0, epoch=2)
        second.workers = first.workers
        second.submit(first.scheduler.jobs["j"].job, certain=False)
        second.add_worker("w0", cpu=2000)
        second.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(second.step()), [])

    def test_filler_counts_by_its_memory(self):
        filler = Step(count=1, demand=Demand(cpu=100, memory_mb=3000), filler=True)
        shard = Shard(workers=1)
        resize(shard, "w0", memory_mb=2000)
        shard.submit(build_job(filler))
        self.assertEqual(list_starts(shard.step()), [])


class ReliefTest(unittest.TestCase):
    """Work that is too much for a worker goes on elsewhere, if it loses little."""

    def run_two(self, **fields) -> Shard:
        """Run two tasks on a worker that shrinks to the room of one."""
        shard = Shard(workers=1, cpu=2000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2, **fields)))
        shard.step()
        resize(shard, "w0", cpu=1000)
        return shard

    def list_stops(self, shard: Shard, duration_ms: float) -> list[StopOrder]:
        """Pass time, and return the stops that are ordered for want of room."""
        stops: list[StopOrder] = []
        for _ in range(round(duration_ms / 100.0)):
            stops += [each for each in shard.step() if isinstance(each, StopOrder)]
        return [stop for stop in stops if stop.reason is StopReason.NO_ROOM]

    def test_checkpointing_task_moves_where_there_is_room(self):
        shard = self.run_two(checkpointing=True)
        shard.add_worker("w1")
        self.assertEqual(len(self.list_stops(shard, 3000.0)), 1)
        self.assertEqual(len(shard.workers["w0"].running), 1)
        self.assertEqual(len(shard.workers["w1"].running), 1)

    def test_nothing_moves_at_once_or_without_a_place(self):
        # Guards against work that is stopped for a capacity that is back in a moment,
        # or only to wait.
        shard = self.run_two(checkpointing=True)
        self.assertEqual(self.list_stops(shard, 3000.0), [])
        shard = self.run_two(checkpointing=True)
        shard.add_worker("w1")
        self.assertEqual(self.list_stops(shard, 1500.0), [])
        resize(shard, "w0", cpu=2000)
        self.assertEqual(self.list_stops(shard, 3000.0), [])

    def test_what_would_lose_its_work_stays(self):
        for fields in ({}, {"long_running": True, "checkpointing": True}):
            with self.subTest(fields):
                shard = self.run_two(**fields)
                shard.add_worker("w1")
                self.assertEqual(self.list_stops(shard, 3000.0), [])


class StaleListTest(unittest.TestCase):
    """Nothing is started by a list of workers that hasn't been read for long."""

    def test_no_start_by_a_stale_list(self):
        # Guards against a watch that hears nothing while the owner's lease is renewed:
        # workers shrink, and announce that they leave, without its knowing.
        shard = Shard(workers=1)
        shard.reads_entries = False
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        shard.pass_time(5000.0)
        shard.look_all()
        self.assertEqual(list_starts(shard.plan()), [])
        shard.scheduler.entries.note_read(shard.now_ms)
        (order,) = shard.plan()
        self.assertIsInstance(order, StartOrder)


if __name__ == "__main__":
    unittest.main()
