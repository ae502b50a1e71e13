"""Tasks that crash the workers that start them, over the whole path."""

import unittest

import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines, find_line
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

    def test_count_outlives_takeovers(self):
        # Guards against a count that is lost with its owner: each is killed before
        # another life of the crashed worker proves what became of the last one.
        async def scenario(cluster: Cluster) -> None:
            cluster.rebirth_ms = 1500.0
            cluster.crashes[CULPRIT] = 20.0
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + CULPRIT, build_body(1))
            for crashes in (1, 2):
                await cluster.wait_until(lambda n=crashes: len(cluster.crashed) >= n)
                await trio.sleep(0.5)
                owner.scope.cancel()
                await owner.ended.wait()
                owner = await cluster.wait_for_owner()
            await cluster.wait_for_state(owner, CULPRIT, "failed")
            self.assertLessEqual(len(cluster.crashed), MOST_STARTS)

        run_cluster(scenario, instances=3, workers=4, task_ms=300.0)

    def test_log_alone_tells_crash_suspects_and_verdict(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                instance = await cluster.wait_for_owner()
                cluster.crashes[CULPRIT] = 20.0
                await cluster.send(instance, "POST", PREFIX + CULPRIT, build_body(1))
                await cluster.wait_for_state(instance, CULPRIT, "failed")
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=3, task_ms=300.0)
        losses = [line for line in lines if line["event_name"] == "LOSS_ATTRIBUTED"]
        self.assertEqual({line["cause"] for line in losses}, {"crashed"})
        self.assertEqual(losses[0]["suspects"][0]["task"], f"{CULPRIT}.0.0.0")
        verdict = find_line(lines, "CRASH_LOOP_FOUND")
        self.assertEqual(verdict["task"], f"{CULPRIT}.0.0.0")
        self.assertEqual(verdict["crashes"], len(losses))
        self.assertEqual(count_lines(lines)["CRASH_LOOP_FOUND"], 1)
        self.assertEqual(find_line(lines, "JOB_FINISHED")["phase"], "failed")
