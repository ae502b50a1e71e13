"""Tests of workers that restart under their ids, over real sockets."""

import types
import unittest

import trio

from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime.polling import WorkerPoller
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.scheduling import OrderOutcome, Worker
from trefoilhook.scheduling.tests.cases import Shard
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

JOB = "00000000000000b1"
_DOWN_MS = 60.0
"""Duration of a restart, in ms: shorter than the pause between two polls."""


async def start_job(cluster: Cluster) -> PlatformWorker:
    """Start a job of one task, and return the worker that runs it."""
    owner = await cluster.wait_for_owner()
    await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
    await cluster.wait_until(lambda: bool(cluster.list_runs()))
    (worker,) = [each for each in cluster.workers.values() if each.records]
    return worker


def write_entry(cluster: Cluster, worker: PlatformWorker) -> None:
    """Write the entry of a worker."""
    cluster.store.write(f"servers/{worker.worker_id}", worker.describe("s"))


class RestartTest(unittest.TestCase):
    """A worker restarts while it runs a task."""

    def test_restart_is_seen_in_an_answer(self):
        # Guards against an owner that waits for a task of a process that is gone.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            with capture_lines() as lines:
                await worker.restart(down_ms=_DOWN_MS)
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            (line,) = [x for x in lines if x["event_name"] == "WORKER_LOST"][-1:]
            self.assertEqual(line["why"], "restarted")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=1, task_ms=800.0)

    def test_restart_is_seen_in_the_entry(self):
        # Guards against a task that waits until its silent worker can be reached, as
        # the entry is renewed by the next process.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            worker.fault = WorkerFault.SILENT
            await worker.restart(down_ms=_DOWN_MS)
            write_entry(cluster, worker)
            with trio.fail_after(4.0):
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            worker.fault = WorkerFault.NONE
            await trio.sleep(0.5)
            self.assertEqual(len(cluster.list_runs()), 2)

        run_cluster(scenario, instances=1, task_ms=800.0)

    def test_next_process_gets_tasks(self):
        # Guards against a worker that is no longer polled once it has restarted.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            await worker.restart(down_ms=_DOWN_MS)
            write_entry(cluster, worker)
            await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            for run in cluster.list_runs():
                await cluster.wait_until(
                    lambda run=run: run.how != "done" or run.acknowledged
                )
            self.assertEqual([run.how for run in worker.records], ["crashed", "done"])

        run_cluster(scenario, instances=1, workers=1, task_ms=300.0)

    def test_owner_is_killed_before_it_sees_the_restart(self):
        # Guards against a next owner that takes the new process for the one that the
        # roster means, or waits for that.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            worker = await start_job(cluster)
            worker.fault = WorkerFault.SILENT
            await worker.restart(down_ms=_DOWN_MS)
            owner.scope.cancel()
            await owner.ended.wait()
            worker.fault = WorkerFault.NONE
            later = await cluster.wait_for_owner()
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=800.0)

    def test_late_start_reaches_the_next_process(self):
        # Guards against two runs of a task: its start got no answer, and is executed
        # after the worker has restarted.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            for each in cluster.workers.values():
                each.fault = WorkerFault.LATE_STARTS
            await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
            await trio.sleep(0.15)
            for each in cluster.workers.values():
                each.fault = WorkerFault.NONE
                await each.restart(down_ms=_DOWN_MS)
                write_entry(cluster, each)
            await cluster.wait_for_state(owner, JOB, "completed")
            await trio.sleep(0.7)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=1, task_ms=800.0)


class PollRequestTest(unittest.TestCase):
    """Acknowledgements after a failed call."""

    def test_silent_worker_is_sent_no_acknowledgement(self):
        # Guards against discarding ends of a process that has not reported them: it may
        # have replaced, under the same id, the one whose ends were acknowledged.
        shard = Shard(workers=0)
        shard.add_worker("w0", born_ms=1_000)
        worker = shard.scheduler.workers["w0"]
        worker.acknowledged = 57
        self.assertEqual(self.build(shard, worker).acknowledged, 57)
        shard.silence("w0", OrderOutcome.CONNECTION_LOST)
        self.assertEqual(self.build(shard, worker).acknowledged, 0)

    def build(self, shard: Shard, worker: Worker):
        """Build the next poll of a worker."""
        poller = WorkerPoller.__new__(WorkerPoller)
        poller._ownership = types.SimpleNamespace(epoch=1)
        poller._scheduler = shard.scheduler
        return poller._build_poll_request(worker, shard.now_ms)


if __name__ == "__main__":
    unittest.main()
