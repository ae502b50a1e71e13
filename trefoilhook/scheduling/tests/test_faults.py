"""Tests of failures that count against workers."""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, StartOrder, Step, StopOrder
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

_SERVICE = Step(
    count=1, demand=Demand(cpu=50, memory_mb=10), long_running=True, image="x"
)
_STEP_MS = 100.0
_FAILS_AFTER_STEPS = 3
_STALL_MS = 4100.0
_AVOIDANCE_MS = 3000.0


def _is_hopeless(task) -> bool:
    return task.job_id.startswith("bad")


class _FailingTasks:
    """Ends the runs of hopeless jobs as failed some steps after their start."""

    def __init__(self, shard: Shard) -> None:
        self.shard = shard
        self._ages: dict = {}

    def step(self) -> None:
        """Run one step of the shard and end what fails."""
        self.shard.step()
        for worker in self.shard.workers.values():
            for task, attempt in list(worker.running):
                age = self._ages.get((task, attempt), 0) + 1
                self._ages[task, attempt] = age
                worker.update(task, attempt, percent=min(99.0, age))
                if _is_hopeless(task) and age >= _FAILS_AFTER_STEPS:
                    worker.end(task, attempt, EndKind.FAILED)

    def measure_wait(self, step: Step, job_id: str) -> float:
        """Return the time until the first start of a new job, in ms."""
        self.shard.submit(build_job(step, job_id=job_id))
        began_ms = self.shard.now_ms
        while not self.shard.count_running(job_id):
            self.step()
            if self.shard.now_ms > began_ms + 20_000.0:
                break
        return self.shard.now_ms - began_ms


class HopelessJobTest(unittest.TestCase):
    """Jobs whose tasks fail wherever they are started."""

    def measure_waits(self, step: Step) -> list[float]:
        """Return the waits of jobs of one step beside four hopeless jobs, in ms."""
        tasks = _FailingTasks(Shard(workers=8))
        for number in range(4):
            hopeless = attrs.evolve(_SERVICE, count=6)
            tasks.shard.submit(build_job(hopeless, job_id=f"bad{number}"))
        waits: list[float] = []
        for number in range(20):
            waits.append(tasks.measure_wait(step, f"good{number}"))
            for _ in range(4):
                tasks.step()
        return waits

    def test_tasks_that_last_are_started(self):
        # Guards against hopeless jobs that close all workers to sound service tasks.
        self.assertLessEqual(max(self.measure_waits(_SERVICE)), 2 * _STEP_MS)

    def test_tasks_that_end_are_started(self):
        # Guards against hopeless jobs that close all workers to sound batch tasks.
        self.assertLessEqual(max(self.measure_waits(SMALL)), 2 * _STEP_MS)

    def test_only_worker_is_open_again_soon(self):
        # Guards against a task that fails again and again and closes the only worker
        # for good.
        tasks = _FailingTasks(Shard(workers=1))
        for number in range(2):
            tasks.shard.submit(build_job(_SERVICE, job_id=f"bad{number}"))
        for _ in range(20):
            tasks.step()
        wait_ms = tasks.measure_wait(SMALL, "good")
        self.assertLessEqual(wait_ms, _AVOIDANCE_MS)


class FaultyWorkerTest(unittest.TestCase):
    """Workers on which tasks of several jobs failed."""

    def setUp(self):
        self.shard = Shard(workers=2, cpu=16_000)

    def start_on(self, worker_id: str, step: Step, job_id: str) -> StartOrder:
        """Start the only task of a new job on a worker."""
        other = next(name for name in self.shard.workers if name != worker_id)
        self.shard.scheduler.workers[other].avoid_until_ms = self.shard.now_ms + 1.0
        self.shard.submit(build_job(step, job_id=job_id))
        order = self.shard.start_one()
        self.assertEqual(order.worker_id, worker_id)
        return order

    def fail_on(self, worker_id: str, job_id: str) -> None:
        """Let the only task of a new service job fail on a worker."""
        order = self.start_on(worker_id, _SERVICE, job_id)
        self.shard.end(order, EndKind.FAILED)
        self.shard.scheduler.cancel_job(job_id, revision=2)

    def test_other_worker_is_preferred(self):
        # Guards against service tasks that are started where all tasks fail.
        large = attrs.evolve(_SERVICE, demand=Demand(cpu=12_000))
        self.start_on("w0", large, "large")
        self.fail_on("w0", "a")
        self.fail_on("w0", "b")
        for number in range(4):
            self.shard.submit(build_job(_SERVICE, job_id=f"c{number}"))
        started_on = {order.worker_id for order in list_starts(self.shard.step())}
        self.assertEqual(started_on, {"w1"})

    def test_faulty_worker_is_used_if_no_other_has_room(self):
        # Guards against service tasks that wait for as long as others fail.
        self.fail_on("w0", "a")
        self.fail_on("w0", "b")
        self.shard.scheduler.exclude_worker("w1")
        self.shard.submit(build_job(_SERVICE, job_id="c"))
        self.assertEqual(self.shard.start_one().worker_id, "w0")

    def test_task_returns_later_to_the_faulty_worker_where_it_failed(self):
        # Guards against a task that fails on a faulty worker in each round.
        self.fail_on("w0", "a")
        self.fail_on("w0", "b")
        self.shard.scheduler.exclude_worker("w1")
        self.shard.submit(build_job(attrs.evolve(_SERVICE, count=2), job_id="c"))
        order, _ = list_starts(self.shard.step())
        self.shard.end(order, EndKind.FAILED)
        self.assertEqual(list_starts(self.shard.step()), [])
        self.shard.submit(build_job(_SERVICE, job_id="d"))
        self.assertEqual(self.shard.start_one().task.job_id, "d")

    def test_tasks_that_fail_elsewhere_do_not_count(self):
        # Guards against avoiding a worker because of tasks that fail on all workers.
        self.fail_on("w0", "b")
        first = self.start_on("w0", _SERVICE, "a")
        self.shard.end(first, EndKind.FAILED)
        worker = self.shard.scheduler.workers["w0"]
        self.assertTrue(worker.is_faulty(self.shard.now_ms))
        again = self.shard.start_one()
        self.assertEqual(again.worker_id, "w1")
        self.shard.end(again, EndKind.FAILED)
        self.assertFalse(worker.is_faulty(self.shard.now_ms))
        self.assertEqual(worker.faulty_jobs, {"b"})
        self.assertEqual(self.shard.scheduler.workers["w1"].faulty_jobs, set())

    def test_runs_that_last_clear_the_count(self):
        # Guards against a count that stays for good where no task ever ends as done.
        self.fail_on("w0", "a")
        self.shard.scheduler.exclude_worker("w1")
        self.shard.submit(build_job(_SERVICE, job_id="b"))
        self.shard.start_one()
        self.assertTrue(self.shard.scheduler.workers["w0"].faulty_jobs)
        for _ in range(35):
            self.shard.step()
        self.assertFalse(self.shard.scheduler.workers["w0"].faulty_jobs)

    def test_earlier_runs_do_not_clear_the_count(self):
        # Guards against trusting a worker whose later starts all fail.
        self.shard.scheduler.exclude_worker("w1")
        self.shard.submit(build_job(_SERVICE, job_id="b"))
        self.shard.start_one()
        self.fail_on("w0", "a")
        for _ in range(35):
            self.shard.step()
        self.assertTrue(self.shard.scheduler.workers["w0"].faulty_jobs)

    def test_workers_with_stalled_tasks_are_used_if_no_other_is_left(self):
        # Guards against stalled tasks that close all workers together.
        stalled = attrs.evolve(SMALL, count=2, max_per_worker=1)
        self.shard.submit(build_job(stalled, job_id="a"))
        self.assertEqual(len(list_starts(self.shard.step())), 2)
        self.shard.advance_time(_STALL_MS)
        self.shard.poll_all()
        for name in ("b", "c"):
            step = SMALL if name == "b" else _SERVICE
            self.shard.submit(build_job(step, job_id=name))
        orders = self.shard.step()
        self.assertEqual(sum(isinstance(o, StopOrder) for o in orders), 2)
        started = {order.task.job_id for order in list_starts(orders)}
        self.assertEqual(started, {"b", "c"})
