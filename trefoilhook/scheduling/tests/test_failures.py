"""Tests of unexpected errors in the planning of one job or worker."""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import (
    Demand,
    PaceOrder,
    Step,
    assignment,
    pacing,
    planning,
    ranking,
    rounds,
)
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts
from trefoilhook.scheduling.waits import WaitReason

RETRY_MS = 5000.0


def _fail_for(function, job_id: str, *, calls: int = 1):
    """Let a function fail with one job, from the given call on."""
    seen = 0

    def call(*args, **kwargs):
        nonlocal seen
        state = next(a for a in args if hasattr(a, "task") and hasattr(a, "job"))
        if state.job.job.job_id == job_id:
            seen += 1
            if seen >= calls:
                raise ZeroDivisionError(job_id)
        return function(*args, **kwargs)

    return call


class JobFailureTest(unittest.TestCase):
    """A job whose planning fails is set aside, and others are served."""

    def _start_beside_failure(self, step: Step, name: str, module, calls: int) -> Shard:
        shard = Shard()
        shard.raises_failures = False
        shard.submit(build_job(step, job_id="bad"))
        shard.submit(build_job(job_id="good"))
        failing = _fail_for(getattr(module, name), "bad", calls=calls)
        with mock.patch.object(module, name, failing):
            starts = list_starts(shard.step())
        self.assertEqual({order.task.job_id for order in starts}, {"good"})
        (failure,) = shard.scheduler.failures.unreported
        self.assertEqual(failure.job_id, "bad")
        self.assertIsInstance(failure.error, ZeroDivisionError)
        return shard

    def _check_retry(self, shard: Shard, count: int) -> None:
        """Check that nothing stays reserved, and that the job is tried again."""
        runs = [run for w in shard.scheduler.workers.values() for run in w.runs]
        self.assertEqual({task.job_id for task, _ in runs}, {"good"})
        self.assertEqual(list_starts(shard.step()), [])
        self.assertIs(
            shard.scheduler.waits.get_last_reason(("bad", 0, 0)), WaitReason.SET_ASIDE
        )
        shard.advance_time(RETRY_MS)
        shard.poll_all()
        starts = [o for o in list_starts(shard.step()) if o.task.job_id == "bad"]
        self.assertEqual(len(starts), count)

    def test_failure_in_ranking(self):
        # Guards against one job that keeps all others from being ranked.
        shard = self._start_beside_failure(SMALL, "get_lateness", ranking, 1)
        self._check_retry(shard, 1)

    def test_failure_after_some_reservations(self):
        # Guards against capacity that stays reserved for tasks that never start.
        step = attrs.evolve(SMALL, count=3)
        shard = self._start_beside_failure(step, "reserve_capacity", assignment, 3)
        self._check_retry(shard, 3)

    def test_failure_in_a_gang(self):
        # Guards against a gang of which only some members are started.
        step = attrs.evolve(SMALL, count=3, gang=True)
        shard = self._start_beside_failure(step, "reserve_capacity", assignment, 3)
        self._check_retry(shard, 3)

    def test_failure_between_worker_and_task(self):
        # Guards against a run that its worker holds and its task does not know.
        shard = Shard()
        shard.raises_failures = False
        shard.submit(build_job(job_id="bad"))
        with mock.patch.object(rounds, "Attempt", side_effect=KeyError("bad")):
            self.assertEqual(list_starts(shard.step()), [])
        self.assertEqual([w.cpu for w in shard.scheduler.workers.values()], [0, 0])
        shard.advance_time(RETRY_MS)
        shard.poll_all()
        self.assertEqual(len(list_starts(shard.step())), 1)


class PaceFailureTest(unittest.TestCase):
    """Paces that cannot be planned on one worker."""

    def test_other_workers_are_paced(self):
        # Guards against one worker that keeps all orders from being sent.
        shard = Shard(workers=2, cpu=4000)
        shard.raises_failures = False
        filler = Step(count=2, demand=Demand(cpu=1000), filler=True, max_per_worker=1)
        shard.submit(build_job(filler, job_id="filler"))
        shard.step()
        for worker in shard.scheduler.workers.values():
            for run in worker.runs.values():
                run.pace = 50
        plan = pacing.plan_paces

        def fail_for_first(scheduler, worker, now_ms):
            if worker.report.worker_id == "w0":
                raise ZeroDivisionError
            return plan(scheduler, worker, now_ms)

        shard.advance_time(1000.0)
        shard.poll_all()
        with mock.patch.object(planning, "plan_paces", fail_for_first):
            orders = shard.plan()
        paced = {o.worker_id for o in orders if isinstance(o, PaceOrder)}
        self.assertEqual(paced, {"w1"})
        (failure,) = shard.scheduler.failures.unreported
        self.assertEqual(failure.worker_id, "w0")
