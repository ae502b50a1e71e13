"""End-to-end tests of takeovers from an owner that stops as planned."""

import json
import unittest

import trio

from trefoilhook.runtime import keys
from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    Instance,
    build_body,
    run_cluster,
)
from trefoilhook.runtime.tests.test_takeovers import (
    MAX_HELD_S,
    WORKERS,
    kill_owner,
    read_groups,
    wait_for_groups,
)
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

TASK_MS = 1500.0


def find_job_inside(cluster: Cluster, worker_id: str) -> str:
    """Return the id of a job whose group contains a worker."""
    groups = read_groups(cluster)
    (name,) = [n for n in groups.list_names() if n.startswith(f"{worker_id}@")]
    ids = (f"{number:016x}" for number in range(1000, 2000))
    return next(job_id for job_id in ids if groups.covers(job_id, name))


async def stop_owner(cluster: Cluster, owner: Instance) -> Instance:
    """Stop the owner as planned, and wait for the next one."""
    owner.stop.set()
    await cluster.wait_until(lambda: not owner.process.is_owner)
    return await cluster.wait_for_owner()


async def run_beside_a_silent_worker(
    cluster: Cluster, owner: Instance
) -> tuple[str, PlatformWorker]:
    """Run the first of two steps of a job whose group contains a silent worker."""
    await wait_for_groups(cluster)
    silent = cluster.workers["w0"]
    silent.fault = WorkerFault.SILENT
    job = find_job_inside(cluster, "w0")
    await trio.sleep(3.0)
    await cluster.send(owner, "POST", PREFIX + job, build_body(1, 1))
    await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
    return job, silent


class SilentWorkerTest(unittest.TestCase):
    """Takeovers while a worker in the group of a job does not answer."""

    def test_planned_takeover_holds_only_tasks_with_a_place_there(self):
        # Guards against tasks held for a worker on which they cannot run.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            job, silent = await run_beside_a_silent_worker(cluster, owner)
            owner = await stop_owner(cluster, owner)
            with trio.move_on_after(MAX_HELD_S):
                await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(silent.records, [])
            await cluster.wait_for_state(owner, job, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=WORKERS, task_ms=TASK_MS)

    def test_takeover_from_a_killed_owner_holds_the_group(self):
        # Guards against a second run beside a start that has no place.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            job, silent = await run_beside_a_silent_worker(cluster, owner)
            owner = await kill_owner(cluster, owner)
            await trio.sleep(MAX_HELD_S)
            self.assertEqual(len(cluster.list_runs()), 1)
            silent.fault = WorkerFault.NONE
            await cluster.wait_for_state(owner, job, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=WORKERS, task_ms=TASK_MS)

    def test_takeover_from_a_killed_owner_after_a_planned_one(self):
        # Guards against a record that is taken for that of a later owner.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await wait_for_groups(cluster)
            owner = await stop_owner(cluster, owner)
            await wait_for_groups(cluster)
            job, silent = await run_beside_a_silent_worker(cluster, owner)
            owner = await kill_owner(cluster, owner)
            await trio.sleep(MAX_HELD_S)
            self.assertEqual(len(cluster.list_runs()), 1)
            silent.fault = WorkerFault.NONE
            await cluster.wait_for_state(owner, job, "completed")

        run_cluster(scenario, instances=3, workers=WORKERS, task_ms=TASK_MS)


async def submit_step(
    cluster: Cluster,
    owner: Instance,
    job: str,
    *,
    count: int,
    cpu: int,
    long_running: bool,
) -> None:
    """Submit a job with one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 10}
    step.update({"long_running": True} if long_running else {"estimate_ms": 200})
    body = json.dumps({"spec": "x", "steps": [step]}).encode()
    await cluster.send(owner, "POST", PREFIX + job, body)


def read_wait(cluster: Cluster, job: str) -> float:
    """Return the longest wait of a job's steps in the last record, in ms."""
    record = cluster.store.read(keys.waits_key(keys.SHARD)) or {"services": []}
    waits = [row["waited_ms"] for row in record["services"] if row["job"] == job]
    return max(waits, default=0.0)


class WaitsTest(unittest.TestCase):
    """Waits of service tasks for which capacity is available."""

    def test_waits_continue_after_planned_takeovers(self):
        # Guards against a wait that restarts at each change of the owner.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await submit_step(
                cluster, owner, "a" * 16, count=4, cpu=4000, long_running=True
            )
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 4)
            await submit_step(
                cluster, owner, "b" * 16, count=4, cpu=1000, long_running=False
            )
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 8)
            await cluster.send(owner, "DELETE", PREFIX + "b" * 16)
            # The next owner keeps capacity for urgent tasks only if it finds demands.
            demands = keys.urgent_demands_key(keys.SHARD)
            await cluster.wait_until(lambda: bool(cluster.store.read(demands)))
            await submit_step(
                cluster, owner, "c" * 16, count=1, cpu=2000, long_running=True
            )
            await trio.sleep(0.3)
            owner = await stop_owner(cluster, owner)
            first_ms = read_wait(cluster, "c" * 16)
            self.assertGreater(first_ms, 0.0)
            # Wait until the next owner has loaded the shard and workers have answered.
            await cluster.wait_until(lambda: read_groups(cluster).epoch == 2)
            await stop_owner(cluster, owner)
            self.assertGreater(read_wait(cluster, "c" * 16), first_ms)

        run_cluster(scenario, instances=3, workers=5, task_ms=60_000.0)


class GroupStartTest(unittest.TestCase):
    """Planned takeovers after a start without a place."""

    def test_task_started_without_a_place_is_not_run_twice(self):
        # Guards against an owner that declares its places complete after such a start.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await wait_for_groups(cluster)
            job = find_job_inside(cluster, "w0")
            await cluster.send(owner, "POST", PREFIX + job, build_body(1, 1))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 1)
            cluster.store.fault = StoreFault.SILENT
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            cluster.store.fault = StoreFault.NONE
            self.assertTrue(owner.process.is_owner)
            (worker,) = [
                worker
                for worker in cluster.workers.values()
                if any(run.ended_ms is None for run in worker.records)
            ]
            worker.fault = WorkerFault.SILENT
            owner = await stop_owner(cluster, owner)
            await trio.sleep(2.0)
            worker.fault = WorkerFault.NONE
            await cluster.wait_for_state(owner, job, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=WORKERS, task_ms=700.0)
