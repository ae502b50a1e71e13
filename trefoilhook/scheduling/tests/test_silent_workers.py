"""Tests of batch jobs whose only runs are on workers that don't answer.

For users nothing of such a job runs from the moment at which its workers fell silent.
"""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    OrderOutcome,
    StartOrder,
    Step,
    encode_waits,
    restore_waits,
)
from trefoilhook.scheduling.tests.cases import build_job, list_starts
from trefoilhook.scheduling.tests.silent_cases import LEASE_MS, SilentShard
from trefoilhook.scheduling.tests.test_idle_jobs import (
    reserve_all_workers,
    start_services,
)

_MAX_IDLE_MS = 3000.0
"""Time with nothing running after which users take a job as lost, in ms."""

_PLAN_MS = 400.0
"""Time until the next two rounds with fillers, in ms."""

_SUSPECT_DELAY_MS = 1000.0
"""Delay of a task whose first two workers fell silent, in ms."""

_WORKERS = 6
_FILLER = Step(
    count=1,
    demand=Demand(cpu=3000, memory_mb=10),
    filler=True,
    checkpointing=True,
    image="f",
    estimate_ms=20_000.0,
)


def _start_shard(count: int = 1) -> tuple[SilentShard, StartOrder]:
    """Return a shard that has started the job of a heavy filler, and the start."""
    shard = SilentShard(workers=_WORKERS, cpu=16_000)
    start_services(shard, _WORKERS)
    shard.submit(build_job(attrs.evolve(_FILLER, count=count)))
    return shard, shard.find_start("j", within_ms=4000.0)


class SilentWorkerTest(unittest.TestCase):
    """Jobs of fillers that all service tasks find heavy."""

    def test_only_task_starts_when_the_leases_have_expired(self):
        # Guards against a clock that begins when the run is released.
        shard, start = _start_shard()
        shard.darken(start.worker_id)
        waited_ms = shard.measure_first_start("j", within_ms=20_000.0)
        self.assertGreater(waited_ms, LEASE_MS - 200.0)
        self.assertLess(waited_ms, LEASE_MS + _PLAN_MS)

    def test_another_task_starts_in_time(self):
        # Guards against a job whose other tasks wait for leases on a silent worker.
        shard, start = _start_shard(count=3)
        shard.darken(start.worker_id)
        waited_ms = shard.measure_first_start("j", within_ms=20_000.0)
        self.assertLess(waited_ms, _MAX_IDLE_MS)

    def test_task_of_a_silent_worker_is_not_started_before_its_leases_expire(self):
        # Guards against two runs of a task.
        shard, start = _start_shard(count=2)
        shard.darken(start.worker_id)
        until_ms = shard.now_ms + LEASE_MS - 200.0
        while shard.now_ms < until_ms:
            for each in list_starts(shard.step()):
                self.assertNotEqual(each.task, start.task)

    def test_second_silent_worker_does_not_restart_the_clock_of_the_next_run(self):
        # Guards against a start without confirmation that counts as a run.
        shard, start = _start_shard()
        shard.darken(start.worker_id)
        first = shard.find_start("j", within_ms=10_000.0)
        shard.darken(first.worker_id)
        waited_ms = shard.measure_first_start("j", within_ms=20_000.0)
        self.assertLess(waited_ms, LEASE_MS + _SUSPECT_DELAY_MS + _PLAN_MS)

    def test_start_that_is_not_confirmed_does_not_restart_the_clock(self):
        # Guards against clocks that begin anew after a start that wasn't carried out.
        shard, start = _start_shard(count=2)
        shard.darken(start.worker_id)
        idle_since_ms = shard.now_ms
        for _ in range(30):
            shard.step_without_confirmation("j")
        self.assertEqual(shard.scheduler.idle_times.find_since("j"), idle_since_ms)

    def test_late_refusal_does_not_restart_the_clock(self):
        # Guards against a clock that begins anew as the only task of a job is being
        # started in a round, and its start is refused after it.
        shard, start = _start_shard()
        shard.darken(start.worker_id)
        idle_since_ms = shard.now_ms
        order = shard.find_queued_start("j", within_ms=10_000.0)
        for _ in range(5):
            shard.advance_time(100.0)
            shard.poll_all()
            self.assertEqual(list_starts(shard.plan()), [])
        shard.answer(order, OrderOutcome.REFUSED)
        shard.plan()
        self.assertEqual(shard.scheduler.idle_times.find_since("j"), idle_since_ms)

    def test_batch_task_of_another_kind_starts_in_time(self):
        # Guards against the clock of overdue steps that begins with the release.
        shard = SilentShard(workers=_WORKERS, cpu=16_000)
        task = attrs.evolve(_FILLER, filler=False, image="b")
        shard.submit(build_job(attrs.evolve(task, count=2, max_per_worker=1)))
        starts = list_starts(shard.step())
        shard.darken(*(start.worker_id for start in starts))
        reserve_all_workers(shard)
        waited_ms = shard.measure_first_start("j", within_ms=20_000.0)
        self.assertLess(waited_ms, LEASE_MS + _PLAN_MS)

    def test_end_on_an_answering_worker_begins_the_clock(self):
        shard, start = _start_shard(count=2)
        shard.workers[start.worker_id].end(start.task, start.attempt, EndKind.FAILED)
        shard.poll_all()
        ended_ms = shard.now_ms
        shard.plan()
        self.assertEqual(shard.scheduler.idle_times.find_since("j"), ended_ms)


class HandoverTest(unittest.TestCase):
    """Clocks under the next owner."""

    def test_clock_of_a_run_on_a_silent_worker_is_handed_over(self):
        # Guards against a clock that begins with the next owner.
        shard, start = _start_shard()
        shard.darken(start.worker_id)
        for _ in range(15):
            shard.step()
        data = encode_waits(shard.scheduler, shard.now_ms)
        successor = SilentShard(workers=0, epoch=2)
        successor.now_ms = shard.now_ms
        restore_waits(successor.scheduler, data, successor.now_ms)
        self.assertEqual(
            successor.scheduler.idle_times.find_since("j"), shard.now_ms - 1500.0
        )

    def test_time_without_an_owner_counts_after_a_kill(self):
        # Guards against clocks that begin anew when the owner was killed.
        shard = SilentShard(workers=_WORKERS, cpu=16_000, epoch=2)
        start_services(shard, _WORKERS)
        shard.scheduler.idle_times.assume_unowned(shard.now_ms - 1700.0)
        shard.submit(build_job(_FILLER), is_new=False)
        waited_ms = shard.measure_first_start("j", within_ms=20_000.0)
        self.assertLess(waited_ms, 1000.0)


class IdleJobRecordTest(unittest.TestCase):
    """What is told of jobs whose only runs are on silent workers."""

    def test_released_start_on_a_silent_worker_is_no_attempt(self):
        # Guards against an owner that ends as a job has neither a waiting task nor an
        # attempt.
        shard, start = _start_shard()
        run = shard.scheduler.workers[start.worker_id].runs[start.task, start.attempt]
        task = shard.scheduler.jobs["j"].tasks[start.task]
        shard.darken(start.worker_id)
        task.detach(run)
        for _ in range(10):
            shard.step()
        idle = shard.scheduler.waits.idle_jobs
        self.assertEqual(idle.list_jobs(min_idle_ms=0.0, now_ms=shard.now_ms), [])

    def test_job_on_a_silent_worker_is_told(self):
        # Guards against jobs that users see idle and that no line tells of.
        shard, start = _start_shard()
        shard.darken(start.worker_id)
        began_ms = shard.now_ms
        for _ in range(30):
            shard.step()
        (job,) = shard.scheduler.waits.idle_jobs.list_jobs(
            min_idle_ms=1000.0, now_ms=shard.now_ms
        )
        self.assertEqual((job.job, job.silent_runs), ("j", 1))
        self.assertEqual(job.idle_ms, round(shard.now_ms - began_ms))
        self.assertEqual(job.waits_for, "silent worker")
        self.assertGreater(job.entitled_ms, 2500)
