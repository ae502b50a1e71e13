"""End-to-end tests of unexpected exceptions in the owner of a shard."""

import unittest
from unittest import mock

from trefoilhook.logs.tests.lines import capture_lines, count_lines, find_line
from trefoilhook.platform import WorkerClient, decode_job
from trefoilhook.runtime import keys, shard
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.scheduling import Job, JobRecord, assignment, encode_job_record

JOB = "00000000000000f1"
BROKEN_JOB = "00000000000000f2"


def _fail_once(function, error: Exception):
    """Return a coroutine function that raises an error at its first call."""
    failures = [error]

    async def call(*args, **kwargs):
        if failures:
            raise failures.pop()
        return await function(*args, **kwargs)

    return call


class OwnerFailureTest(unittest.TestCase):
    """An owner that fails gives up the shard; its process goes on."""

    def test_failed_owner_does_not_end_its_process(self):
        # Guards against one fault in planning that ends each process in turn.
        plan = shard.plan_orders
        failures = [KeyError("a"), KeyError("b")]

        def plan_after_failures(*args, **kwargs):
            if failures:
                raise failures.pop()
            return plan(*args, **kwargs)

        async def scenario(cluster: Cluster) -> None:
            first, second = cluster.instances
            for instance in (first, second):
                answer = await cluster.send(
                    instance, "POST", PREFIX + JOB, build_body(2)
                )
                self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(first, JOB, "completed")
            self.assertFalse(first.ended.is_set() or second.ended.is_set())
            self.assertEqual(cluster.find_duplicate_runs(), [])
            failed = sum(
                instance.process.metrics.counters["owner_failures", "KeyError"]
                for instance in cluster.instances
            )
            self.assertEqual(failed, 2)

        with (
            mock.patch.object(shard, "plan_orders", plan_after_failures),
            capture_lines() as lines,
        ):
            run_cluster(scenario, expects_failures=True)
        counts = count_lines(lines)
        self.assertEqual(counts["OWNER_FAILED"], 2)
        self.assertEqual(counts["SHARD_CLAIMED"], 3)

    def test_job_that_cannot_be_planned_is_reported(self):
        # Guards against one job that keeps all others from being started, unseen.
        reserve = assignment.reserve_capacity

        def fail_for_one_job(assignment_round, state, *args, **kwargs):
            if state.task.job_id == BROKEN_JOB:
                raise OverflowError(BROKEN_JOB)
            return reserve(assignment_round, state, *args, **kwargs)

        async def scenario(cluster: Cluster) -> None:
            (instance,) = cluster.instances
            for job_id in (BROKEN_JOB, JOB):
                body = build_body(2)
                answer = await cluster.send(instance, "POST", PREFIX + job_id, body)
                self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(await cluster.read_state(instance, BROKEN_JOB), "queued")
            counters = instance.process.metrics.counters
            self.assertEqual(counters["plan_failures", "job"], 1)

        with (
            mock.patch.object(assignment, "reserve_capacity", fail_for_one_job),
            capture_lines() as lines,
        ):
            run_cluster(scenario, instances=1, expects_failures=True)
        line = find_line(lines, "PLAN_FAILED")
        self.assertEqual(line["job"], BROKEN_JOB)
        self.assertIn("OverflowError", line["error"])
        self.assertEqual(count_lines(lines)["SHARD_CLAIMED"], 1)

    def test_failed_calls_to_a_worker_count_as_unanswered(self):
        # Guards against an exception of the connection library that ends the owner.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            answer = await cluster.send(instance, "POST", PREFIX + JOB, build_body(2))
            self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        start = _fail_once(WorkerClient.start, UnicodeError("host"))
        poll = _fail_once(WorkerClient.poll, UnicodeError("host"))
        with (
            mock.patch.object(WorkerClient, "start", start),
            mock.patch.object(WorkerClient, "poll", poll),
            capture_lines() as lines,
        ):
            run_cluster(scenario, instances=1, expects_failures=True)
        counts = count_lines(lines)
        self.assertEqual(counts["CALL_FAILED"], 2)
        self.assertEqual(counts["SHARD_CLAIMED"], 1)

    def test_job_that_fails_to_load_is_held_back(self):
        # Guards against one stored job that keeps all others from being loaded.
        estimate_work = Job.estimate_work

        def fail_for_one_job(job: Job) -> float:
            if job.job_id == BROKEN_JOB and job.spec == "loaded":
                raise OverflowError(job.job_id)
            return estimate_work(job)

        async def scenario(cluster: Cluster) -> None:
            (instance,) = cluster.instances
            body = build_body(1).replace(b'"x"', b'"loaded"')
            record = JobRecord(
                job=decode_job(body, job_id=BROKEN_JOB, queue="rchecks", accepted_ms=1)
            )
            key = keys.job_key(keys.SHARD, BROKEN_JOB)
            cluster.store.write_bytes(key, encode_job_record(record))
            answer = await cluster.send(instance, "POST", PREFIX + JOB, build_body(2))
            self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual({run.task[:16] for run in cluster.list_runs()}, {JOB})

        with (
            mock.patch.object(Job, "estimate_work", fail_for_one_job),
            capture_lines() as lines,
        ):
            run_cluster(scenario, instances=1, expects_failures=True)
        counts = count_lines(lines)
        self.assertEqual((counts["ENTRY_INVALID"], counts["SHARD_CLAIMED"]), (1, 1))
