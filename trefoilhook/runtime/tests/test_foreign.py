"""Tests of invalid data from foreign writers and newer workers, over real sockets."""

import unittest

import trio

from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime import keys
from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    build_body,
    build_configuration,
    run_cluster,
)
from trefoilhook.standins.platform_foreign import (
    DEEPLY_NESTED_JSON,
    build_foreign_entries,
)
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

JOB = "00000000000000a1"
LATER = "00000000000000a2"


class ForeignDataCase(unittest.TestCase):
    """Base class with helpers."""

    async def start_unlisted(self, cluster: Cluster) -> PlatformWorker:
        """Start a worker without a valid entry in the store."""
        return await cluster.start_worker("w-unlisted", listed=False)

    async def submit(self, cluster: Cluster, job: str, *counts: int) -> None:
        """Submit a job to the first running instance."""
        here = next(i for i in cluster.instances if not i.ended.is_set())
        answer = await cluster.send(here, "POST", PREFIX + job, build_body(*counts))
        self.assertEqual(answer.status, 200)


def count_rejected(cluster: Cluster) -> int:
    """Return how often the only instance has rejected the entry of a worker."""
    return cluster.instances[0].process.metrics.counters["rejected", "report_invalid"]


class WorkerEntriesTest(ForeignDataCase):
    """Foreign entries under the prefix of the workers."""

    def test_foreign_entries_beside_workers(self):
        # Guards against foreign entries that resemble worker entries. Partly decoded,
        # they would attract starts to an address that is no worker; an unreadable one
        # would end the ownership. They are written repeatedly, as with heartbeats.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            unlisted = await self.start_unlisted(cluster)
            entries = build_foreign_entries(unlisted.describe("s"))
            with capture_lines() as lines:
                for _ in range(5):
                    for number, entry in enumerate(entries):
                        cluster.store.write_bytes(f"servers/x{number}", entry)
                    await trio.sleep(0.05)
                await self.submit(cluster, JOB, 12)
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            self.assertEqual(unlisted.calls, 0)
            self.assertEqual(len(cluster.list_runs()), 12)
            self.assertEqual(cluster.find_duplicate_runs(), [])
            self.assertIs(await cluster.wait_for_owner(), owner)
            names = [line["event_name"] for line in lines]
            self.assertEqual(names.count("REPORT_INVALID"), len(entries))
            self.assertNotIn("SHARD_CLAIMED", names)
            rejected = owner.process.metrics.counters["rejected", "report_invalid"]
            self.assertEqual(rejected, 5 * len(entries))

        run_cluster(scenario)

    def test_foreign_entries_at_takeover(self):
        # The owner dies while the store contains foreign entries. The next owner reads
        # them with the valid ones, and must still find the running tasks.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            unlisted = await self.start_unlisted(cluster)
            await self.submit(cluster, JOB, 4)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 4)
            for number, entry in enumerate(
                build_foreign_entries(unlisted.describe("s"))
            ):
                cluster.store.write_bytes(f"servers/x{number}", entry)
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await self.submit(cluster, LATER, 2)
            for job in (JOB, LATER):
                await cluster.wait_for_state(later, job, "completed")
            self.assertEqual(len(cluster.list_runs()), 6)
            self.assertEqual(unlisted.calls, 0)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=2500.0)

    def test_overwritten_entry_of_worker_with_tasks(self):
        # A worker's entry is overwritten while its tasks run. The tasks must continue
        # under the owner's control, and no task is started there until the next
        # heartbeat restores the entry.
        async def check(cluster: Cluster, entry: bytes, number: int) -> None:
            worker = cluster.workers["w0"]
            key = "servers/w0"
            job, later = f"{number:015x}a", f"{number:015x}b"
            cluster.store.write(key, worker.describe("s"))
            await trio.sleep(0.1)
            before = len(worker.records)
            await self.submit(cluster, job, 12)
            await cluster.wait_until(lambda: len(worker.records) > before)
            rejected = count_rejected(cluster)
            cluster.store.write_bytes(key, entry)
            await cluster.wait_until(lambda: count_rejected(cluster) > rejected)
            await trio.sleep(0.1)
            held = len(worker.records)
            await self.submit(cluster, later, 3)
            for each in (job, later):
                await cluster.wait_for_state(cluster.instances[0], each, "completed")
            self.assertEqual(len(worker.records), held)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            entries = build_foreign_entries(cluster.workers["w0"].describe("s"))
            for number, entry in enumerate(entries):
                with self.subTest(entry=str(entry)[:60]):
                    await check(cluster, entry, number)
            self.assertIs(await cluster.wait_for_owner(), owner)
            self.assertEqual(len(cluster.list_runs()), 15 * len(entries))

        run_cluster(scenario, instances=1, workers=2, task_ms=400.0)

    def test_overwritten_entry_of_unreachable_worker(self):
        # A worker's entry is overwritten, and then the worker becomes unreachable. Its
        # task must be started elsewhere only after its lease has certainly expired.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            cluster.store.write_bytes(f"servers/{lost.worker_id}", DEEPLY_NESTED_JSON)
            await trio.sleep(0.3)
            self.assertEqual(len(cluster.list_runs()), 1)
            lost.fault = WorkerFault.SILENT
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_overwritten_entry_at_takeover(self):
        # A worker's entry is overwritten, and then the owner dies. The next owner knows
        # from the roster that tasks may run there, but not the worker's address, and
        # must start them elsewhere only after their leases have certainly expired.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            cluster.store.write_bytes(f"servers/{lost.worker_id}", DEEPLY_NESTED_JSON)
            await trio.sleep(0.2)
            owner.scope.cancel()
            await owner.ended.wait()
            await cluster.wait_for_owner()
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(lost.records[0].how, "lapsed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_service_added_later(self):
        # Workers of a new service are listed before the configuration that adds it.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            worker = await self.start_unlisted(cluster)
            cluster.store.write("servers/w-unlisted", worker.describe("new"))
            await trio.sleep(0.2)
            self.assertEqual(worker.calls, 0)
            configuration = build_configuration(3)
            configuration["routes"][0]["service"] = "new"
            cluster.store.write("op/config", configuration)
            await self.submit(cluster, JOB, 2)
            await cluster.wait_until(lambda: len(worker.records) == 2)

        run_cluster(scenario, instances=1, workers=1)


class OwnKeysTest(ForeignDataCase):
    """Overwritten keys of the scheduler."""

    def test_overwritten_shard_keys_at_takeover(self):
        # Guards against a shard that can't be claimed. A foreign writer overwrites the
        # epoch, the roster and the interference estimates, and then the owner dies.
        shard = keys.SHARD
        table = (
            b"",
            b"\xff",
            DEEPLY_NESTED_JSON,
            b"[1]",
            b'{"epoch": "1"}',
            b'{"epoch": 1e30}',
        )

        async def check(cluster: Cluster, data: bytes, number: int) -> None:
            owner = await cluster.wait_for_owner()
            job = f"{number:016x}"
            await self.submit(cluster, job, 2)
            runs = 2 * (number + 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == runs)
            for key in (keys.epoch_key(shard), keys.roster_key(shard)):
                cluster.store.write_bytes(key, data)
            cluster.store.write_bytes(keys.interference_key(shard), data)
            cluster.store.write_bytes(keys.durations_key(shard), data)
            await cluster.start_instance()
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await cluster.wait_for_state(later, job, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        async def scenario(cluster: Cluster) -> None:
            for number, data in enumerate(table):
                with self.subTest(data=data[:15]):
                    await check(cluster, data, number)
            self.assertEqual(len(cluster.list_runs()), 2 * len(table))

        run_cluster(scenario, instances=1, task_ms=700.0)

    def test_unreadable_job_records_at_takeover(self):
        # A new owner finds the record of one job and the progress of another one
        # unreadable. It must start none of their tasks, as they may already have run.
        # All other jobs continue.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            jobs = [f"{number:016x}" for number in range(3)]
            for job in jobs:
                await self.submit(cluster, job, 1, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 6)
            shard = keys.SHARD
            cluster.store.write_bytes(keys.job_key(shard, jobs[0]), DEEPLY_NESTED_JSON)
            cluster.store.write_bytes(keys.progress_key(shard, jobs[1]), b"[]")
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await cluster.wait_for_state(later, jobs[2], "completed")
            await trio.sleep(0.5)
            self.assertEqual(await cluster.read_state(later, jobs[0]), "503")
            self.assertEqual(await cluster.read_state(later, jobs[1]), "running")
            self.assertEqual(len(cluster.list_runs()), 6)
            self.assertEqual({run.how for run in cluster.list_runs()}, {"done"})
            for method in ("POST", "DELETE"):
                answer = await cluster.send(
                    later, method, PREFIX + jobs[0], build_body()
                )
                self.assertEqual(answer.status, 503)

        run_cluster(scenario, task_ms=1500.0)

    def test_record_overwritten_while_its_job_runs(self):
        # The owner has the job in memory, and replaces the invalid value at its end.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 2)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            cluster.store.write_bytes(keys.job_key(keys.SHARD, JOB), b"{}")
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)

        run_cluster(scenario, instances=1, task_ms=500.0)

    def test_configuration_with_an_invalid_route(self):
        # One route of a new configuration has a string in place of a number. The other
        # routes must be applied immediately, and the invalid one must be logged.
        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]

            async def is_new() -> bool:
                return (await cluster.send(instance, "GET", "/new/")).status == 200

            configuration = build_configuration(5, "/new/", "/bad/")
            configuration["routes"][1]["max_attempts"] = "3"
            with capture_lines() as lines:
                cluster.store.write("op/config", configuration)
                await cluster.wait_for(is_new)
                cluster.store.write_bytes("op/config", DEEPLY_NESTED_JSON)
                await trio.sleep(0.2)
            self.assertTrue(await is_new())
            answer = await cluster.send(instance, "GET", "/bad/")
            self.assertEqual(answer.status, 404)
            errors = [x["error"] for x in lines if x["event_name"] == "CONFIG_INVALID"]
            self.assertEqual(
                errors[0], "left out: routes[1]: max_attempts: not an integer"
            )

        run_cluster(scenario, instances=1)


class WorkerAnswersTest(ForeignDataCase):
    """Unreadable rows in the answers of workers."""

    def test_unreadable_rows_do_not_lose_the_worker(self):
        # Guards against an answer that is discarded as a whole because of one row in an
        # unknown format: the worker's leases would expire and its tasks run again.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.malformed_running = [
                [],
                ["no name", 1, "", 0],
                [f"{JOB}.0.0.0", "1"],
            ]
            with capture_lines() as lines:
                await self.submit(cluster, JOB, 3)
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
                await self.submit(cluster, LATER, 3)
                await cluster.wait_for_state(cluster.instances[0], LATER, "completed")
            self.assertEqual([run.how for run in cluster.list_runs()], ["done"] * 6)
            names = [line["event_name"] for line in lines]
            self.assertEqual(names.count("ANSWER_INVALID"), 1)
            self.assertNotIn("WORKER_LOST", names)

        run_cluster(scenario, workers=1, instances=1)

    def test_unreadable_end(self):
        # A worker of a newer version reports an end of an unknown kind. The task may be
        # done, so it must not be started again, and the end must not be acknowledged.
        # Once the end is readable, the job completes.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.outcome_overrides = {"done": "accomplished"}
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: bool(cluster.list_runs()))
            await trio.sleep(0.5)
            calls = worker.calls
            await trio.sleep(1.0)
            self.assertLess(worker.calls - calls, 12)
            self.assertEqual(await cluster.read_state(instance, JOB), "running")
            (run,) = cluster.list_runs()
            self.assertEqual((run.how, run.acknowledged), ("done", False))
            worker.outcome_overrides = {}
            await cluster.wait_for_state(instance, JOB, "completed")
            await cluster.wait_until(lambda: run.acknowledged)
            self.assertEqual(len(cluster.list_runs()), 1)

        run_cluster(scenario, workers=1, instances=1)

    def test_unreadable_end_at_takeover(self):
        # The owner dies after a worker has reported an end of an unknown kind. The next
        # owner knows the attempt only from that row, and must not start the task again.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.outcome_overrides = {"done": "accomplished"}
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(
                lambda: [run.how for run in cluster.list_runs()] == ["done"]
            )
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await trio.sleep(1.0)
            self.assertEqual(await cluster.read_state(later, JOB), "running")
            worker.outcome_overrides = {}
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        run_cluster(scenario, workers=1)

    def test_ends_after_unreadable_end(self):
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.malformed_ends = [[None, "?", 1, "done", ""]]
            await self.submit(cluster, JOB, 2, 2)
            await cluster.wait_for_state(instance, JOB, "completed")
            await trio.sleep(0.5)
            self.assertFalse(any(run.acknowledged for run in cluster.list_runs()))
            worker.malformed_ends = []
            await cluster.wait_until(
                lambda: all(run.acknowledged for run in cluster.list_runs())
            )
            self.assertEqual(len(cluster.list_runs()), 4)

        run_cluster(scenario, workers=1, instances=1)


if __name__ == "__main__":
    unittest.main()
