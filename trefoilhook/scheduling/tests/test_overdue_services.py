"""Tests of the time for which service tasks wait beside capacity for them."""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    OrderOutcome,
    Progress,
    StartOrder,
    Step,
    overdue,
)
from trefoilhook.scheduling.placing import can_host
from trefoilhook.scheduling.service_holds import OverdueSteps
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_MAX_WAIT_MS = 3000.0
"""Time within which users expect a service task with ample capacity to start."""

_MIN_WAIT_MS = 1900.0
"""Time for which a new service task leaves capacity to urgent tasks."""

_SERVICE = Step(
    count=1, demand=Demand(cpu=1000, memory_mb=10), long_running=True, image="s"
)
_SUSPECTED_TASKS = 8
_MAX_ISOLATED_RUNS = 2
_STEP = ("j", 0, 0)


def _measure_wait(shard: Shard, job_id: str, *, count: int = 1) -> float:
    """Return the time until ``count`` tasks of a job run, in ms; 20 s at most."""
    began_ms = shard.now_ms
    while shard.count_running(job_id) < count and shard.now_ms < began_ms + 20_000.0:
        shard.step()
        shard.save()
    return shard.now_ms - began_ms


def _make_overdue(shard: Shard, job_id: str) -> None:
    """Make the first step of a job overdue."""
    for waited_ms in (0.0, _MAX_WAIT_MS):
        now_ms = shard.now_ms - _MAX_WAIT_MS + waited_ms
        shard.scheduler.overdue.extend((job_id, 0, 0), now_ms)


class ReservationTest(unittest.TestCase):
    """A service task beside workers that are reserved for a larger one."""

    def _build(self) -> Shard:
        """Build a shard with one worker, which is reserved for a larger task."""
        shard = Shard(workers=2, cpu=8000)
        large = attrs.evolve(_SERVICE, demand=Demand(cpu=7000, memory_mb=10))
        shard.submit(build_job(large, job_id="large"))
        lost = shard.start_one().worker_id
        urgent = Step(count=1, demand=Demand(cpu=5000, memory_mb=10), estimate_ms=500.0)
        shard.submit(build_job(urgent, job_id="urgent"))
        shard.step()
        shard.scheduler.drop_worker(lost)
        for _ in range(3):
            shard.step()
        self.assertTrue(shard.scheduler.reservations.count)
        return shard

    def test_successive_reservations(self):
        # Guards against a service task that is kept from a worker by one reservation
        # for a larger task after the other.
        shard = self._build()
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1500, memory_mb=10))
        shard.submit(
            build_job(small, job_id="small"), is_new=False, progress=Progress()
        )
        self.assertLessEqual(_measure_wait(shard, "small"), _MAX_WAIT_MS)

    def test_capacity_elsewhere(self):
        # Guards against an overdue service task that takes the worker reserved for a
        # larger one although another worker has the capacity.
        shard = self._build()
        shard.add_worker("other", cpu=3500)
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1500, memory_mb=10))
        shard.submit(build_job(small, job_id="small"))
        _make_overdue(shard, "small")
        self.assertEqual(shard.start_one().worker_id, "other")


class RefusalTest(unittest.TestCase):
    """A new service task that leaves capacity to urgent tasks for a while."""

    def setUp(self):
        self.shard = Shard(workers=1, cpu=4000)
        urgent = Step(count=4, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=500.0)
        self.shard.submit(build_job(urgent, job_id="u"))
        for order in list_starts(self.shard.step()):
            self.shard.end(order, EndKind.DONE)
        self.shard.add_worker("full", cpu=16_000)
        full = attrs.evolve(_SERVICE, demand=Demand(cpu=16_000, memory_mb=10))
        self.shard.submit(build_job(full, job_id="f"))
        self.shard.step()
        held = attrs.evolve(_SERVICE, demand=Demand(cpu=2000, memory_mb=10))
        self.shard.submit(build_job(held, job_id="z"))

    def _advance(self) -> None:
        self.shard.advance_time(100.0)
        self.shard.poll_all()

    def test_refused_starts(self):
        # Guards against a task that waits for urgent tasks anew after each refusal of
        # its start that takes longer than a round.
        began_ms = self.shard.now_ms
        refusals = 0
        while refusals < 3 and self.shard.now_ms < began_ms + 20_000.0:
            orders = list_starts(self.shard.plan())
            if orders:
                self._advance()
                self.shard.plan()
            for order in orders:
                self.shard.answer(order, OrderOutcome.NO_ROOM)
                refusals += 1
            self._advance()
        self.assertGreater(self.shard.now_ms - began_ms, _MIN_WAIT_MS)
        self.assertLessEqual(self.shard.now_ms - began_ms, _MAX_WAIT_MS)

    def test_avoided_worker(self):
        # Guards against a wait that begins anew each time that the only worker with
        # capacity has refused a start.
        for avoided_ms in (500.0, 1000.0, 1500.0):
            with self.subTest(avoided_ms=avoided_ms):
                self.setUp()
                worker = self.shard.scheduler.workers["w0"]
                began_ms = self.shard.now_ms
                worker.avoid_until_ms = 0.0
                while not self.shard.count_running("z"):
                    if self.shard.now_ms - began_ms == avoided_ms:
                        worker.avoid_until_ms = self.shard.now_ms + 1000.0
                    self.assertLess(self.shard.now_ms - began_ms, 20_000.0)
                    self.shard.step()
                self.assertLessEqual(self.shard.now_ms - began_ms, _MAX_WAIT_MS)


class SuspectTest(unittest.TestCase):
    """Service tasks that were lost with their workers."""

    def test_worker_of_an_isolated_run(self):
        # Guards against an overdue service task that is started beside a run that may
        # crash its worker although other workers are idle.
        shard = Shard(workers=4)
        shard.submit(build_job(_SERVICE, job_id="suspect"))
        isolated = shard.start_one().worker_id
        (task,) = shard.scheduler.jobs["suspect"].tasks.values()
        suspicion = shard.scheduler.suspects.get_or_add(task)
        for attempt in (1, 2):
            suspicion.record_loss(attempt, "gone", 60.0, proved=True)
        shard.submit(build_job(_SERVICE, job_id="z"))
        _make_overdue(shard, "z")
        self.assertNotEqual(shard.start_one().worker_id, isolated)
        self.assertTrue(shard.scheduler.workers[isolated].is_reserved)

    def _lose(self, *, losses: int, proved: bool, ratio: float) -> Shard:
        """Lose all tasks of a service a number of times."""
        shard = Shard(workers=12)
        step = attrs.evolve(_SERVICE, count=_SUSPECTED_TASKS)
        shard.submit(build_job(step, job_id="z"))
        shard.step()
        state = shard.scheduler.jobs["z"]
        for task in state.tasks.values():
            (attempt,) = task.attempts
            suspicion = shard.scheduler.suspects.get_or_add(task)
            for number in range(losses):
                suspicion.record_loss(
                    attempt.run.attempt - 1 - number, "gone", ratio, proved=proved
                )
        for worker_id, worker in shard.workers.items():
            for task, attempt in list(worker.running):
                worker.end(task, attempt, EndKind.STOPPED)
            shard.poll(worker_id)
        return shard

    def test_isolation_in_turn(self):
        # Guards against suspected tasks of a service that wait for their turn to run in
        # isolation, two at a time, while most workers are idle.
        shard = self._lose(losses=2, proved=True, ratio=60.0)
        wait_ms = _measure_wait(shard, "z", count=_SUSPECTED_TASKS)
        self.assertLessEqual(wait_ms, _MAX_WAIT_MS)

    def test_start_after_a_long_delay(self):
        # Guards against suspected tasks that all start at once after their delay, so
        # that each of them may crash a worker before the first crash is known.
        shard = self._lose(losses=4, proved=False, ratio=20.0)
        for task in shard.scheduler.jobs["z"].tasks.values():
            task.shared.held_until_ms = shard.now_ms + 4000.0
        began_ms = shard.now_ms
        starts: list[StartOrder] = []
        while not starts and shard.now_ms < began_ms + 10_000.0:
            starts = list_starts(shard.step())
            shard.save()
        self.assertGreaterEqual(shard.now_ms, began_ms + 4000.0)
        self.assertEqual(len(starts), _MAX_ISOLATED_RUNS)
        wait_ms = _measure_wait(shard, "z", count=_SUSPECTED_TASKS)
        self.assertLessEqual(wait_ms, _MAX_WAIT_MS)


class CostTest(unittest.TestCase):
    """Comparison of waiting steps with the workers."""

    def test_many_steps_without_capacity(self):
        # Guards against rounds that compare each waiting step with each worker, which
        # takes a second on a large fleet.
        shard = Shard(workers=20)
        step = attrs.evolve(_SERVICE, demand=Demand(cpu=1000, memory_mb=9000))
        for number in range(30):
            shard.submit(build_job(step, job_id=f"j{number}"))
        tasks = list(shard.scheduler.waiting)
        self.assertEqual(len(tasks), 30)
        with mock.patch.object(overdue, "can_host", wraps=can_host) as compare:
            overdue.record_waits(shard.scheduler, tasks, shard.now_ms)
        self.assertLessEqual(compare.call_count, len(shard.workers))


class InterruptionTest(unittest.TestCase):
    """Service steps for which there is no capacity any more."""

    def test_long_interruption_ends_the_wait(self):
        # Guards against a step that stays overdue while the fleet is full, and then
        # takes the first capacity that urgent tasks release.
        steps = OverdueSteps()
        for now_ms in range(0, 2600, 100):
            steps.extend(_STEP, now_ms)
        self.assertTrue(steps.contains(_STEP))
        steps.interrupt(_STEP, 2600.0)
        self.assertTrue(steps.contains(_STEP))
        steps.interrupt(_STEP, 3500.0)
        self.assertFalse(steps.contains(_STEP))


if __name__ == "__main__":
    unittest.main()
