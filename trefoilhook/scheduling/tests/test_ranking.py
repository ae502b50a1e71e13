"""Tests of the order of batch jobs under overload.

Load: wide jobs of twenty tasks and a steady stream of single tasks, on a fleet that has
capacity for one task after the other.
"""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, Step
from trefoilhook.scheduling.ranking import get_lateness
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SMALL = Step(count=1, demand=Demand(cpu=4000, memory_mb=10), estimate_ms=500.0)
_WIDE = attrs.evolve(_SMALL, count=20)
_OBJECTIVE_MS = 20_000.0


class RankingTest(unittest.TestCase):
    """Jobs with time left compete for one worker."""

    def setUp(self):
        self.shard = Shard(workers=1)
        self.submitted = 0
        self.submit(_SMALL, job_id="first")
        (self.running,) = list_starts(self.shard.step())

    def submit(self, *steps: Step, job_id: str) -> None:
        """Submit a job with 20 s for its objective."""
        self.shard.submit(
            build_job(*steps, job_id=job_id, accepted_ms=self.shard.now_ms)
        )
        self.shard.scheduler.jobs[job_id].due_ms = self.shard.now_ms + _OBJECTIVE_MS

    def start_next(self) -> str:
        """End the running task and return the job that is started."""
        self.shard.end(self.running, EndKind.DONE)
        (self.running,) = list_starts(self.shard.step())
        return self.running.task.job_id

    def test_small_jobs_precede_wide_ones_that_have_time(self):
        self.submit(_WIDE, job_id="a")
        self.shard.advance_time(2000.0)
        self.shard.poll_all()
        self.submit(_SMALL, job_id="b")
        self.assertEqual(self.start_next(), "b")

    def test_wide_job_is_not_passed_over_without_bound(self):
        # Guards against a wide job that waits until it is late, because smaller jobs
        # keep arriving.
        self.submit(_WIDE, job_id="wide")
        began_ms = self.shard.now_ms
        started = ""
        while started != "wide":
            self.submitted += 1
            self.submit(_SMALL, job_id=f"s{self.submitted}")
            self.shard.advance_time(400.0)
            started = self.start_next()
            self.assertLess(self.shard.now_ms - began_ms, 0.55 * _OBJECTIVE_MS)

    def test_job_that_must_start_first_precedes_others_that_have_waited(self):
        for job_id in ("b", "a"):
            self.submit(_WIDE, job_id=job_id)
            self.shard.advance_time(100.0)
        self.shard.advance_time(0.6 * _OBJECTIVE_MS)
        self.shard.poll_all()
        self.assertEqual(self.start_next(), "b")

    def test_job_whose_remaining_steps_cannot_end_in_time_is_late(self):
        # Guards against capacity for a job that its first step alone could meet.
        long = attrs.evolve(_SMALL, estimate_ms=15_000.0, after=(0,))
        self.submit(_SMALL, long, job_id="chain")
        state = self.shard.scheduler.jobs["chain"]
        (task,) = state.tasks.values()
        self.assertEqual(state.rests_ms, (15_500.0, 15_000.0))
        self.assertEqual(get_lateness(task, self.shard.now_ms), 0)
        self.assertEqual(get_lateness(task, self.shard.now_ms + 4600.0), 1)


if __name__ == "__main__":
    unittest.main()
