"""Jobs under loss of owners, workers and the store, checked by worker records."""

import unittest

from trefoilhook.jobs import JobState
from trefoilhook.jobs.tests.shard import (
    SETTINGS,
    Shard,
    build_spec,
    read_error,
    run_shard,
)
from trefoilhook.placement import Resources, TaskKind
from trefoilhook.results import Outcome, ResultCode

_BIG = Resources(cores=4.0, memory_bytes=1_000, accelerators=0)


class RunnerTest(unittest.TestCase):
    """One shard with its workers and successive owners."""

    def _check(self, shard: Shard) -> None:
        self.assertEqual(shard.find_overlaps(), [])
        for worker in shard.workers.values():
            self.assertEqual(worker.state.refused_starts, [])
            self.assertLessEqual(
                worker.state.high_water.cores, worker.settings.capacity.cores
            )

    def _assert_ended(self, owner, job_id: str, code: ResultCode) -> None:
        job = owner.runner.registry.jobs[job_id]
        self.assertEqual(job.state, JobState.ENDED)
        self.assertEqual(ResultCode.from_number(job.result_number), code, job.detail)

    def test_job_runs_once_and_its_result_is_recorded(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1")
            await shard.sleep_s(15)
            self._assert_ended(owner, "j1", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            held = [t for w in shard.workers.values() for t in w.state._tasks]
            self.assertEqual(held, [])
            self._check(shard)

        run_shard(scenario)

    def test_owner_dies_while_a_job_runs(self):
        # The next owner must find the running job on its worker and wait for it. If it
        # started the job again, the job would run on two workers.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1")
            await shard.sleep_s(3)
            first.scope.cancel()
            await shard.sleep_s(6)
            second = shard.start_owner("i1")
            await shard.sleep_s(20)
            self._assert_ended(second, "j1", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_owner_dies_between_the_end_and_the_record(self):
        # The job ends during a store outage, so its end cannot be recorded before the
        # owner fails. The worker still holds the result, which was not acknowledged.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1")
            await shard.sleep_s(3)
            shard.journal.is_down = True
            await shard.sleep_s(12)
            first.scope.cancel()
            shard.journal.is_down = False
            second = shard.start_owner("i1")
            await shard.sleep_s(20)
            self._assert_ended(second, "j1", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_next_owner_does_not_reach_the_worker(self):
        # The next owner cannot reach the worker that runs the job. It may start the job
        # elsewhere only when the worker's lease has certainly expired.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=100_000)
            await shard.sleep_s(3)
            worker_id = shard.list_starts("j1")[0].worker_id
            shard.workers[worker_id].cut_owners.add("i1")
            await shard.sleep_s(2)
            first.scope.cancel()
            second = shard.start_owner("i1")
            await shard.sleep_s(200)
            self._assert_ended(second, "j1", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 2)
            self._check(shard)

        run_shard(scenario)

    def test_worker_unknown_to_the_next_owner_is_asked(self):
        # The worker that runs the job is missing from the next owner's outdated
        # instance list. The journal names it, so the job is found and not started
        # twice.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=60_000)
            await shard.sleep_s(3)
            del shard.listed[shard.list_starts("j1")[0].worker_id]
            first.scope.cancel()
            second = shard.start_owner("i1")
            await shard.sleep_s(90)
            self._assert_ended(second, "j1", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_job_of_a_lost_worker_is_started_again(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=60_000)
            await shard.sleep_s(3)
            shard.workers[shard.list_starts("j1")[0].worker_id].is_cut = True
            await shard.sleep_s(150)
            self._assert_ended(owner, "j1", ResultCode.OK)
            starts = shard.list_starts("j1")
            self.assertEqual(len(starts), 2)
            gap_ms = starts[1].started_ms - starts[0].started_ms
            self.assertGreaterEqual(gap_ms, SETTINGS.lease_expiry_ms)
            self._check(shard)

        run_shard(scenario)

    def test_job_with_unreported_end_is_started_again(self):
        # A job finishes on a partitioned worker, which keeps the result. Two lease
        # durations later no lease is left, which proves that the job is not running but
        # not that it has not finished, so it is started again. This is correct because
        # the job is declared idempotent; only the work is wasted.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=10_000)
            await shard.sleep_s(3)
            worker_id = shard.list_starts("j1")[0].worker_id
            shard.workers[worker_id].is_cut = True
            await shard.sleep_s(SETTINGS.lease_expiry_ms / 1000.0 + 20)
            first, second = shard.list_starts("j1")
            self.assertEqual((first.state, second.state), ("finished", "finished"))
            self.assertLess(first.ended_ms, second.started_ms)
            self.assertNotEqual(second.worker_id, worker_id)
            self.assertIn(worker_id, shard.listed)
            self._check(shard)

        run_shard(scenario)

    def test_end_told_late_that_must_not_repeat_stays_unknown(self):
        # A job that is not idempotent finishes on a partitioned worker, and its caller
        # receives OUTCOME_UNKNOWN. The outcome must not change when the worker
        # reconnects and reports the result.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=10_000, is_idempotent=False)
            await shard.sleep_s(3)
            worker = shard.workers[shard.list_starts("j1")[0].worker_id]
            worker.is_cut = True
            await shard.sleep_s(SETTINGS.lease_expiry_ms / 1000.0 + 20)
            worker.is_cut = False
            await shard.sleep_s(20)
            (start,) = shard.list_starts("j1")
            self.assertEqual(start.state, "finished")
            self._assert_ended(owner, "j1", ResultCode.OUTCOME_UNKNOWN)
            self._check(shard)

        run_shard(scenario)

    def test_job_that_must_not_repeat_is_not_started_again(self):
        # Contact is lost to a worker with a job that must run at most once. Whether it
        # finished is unknown, so it ends with OUTCOME_UNKNOWN and is never restarted.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=60_000, is_idempotent=False)
            await shard.sleep_s(3)
            shard.workers[shard.list_starts("j1")[0].worker_id].is_cut = True
            await shard.sleep_s(150)
            self._assert_ended(owner, "j1", ResultCode.OUTCOME_UNKNOWN)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_owner_and_worker_lost_with_a_job_that_must_not_repeat(self):
        # Owner and worker fail together. The next owner knows of the start only from
        # the journal.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=60_000, is_idempotent=False)
            await shard.sleep_s(3)
            shard.workers[shard.list_starts("j1")[0].worker_id].is_cut = True
            first.scope.cancel()
            second = shard.start_owner("i1")
            await shard.sleep_s(150)
            self._assert_ended(second, "j1", ResultCode.OUTCOME_UNKNOWN)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_suspended_owner_is_fenced(self):
        # An owner is suspended past its lease and resumes while its successor is
        # active. Its commands carry the old epoch, so the workers refuse them.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=30_000)
            await shard.sleep_s(3)
            second = shard.start_owner("i1")
            await shard.submit(second, "j2", run_ms=30_000)
            await shard.sleep_s(60)
            self._assert_ended(second, "j1", ResultCode.OK)
            self._assert_ended(second, "j2", ResultCode.OK)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self.assertEqual(len(shard.list_starts("j2")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_eviction_in_an_outage_resumes_once_from_its_checkpoint(self):
        # An urgent job evicts a long one during a store outage. The evicted job resumes
        # from its checkpoint, and the owner fails before the eviction is recorded. The
        # next owner must neither start the job again nor discard its progress.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=60_000, resources=_BIG)
            await shard.sleep_s(5)
            await shard.submit(
                first, "u1", run_ms=10_000, resources=_BIG, is_urgent=True
            )
            shard.journal.is_down = True
            await shard.sleep_s(25)
            first.scope.cancel()
            shard.journal.is_down = False
            second = shard.start_owner("i1")
            await shard.sleep_s(120)
            self._assert_ended(second, "j1", ResultCode.OK)
            self._assert_ended(second, "u1", ResultCode.OK)
            starts = shard.list_starts("j1")
            self.assertEqual([r.state for r in starts], ["evicted", "finished"])
            self.assertGreater(starts[1].resumed_ms, 4_000)
            work = sum(r.done_ms - r.resumed_ms for r in starts)
            self.assertAlmostEqual(work, 60_000, delta=1)
            self._check(shard)

        run_shard(scenario, workers=1)

    def test_urgent_job_starts_in_time_on_a_full_worker(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            for number in range(8):
                await shard.submit(owner, f"j{number}", run_ms=600_000)
            await shard.sleep_s(20)
            at_ms = shard.clock.monotonic_ms()
            await shard.submit(owner, "u1", is_urgent=True, resources=_BIG)
            await shard.sleep_s(30)
            started_ms = shard.list_starts("u1")[0].started_ms
            self.assertLess(started_ms - at_ms, 4_700)
            self._check(shard)

        run_shard(scenario)

    def test_lost_answers_of_worker_and_store_change_nothing(self):
        # Responses are lost after the request has taken effect. No job may be started
        # twice, recorded twice or lost.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            for number in range(6):
                shard.journal.responses_to_drop = 1
                for worker in shard.workers.values():
                    worker.responses_to_drop = 1
                error = await read_error(shard.submit(owner, f"j{number}"))
                self.assertEqual(error and error.code, ResultCode.COMMIT_UNKNOWN)
                await shard.sleep_s(1)
            await shard.sleep_s(60)
            for number in range(6):
                self._assert_ended(owner, f"j{number}", ResultCode.OK)
                self.assertEqual(len(shard.list_starts(f"j{number}")), 1)
            self._check(shard)

        run_shard(scenario)

    def test_job_answered_not_run_is_never_recorded(self):
        # A job submitted during a store outage is answered with NOT_RUN. It must not be
        # recorded later, when the store is available again.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j0")
            shard.journal.is_down = True
            error = await read_error(shard.submit(owner, "j1"))
            assert error is not None
            self.assertEqual(error.code.outcome, Outcome.NOT_RUN)
            shard.journal.is_down = False
            await shard.sleep_s(30)
            self.assertNotIn("j1", owner.runner.registry.jobs)
            self.assertEqual(shard.list_starts("j1"), [])

        run_shard(scenario)

    def test_burst_of_cancellations_is_one_record_write(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            names = [f"j{number}" for number in range(40)]
            for name in names:
                await shard.submit(owner, name, run_ms=600_000)
            await shard.sleep_s(5)
            before = shard.journal.appends
            owner.runner.cancel(names)
            await shard.sleep_s(5)
            self.assertLessEqual(shard.journal.appends - before, 4)
            codes = {owner.runner.registry.jobs[name].result_number for name in names}
            wanted = {ResultCode.CANCELLED, ResultCode.CANCELLED_UNSTARTED}
            self.assertEqual(codes, {code.number for code in wanted})
            running = [r for n in names for r in shard.list_starts(n) if not r.ended_ms]
            self.assertEqual(running, [])

        run_shard(scenario)

    def test_impossible_job_is_refused_with_the_reason(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            size = Resources(cores=64.0, memory_bytes=1_000, accelerators=0)
            await shard.submit(owner, "j1", resources=size)
            await shard.sleep_s(5)
            self._assert_ended(owner, "j1", ResultCode.IMPOSSIBLE_JOB)
            self.assertIn("cores", owner.runner.registry.jobs["j1"].detail)
            error = await read_error(shard.submit(owner, "j2", resources=size))
            self.assertEqual(error and error.code, ResultCode.IMPOSSIBLE_JOB)
            self.assertIn("cores", str(error))
            self.assertNotIn("j2", owner.runner.registry.jobs)

        run_shard(scenario)

    def test_job_that_fails_everywhere_ends_as_impossible(self):
        # A job that fails on every worker must end as impossible after attempts on a
        # few healthy workers, instead of being restarted forever.
        async def scenario(shard: Shard) -> None:
            for number in range(4):
                shard.add_worker(f"x{number}")
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=1_000, is_failing=True)
            await shard.sleep_s(60)
            self._assert_ended(owner, "j1", ResultCode.IMPOSSIBLE_JOB)
            self.assertLessEqual(len(shard.list_starts("j1")), 4)
            self._check(shard)

        run_shard(scenario)

    def test_worker_that_fails_every_task_does_not_drain_the_queue(self):
        # A worker that fails every task immediately always has free capacity. The jobs
        # must still succeed, on the other workers.
        async def scenario(shard: Shard) -> None:
            shard.add_worker("w9", is_black_hole=True)
            owner = shard.start_owner("i0")
            for number in range(12):
                await shard.submit(owner, f"j{number}")
            await shard.sleep_s(120)
            for number in range(12):
                self._assert_ended(owner, f"j{number}", ResultCode.OK)
            self._check(shard)

        run_shard(scenario)

    def test_quota_bounds_what_a_team_holds_at_once(self):
        async def scenario(shard: Shard) -> None:
            shard.quota = Resources(cores=3.0, memory_bytes=10**9, accelerators=9)
            owner = shard.start_owner("i0")
            for number in range(6):
                await shard.submit(owner, f"j{number}")
            await shard.sleep_s(5)
            held = sum(w.state.reserved_resources.cores for w in shard.workers.values())
            self.assertEqual(held, 3.0)
            waiting = next(
                job
                for job in owner.runner.registry.jobs.values()
                if job.state is JobState.QUEUED
            )
            self.assertIn("quota", owner.runner.explain(waiting))
            await shard.sleep_s(30)
            for number in range(6):
                self._assert_ended(owner, f"j{number}", ResultCode.OK)

        run_shard(scenario)

    def test_watcher_keeps_running_through_a_change_of_owner(self):
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "w1", kind=TaskKind.WATCHER, run_ms=10_000_000)
            await shard.sleep_s(30)
            first.scope.cancel()
            await shard.sleep_s(5)
            shard.start_owner("i1")
            await shard.sleep_s(600)
            starts = shard.list_starts("w1")
            self.assertEqual((len(starts), starts[0].ended_ms), (1, None))

        run_shard(scenario)

    def test_ended_jobs_are_remembered_up_to_a_bound(self):
        # If all ended jobs were kept, the memory of a long-lived owner would grow
        # without bound.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            owner.runner.registry.kept_ended = 3
            for number in range(8):
                await shard.submit(owner, f"j{number}", run_ms=1_000)
            await shard.sleep_s(30)
            names = sorted(owner.runner.registry.jobs)
            self.assertEqual(names, ["j5", "j6", "j7"])

        run_shard(scenario)

    def test_same_submission_again_is_the_same_job(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1")
            await shard.submit(owner, "j1")
            await owner.runner.submit(build_spec("j1"))
            await shard.sleep_s(30)
            self.assertEqual(len(shard.list_starts("j1")), 1)

        run_shard(scenario)
