"""Tests of the time for which service tasks wait beside capacity for them."""

import unittest

import attrs

from trefoilhook.scheduling import Demand, Progress, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job

_MAX_WAIT_MS = 3000.0
"""Time within which users expect a service task with ample capacity to start."""

_SERVICE = Step(
    count=1, demand=Demand(cpu=1000, memory_mb=10), long_running=True, image="s"
)


def _measure_wait(shard: Shard, job_id: str, *, count: int = 1) -> float:
    """Return the time until ``count`` tasks of a job run, in ms; 20 s at most."""
    began_ms = shard.now_ms
    while shard.count_running(job_id) < count and shard.now_ms < began_ms + 20_000.0:
        shard.step()
        shard.save()
    return shard.now_ms - began_ms


class ReservationTest(unittest.TestCase):
    """A service task beside workers that are reserved for a larger one."""

    def test_successive_reservations(self):
        # Guards against a service task that is kept from a worker by one reservation
        # for a larger task after the other.
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
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1500, memory_mb=10))
        shard.submit(
            build_job(small, job_id="small"), is_new=False, progress=Progress()
        )
        self.assertLessEqual(_measure_wait(shard, "small"), _MAX_WAIT_MS)


if __name__ == "__main__":
    unittest.main()
