"""End-to-end tests with several instances, including faults of stores and workers."""

import unittest

import trio

from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    build_body,
    build_configuration,
    run_cluster,
)
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import WorkerFault

JOB = "00000000000000a1"


class EndToEndTest(unittest.TestCase):
    """Jobs are accepted, run and reported."""

    def test_job_of_two_steps(self):
        async def scenario(cluster: Cluster) -> None:
            here, there = cluster.instances
            answer = await cluster.send(here, "POST", PREFIX + JOB, build_body(3, 2))
            self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(there, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 5)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario)

    def test_same_id_is_the_same_job(self):
        # Guards against a job that runs twice because its client retries the submission
        # at another instance, or after the end of the job.
        async def scenario(cluster: Cluster) -> None:
            for instance in cluster.instances:
                answer = await cluster.send(
                    instance, "POST", PREFIX + JOB, build_body()
                )
                self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            await cluster.send(cluster.instances[1], "POST", PREFIX + JOB, build_body())
            await trio.sleep(0.5)
            self.assertEqual(len(cluster.list_runs()), 1)

        run_cluster(scenario)

    def test_answers_table(self):
        table = (
            ("GET", PREFIX + JOB, b"", 410),
            ("DELETE", PREFIX + JOB, b"", 410),
            ("POST", "/none/" + JOB, build_body(), 404),
            ("POST", PREFIX + "short", build_body(), 404),
            ("POST", PREFIX + JOB, b"no json", 400),
            ("GET", PREFIX, b"", 200),
        )

        async def scenario(cluster: Cluster) -> None:
            for method, target, body, status in table:
                with self.subTest(method=method, target=target):
                    answer = await cluster.send(
                        cluster.instances[0], method, target, body
                    )
                    self.assertEqual(answer.status, status)

        run_cluster(scenario, instances=1)

    def test_cancelled_job_stops(self):
        async def scenario(cluster: Cluster) -> None:
            here, there = cluster.instances
            await cluster.send(here, "POST", PREFIX + JOB, build_body(2))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            answer = await cluster.send(there, "DELETE", PREFIX + JOB)
            self.assertEqual(answer.status, 200)
            await cluster.wait_until(
                lambda: all(run.how == "stopped" for run in cluster.list_runs())
            )
            self.assertEqual(await cluster.read_state(here, JOB), "cancelled")

        run_cluster(scenario, task_ms=20_000.0)

    def test_jobs_without_a_start_are_counted(self):
        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            for number in range(3):
                target = f"{PREFIX}00000000000000b{number}"
                await cluster.send(instance, "POST", target, build_body())
            answer = await cluster.send(instance, "GET", PREFIX)
            self.assertEqual(answer.parse_json(), {"pending": 3})

        run_cluster(scenario, instances=1, workers=0)

    def test_failing_worker(self):
        async def scenario(cluster: Cluster) -> None:
            cluster.workers["w0"].fault = WorkerFault.FAILS_TASKS
            instance = cluster.instances[0]
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(4))
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario)

    def test_configuration_in_force(self):
        # The operator replaces a queue. An older configuration from an outdated answer
        # must not be applied after it.
        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]

            async def status_of(prefix: str) -> int:
                return (await cluster.send(instance, "GET", prefix)).status

            async def is_new() -> bool:
                return await status_of("/new/") == 200

            cluster.store.write("op/config", build_configuration(5, "/new/"))
            await cluster.wait_for(is_new)
            self.assertEqual(await status_of(PREFIX), 404)
            cluster.store.write("op/config", build_configuration(4))
            await trio.sleep(0.3)
            self.assertEqual(await status_of(PREFIX), 404)

        run_cluster(scenario, instances=1)


class FaultTest(unittest.TestCase):
    """No job is lost or run twice under faults."""

    def test_owner_is_killed(self):
        # The owner dies while tasks run. After its lease has expired, another instance
        # takes over, finds the running tasks on the workers and starts the next step.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            (other,) = [i for i in cluster.instances if i is not owner]
            await cluster.send(other, "POST", PREFIX + JOB, build_body(3, 2))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 3)
            owner.scope.cancel()
            await cluster.wait_for_state(other, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 5)
            self.assertEqual(cluster.find_duplicate_runs(), [])
            self.assertEqual(len({run.token for run in cluster.list_runs()}), 2)

        run_cluster(scenario, task_ms=700.0)

    def test_all_instances_die(self):
        # All instances end right after a submission has been accepted. The job is in
        # the store, so that the next instance runs it.
        async def scenario(cluster: Cluster) -> None:
            first = cluster.instances[0]
            await cluster.send(first, "POST", PREFIX + JOB, build_body(2))
            for instance in cluster.instances:
                instance.scope.cancel()
            later = await cluster.start_instance()
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario)

    def test_graceful_stop_hands_over_at_once(self):
        # A rolling restart stops the owner. It must release its key, so that the next
        # owner does not wait for the lease of 2 s to expire.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            began_ms = cluster.clock.monotonic_ms()
            owner.stop.set()
            await cluster.wait_until(lambda: not owner.process.is_owner)
            await cluster.wait_for_owner()
            taken_ms = cluster.clock.monotonic_ms() - began_ms
            self.assertLess(taken_ms, 1500.0)
            (other,) = [i for i in cluster.instances if i is not owner]
            answer = await cluster.send(owner, "POST", PREFIX + JOB, build_body())
            self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(other, JOB, "completed")
            await owner.ended.wait()

        run_cluster(scenario)

    def test_store_loses_answers(self):
        # The store executes calls, but their answers are lost. The submission must not
        # be reported as refused, because the job will run.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.LOSES_ANSWERS
            answers = []

            async def submit() -> None:
                answers.append(
                    await cluster.send(instance, "POST", PREFIX + JOB, build_body())
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.4)
                cluster.store.fault = StoreFault.NONE
            self.assertEqual(answers[0].status, 200)
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=1)

    def test_rejecting_store_refuses_submission_at_once(self):
        # The store rejects all calls. The client must get an immediate refusal with a
        # time to retry, and the refused job must never run.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.BUSY
            began_ms = cluster.clock.monotonic_ms()
            answer = await cluster.send(instance, "POST", PREFIX + JOB, build_body())
            self.assertEqual(answer.status, 503)
            self.assertIsNotNone(answer.get_header("retry-after"))
            self.assertLess(cluster.clock.monotonic_ms() - began_ms, 1000.0)
            cluster.store.fault = StoreFault.NONE
            await trio.sleep(1.0)
            self.assertEqual(cluster.list_runs(), [])
            self.assertEqual(cluster.store.list_keys("shard/0/job/"), [])

        run_cluster(scenario, instances=1)

    def test_unresponsive_store_is_not_reported_as_refusal(self):
        # The store doesn't answer a submission, which may have taken effect, so neither
        # 200 nor 503 would be correct. The answer must come before the client's
        # deadline, so that it can still try another instance.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.SILENT
            began_ms = cluster.clock.monotonic_ms()
            answer = await cluster.send(
                instance, "POST", PREFIX + JOB, build_body(), timeout_ms=4900.0
            )
            self.assertEqual(answer.status, 504)
            self.assertLess(cluster.clock.monotonic_ms() - began_ms, 3000.0)

        run_cluster(scenario, instances=1)

    def test_store_outage_over_a_running_job(self):
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(2, 2))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            cluster.store.fault = StoreFault.SILENT
            await trio.sleep(3.0)
            cluster.store.fault = StoreFault.NONE
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=400.0)

    def test_shard_has_an_owner_soon_after_an_outage(self):
        # The store is unavailable for longer than the owner's lease, and suspends
        # leases meanwhile. Guards against a claim that is delayed after the outage
        # until the previous lease of 2 s has expired.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            cluster.store.fault = StoreFault.BUSY
            await cluster.wait_until(lambda: not owner.process.is_owner)
            await trio.sleep(0.5)
            cluster.store.fault = StoreFault.NONE
            began_ms = cluster.clock.monotonic_ms()
            await cluster.wait_for_owner()
            self.assertLess(cluster.clock.monotonic_ms() - began_ms, 1400.0)

        run_cluster(scenario, instances=3)

    def test_store_compacts_its_history(self):
        # The store compacts its history while a watch waits. A job accepted in the
        # meantime must not be missed.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.store.compact_history()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body())
            cluster.store.compact_history()
            await cluster.wait_for_state(instance, JOB, "completed")

        run_cluster(scenario)

    def test_worker_executes_starts_late(self):
        # Workers don't answer starts and execute them 0.6 s later, when the same starts
        # have been sent again.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            for worker in cluster.workers.values():
                worker.fault = WorkerFault.LATE_STARTS
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(4))
            await trio.sleep(0.3)
            for worker in cluster.workers.values():
                worker.fault = WorkerFault.NONE
            await cluster.wait_for_state(instance, JOB, "completed")
            await trio.sleep(0.8)
            self.assertEqual(len(cluster.list_runs()), 4)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=300.0)

    def test_unreachable_worker_keeps_running(self):
        # A worker is unreachable, and its task runs until its lease of 5 s expires.
        # Only then may the task be started elsewhere.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            lost.fault = WorkerFault.SILENT
            cluster.store.remove(f"servers/{lost.worker_id}")
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_completed_task_of_unresponsive_worker_is_not_restarted(self):
        # Guards against a second run of a completed task. A listed worker is
        # unreachable for 7 s, longer than its lease of 5 s, and its task completes in
        # that time.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (unresponsive,) = [w for w in cluster.workers.values() if w.records]
            unresponsive.fault = WorkerFault.SILENT
            await trio.sleep(7.0)
            unresponsive.fault = WorkerFault.NONE
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])
            self.assertEqual([run.how for run in cluster.list_runs()], ["done"])

        run_cluster(scenario, task_ms=1000.0)

    def test_takeover_does_not_wait_for_worker_that_never_answered(self):
        # Guards against a listed worker that never answers. If it were in the roster,
        # every later owner would wait for it before it starts previously accepted jobs.
        async def scenario(cluster: Cluster) -> None:
            unresponsive = await cluster.start_worker("ghost")
            unresponsive.fault = WorkerFault.SILENT
            owner = await cluster.wait_for_owner()
            (other,) = [i for i in cluster.instances if i is not owner]
            await cluster.send(other, "POST", PREFIX + JOB, build_body(1, 1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            owner.scope.cancel()
            with trio.fail_after(8.0):
                await cluster.wait_for_state(other, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=500.0)

    def test_roster_drops_worker_that_left(self):
        # Guards against a takeover that waits for the longest lease of a worker that
        # left long before, because no later change of the list updated the roster.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            await cluster.wait_until(lambda: len(cluster.read_roster()) == 2)
            cluster.workers["w1"].fault = WorkerFault.SILENT
            cluster.store.remove("servers/w1")
            with trio.fail_after(10.0):
                await cluster.wait_until(lambda: cluster.read_roster() == ["w0"])

        run_cluster(scenario, instances=1)

    def test_roster_keeps_unresponsive_worker_over_two_takeovers(self):
        # Guards against a second run of a completed task whose worker is unreachable
        # during two successive takeovers. If the first new owner removes the worker
        # from the roster, the second one doesn't know of it.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (unresponsive,) = [w for w in cluster.workers.values() if w.records]
            unresponsive.fault = WorkerFault.SILENT
            for _ in range(2):
                owner.scope.cancel()
                await owner.ended.wait()
                owner = await cluster.wait_for_owner()
                await cluster.start_worker(f"new-{owner.process.entry_port}")
                await trio.sleep(1.0)
            unresponsive.fault = WorkerFault.NONE
            await cluster.wait_for_state(owner, JOB, "completed")
            self.assertEqual([run.how for run in cluster.list_runs()], ["done"])

        run_cluster(scenario, instances=3, task_ms=500.0)

    def test_worker_restarts_under_a_new_id(self):
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (worker,) = [w for w in cluster.workers.values() if w.records]
            began_ms = cluster.clock.monotonic_ms()
            worker.records[0].ended_ms = began_ms
            worker.records[0].how = "crashed"
            cluster.store.remove(f"servers/{worker.worker_id}")
            worker.worker_id = "w-later"
            cluster.store.write("servers/w-later", worker.describe("s"))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertLess(cluster.clock.monotonic_ms() - began_ms, 2500.0)

        run_cluster(scenario, task_ms=60_000.0)
