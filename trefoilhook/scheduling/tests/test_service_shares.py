"""Tests of the ranking of service jobs with waiting tasks.

Three services of four tasks each wait on a full fleet, on which capacity becomes free
for one task at a time.
"""

import collections
import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=4, demand=Demand(cpu=2000, memory_mb=10), long_running=True, image="s"
)
_URGENT = Step(count=1, demand=Demand(cpu=2000, memory_mb=10), estimate_ms=900.0)


class ServiceShareTest(unittest.TestCase):
    """Services that compete for capacity as it becomes free."""

    def _fill_fleet(self) -> Shard:
        self.shard = Shard(workers=6)
        self.shard.submit(build_job(attrs.evolve(_URGENT, count=12), job_id="u"))
        self.ending = list_starts(self.shard.step())
        return self.shard

    def _end_urgent_tasks(self, tasks: int) -> collections.Counter:
        started = collections.Counter()
        for _ in range(tasks):
            self.shard.end(self.ending.pop(), EndKind.DONE)
            for order in list_starts(self.shard.step()):
                started[order.task.job_id] += 1
        return started

    def test_each_service_gets_a_task_before_another_gets_its_last(self):
        # Guards against a service with no task at work while others are complete.
        shard = self._fill_fleet()
        for job_id in "xyz":
            shard.submit(build_job(_SERVICE, job_id=job_id))
        shard.step()
        self.assertEqual(self._end_urgent_tasks(3), {"x": 1, "y": 1, "z": 1})
        self.assertEqual(self._end_urgent_tasks(6), {"x": 2, "y": 2, "z": 2})

    def test_capacity_that_becomes_free_at_once_is_shared(self):
        shard = self._fill_fleet()
        for job_id in "xyz":
            shard.submit(build_job(_SERVICE, job_id=job_id))
        shard.step()
        for _ in range(3):
            shard.end(self.ending.pop(), EndKind.DONE)
        started = collections.Counter(o.task.job_id for o in list_starts(shard.step()))
        self.assertEqual(started, {"x": 1, "y": 1, "z": 1})


if __name__ == "__main__":
    unittest.main()
