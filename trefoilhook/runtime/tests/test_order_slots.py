"""Tests that orders for urgent tasks do not wait for those for fillers."""

import json
import unittest
from unittest import mock

import trio
import trio.testing

from trefoilhook.runtime import shard
from trefoilhook.runtime.order_slots import OrderSlots
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.scheduling import (
    PaceOrder,
    StartOrder,
    StopOrder,
    TaskId,
    plan_orders,
)

_BATCH_JOB = "00000000000000b1"
_URGENT_JOB = "00000000000000a1"

_BATCH_BODY = json.dumps(
    {
        "spec": "x",
        "steps": [
            {"count": 100, "cpu": 1, "mem_mb": 1, "estimate_ms": 50, "fill_count": 1}
        ],
    }
).encode()


def _build_start(*, is_filler: bool) -> StartOrder:
    return StartOrder(
        worker_id="w",
        task=TaskId("j", 0, 0, 0),
        attempt=1,
        spec="x",
        deadline_ms=0.0,
        token=1,
        is_filler=is_filler,
    )


class OrderSlotsTest(unittest.TestCase):
    """Slots of an owner whose orders are not answered."""

    def count_sent(self, orders, *, after=()) -> int:
        """Return how many of the orders are sent while none is answered."""
        sent = []

        async def send(slots, order):
            async with slots.hold(order):
                sent.append(order)
                await trio.sleep_forever()

        async def scenario():
            slots = OrderSlots()
            async with trio.open_nursery() as nursery:
                for each in (*after, *orders):
                    nursery.start_soon(send, slots, each)
                    await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(scenario)
        return sum(order in orders for order in sent)

    def test_urgent_start_does_not_wait_for_fillers(self):
        # Guards against an urgent start that queues behind hundreds of filler starts.
        fillers = [_build_start(is_filler=True) for _ in range(200)]
        urgent = [_build_start(is_filler=False)]
        self.assertEqual(self.count_sent(urgent, after=fillers), 1)

    def test_starts_are_limited(self):
        # Guards against a burst of starts that blocks a small owner.
        for is_filler, limit in ((False, 64), (True, 40)):
            with self.subTest(is_filler=is_filler):
                orders = [_build_start(is_filler=is_filler) for _ in range(100)]
                self.assertEqual(self.count_sent(orders), limit)

    def test_paces_are_limited_and_stops_are_not(self):
        # Guards against hundreds of pace orders in one turn of the event loop, and
        # against a stop that waits for them.
        pace = PaceOrder(
            worker_id="w", task=TaskId("j", 0, 0, 0), attempt=1, percent=50, token=1
        )
        stop = StopOrder(worker_id="w", task=TaskId("j", 0, 0, 0), attempt=1, token=1)
        self.assertEqual(self.count_sent([pace] * 100), 64)
        self.assertEqual(self.count_sent([stop] * 100, after=[pace] * 100), 100)


class FillerPlanTest(unittest.TestCase):
    """Orders of an owner whose plans with fillers take long."""

    def test_urgent_tasks_are_placed_by_plans_without_fillers(self):
        # Guards against an urgent start that is sent only after a plan for hundreds of
        # fillers.
        placed_by: list[bool] = []

        def plan(scheduler, *, with_fillers: bool = True, **fields):
            orders = plan_orders(scheduler, with_fillers=with_fillers, **fields)
            job = scheduler.jobs.get(_URGENT_JOB)
            if job is not None and any(task.attempts for task in job.tasks.values()):
                placed_by.append(with_fillers)
            return orders

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            for job_id, body in (
                (_BATCH_JOB, _BATCH_BODY),
                (_URGENT_JOB, build_body(4)),
            ):
                await cluster.send(owner, "POST", PREFIX + job_id, body)
            for job_id in (_BATCH_JOB, _URGENT_JOB):
                await cluster.wait_for_state(owner, job_id, "completed")

        with mock.patch.object(shard, "plan_orders", plan):
            run_cluster(scenario, instances=1)
        self.assertFalse(placed_by[0])

    def test_urgent_job_is_done_while_filler_starts_are_not_answered(self):
        # Guards against slots that are all held by the starts of fillers.
        async def execute(order, *args, **fields):
            if isinstance(order, StartOrder) and order.is_filler:
                await trio.sleep_forever()
            return await original(order, *args, **fields)

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + _BATCH_JOB, _BATCH_BODY)
            await trio.sleep(0.5)
            await cluster.send(owner, "POST", PREFIX + _URGENT_JOB, build_body(4))
            await cluster.wait_for_state(owner, _URGENT_JOB, "completed")

        original = shard.execute_order
        with mock.patch.object(shard, "execute_order", execute):
            run_cluster(scenario, instances=1)


if __name__ == "__main__":
    unittest.main()
