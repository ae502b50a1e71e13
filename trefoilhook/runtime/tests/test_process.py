"""The whole path with several instances: clients, store, workers, and their faults."""

import unittest

import trio

from trefoilhook.runtime import keys
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


class WholePathTest(unittest.TestCase):
    """Jobs are accepted, run and told of."""

    def test_job_of_two_steps(self):
        async def scenario(cluster: Cluster) -> None:
            here, there = cluster.instances
            answer = await cluster.send(here, "POST", PREFIX + JOB, build_body(3, 2))
            self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(there, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 5)
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario)

    def test_same_id_is_the_same_job(self):
        # The answer to a submission is lost on its way. The client sends it again, to
        # another instance, and once more after the job has ended.
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
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario)

    def test_configuration_in_force(self):
        # The operator adds a queue and drops another. An older version that comes
        # late, out of a stale answer, changes nothing.
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
    """Jobs neither lost nor done twice, whatever fails."""

    def test_owner_is_killed(self):
        # The owner dies while tasks run. Its lease lapses, another instance takes over,
        # finds the tasks at their workers and starts what comes after them.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            (other,) = [i for i in cluster.instances if i is not owner]
            await cluster.send(other, "POST", PREFIX + JOB, build_body(3, 2))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 3)
            owner.scope.cancel()
            await cluster.wait_for_state(other, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 5)
            self.assertEqual(cluster.find_doubles(), [])
            self.assertEqual(len({run.token for run in cluster.list_runs()}), 2)

        run_cluster(scenario, task_ms=700.0)

    def test_all_instances_die(self):
        # Every instance loses power right after a submission was accepted. The job
        # is in the store, so those that start next run it.
        async def scenario(cluster: Cluster) -> None:
            first = cluster.instances[0]
            await cluster.send(first, "POST", PREFIX + JOB, build_body(2))
            for instance in cluster.instances:
                instance.scope.cancel()
            later = await cluster.start_instance()
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario)

    def test_graceful_stop_hands_over_at_once(self):
        # A rolling restart stops the owner. It gives its key up, so that the next one
        # needn't wait for the lease of 2 s.
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
        # The store carries calls out and their answers are lost. Told that its
        # submission was refused, the client would find it run all the same.
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
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, instances=1)

    def test_store_away_refuses_at_once(self):
        # The store turns every call away. The client is told so at once, and when to
        # come back; what was refused never runs.
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

    def test_silent_store_is_not_called_a_refusal(self):
        # A submission goes out and nothing comes back. It may have been carried out:
        # neither 200 nor 503 would be true. Held until its deadline, the client could
        # not ask another instance any more.
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
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=400.0)

    def test_shard_has_an_owner_soon_after_an_outage(self):
        # The store is away for longer than the owner may go on without it, and leases
        # pause meanwhile. Once it is back, the key of the tenure that has ended keeps
        # every instance from claiming the shard until its lease of 2 s has run out.
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

    def test_store_forgets_its_history(self):
        # While a watch waits the store drops its history. A job accepted meanwhile
        # must not be overlooked.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.store.forget_history()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body())
            cluster.store.forget_history()
            await cluster.wait_for_state(instance, JOB, "completed")

        run_cluster(scenario)

    def test_worker_carries_starts_out_late(self):
        # A worker leaves starts unanswered and carries them out 0.6 s later, while the
        # same start has been sent again.
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
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=300.0)

    def test_worker_is_cut_off_and_runs_on(self):
        # A worker can't be reached, and its task runs on until the lease of 5 s ends.
        # Only then may it be started elsewhere.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            lost.fault = WorkerFault.SILENT
            cluster.store.remove(f"servers/{lost.worker_id}")
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_done_task_of_a_silent_worker_is_not_started_again(self):
        # A worker's answers don't reach the owner for 7 s, though the store lists it.
        # Its task is done meanwhile, and its lease of 5 s runs out. Taken for one that
        # was never finished, it was started again on the other worker.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (silent,) = [w for w in cluster.workers.values() if w.records]
            silent.fault = WorkerFault.SILENT
            await trio.sleep(7.0)
            silent.fault = WorkerFault.NONE
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(cluster.find_doubles(), [])
            self.assertEqual([run.how for run in cluster.list_runs()], ["done"])

        run_cluster(scenario, task_ms=1000.0)

    def test_takeover_does_not_wait_for_an_entry_that_never_answered(self):
        # The store lists a worker that never answers anybody. Named in the roster, it
        # kept every later owner from starting what had been accepted before.
        async def scenario(cluster: Cluster) -> None:
            ghost = await cluster.start_worker("ghost")
            ghost.fault = WorkerFault.SILENT
            owner = await cluster.wait_for_owner()
            (other,) = [i for i in cluster.instances if i is not owner]
            await cluster.send(other, "POST", PREFIX + JOB, build_body(1, 1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            owner.scope.cancel()
            with trio.fail_after(8.0):
                await cluster.wait_for_state(other, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=500.0)

    def test_roster_forgets_a_worker_that_left(self):
        # Guards against a takeover that waits out the longest lease for a worker which
        # had left long before: nothing else changed in the list after it.
        async def scenario(cluster: Cluster) -> None:
            roster = keys.roster_key(keys.SHARD)

            def read_roster() -> list[str]:
                return cluster.store.read(roster) or []

            await cluster.wait_for_owner()
            await cluster.wait_until(lambda: len(read_roster()) == 2)
            cluster.workers["w1"].fault = WorkerFault.SILENT
            cluster.store.remove("servers/w1")
            with trio.fail_after(10.0):
                await cluster.wait_until(lambda: read_roster() == ["w0"])

        run_cluster(scenario, instances=1)

    def test_silent_worker_is_known_to_the_owner_after_the_next(self):
        # A worker with a task that is done is silent over two takeovers in a row. The
        # first new owner wrote a roster of the workers that it had heard; the second
        # one then didn't know of the silent worker, and started its task again.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (silent,) = [w for w in cluster.workers.values() if w.records]
            silent.fault = WorkerFault.SILENT
            for _ in range(2):
                owner.scope.cancel()
                await owner.ended.wait()
                owner = await cluster.wait_for_owner()
                await cluster.start_worker(f"new-{owner.process.entry_port}")
                await trio.sleep(1.0)
            silent.fault = WorkerFault.NONE
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
