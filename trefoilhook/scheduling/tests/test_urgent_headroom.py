"""Tests of urgent jobs on a fleet that services could fill completely."""

import random
import unittest

import attrs

from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    Configuration,
    Demand,
    EndKind,
    Features,
    JobPhase,
    OrderOutcome,
    Progress,
    StartOrder,
    Step,
    acknowledge,
    decode_progress,
    encode_progress,
    list_long_waits,
)
from trefoilhook.scheduling.tests.cases import (
    QUEUE,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.waits import WaitReason

_WORKERS = 30
_CORES = 32_000
_STEP_MS = 50.0
_DURATION_MS = 30_000.0
_SEEDS = range(8)

_URGENT_MS = 640.0
_URGENT_INTERVAL_MS = 700.0
"""Mean time between two urgent jobs, which use a twentieth of the processors."""

_SERVICE = Step(
    count=24,
    demand=Demand(cpu=6400, memory_mb=10),
    long_running=True,
    image="s",
    max_per_worker=2,
)
_SERVICE_INTERVAL_MS = 1500.0
_SERVICE_LIFE_MS = 25_000.0
"""Services ask for four times the processors."""

_MIN_IN_TIME = 0.7
"""Share of urgent jobs to be in time on a fleet without any disruption."""

_MAX_WAIT_MS = 3000.0
"""Time within which users expect a service task with sufficient capacity to start."""


class _Fleet:
    """A shard on which services arrive and leave and urgent jobs arrive steadily."""

    def __init__(self, *, seed: int) -> None:
        self.random = random.Random(seed)
        self.shard = Shard(workers=_WORKERS, cpu=_CORES)
        self.shard.scheduler.configuration = Configuration(version=1, queues=(QUEUE,))
        for worker in self.shard.scheduler.workers.values():
            worker.report = attrs.evolve(
                worker.report, capacity=Demand(cpu=_CORES, memory_mb=125_000)
            )
        self.ends_ms: dict = {}
        self.service_ends_ms: dict[str, float] = {}
        self.urgent: dict[str, float] = {}
        self.in_time: set[str] = set()

    def run(self) -> float:
        """Return the share of urgent jobs that met their objective."""
        end_ms = self.shard.now_ms + _DURATION_MS
        urgent_ms = service_ms = self.shard.now_ms
        while self.shard.now_ms < end_ms:
            now_ms = self.shard.now_ms
            while service_ms <= now_ms:
                self._submit_service()
                service_ms += _SERVICE_INTERVAL_MS
            while urgent_ms <= now_ms:
                self._submit_urgent()
                urgent_ms += self.random.expovariate(1.0 / _URGENT_INTERVAL_MS)
            self._end_services()
            self._execute(self.shard.plan())
            self.shard.advance_time(_STEP_MS)
            self._end_tasks()
            self.shard.poll_all()
            self._save()
            self._note_completed()
        judged = [job_id for job_id, due_ms in self.urgent.items() if due_ms <= end_ms]
        return sum(job_id in self.in_time for job_id in judged) / len(judged)

    def _submit_service(self) -> None:
        job_id = f"s{len(self.service_ends_ms):03}"
        cpu = round(min(10_000, self.random.lognormvariate(8.73, 0.25)))
        demand = attrs.evolve(_SERVICE.demand, cpu=cpu)
        self.shard.submit(
            build_job(
                attrs.evolve(_SERVICE, demand=demand),
                job_id=job_id,
                accepted_ms=self.shard.now_ms,
            )
        )
        life_ms = self.random.expovariate(1.0 / _SERVICE_LIFE_MS)
        self.service_ends_ms[job_id] = self.shard.now_ms + life_ms

    def _submit_urgent(self) -> None:
        job_id = f"u{len(self.urgent):03}"
        cpu = round(min(19_000, self.random.lognormvariate(8.66, 0.45)))
        width = min(20, max(1, round(self.random.lognormvariate(1.6, 0.7))))
        step = Step(
            count=width,
            demand=Demand(cpu=cpu, memory_mb=10),
            estimate_ms=_URGENT_MS,
        )
        job = build_job(step, job_id=job_id, accepted_ms=self.shard.now_ms)
        self.urgent[job_id] = self.shard.now_ms + QUEUE.compute_objective(job)
        self.shard.submit(job)

    def _end_services(self) -> None:
        for job_id, end_ms in self.service_ends_ms.items():
            if end_ms <= self.shard.now_ms:
                self.shard.scheduler.cancel_job(job_id, revision=2)

    def _execute(self, orders) -> None:
        for order in orders:
            worker = self.shard.workers[order.worker_id]
            key = (order.task, order.attempt)
            if isinstance(order, StartOrder):
                worker.run(order)
                worker.update(*key, percent=100.0)
                if order.task.job_id in self.urgent:
                    self.ends_ms[key] = self.shard.now_ms + _URGENT_MS
            elif key in worker.running:
                worker.end(*key, EndKind.STOPPED)
            self.shard.answer(order, OrderOutcome.DONE)

    def _end_tasks(self) -> None:
        for worker in self.shard.workers.values():
            for key in list(worker.running):
                if self.ends_ms.get(key, float("inf")) <= self.shard.now_ms:
                    worker.end(*key, EndKind.DONE)

    def _save(self) -> None:
        self.shard.save()
        for worker in self.shard.scheduler.workers.values():
            acknowledge(worker)

    def _note_completed(self) -> None:
        for job_id, due_ms in self.urgent.items():
            state = self.shard.scheduler.jobs[job_id]
            if state.phase is JobPhase.COMPLETED and self.shard.now_ms <= due_ms:
                self.in_time.add(job_id)


class UrgentHeadroomTest(unittest.TestCase):
    """Urgent jobs beside services of the same priority that ask for too much."""

    def test_services_leave_capacity_to_urgent_jobs(self):
        # Guards against urgent jobs that miss their objectives because services take
        # every part of a full fleet that is free between two of them.
        shares = [_Fleet(seed=seed).run() for seed in _SEEDS]
        self.assertGreaterEqual(sum(shares) / len(shares), _MIN_IN_TIME, shares)


class HeldServiceTest(unittest.TestCase):
    """A service task and urgent tasks that use all processors at a time."""

    def setUp(self) -> None:
        self.shard = Shard(workers=1, cpu=4000)
        self.urgent = Step(
            count=4, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=500.0
        )

    def run_urgent(self, job_id: str) -> None:
        """Run an urgent job to its end."""
        self.shard.submit(
            build_job(self.urgent, job_id=job_id, accepted_ms=self.shard.now_ms)
        )
        for order in list_starts(self.shard.step()):
            self.shard.end(order, EndKind.DONE)

    def submit_service(self, *, cpu: int = 4000, **fields) -> None:
        step = Step(
            count=1,
            demand=Demand(cpu=cpu, memory_mb=10),
            long_running=True,
            image="s",
        )
        self.shard.submit(build_job(step, job_id="z", **fields))

    def fill_other_worker(self) -> None:
        """Add a worker that is four times as large, with a service that fills it."""
        self.shard.add_worker("full", cpu=16_000)
        step = Step(count=1, demand=Demand(cpu=16_000, memory_mb=10), long_running=True)
        self.shard.submit(build_job(step, job_id="f"))
        self.shard.start_one()

    def measure_wait(self, *, period: int = 0, busy: int = 0) -> float:
        """Return the time until the service task is started, in ms.

        In the last ``busy`` of each ``period`` rounds an urgent job holds the worker.
        """
        began_ms = self.shard.now_ms
        held: list[StartOrder] = []
        for number in range(round(2 * _MAX_WAIT_MS / 100.0)):
            if period and number % period < period - busy:
                for order in held:
                    self.shard.end(order, EndKind.DONE)
                held = []
            if period and number % period == period - busy:
                self.shard.submit(
                    build_job(
                        self.urgent,
                        job_id=f"u{number:03}",
                        accepted_ms=self.shard.now_ms,
                    )
                )
            orders = list_starts(self.shard.step())
            if any(order.task.job_id == "z" for order in orders):
                break
            held += orders
        return self.shard.now_ms - began_ms

    def test_service_waits_for_urgent_tasks(self):
        # Guards against a service that takes the capacity of the next urgent job.
        self.run_urgent("a")
        self.submit_service()
        self.shard.step()
        self.assertEqual(self.shard.count_running("z"), 0)
        reason = self.shard.scheduler.waits.get_last_reason(("z", 0, 0))
        self.assertIs(reason, WaitReason.URGENT_DEMAND)

    def test_service_does_not_wait_for_urgent_tasks_that_do_not_come(self):
        # Guards against a service that is never started beside idle workers.
        self.run_urgent("a")
        self.submit_service()
        self.assertLess(self.measure_wait(), _MAX_WAIT_MS)

    def test_short_interruptions_do_not_extend_the_wait(self):
        # Guards against a service that waits for good beside capacity for it twice
        # over, as short urgent jobs use all of it again and again.
        for period, busy, count in ((5, 1, 3), (5, 1, 5), (10, 3, 3), (15, 5, 3)):
            with self.subTest(period=period, busy=busy, count=count):
                self.setUp()
                self.fill_other_worker()
                self.run_urgent("a")
                self.urgent = attrs.evolve(self.urgent, count=count)
                self.submit_service(cpu=2000)
                wait_ms = self.measure_wait(period=period, busy=busy)
                self.assertLess(wait_ms, _MAX_WAIT_MS)

    def test_long_interruption_begins_the_wait_anew(self):
        # Guards against a service that takes what urgent jobs have just released.
        self.fill_other_worker()
        self.run_urgent("a")
        self.submit_service(cpu=2000)
        wait_ms = self.measure_wait(period=25, busy=12)
        self.assertGreater(wait_ms, _MAX_WAIT_MS)

    def test_log_tells_for_how_long_a_task_is_held(self):
        # Guards against a wait beside free capacity whose line tells of its last part.
        self.fill_other_worker()
        self.run_urgent("a")
        self.submit_service(cpu=2000)
        for _ in range(8):
            self.shard.step()
        self.urgent = attrs.evolve(self.urgent, count=3)
        self.run_urgent("b")
        for _ in range(4):
            self.shard.step()
        (wait,) = list_long_waits(
            self.shard.scheduler, min_wait_ms=1000.0, now_ms=self.shard.now_ms
        )
        self.assertEqual((wait.waits_for, wait.interruptions), ("kept for urgent", 1))
        self.assertEqual((wait.placeable_ms, wait.kept_ms), (1330, 1100))

    def test_only_new_tasks_of_a_step_leave_capacity(self):
        # Guards against a displaced task that waits as new ones of its step do, and
        # against new ones that don't wait as it doesn't.
        step = Step(count=8, demand=Demand(cpu=500, memory_mb=10), long_running=True)
        for displaced in (0, 7):
            with self.subTest(displaced=displaced):
                self.setUp()
                self.run_urgent("a")
                self.shard.submit(
                    build_job(step, job_id="z"),
                    is_new=False,
                    progress=Progress(placed={(0, 0): {displaced}}),
                )
                indices = {o.task.index for o in list_starts(self.shard.step())}
                self.assertIn(displaced, indices)
                self.assertEqual(len(indices), 6)

    def test_service_does_not_wait_without_urgent_tasks(self):
        # Guards against a wait on fleets that run services only.
        self.submit_service()
        self.assertLessEqual(self.measure_wait(), 100.0)

    def test_displaced_service_task_does_not_wait(self):
        # Guards against a service task that loses its place to urgent jobs to come.
        self.run_urgent("a")
        self.submit_service(accepted_ms=self.shard.now_ms)
        self.shard.scheduler.jobs["z"].is_new = False
        self.shard.scheduler.jobs["z"].started = True
        self.assertLessEqual(self.measure_wait(), 100.0)

    def take_over(self) -> Shard:
        """Return a shard under the next owner, with what the first has stored."""
        scheduler = self.shard.scheduler
        later = Shard(workers=1, cpu=4000, epoch=2)
        later.now_ms = self.shard.now_ms
        later.poll_all()
        later.scheduler.urgent_demands.restore(scheduler.urgent_demands.encode())
        for state in scheduler.jobs.values():
            if state.is_open:
                data = encode_progress(state.progress)
                later.submit(state.job, is_new=False, progress=decode_progress(data))
        return later

    def test_next_owner_knows_the_demand_of_urgent_tasks(self):
        # Guards against services that fill the fleet after each takeover.
        self.run_urgent("a")
        self.shard = self.take_over()
        self.submit_service()
        self.shard.step()
        self.assertEqual(self.shard.count_running("z"), 0)

    def test_wait_for_a_settled_owner_counts(self):
        # Guards against a service task that waits for the settling of its new owner
        # and for urgent tasks one after the other, beside idle workers.
        self.run_urgent("a")
        self.submit_service(accepted_ms=self.shard.now_ms)
        demands = self.shard.scheduler.urgent_demands.encode()
        job = self.shard.scheduler.jobs["z"].job
        self.shard = Shard(workers=1, cpu=4000, epoch=2, settled=False)
        self.shard.scheduler.urgent_demands.restore(demands)
        self.shard.submit(job, is_new=False)
        for _ in range(25):
            self.assertEqual(list_starts(self.shard.step()), [])
        self.shard.settled = True
        self.assertLessEqual(self.measure_wait(), 100.0)

    def test_service_task_that_never_ran_is_no_displaced_one(self):
        # Guards against service tasks that take the capacity of urgent ones after a
        # takeover, because another task of their job had been started before it.
        step = Step(count=2, demand=Demand(cpu=3000, memory_mb=10), long_running=True)
        self.shard.submit(build_job(step, job_id="z"))
        (order,) = list_starts(self.shard.step())
        later = self.take_over()
        tasks = later.scheduler.jobs["z"].tasks.values()
        self.assertEqual(
            {task.task.index: task.may_have_run for task in tasks},
            {order.task.index: True, 1 - order.task.index: False},
        )

    def test_unrecorded_service_tasks_count_as_displaced(self):
        # Guards against a displaced task that yields since an earlier build started it.
        step = Step(count=2, demand=Demand(cpu=3000, memory_mb=10), long_running=True)
        self.shard.submit(build_job(step), is_new=False, progress=Progress())
        tasks = self.shard.scheduler.jobs["j"].tasks.values()
        self.assertTrue(all(task.may_have_run for task in tasks))

    def test_invalid_demands_are_rejected(self):
        # Guards against an owner that is ended by what another writer has stored.
        demands = self.shard.scheduler.urgent_demands
        for rows in (
            "{}",
            '{"demands": [{}]}',
            '{"demands": [{"service": "s", "priority": 0, "peak_cpu": -1,'
            ' "mean_cpu": 1, "mean_mb": 1}]}',
            '{"demands": [{"service": "s", "priority": 0, "peak_cpu": 1,'
            ' "mean_cpu": 0, "mean_mb": 1}]}',
        ):
            with self.subTest(rows), self.assertRaises(DecodeError):
                demands.restore(rows.encode())

    def test_operator_can_disable_the_wait(self):
        # Guards against a decision that cannot be switched off in an incident.
        self.shard.scheduler.features = Features(headroom=False)
        self.run_urgent("a")
        self.submit_service()
        self.assertLessEqual(self.measure_wait(), 100.0)


if __name__ == "__main__":
    unittest.main()
