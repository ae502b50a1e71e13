"""End-to-end tests of unexpected exceptions in the owner of a shard."""

import unittest
from unittest import mock

import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines
from trefoilhook.runtime import shard
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster

JOB = "00000000000000f1"


class OwnerFailureTest(unittest.TestCase):
    """An owner that fails gives up the shard; its process goes on."""

    def test_failed_owner_does_not_end_its_process(self):
        # Guards against one fault in planning that ends each process in turn.
        plan = shard.plan_orders
        failures = [KeyError("a"), KeyError("b")]

        def plan_after_failures(*args, **kwargs):
            if failures:
                raise failures.pop()
            return plan(*args, **kwargs)

        async def scenario(cluster: Cluster) -> None:
            first, second = cluster.instances
            for instance in (first, second):
                answer = await cluster.send(
                    instance, "POST", PREFIX + JOB, build_body(2)
                )
                self.assertEqual(answer.status, 200)
            await cluster.wait_for_state(first, JOB, "completed")
            self.assertFalse(first.ended.is_set() or second.ended.is_set())
            self.assertEqual(cluster.find_duplicate_runs(), [])
            failed = sum(
                instance.process.metrics.counters["owner_failures", "KeyError"]
                for instance in cluster.instances
            )
            self.assertEqual(failed, 2)
            await trio.sleep(0.1)

        with (
            mock.patch.object(shard, "plan_orders", plan_after_failures),
            capture_lines() as lines,
        ):
            run_cluster(scenario)
        counts = count_lines(lines)
        self.assertEqual(counts["OWNER_FAILED"], 2)
        self.assertEqual(counts["SHARD_CLAIMED"], 3)
