"""One round of assignment: who must not stand in whose way."""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_LASTING = Step(
    count=1, demand=Demand(cpu=3000, memory_mb=100), long_running=True, image="s"
)
_SPREAD = attrs.evolve(_LASTING, count=3, max_per_worker=1)


class RoundTest(unittest.TestCase):
    """Many steps wait that find no place."""

    def test_lasting_task_that_fits_is_not_starved(self):
        # A service loses a task, and its users wait for half a minute although a worker
        # has room: dozens of other services, smaller and so first in order, each miss a
        # task that must not join the ones they have. The round ended before its turn.
        shard = Shard(workers=2, cpu=4000)
        for number in range(60):
            small = attrs.evolve(_SPREAD, demand=Demand(cpu=10, memory_mb=10))
            shard.submit(build_job(small, job_id=f"a{number:02}"))
        shard.step()
        shard.submit(build_job(_LASTING, job_id="z"))
        starts = list_starts(shard.step())
        self.assertEqual([order.task.job_id for order in starts], ["z"])

    def test_lasting_task_that_ended_gets_its_place_back(self):
        # A watcher fails on a full fleet, and its users are without it for 32 s: urgent
        # tasks that keep coming take the room it left, and each piece freed after that,
        # before a whole one of its size is free again.
        shard = Shard(workers=1, cpu=4000)
        lasting = attrs.evolve(_LASTING, demand=Demand(cpu=3000, memory_mb=10))
        shard.submit(build_job(lasting, job_id="z"))
        order = shard.start_one()
        urgent = Step(count=3, demand=Demand(cpu=1500, memory_mb=10), estimate_ms=500.0)
        shard.submit(build_job(urgent, job_id="a"))
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(order, EndKind.FAILED)
        starts = list_starts(shard.step())
        self.assertEqual([start.task.job_id for start in starts], ["z"])

    def test_fillers_without_a_place_end_a_round(self):
        # A burst leaves hundreds of steps without a place; looking at all of them in
        # each round would take longer than the pause between two.
        shard = Shard(workers=1, cpu=1000)
        for number in range(200):
            filler = Step(
                count=1,
                demand=Demand(cpu=4000 - number, memory_mb=9000),
                filler=True,
                image=f"f{number}",
            )
            shard.submit(build_job(filler, job_id=f"{number:03}"))
        rated = []
        worker = shard.scheduler.workers["w0"]
        worker_type = type(worker)
        original = worker_type.has_room

        def count(self, demand):
            rated.append(demand)
            return original(self, demand)

        worker_type.has_room = count
        self.addCleanup(setattr, worker_type, "has_room", original)
        shard.plan()
        self.assertLess(len(rated), 100)
