"""Tests of constraints of jobs: order, capacity, spread, gangs, times and attempts."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    JobPhase,
    Step,
    StopOrder,
    collect_changes,
    confirm_change,
)
from trefoilhook.scheduling.tests.cases import (
    QUEUE,
    SMALL,
    Shard,
    build_job,
    list_starts,
)

_CPU = Demand(cpu=1000)


class OrderTest(unittest.TestCase):
    """Steps and occurrences start in order."""

    def test_step_waits_for_all_tasks_before_it(self):
        shard = Shard()
        first = Step(count=2, demand=_CPU)
        shard.submit(build_job(first, Step(count=1, demand=_CPU, after=(0,))))
        one, two = list_starts(shard.step())
        shard.end(one, EndKind.DONE)
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(two, EndKind.DONE)
        self.assertEqual(shard.start_one().task.step, 1)

    def test_job_is_completed_once_all_is_done(self):
        shard = Shard()
        shard.submit(build_job(SMALL, SMALL))
        one, two = list_starts(shard.step())
        shard.end(one, EndKind.DONE)
        state = shard.scheduler.jobs["j"]
        self.assertIs(state.phase, JobPhase.OPEN)
        shard.end(two, EndKind.DONE)
        self.assertIs(state.phase, JobPhase.COMPLETED)

    def test_occurrence_waits_for_its_time(self):
        shard = Shard()
        due_ms = shard.now_ms + 1000.0
        job = build_job(repeats=2, first_due_ms=due_ms, interval_ms=500.0)
        shard.submit(job)
        self.assertEqual(shard.step(), [])
        shard.advance_time(1000.0)
        shard.poll_all()
        first = shard.start_one()
        self.assertEqual(first.task.occurrence, 0)
        shard.advance_time(500.0)
        shard.poll_all()
        second = shard.start_one()
        self.assertEqual(second.task.occurrence, 1)
        shard.end(first, EndKind.DONE)
        shard.end(second, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_ranking(self):
        # One worker has capacity for one task. Each row contains two jobs and the id of
        # the one that starts.
        big = Step(count=1, demand=_CPU, estimate_ms=900.0)
        lasting = Step(count=1, demand=_CPU, long_running=True)
        table = (
            ("small before large", (big, 0.0), (SMALL, 0.0), "b"),
            ("in time before late", (SMALL, -20_000.0), (big, 0.0), "b"),
            ("late before too late", (SMALL, -200_000.0), (big, -1500.0), "b"),
            ("ending before lasting", (lasting, 0.0), (big, 0.0), "b"),
            ("all alike", (SMALL, 0.0), (SMALL, 0.0), "a"),
        )
        for name, first, second, expected in table:
            with self.subTest(name=name):
                shard = Shard(workers=1, cpu=1000)
                for job_id, (step, accepted_ms) in zip(
                    "ab", (first, second), strict=True
                ):
                    accepted_ms += shard.now_ms
                    job = build_job(step, job_id=job_id, accepted_ms=accepted_ms)
                    shard.submit(job)
                self.assertEqual(shard.start_one().task.job_id, expected)

    def test_priority_is_decisive(self):
        shard = Shard(workers=1, cpu=1000)
        shard.submit(build_job(job_id="a"))
        shard.submit(build_job(job_id="b"))
        lower = attrs.evolve(QUEUE, priority=2)
        shard.scheduler.jobs["a"].queue = lower
        self.assertEqual(shard.start_one().task.job_id, "b")


class RoomTest(unittest.TestCase):
    """The capacity of workers is not exceeded."""

    def test_capacity_is_not_exceeded(self):
        shard = Shard(workers=2, cpu=2500)
        shard.submit(build_job(Step(count=9, demand=_CPU)))
        shard.step()
        for worker in shard.workers.values():
            self.assertEqual(len(worker.running), 2)

    def test_task_that_is_being_stopped_still_counts(self):
        # A task takes up to 900 ms to stop. Guards against overcommitting the worker
        # meanwhile.
        shard = Shard(workers=1, cpu=1000)
        shard.submit(build_job(job_id="a"))
        shard.step()
        shard.scheduler.cancel_job("a", revision=2)
        shard.submit(build_job(job_id="b"))
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)
        shard.advance_time(10.0)
        shard.poll_all()
        self.assertEqual(list_starts(shard.plan()), [])

    def test_filler_takes_memory_but_no_counted_processor_time(self):
        shard = Shard(workers=1, cpu=4000)
        step = Step(count=3, demand=Demand(cpu=1300, memory_mb=10), filler=True)
        shard.submit(build_job(step))
        self.assertEqual(len(list_starts(shard.step())), 3)
        worker = shard.scheduler.workers["w0"]
        self.assertEqual((worker.cpu, worker.memory_mb), (0, 30))

    def test_constraints_table(self):
        table = (
            ("label", Step(count=1, demand=_CPU, required_label="gold"), 0),
            ("spread", Step(count=5, demand=_CPU, max_per_worker=1), 2),
            ("memory", Step(count=3, demand=Demand(memory_mb=8000)), 2),
            ("accelerator", Step(count=1, demand=Demand(gpus=1)), 0),
        )
        for name, step, expected in table:
            with self.subTest(name=name):
                shard = Shard(workers=2)
                shard.submit(build_job(step))
                self.assertEqual(len(list_starts(shard.step())), expected)

    def test_worker_of_other_service_is_not_used(self):
        shard = Shard(workers=1)
        shard.scheduler.workers["w0"].report = type(
            shard.scheduler.workers["w0"].report
        )(
            worker_id="w0",
            service="other",
            host="w0",
            port=1,
            failure_domain="z",
            capacity=Demand(cpu=4000),
        )
        shard.submit(build_job())
        self.assertEqual(shard.step(), [])


class FailureTest(unittest.TestCase):
    """Failed attempts are counted and repeated on other workers."""

    def test_job_fails_after_its_attempts(self):
        shard = Shard(workers=3)
        shard.submit(build_job())
        for expected in (JobPhase.OPEN, JobPhase.OPEN, JobPhase.FAILED):
            shard.end(shard.start_one(), EndKind.FAILED)
            self.assertIs(shard.scheduler.jobs["j"].phase, expected)
        self.assertEqual(shard.step(), [])

    def test_other_ends_are_not_failures(self):
        for kind in (EndKind.STOPPED, EndKind.LEASE_EXPIRED, EndKind.PEER_ENDED):
            with self.subTest(kind=kind):
                shard = Shard(workers=1)
                shard.submit(build_job())
                for _ in range(5):
                    shard.end(shard.start_one(), kind)
                self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)

    def test_failed_attempt_is_repeated_on_other_worker(self):
        shard = Shard(workers=2)
        shard.submit(build_job())
        first = shard.start_one()
        shard.end(first, EndKind.FAILED)
        self.assertNotEqual(shard.start_one().worker_id, first.worker_id)

    def test_worker_that_fails_everything_is_avoided(self):
        # Guards against a worker that fails every task immediately, always has
        # capacity, and attracts tasks until their jobs run out of attempts.
        shard = Shard(workers=2)
        for number in range(2):
            shard.submit(build_job(job_id=f"a{number}"))
        shard.plan()
        bad = shard.scheduler.workers["w0"]
        for job_id in ("x", "y"):
            bad.faulty_jobs.add(job_id)
        bad.avoid_until_ms = shard.now_ms + 3000.0
        shard.submit(build_job(job_id="b"))
        (order,) = list_starts(shard.plan())
        self.assertEqual(order.worker_id, "w1")

    def test_only_worker_is_avoided_temporarily_if_it_fails_everything(self):
        # The same without another worker: waiting is preferable to using up attempts.
        shard = Shard(workers=1)
        for job_id in ("x", "y"):
            shard.submit(build_job(job_id=job_id))
            shard.end(shard.start_one(), EndKind.FAILED)
            shard.scheduler.cancel_job(job_id, revision=2)
        shard.submit(build_job(job_id="z"))
        self.assertEqual(shard.step(), [])
        shard.advance_time(3000.0)
        shard.poll_all()
        self.assertEqual(shard.start_one().task.job_id, "z")

    def test_long_running_task_is_restarted_after_any_end(self):
        step = Step(count=1, demand=_CPU, long_running=True)
        for kind in EndKind:
            with self.subTest(kind=kind):
                shard = Shard(workers=1)
                shard.submit(build_job(step))
                for _ in range(4):
                    shard.end(shard.start_one(), kind)
                self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)
                shard.scheduler.workers["w0"].avoid_until_ms = 0.0
                self.assertEqual(len(list_starts(shard.step())), 1)


class GangTest(unittest.TestCase):
    """A gang runs as a whole or not at all."""

    def test_all_members_share_an_attempt(self):
        shard = Shard(workers=2, cpu=2000)
        shard.submit(build_job(Step(count=4, demand=_CPU, gang=True)))
        starts = list_starts(shard.step())
        self.assertEqual(len(starts), 4)
        self.assertEqual(len({order.attempt for order in starts}), 1)

    def test_gang_without_capacity_for_all_holds_none(self):
        # Guards against waiting members that hold capacity which no other task can use.
        shard = Shard(workers=2, cpu=1000)
        shard.submit(build_job(Step(count=3, demand=_CPU, gang=True)))
        self.assertEqual(shard.step(), [])
        self.assertEqual([w.cpu for w in shard.scheduler.workers.values()], [0, 0])

    def test_end_of_one_member_completes_gang(self):
        shard = Shard(workers=2, cpu=2000)
        shard.submit(build_job(Step(count=2, demand=_CPU, gang=True)))
        first, _ = list_starts(shard.step())
        shard.end(first, EndKind.DONE)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_gang_restarts_after_its_last_member_ended(self):
        shard = Shard(workers=2, cpu=2000)
        shard.submit(build_job(Step(count=2, demand=_CPU, gang=True)))
        first, second = list_starts(shard.step())
        shard.end(first, EndKind.FAILED)
        self.assertEqual(list_starts(shard.step()), [])
        shard.end(second, EndKind.PEER_ENDED)
        again = list_starts(shard.step())
        self.assertEqual(len(again), 2)
        self.assertGreater(again[0].attempt, first.attempt)

    def test_failures_of_one_run_count_once(self):
        # Guards against a job that is given up after one run of three, as several
        # members of its gang failed in it.
        shard = Shard(workers=5, cpu=4000)
        shard.submit(build_job(Step(count=4, demand=_CPU, gang=True)))
        for run in range(1, QUEUE.max_attempts + 1):
            starts = list_starts(shard.step())
            self.assertEqual(len(starts), 4)
            for order in starts:
                shard.end(order, EndKind.FAILED)
            is_last = run == QUEUE.max_attempts
            expected = JobPhase.FAILED if is_last else JobPhase.OPEN
            self.assertIs(shard.scheduler.jobs["j"].phase, expected)
            shard.advance_time(12_000.0)
            shard.poll_all()

    def test_failures_of_different_members_add_up(self):
        # Guards against a gang that is repeated without end, as another member fails in
        # each run.
        shard = Shard(workers=4, cpu=2000)
        shard.submit(build_job(Step(count=4, demand=_CPU, gang=True)))
        for run in range(QUEUE.max_attempts):
            starts = list_starts(shard.step())
            for number, order in enumerate(starts):
                is_failed = number == run
                kind = EndKind.FAILED if is_failed else EndKind.PEER_ENDED
                shard.end(order, kind)
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.FAILED)

    def test_gang_avoids_the_worker_of_a_failed_member(self):
        # Guards against a gang that fails as often as it may on the same worker, as
        # only the member that failed there avoids it.
        for failed in range(2):
            with self.subTest(failed=failed):
                shard = Shard(workers=2, cpu=8000)
                other = Step(count=1, demand=Demand(cpu=4000), long_running=True)
                shard.submit(build_job(other, job_id="other"))
                used = shard.start_one().worker_id
                shard.submit(build_job(Step(count=2, demand=_CPU, gang=True)))
                starts = list_starts(shard.step())
                self.assertEqual({order.worker_id for order in starts}, {used})
                for number, order in enumerate(starts):
                    is_failed = number == failed
                    kind = EndKind.FAILED if is_failed else EndKind.PEER_ENDED
                    shard.end(order, kind)
                again = list_starts(shard.step())
                self.assertEqual(len(again), 2)
                self.assertNotIn(used, {order.worker_id for order in again})


class RemovalTest(unittest.TestCase):
    """An owner that runs for months does not keep every job."""

    def test_ended_job_is_removed_at_second_call(self):
        shard = Shard(workers=1)
        shard.submit(build_job())
        shard.end(shard.start_one(), EndKind.DONE)
        shard.scheduler.remove_ended_jobs()
        shard.scheduler.remove_ended_jobs()
        self.assertIn("j", shard.scheduler.jobs, "its end is not yet in the store")
        shard.save()
        shard.scheduler.remove_ended_jobs()
        self.assertIn("j", shard.scheduler.jobs)
        shard.scheduler.remove_ended_jobs()
        self.assertNotIn("j", shard.scheduler.jobs)

    def test_open_job_is_kept(self):
        shard = Shard(workers=0)
        shard.submit(build_job())
        for _ in range(3):
            shard.scheduler.remove_ended_jobs()
        self.assertIn("j", shard.scheduler.jobs)


class CancelTest(unittest.TestCase):
    """No task of a cancelled job starts, and running ones are stopped."""

    def test_cancelled_job(self):
        shard = Shard(workers=1, cpu=1000)
        shard.submit(build_job(Step(count=3, demand=_CPU)))
        shard.step()
        shard.scheduler.cancel_job("j", revision=2)
        orders = shard.step()
        self.assertTrue(all(isinstance(order, StopOrder) for order in orders))
        self.assertEqual(shard.count_running(), 0)
        self.assertEqual(shard.step(), [])

    def test_cancelled_job_is_saved_once_more(self):
        # The instance that cancels a job has no lease for ended jobs. Guards against a
        # record that stays in the store forever.
        shard = Shard(workers=1)
        shard.submit(build_job())
        shard.step()
        shard.scheduler.cancel_job("j", revision=2)
        (change,) = collect_changes(shard.scheduler)
        self.assertTrue(change.is_end)
        self.assertIs(change.state.phase, JobPhase.CANCELLED)
        self.assertEqual(change.state.revision, 2)
        confirm_change(shard.scheduler, change, revision=3)
        self.assertEqual(collect_changes(shard.scheduler), [])
