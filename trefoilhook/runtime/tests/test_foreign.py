"""Entries of other writers beside a fleet that works, over real sockets."""

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
from trefoilhook.standins.platform_foreign import NESTED, build_foreign_entries
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

JOB = "00000000000000a1"
LATER = "00000000000000a2"


class ForeignCase(unittest.TestCase):
    """Helpers of the tests below."""

    async def start_unlisted(self, cluster: Cluster) -> PlatformWorker:
        """Start a worker that no sound entry names."""
        return await cluster.start_worker("w-unlisted", listed=False)

    async def submit(self, cluster: Cluster, job: str, *counts: int) -> None:
        """Submit a job to any instance that still runs."""
        here = next(i for i in cluster.instances if not i.ended.is_set())
        answer = await cluster.send(here, "POST", PREFIX + job, build_body(*counts))
        self.assertEqual(answer.status, 200)


class WorkerEntriesTest(ForeignCase):
    """Entries under the workers' prefix."""

    def test_entries_beside_a_fleet(self):
        # Somebody else's tool writes entries that look like workers', five times each
        # as a heartbeat would. One that was taken as far as it goes drew starts to an
        # executor that isn't one; one that couldn't be read ended the owner's tenure.
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
            self.assertEqual(cluster.find_doubles(), [])
            self.assertIs(await cluster.wait_for_owner(), owner)
            names = [line["event_name"] for line in lines]
            self.assertEqual(names.count("REPORT_INVALID"), len(entries))
            self.assertNotIn("SHARD_CLAIMED", names)
            rejected = owner.process.figures.counters["rejected", "report_invalid"]
            self.assertEqual(rejected, 5 * len(entries))

        run_cluster(scenario)

    def test_entries_at_a_takeover(self):
        # The owner dies while such entries stand in the store. The next one reads them
        # with the rest, and has to know what runs on the workers all the same.
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
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=2500.0)

    def test_entry_in_place_of_a_worker_with_tasks(self):
        # A worker's own entry is overwritten while its tasks run. What runs there runs
        # on and is looked after, and nothing new goes there until its next heartbeat.
        async def check(cluster: Cluster, entry: bytes, number: int) -> None:
            worker = cluster.workers["w0"]
            key = "servers/w0"
            job, later = f"{number:015x}a", f"{number:015x}b"
            cluster.store.write(key, worker.describe("s"))
            await trio.sleep(0.1)
            before = len(worker.records)
            await self.submit(cluster, job, 12)
            await cluster.wait_until(lambda: len(worker.records) > before)
            cluster.store.write_bytes(key, entry)
            await trio.sleep(0.1)
            held = len(worker.records)
            await self.submit(cluster, later, 3)
            for each in (job, later):
                await cluster.wait_for_state(cluster.instances[0], each, "completed")
            self.assertEqual(len(worker.records), held)
            self.assertEqual(cluster.find_doubles(), [])

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            entries = build_foreign_entries(cluster.workers["w0"].describe("s"))
            for number, entry in enumerate(entries):
                with self.subTest(entry=str(entry)[:60]):
                    await check(cluster, entry, number)
            self.assertIs(await cluster.wait_for_owner(), owner)
            self.assertEqual(len(cluster.list_runs()), 15 * len(entries))

        run_cluster(scenario, instances=1, workers=2, task_ms=400.0)

    def test_entry_in_place_of_a_worker_that_is_cut_off(self):
        # A worker's entry is overwritten, and then the worker can't be reached. Its
        # task is started elsewhere only once its lease is sure to be over.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            cluster.store.write_bytes(f"servers/{lost.worker_id}", NESTED)
            await trio.sleep(0.3)
            self.assertEqual(len(cluster.list_runs()), 1)
            lost.fault = WorkerFault.SILENT
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_entry_in_place_of_a_worker_at_a_takeover(self):
        # A worker's entry is overwritten, and then the owner dies. The next one knows
        # by the roster that tasks may run there, and not where it is: it starts them
        # elsewhere once their leases are sure to be over.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            (lost,) = [w for w in cluster.workers.values() if w.records]
            cluster.store.write_bytes(f"servers/{lost.worker_id}", NESTED)
            await trio.sleep(0.2)
            owner.scope.cancel()
            await owner.ended.wait()
            await cluster.wait_for_owner()
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(lost.records[0].how, "lapsed")
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, task_ms=60_000.0)

    def test_service_that_is_named_later(self):
        # Workers of a new service come before the configuration that names it.
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


class OwnKeysTest(ForeignCase):
    """The system's own keys, overwritten."""

    def test_keys_of_ownership_at_a_takeover(self):
        # Another writer overwrites the epoch, the roster and what was learned, and
        # the owner dies. A shard that couldn't read its epoch had no owner any more.
        shard = keys.SHARD
        table = (b"", b"\xff", NESTED, b"[1]", b'{"epoch": "1"}', b'{"epoch": 1e30}')

        async def check(cluster: Cluster, data: bytes, number: int) -> None:
            owner = await cluster.wait_for_owner()
            job = f"{number:016x}"
            await self.submit(cluster, job, 2)
            runs = 2 * (number + 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == runs)
            for key in (keys.epoch_key(shard), keys.roster_key(shard)):
                cluster.store.write_bytes(key, data)
            cluster.store.write_bytes(keys.learned_key(shard), data)
            await cluster.start_instance()
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await cluster.wait_for_state(later, job, "completed")
            self.assertEqual(cluster.find_doubles(), [])

        async def scenario(cluster: Cluster) -> None:
            for number, data in enumerate(table):
                with self.subTest(data=data[:15]):
                    await check(cluster, data, number)
            self.assertEqual(len(cluster.list_runs()), 2 * len(table))

        run_cluster(scenario, instances=1, task_ms=700.0)

    def test_records_of_jobs_at_a_takeover(self):
        # One job's record and another's progress can't be read when a new owner loads
        # them. Both are left as they are: what was done of them isn't known, so a start
        # could be a second one. All other jobs go on.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            jobs = [f"{number:016x}" for number in range(3)]
            for job in jobs:
                await self.submit(cluster, job, 1, 1)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 6)
            shard = keys.SHARD
            cluster.store.write_bytes(keys.job_key(shard, jobs[0]), NESTED)
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
        # The owner knows the job, and writes its end in place of what stands there.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            await self.submit(cluster, JOB, 2)
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            cluster.store.write_bytes(keys.job_key(keys.SHARD, JOB), b"{}")
            await cluster.wait_for_state(instance, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)

        run_cluster(scenario, instances=1, task_ms=500.0)

    def test_configuration_with_a_bad_route(self):
        # The operator's tool writes one route with a text for a number: the others
        # are in force at once, that one isn't, and one line names it.
        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]

            async def is_new() -> bool:
                return (await cluster.send(instance, "GET", "/new/")).status == 200

            configuration = build_configuration(5, "/new/", "/bad/")
            configuration["routes"][1]["max_attempts"] = "3"
            with capture_lines() as lines:
                cluster.store.write("op/config", configuration)
                await cluster.wait_for(is_new)
                cluster.store.write_bytes("op/config", NESTED)
                await trio.sleep(0.2)
            self.assertTrue(await is_new())
            answer = await cluster.send(instance, "GET", "/bad/")
            self.assertEqual(answer.status, 404)
            errors = [x["error"] for x in lines if x["event_name"] == "CONFIG_INVALID"]
            self.assertEqual(
                errors[0], "left out: routes[1]: max_attempts: not an integer"
            )

        run_cluster(scenario, instances=1)


class WorkerAnswersTest(ForeignCase):
    """Rows of a worker's lists that can't be read."""

    def test_odd_rows_do_not_lose_the_worker(self):
        # A worker lists rows of another format beside its own. Its whole answer was
        # thrown away without a line in the log, its leases lapsed, its tasks ran again.
        async def scenario(cluster: Cluster) -> None:
            await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.odd_running = [[], ["no name", 1, "", 0], [f"{JOB}.0.0.0", "1"]]
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

    def test_end_that_cannot_be_read(self):
        # A worker of a newer version tells of an end with a word that isn't known. It
        # may mean that the task is done: the task isn't started again and the end isn't
        # acknowledged. Ends beside it count. Once the word is known, the job is done.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.words = {"done": "accomplished"}
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(lambda: bool(cluster.list_runs()))
            await trio.sleep(0.5)
            calls = worker.calls
            await trio.sleep(1.0)
            self.assertLess(worker.calls - calls, 12)
            self.assertEqual(await cluster.read_state(instance, JOB), "running")
            (run,) = cluster.list_runs()
            self.assertEqual((run.how, run.acknowledged), ("done", False))
            worker.words = {}
            await cluster.wait_for_state(instance, JOB, "completed")
            await cluster.wait_until(lambda: run.acknowledged)
            self.assertEqual(len(cluster.list_runs()), 1)

        run_cluster(scenario, workers=1, instances=1)

    def test_end_that_cannot_be_read_at_a_takeover(self):
        # The owner dies after a worker told of an end with a word that isn't known. The
        # next owner knows the attempt by that row alone, and must not start the task.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.words = {"done": "accomplished"}
            await self.submit(cluster, JOB, 1)
            await cluster.wait_until(
                lambda: [run.how for run in cluster.list_runs()] == ["done"]
            )
            owner.scope.cancel()
            await owner.ended.wait()
            later = await cluster.wait_for_owner()
            await trio.sleep(1.0)
            self.assertEqual(await cluster.read_state(later, JOB), "running")
            worker.words = {}
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 1)

        run_cluster(scenario, workers=1)

    def test_ends_after_one_that_cannot_be_read(self):
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            worker = cluster.workers["w0"]
            worker.odd_ends = [[None, "?", 1, "done", ""]]
            await self.submit(cluster, JOB, 2, 2)
            await cluster.wait_for_state(instance, JOB, "completed")
            await trio.sleep(0.5)
            self.assertFalse(any(run.acknowledged for run in cluster.list_runs()))
            worker.odd_ends = []
            await cluster.wait_until(
                lambda: all(run.acknowledged for run in cluster.list_runs())
            )
            self.assertEqual(len(cluster.list_runs()), 4)

        run_cluster(scenario, workers=1, instances=1)


if __name__ == "__main__":
    unittest.main()
