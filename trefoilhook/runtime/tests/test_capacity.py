"""End-to-end tests of workers whose capacity shrinks."""

import math
import unittest

from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.standins.platform_worker import PlatformWorker, TaskRecord

TASK_CPU = 500
"""Demand of each task of ``build_body``, in thousandths of a core."""

REACTION_MS = 4500.0
"""Time within which the owner must apply a reduced capacity, in ms."""


def count_concurrent(worker: PlatformWorker, start: TaskRecord) -> int:
    """Return the number of runs on a worker just after a start, including it."""
    return sum(
        run.started_ms <= start.started_ms
        and (math.inf if run.ended_ms is None else run.ended_ms) > start.started_ms
        for run in worker.records
    )


class ShrinkingWorkerTest(unittest.TestCase):
    """A worker shrinks while it runs tasks, and a burst of tasks follows."""

    def test_burst_does_not_exceed_reduced_capacity(self):
        # Guards against starts on a worker whose entry in the store reports less
        # capacity than its runs hold.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            job_ids = [f"{number:016x}" for number in range(1, 7)]
            await cluster.send(owner, "POST", PREFIX + job_ids[0], build_body(16))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 16)
            worker = cluster.workers["w0"]
            worker.capacity = {**worker.capacity, "cpu": 4 * TASK_CPU}
            cluster.store.write("servers/w0", worker.describe("s"))
            await cluster.clock.sleep_ms(REACTION_MS)
            reduced_ms = cluster.clock.monotonic_ms()
            for job_id in job_ids[1:]:
                await cluster.send(owner, "POST", PREFIX + job_id, build_body(8))
            for job_id in job_ids:
                await cluster.wait_for_state(owner, job_id, "completed")
            starts = [run for run in worker.records if run.started_ms >= reduced_ms]
            counts = [count_concurrent(worker, run) for run in starts]
            self.assertLessEqual(max(counts), 4)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=2, task_ms=700.0)


if __name__ == "__main__":
    unittest.main()
