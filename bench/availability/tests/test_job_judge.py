"""Tests of the users' rule on batch jobs with nothing running."""

import random
import unittest
from unittest import mock

from bench.availability.fleet import BatchJob, BatchStep, Fleet
from bench.availability.job_judge import JobJudge
from bench.availability.network import Fault, Network
from bench.availability.worker import VirtualWorker
from trefoilhook.clock import Clock
from trefoilhook.standins.platform_worker import TaskRecord

_SAMPLE_MS = 200.0
_TASK_MS = 60_000.0


class JobJudgeTest(unittest.TestCase):
    """Jobs that idle beside workers without tasks."""

    def setUp(self):
        self.now_ms = 0.0
        clock = Clock(
            monotonic_ms=lambda: self.now_ms,
            wall_ms=lambda: self.now_ms,
            sleep_ms=mock.AsyncMock(),
        )
        generator = random.Random(1)
        self.fleet = Fleet(
            nursery=mock.Mock(),
            clock=clock,
            network=Network(random=generator),
            generator=generator,
        )
        self.workers = [self.fleet.start_worker(cpu=32_000) for _ in range(3)]
        self.judge = JobJudge(fleet=self.fleet, begin_ms=0.0)

    def submit(self, *counts: int) -> BatchJob:
        """Accept a job with steps of these numbers of tasks."""
        steps = tuple(
            BatchStep(count=count, cpu=1000, mem_mb=500, task_ms=_TASK_MS)
            for count in counts
        )
        job = BatchJob(job_id=self.fleet.name_job(), steps=steps)
        self.fleet.submit_batch(job)
        job.accepted_ms = self.now_ms
        return job

    def start(
        self, job: BatchJob, index: int, worker: VirtualWorker, *, step: int = 0
    ) -> TaskRecord:
        """Run a task on a worker, with a lease of 5 s."""
        record = TaskRecord(
            task=f"{job.job_id}.0.{step}.{index}",
            attempt=1,
            token=1,
            started_ms=self.now_ms,
        )
        worker.records.append(record)
        worker._deadline_ms = self.now_ms + 5000.0
        return record

    def watch(self, duration_ms: float) -> list[float]:
        """Judge for a time; return how long each job that breaks the rule idled."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _SAMPLE_MS
            for worker in self.workers:
                if not worker.is_powered_off:
                    worker._advance()
            self.judge._check(self.now_ms)
        return [each.idle_ms for each in self.judge.violations]

    def test_only_task_on_a_silent_worker_is_excused_for_its_lease(self):
        job = self.submit(1)
        self.start(job, 0, self.workers[0])
        self.watch(1000.0)
        self.fleet.crash_worker(self.workers[0], is_dark=True)
        self.assertEqual(self.watch(8000.0), [])
        self.assertEqual(len(self.watch(600.0)), 1)

    def test_silent_worker_does_not_excuse_a_job_with_another_due_task(self):
        # Guards against leases that excuse tasks which nothing holds.
        job = self.submit(2)
        self.start(job, 0, self.workers[0])
        self.watch(1100.0)
        self.fleet.crash_worker(self.workers[0], is_dark=True)
        self.assertEqual(self.watch(2800.0), [])
        idle_ms = self.watch(400.0)
        self.assertEqual(len(idle_ms), 1)
        self.assertGreaterEqual(idle_ms[0], 3000.0)

    def test_tasks_of_a_later_step_are_not_due(self):
        job = self.submit(1, 4)
        self.start(job, 0, self.workers[0])
        self.watch(1000.0)
        self.fleet.crash_worker(self.workers[0], is_dark=True)
        self.assertEqual(self.watch(5000.0), [])

    def test_completed_and_silent_tasks_are_not_due(self):
        job = self.submit(3)
        done = self.start(job, 0, self.workers[2])
        done.how, done.ended_ms = "done", self.now_ms
        for index in (1, 2):
            self.start(job, index, self.workers[index - 1])
        self.watch(1000.0)
        for worker in self.workers[:2]:
            self.fleet.crash_worker(worker, is_dark=True)
        self.assertEqual(self.watch(5000.0), [])

    def test_idleness_begins_no_later_than_the_last_run_ended(self):
        # Guards against a crash between two samples that counts from the next one.
        job = self.submit(2)
        record = self.start(job, 0, self.workers[0])
        self.watch(1000.0)
        self.now_ms += 150.0
        self.fleet.crash_worker(self.workers[0], is_dark=True)
        self.watch(4000.0)
        self.assertEqual(record.ended_ms, 1150.0)
        [violation] = self.judge.violations
        self.assertLessEqual(violation.at_ms, 1150.0 + 3000.0)
        self.assertGreaterEqual(violation.idle_ms, violation.at_ms - 1150.0)

    def test_lapsed_run_on_a_worker_cut_from_the_owner_is_over(self):
        # Guards against a cut from the owner that excuses a job as a silent machine.
        worker = self.workers[0]
        job = self.submit(1)
        self.start(job, 0, worker)
        self.fleet.network.set_fault("i0", worker.address, Fault.CUT)
        self.assertEqual(self.watch(7800.0), [])
        self.assertEqual(worker.records[0].how, "lapsed")
        self.assertEqual(len(self.watch(800.0)), 1)

    def test_crash_on_a_worker_cut_from_the_owner_is_not_excused(self):
        worker = self.workers[0]
        job = self.submit(1)
        self.start(job, 0, worker)
        self.fleet.network.set_fault("i0", worker.address, Fault.CUT)
        self.watch(1000.0)
        self.fleet.crash_worker(worker, is_dark=False)
        self.assertEqual(len(self.watch(3400.0)), 1)
