"""Tests that orders for urgent tasks do not wait for those for fillers."""

import contextlib
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
    """Slots of an owner with more orders than it may send at the same time."""

    def list_sent(self, orders, *, answered: int = 0) -> list:
        """Return the orders that are sent, in order.

        Only the first ``answered`` of them are answered, once all are requested.
        """
        sent = []

        async def send(slots, order, are_answered):
            async with slots.hold(order):
                sent.append(order)
                if len(sent) > answered:
                    await trio.sleep_forever()
                await are_answered.wait()

        async def scenario():
            slots = OrderSlots()
            are_answered = trio.Event()
            async with trio.open_nursery() as nursery:
                for each in orders:
                    nursery.start_soon(send, slots, each, are_answered)
                    await trio.testing.wait_all_tasks_blocked()
                are_answered.set()
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(scenario)
        return sent

    def test_urgent_start_is_sent_before_waiting_fillers(self):
        # Guards against an urgent start that queues behind hundreds of filler starts.
        fillers = [_build_start(is_filler=True) for _ in range(200)]
        urgent = _build_start(is_filler=False)
        sent = self.list_sent([*fillers, urgent], answered=3)
        # Eight slots are not for fillers.
        self.assertEqual(sent[56], urgent)
        urgent_starts = [urgent] * 9
        sent = self.list_sent([*fillers, *urgent_starts], answered=3)
        self.assertEqual(sent[56:65], urgent_starts)

    def test_starts_are_limited(self):
        # Guards against a burst of starts that blocks a small owner.
        for is_filler, limit in ((False, 64), (True, 56)):
            with self.subTest(is_filler=is_filler):
                orders = [_build_start(is_filler=is_filler) for _ in range(100)]
                self.assertEqual(len(self.list_sent(orders)), limit)
                self.assertEqual(len(self.list_sent(orders, answered=10)), limit + 10)

    def test_paces_are_limited_and_stops_are_not(self):
        # Guards against hundreds of pace orders in one turn of the event loop, and
        # against a stop that waits for them.
        pace = PaceOrder(
            worker_id="w", task=TaskId("j", 0, 0, 0), attempt=1, percent=50, token=1
        )
        stop = StopOrder(worker_id="w", task=TaskId("j", 0, 0, 0), attempt=1, token=1)
        sent = self.list_sent([pace] * 100 + [stop] * 100)
        self.assertEqual(sent.count(pace), 64)
        self.assertEqual(sent.count(stop), 100)

    def test_slot_of_a_cancelled_order_is_released(self):
        # Guards against slots that are lost with the orders that waited for them.
        async def take(slots, cancel_scope):
            with cancel_scope:
                async with slots.hold(_build_start(is_filler=False)):
                    await trio.sleep_forever()

        async def scenario() -> None:
            slots = OrderSlots()
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    scopes = [trio.CancelScope() for _ in range(100)]
                    for scope in scopes:
                        nursery.start_soon(take, slots, scope)
                    await trio.testing.wait_all_tasks_blocked()
                    for scope in scopes:
                        scope.cancel()
                    await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(1.0):
                    async with contextlib.AsyncExitStack() as held:
                        for _ in range(64):
                            order = _build_start(is_filler=False)
                            await held.enter_async_context(slots.hold(order))

        trio.run(scenario)


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
