"""Tests of assignment rounds with many infeasible steps."""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, Progress, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_LONG_RUNNING = Step(
    count=1, demand=Demand(cpu=3000, memory_mb=100), long_running=True, image="s"
)
_SPREAD = attrs.evolve(_LONG_RUNNING, count=3, max_per_worker=1)


class RoundTest(unittest.TestCase):
    """Infeasible steps must not block others."""

    def test_long_running_task_that_fits_is_not_starved(self):
        # Guards against a service that waits for 30 s although a worker has capacity:
        # dozens of smaller services, which rank higher, each lack a task that must not
        # share a worker with others of its step, and ended the round.
        shard = Shard(workers=2, cpu=4000)
        for number in range(60):
            small = attrs.evolve(_SPREAD, demand=Demand(cpu=10, memory_mb=10))
            shard.submit(build_job(small, job_id=f"a{number:02}"))
        shard.step()
        shard.submit(build_job(_LONG_RUNNING, job_id="z"))
        starts = list_starts(shard.step())
        self.assertEqual([order.task.job_id for order in starts], ["z"])

    def test_ended_long_running_task_gets_its_capacity_back(self):
        # Guards against a long-running task that is absent for 32 s after a failure on
        # a full fleet, because a steady stream of urgent tasks takes the capacity
        # that it freed.
        shard = Shard(workers=1, cpu=4000)
        long_running = attrs.evolve(
            _LONG_RUNNING, demand=Demand(cpu=3000, memory_mb=10)
        )
        shard.submit(build_job(long_running, job_id="z"))
        order = shard.start_one()
        urgent = Step(count=3, demand=Demand(cpu=1500, memory_mb=10), estimate_ms=500.0)
        shard.submit(build_job(urgent, job_id="a"))
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(order, EndKind.FAILED)
        starts = list_starts(shard.step())
        self.assertEqual([start.task.job_id for start in starts], ["z"])

    def test_ended_long_running_task_gets_its_capacity_back_after_takeover(self):
        # Guards against a new owner that starts urgent tasks on the capacity freed by a
        # long-running task, because the task ended before the takeover.
        shard = Shard(workers=1, cpu=4000, epoch=2)
        long_running = attrs.evolve(
            _LONG_RUNNING, demand=Demand(cpu=3000, memory_mb=10)
        )
        shard.submit(
            build_job(long_running, job_id="z"), is_new=False, progress=Progress()
        )
        urgent = Step(count=3, demand=Demand(cpu=1500, memory_mb=10), estimate_ms=500.0)
        shard.submit(build_job(urgent, job_id="a"))
        starts = list_starts(shard.step())
        self.assertEqual([start.task.job_id for start in starts], ["z"])

    def _start_behind(self, infeasible: list[Step], waiting: Step) -> Shard:
        """Run two seconds of rounds with steps that rank behind infeasible ones."""
        shard = Shard(workers=7)
        for number, step in enumerate(infeasible):
            shard.submit(build_job(step, job_id=f"a{number:03}"))
        for number in range(6):
            job_id = f"z{number}"
            shard.submit(build_job(waiting, job_id=job_id, accepted_ms=200_000.0))
        for _ in range(20):
            shard.step()
        return shard

    def _check_started(self, shard: Shard) -> None:
        started = [shard.count_running(f"z{number}") > 0 for number in range(6)]
        self.assertEqual(started, [True] * 6)

    def test_gangs_behind_infeasible_gangs_are_started(self):
        # Guards against gangs that wait beside idle workers for as long as dozens of
        # gangs before them do not fit.
        filler = Step(
            count=8,
            demand=Demand(cpu=500, memory_mb=5000),
            estimate_ms=10_000.0,
            gang=True,
            filler=True,
            image="g",
        )
        small = attrs.evolve(
            filler,
            count=2,
            demand=Demand(cpu=500, memory_mb=64),
            estimate_ms=500_000.0,
            image="f",
        )
        self._check_started(self._start_behind([filler] * 45, small))

    def test_fillers_behind_many_infeasible_images_are_started(self):
        # Guards against fillers that wait beside idle workers for as long as dozens of
        # other images before them do not fit.
        large = [
            Step(
                count=1,
                demand=Demand(cpu=500, memory_mb=9000),
                estimate_ms=10_000.0,
                filler=True,
                image=f"g{number}",
            )
            for number in range(150)
        ]
        small = attrs.evolve(
            large[0],
            demand=Demand(cpu=500, memory_mb=64),
            estimate_ms=500_000.0,
            image="f",
        )
        self._check_started(self._start_behind(large, small))

    def test_infeasible_fillers_end_round(self):
        # Guards against rounds that take longer than the interval between them, with
        # hundreds of infeasible steps after a burst.
        shard = Shard(workers=1, cpu=1000)
        for number in range(200):
            filler = Step(
                count=1,
                demand=Demand(cpu=4000 - number, memory_mb=9000),
                filler=True,
                image=f"f{number}",
            )
            shard.submit(build_job(filler, job_id=f"{number:03}"))
        checked_demands = []
        worker = shard.scheduler.workers["w0"]
        worker_type = type(worker)
        original = worker_type.has_room

        def count(self, demand):
            checked_demands.append(demand)
            return original(self, demand)

        worker_type.has_room = count
        self.addCleanup(setattr, worker_type, "has_room", original)
        shard.plan()
        self.assertLess(len(checked_demands), 100)
