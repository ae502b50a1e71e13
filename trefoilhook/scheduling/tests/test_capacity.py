"""Tests of workers whose capacity shrinks and grows while they run tasks."""

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
    StopReason,
    confirm_start,
)
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts


def set_capacity(shard: Shard, worker_id: str, **changes: int) -> None:
    """Change the capacity that a worker reports."""
    report = shard.scheduler.workers[worker_id].report
    capacity = attrs.evolve(report.capacity, **changes)
    shard.scheduler.update_worker(attrs.evolve(report, capacity=capacity))


class ShrinkingTest(unittest.TestCase):
    """No start exceeds the reported capacity of a worker."""

    def test_overcommitted_worker_gets_no_task(self):
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(SMALL, count=3)))
        shard.step()
        set_capacity(shard, "w0", cpu=2000)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.step()), [])
        set_capacity(shard, "w0", cpu=4000)
        self.assertEqual(len(list_starts(shard.step())), 1)

    def test_stopping_task_still_counts(self):
        shard = Shard(workers=1, cpu=2000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2)))
        shard.step()
        shard.scheduler.cancel_job("j", revision=2)
        set_capacity(shard, "w0", cpu=1500)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])

    def test_unanswered_start_is_not_repeated_on_shrunk_worker(self):
        # Guards against an unanswered start that is executed when it is repeated after
        # its worker has shrunk.
        for changes in ({"cpu": 500}, {"memory_mb": 50}):
            with self.subTest(changes):
                shard = Shard(workers=1)
                shard.submit(build_job())
                (order,) = shard.plan()
                shard.answer(order, OrderOutcome.NO_ANSWER)
                set_capacity(shard, "w0", **changes)
                shard.advance_time(150.0)
                (again,) = shard.plan()
                self.assertIsInstance(again, StopOrder)

    def test_unsent_start_moves_to_other_worker(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        set_capacity(shard, "w0", cpu=500)
        self.assertFalse(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.WITHDRAWN)
        shard.add_worker("w1")
        self.assertEqual(shard.start_one().worker_id, "w1")
        self.assertIsNone(shard.scheduler.workers["w0"].silence)

    def test_queued_order_is_checked_again_before_sending(self):
        # Guards against queued starts that are sent to a worker that has shrunk or for
        # a job that was cancelled in the meantime.
        shard = Shard(workers=1)
        shard.submit(build_job(attrs.evolve(SMALL, count=4)))
        orders = shard.plan()
        set_capacity(shard, "w0", cpu=2500)
        sent = 0
        for order in orders:
            if confirm_start(shard.scheduler, order, shard.now_ms):
                sent += 1
            else:
                shard.answer(order, OrderOutcome.WITHDRAWN)
        self.assertEqual(sent, 2)
        shard.scheduler.cancel_job("j", revision=2)
        due = [confirm_start(shard.scheduler, order, shard.now_ms) for order in orders]
        self.assertEqual(due, [False] * 4)

    def test_only_excess_starts_are_withdrawn(self):
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(SMALL, count=4)))
        for order in shard.plan():
            shard.scheduler.workers["w0"].runs[
                order.task, order.attempt
            ].in_flight = False
        set_capacity(shard, "w0", cpu=2500)
        self.assertEqual(len(list_starts(shard.plan())), 2)

    def test_confirmed_run_continues(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        order = shard.start_one()
        set_capacity(shard, "w0", cpu=500)
        self.assertEqual(shard.step(), [])
        self.assertIn((order.task, order.attempt), shard.workers["w0"].running)

    def test_new_owner_starts_nothing_on_shrunk_worker(self):
        first = Shard(workers=1, cpu=4000)
        first.submit(build_job(attrs.evolve(SMALL, count=3)))
        first.step()
        second = Shard(workers=0, epoch=2)
        second.workers = first.workers
        second.submit(first.scheduler.jobs["j"].job, is_new=False)
        second.add_worker("w0", cpu=2000)
        second.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(second.step()), [])

    def test_filler_counts_with_its_memory(self):
        filler = Step(count=1, demand=Demand(cpu=100, memory_mb=3000), filler=True)
        shard = Shard(workers=1)
        set_capacity(shard, "w0", memory_mb=2000)
        shard.submit(build_job(filler))
        self.assertEqual(list_starts(shard.step()), [])


class ReliefTest(unittest.TestCase):
    """Excess tasks move to other workers if they lose little."""

    def run_two_tasks(self, **fields) -> Shard:
        """Run two tasks on a worker that shrinks to the capacity for one."""
        shard = Shard(workers=1, cpu=2000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2, **fields)))
        shard.step()
        set_capacity(shard, "w0", cpu=1000)
        return shard

    def list_stops(self, shard: Shard, duration_ms: float) -> list[StopOrder]:
        """Advance, and return the stop orders for lack of capacity."""
        stops: list[StopOrder] = []
        for _ in range(round(duration_ms / 100.0)):
            stops += [each for each in shard.step() if isinstance(each, StopOrder)]
        return [stop for stop in stops if stop.reason is StopReason.NO_ROOM]

    def test_checkpointing_task_moves_to_worker_with_capacity(self):
        shard = self.run_two_tasks(checkpointing=True)
        shard.add_worker("w1")
        self.assertEqual(len(self.list_stops(shard, 3000.0)), 1)
        self.assertEqual(len(shard.workers["w0"].running), 1)
        self.assertEqual(len(shard.workers["w1"].running), 1)

    def test_no_task_moves_immediately_or_without_target(self):
        # Guards against stopping tasks for a short reduction, or without a worker to
        # resume on.
        shard = self.run_two_tasks(checkpointing=True)
        self.assertEqual(self.list_stops(shard, 3000.0), [])
        shard = self.run_two_tasks(checkpointing=True)
        shard.add_worker("w1")
        self.assertEqual(self.list_stops(shard, 1500.0), [])
        set_capacity(shard, "w0", cpu=2000)
        self.assertEqual(self.list_stops(shard, 3000.0), [])

    def test_task_that_would_lose_work_is_not_moved(self):
        for fields in ({}, {"long_running": True, "checkpointing": True}):
            with self.subTest(fields):
                shard = self.run_two_tasks(**fields)
                shard.add_worker("w1")
                self.assertEqual(self.list_stops(shard, 3000.0), [])


class BurstTest(unittest.TestCase):
    """Workers shrink while they run tasks and while many more tasks wait."""

    TASK_MS = 500.0

    def setUp(self):
        self.shard = Shard(workers=4, cpu=4000)
        self.started_ms: dict[tuple, float] = {}
        self.excessive: list[tuple] = []
        self.withdrawn = 0

    def send(self, order: StartOrder) -> None:
        """Send a queued start order if it is still valid, and execute it."""
        shard = self.shard
        if not confirm_start(shard.scheduler, order, shard.now_ms):
            self.withdrawn += 1
            shard.answer(order, OrderOutcome.WITHDRAWN)
            return
        worker = shard.workers[order.worker_id]
        worker.run(order)
        self.started_ms[order.task, order.attempt] = shard.now_ms
        capacity = shard.scheduler.workers[order.worker_id].report.capacity
        if len(worker.running) * SMALL.demand.cpu > capacity.cpu:
            self.excessive.append((order.worker_id, order.task))
        shard.answer(order, OrderOutcome.DONE)

    def end_completed(self) -> None:
        """End the runs whose duration has passed."""
        for worker in self.shard.workers.values():
            for key in list(worker.running):
                if self.shard.now_ms - self.started_ms[key] >= self.TASK_MS:
                    worker.end(*key, EndKind.DONE)

    def run_plan(self, **resized: int) -> None:
        """Execute one plan; resize workers while its orders are queued."""
        orders = list_starts(self.shard.plan())
        for worker_id, cpu in resized.items():
            set_capacity(self.shard, worker_id, cpu=cpu)
        for order in orders:
            self.send(order)
        self.shard.advance_time(100.0)
        self.end_completed()
        self.shard.poll_all()

    def submit_burst(self) -> None:
        """Submit more tasks than all workers can run at once."""
        for number in range(8):
            step = attrs.evolve(SMALL, count=5)
            self.shard.submit(build_job(step, job_id=f"b{number}"))

    def test_no_start_exceeds_reduced_capacity(self):
        # Guards against starts of waiting tasks on workers that still run more than
        # their reduced capacity, or that shrink while the orders are queued.
        self.shard.submit(build_job(attrs.evolve(SMALL, count=16)))
        self.run_plan()
        set_capacity(self.shard, "w0", cpu=2200)
        self.submit_burst()
        for _ in range(4):
            self.run_plan()
        self.run_plan(w1=2200)
        self.assertEqual(self.withdrawn, 2)
        for _ in range(30):
            self.run_plan()
        self.assertEqual(self.excessive, [])

    def test_withdrawn_tasks_complete_elsewhere(self):
        # Guards against tasks that are lost or counted as failed when their starts are
        # withdrawn because the worker has shrunk.
        self.submit_burst()
        self.run_plan(w0=2200, w1=500)
        self.assertEqual(self.withdrawn, 6)
        for _ in range(40):
            self.run_plan()
        self.assertEqual(self.excessive, [])
        for state in self.shard.scheduler.jobs.values():
            self.assertIs(state.phase, JobPhase.COMPLETED)
            self.assertEqual(state.progress.failed, {})
        ends = [end.task for each in self.shard.workers.values() for end in each.ends]
        self.assertEqual(len(ends), 40)
        self.assertEqual(len(set(ends)), 40)


class StaleListTest(unittest.TestCase):
    """No task is started when the list of workers is out of date."""

    def test_nothing_starts_with_stale_list(self):
        # Guards against a watch that is silent while the owner's lease is renewed:
        # workers may shrink or announce their shutdown without the owner's knowledge.
        shard = Shard(workers=1)
        shard.reads_entries = False
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        shard.advance_time(5000.0)
        shard.poll_all()
        self.assertEqual(list_starts(shard.plan()), [])
        shard.scheduler.entries.note_read(shard.now_ms)
        (order,) = shard.plan()
        self.assertIsInstance(order, StartOrder)


if __name__ == "__main__":
    unittest.main()
