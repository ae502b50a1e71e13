"""End-to-end tests of tasks that crash their workers."""

import unittest

import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines, find_line
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster

CRASHING_JOB = "00000000000000c1"
OTHER_JOB = "00000000000000c2"

MAX_STARTS = 5
"""Maximum starts of a crashing task: two more after three workers have crashed."""


class CrashLoopTest(unittest.TestCase):
    """A task that crashes each worker that starts it."""

    def test_crashing_task_is_given_up(self):
        # Guards against a task that crashes one worker after another indefinitely.
        async def scenario(cluster: Cluster) -> None:
            instance = await cluster.wait_for_owner()
            cluster.crash_delays_ms[CRASHING_JOB] = 20.0
            await cluster.send(instance, "POST", PREFIX + CRASHING_JOB, build_body(1))
            await cluster.send(instance, "POST", PREFIX + OTHER_JOB, build_body(3))
            with trio.move_on_after(12.0):
                await cluster.wait_for_state(instance, CRASHING_JOB, "failed")
            self.assertLessEqual(len(cluster.crashed), MAX_STARTS)
            state = await cluster.read_state(instance, CRASHING_JOB)
            self.assertEqual(state, "failed")
            await cluster.wait_for_state(instance, OTHER_JOB, "completed")
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, workers=4, task_ms=300.0)

    def test_count_outlives_takeovers(self):
        # Guards against a crash count that is lost with its owner. Each owner is killed
        # before the restart of the worker proves the crash.
        async def scenario(cluster: Cluster) -> None:
            cluster.restart_ms = 1500.0
            cluster.crash_delays_ms[CRASHING_JOB] = 20.0
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + CRASHING_JOB, build_body(1))
            for crashes in (1, 2):
                await cluster.wait_until(lambda n=crashes: len(cluster.crashed) >= n)
                await trio.sleep(0.5)
                owner.scope.cancel()
                await owner.ended.wait()
                owner = await cluster.wait_for_owner()
            await cluster.wait_for_state(owner, CRASHING_JOB, "failed")
            self.assertLessEqual(len(cluster.crashed), MAX_STARTS)

        run_cluster(scenario, instances=3, workers=4, task_ms=300.0)

    def test_log_shows_crash_suspects_and_verdict(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                instance = await cluster.wait_for_owner()
                cluster.crash_delays_ms[CRASHING_JOB] = 20.0
                await cluster.send(
                    instance, "POST", PREFIX + CRASHING_JOB, build_body(1)
                )
                await cluster.wait_for_state(instance, CRASHING_JOB, "failed")
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=3, task_ms=300.0)
        losses = [line for line in lines if line["event_name"] == "LOSS_ATTRIBUTED"]
        self.assertEqual({line["cause"] for line in losses}, {"crashed"})
        self.assertEqual(losses[0]["suspects"][0]["task"], f"{CRASHING_JOB}.0.0.0")
        verdict = find_line(lines, "CRASH_LOOP_FOUND")
        self.assertEqual(verdict["task"], f"{CRASHING_JOB}.0.0.0")
        self.assertEqual(verdict["crashes"], len(losses))
        self.assertEqual(count_lines(lines)["CRASH_LOOP_FOUND"], 1)
        self.assertEqual(find_line(lines, "JOB_FINISHED")["phase"], "failed")
