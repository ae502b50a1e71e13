"""End-to-end tests of a queue with advice."""

import unittest

import trio

from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster

_JOB = "00000000000000d1"


class AdviceTest(unittest.TestCase):
    """Steps that run only on workers that the advice service allows."""

    def test_only_the_allowed_worker_runs_the_steps(self):
        async def scenario(cluster: Cluster) -> None:
            await cluster.start_advice("w1")
            instance = await cluster.start_instance()
            # The first request names only workers that have answered the owner. The
            # second call to a worker shows that its first answer was applied.
            await cluster.wait_until(
                lambda: all(worker.calls > 1 for worker in cluster.workers.values())
            )
            await cluster.send(instance, "POST", PREFIX + _JOB, build_body(2, 1))
            await cluster.wait_for_state(instance, _JOB, "completed")
            self.assertEqual(len(cluster.workers["w1"].records), 3)
            self.assertEqual(len(cluster.list_runs()), 3)
            steps = [step for step, _ in cluster.advice.requests]
            self.assertEqual(steps, [f"{_JOB}.0.0", f"{_JOB}.0.1"])

        run_cluster(scenario, instances=0, workers=3)

    def test_busy_service_is_asked_again(self):
        # The service rejects the call because its queue is full. Without a retry, the
        # job would never start.
        async def scenario(cluster: Cluster) -> None:
            await cluster.start_advice("w0")
            cluster.advice.is_busy = True
            instance = await cluster.start_instance()
            await cluster.send(instance, "POST", PREFIX + _JOB, build_body())
            await cluster.wait_until(lambda: len(cluster.advice.requests) > 1)
            await trio.sleep(0.1)
            self.assertEqual(cluster.list_runs(), [])
            cluster.advice.is_busy = False
            await cluster.wait_for_state(instance, _JOB, "completed")

        run_cluster(scenario, instances=0)
