"""Tests of the attribution of a job's time to stages."""

import unittest

import attrs

from trefoilhook.scheduling import EndKind, OrderOutcome, Stage
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

_LEARNING_MS = 30.0
_REPORT_MS = 10.0
"""Time after which the end of a task is known, which `Shard.end` adds."""

_ESTIMATE_MS = SMALL.estimate_ms


class JobTimesTest(unittest.TestCase):
    """A job with two steps, as its owner sees it."""

    def setUp(self) -> None:
        self.shard = Shard(workers=1, cpu=1000)
        self.times = self.shard.scheduler.times

    def submit(self, job_id: str, *steps) -> None:
        self.shard.submit(
            build_job(
                *steps,
                job_id=job_id,
                accepted_ms=self.shard.now_ms - _LEARNING_MS,
            )
        )
        self.times.begin(
            self.shard.scheduler.jobs[job_id],
            now_ms=self.shard.now_ms,
            wall_ms=self.shard.now_ms,
        )

    def start(self):
        (order,) = list_starts(self.shard.plan())
        self.shard.answer(order, OrderOutcome.DONE)
        return order

    def finish(self, job_id: str):
        state = self.shard.scheduler.jobs[job_id]
        return self.times.finish(state, now_ms=self.shard.now_ms, is_late=False)

    def test_all_time_of_a_job_is_attributed(self):
        # Guards against an objective that is missed without a stage that shows where.
        self.submit("first")
        blocking = self.start()
        self.submit("j", SMALL, attrs.evolve(SMALL, after=(0,)))
        began_ms = self.shard.now_ms - _LEARNING_MS
        self.shard.plan()
        self.shard.advance_time(200.0)
        self.shard.end(blocking, EndKind.DONE)
        for ran_ms in (_ESTIMATE_MS - 100.0, _ESTIMATE_MS + 70.0):
            order = self.start()
            self.shard.advance_time(ran_ms)
            self.shard.end(order, EndKind.DONE)
        self.shard.advance_time(15.0)
        elapsed_ms = self.shard.now_ms - began_ms
        times = self.finish("j")
        spent = {stage: ms for stage, ms in times.by_stage.items() if ms}
        self.assertEqual(spent[Stage.LEARNING], _LEARNING_MS)
        self.assertEqual(spent[Stage.WAITING], 200.0 + _REPORT_MS)
        self.assertEqual(spent[Stage.OVERRUN], 70.0 + _REPORT_MS)
        self.assertEqual(spent[Stage.RECORDING], 15.0)
        self.assertEqual(sum(spent.values()), elapsed_ms)
        self.assertEqual(sum(times.waited_for.values()), 200.0 + _REPORT_MS)
        totals = self.times.take_totals()["checks"]
        self.assertEqual((totals.jobs, totals.late), (1, 0))
        self.assertEqual(self.times.take_totals(), {})

    def test_time_of_failed_attempt_is_no_wait(self):
        # Guards against a failed attempt that appears as a wait for a worker.
        self.submit("j")
        order = self.start()
        self.shard.advance_time(300.0)
        self.shard.end(order, EndKind.FAILED)
        order = self.start()
        self.shard.advance_time(_ESTIMATE_MS)
        self.shard.end(order, EndKind.DONE)
        times = self.finish("j")
        self.assertEqual(times.by_stage[Stage.RETRYING], 300.0 + _REPORT_MS)
        self.assertEqual(times.by_stage[Stage.WAITING], 0.0)


if __name__ == "__main__":
    unittest.main()
