"""Tasks that crash the workers that start them, over the whole path."""

import unittest

import trio

from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster

CULPRIT = "00000000000000c1"
BYSTANDER = "00000000000000c2"

MOST_STARTS = 5
"""After three workers have crashed under it, a task may be started twice more."""


class CrashLoopTest(unittest.TestCase):
    """A task that crashes each worker that starts it."""

    def test_crashing_task_is_given_up(self):
        # Guards against a task that crashes one worker after the other without end.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.crashes[CULPRIT] = 20.0
            await cluster.send(instance, "POST", PREFIX + CULPRIT, build_body(1))
            await cluster.send(instance, "POST", PREFIX + BYSTANDER, build_body(3))
            with trio.move_on_after(12.0):
                await cluster.wait_for_state(instance, CULPRIT, "failed")
            self.assertLessEqual(len(cluster.crashed), MOST_STARTS)
            state = await cluster.read_state(instance, CULPRIT)
            self.assertEqual(state, "failed")
            await cluster.wait_for_state(instance, BYSTANDER, "completed")
            self.assertEqual(cluster.find_doubles(), [])

        run_cluster(scenario, workers=4, task_ms=300.0)
