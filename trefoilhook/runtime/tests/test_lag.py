"""Tests that a slow owner does not treat healthy workers as unresponsive."""

import json
import threading
import time
import unittest
from unittest import mock

import trio

from trefoilhook.clock import Clock, build_boottime_clock
from trefoilhook.http import JsonClient
from trefoilhook.platform import PollRequest, WorkerClient
from trefoilhook.runtime import shard
from trefoilhook.runtime.lag import LoopLag
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.scheduling import (
    OrderOutcome,
    PollAnswer,
    TaskId,
    WorkerReport,
    plan_orders,
)
from trefoilhook.scheduling.models import Demand
from trefoilhook.standins.platform_worker import PlatformWorker

JOB = "00000000000000a1"

BUSY_S = 0.07
"""Time for which the event loop is blocked at once, in s."""

TIMEOUT_MS = 150.0
"""Timeout that allows one iteration of the blocked event loop, but not seven, in ms."""


class LoopLagTest(unittest.TestCase):
    """Lag measurement, and timeouts extended by the lag."""

    def test_timeouts_follow_the_lag(self):
        table = (
            ("no lag", 0.0, 0.0, 600.0),
            ("seven turns of a lag", 40.0, 0.0, 880.0),
            ("half of it is forgotten in a second", 40.0, 1000.0, 740.0),
            ("never more than the bound", 10_000.0, 0.0, 1200.0),
        )
        for name, lag_ms, passed_ms, expected_ms in table:
            with self.subTest(name):
                lag = LoopLag()
                lag.note(lag_ms, 5000.0)
                timeout_ms = lag.extend(600.0, 5000.0 + passed_ms)
                self.assertAlmostEqual(timeout_ms, expected_ms)

    def test_small_lag_does_not_hide_a_large_one(self):
        lag = LoopLag()
        lag.note(400.0, 5000.0)
        lag.note(1.0, 5100.0)
        self.assertGreater(lag.read(5100.0), 350.0)

    def test_blocked_owner_still_polls_a_healthy_worker(self):
        # Guards against a timeout caused by the owner itself: its event loop is blocked
        # for 70 ms at a time, so connecting, sending and reading take longer than the
        # unextended timeout, although the worker answers within milliseconds.
        worker = _WorkerThread()
        self.addCleanup(worker.stop)
        self.assertNotIsInstance(trio.run(_poll, worker, LoopLag()), PollAnswer)
        lag = LoopLag()
        lag.note(BUSY_S * 1000.0, build_boottime_clock().monotonic_ms())
        self.assertIsInstance(trio.run(_poll, worker, lag), PollAnswer)

    def test_owner_records_its_own_lag(self):
        # Guards against a lag that is not recorded because the timer that measures it
        # is cancelled by a surrounding timeout when it fires late.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + JOB, build_body())
            await cluster.wait_for_state(owner, JOB, "completed")
            read_lag = owner.process.metrics.gauges["loop_lag_ms"]
            with trio.move_on_after(1.0):
                await _block_loop(0.2)
            self.assertGreater(read_lag(), 100.0)

        run_cluster(scenario, instances=1)

    def test_owner_records_planning_time(self):
        # Guards against planning time that is missing from the lag. No timer runs while
        # a plan blocks the event loop, so timeouts would not be extended, and healthy
        # workers would be lost.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            with mock.patch.object(shard, "plan_orders", _plan_slowly):
                await cluster.send(owner, "POST", PREFIX + JOB, build_body())
                await cluster.wait_for_state(owner, JOB, "completed")
                read_lag = owner.process.metrics.gauges["loop_lag_ms"]
                # The lag decays by half within 1 s, so it is checked continuously.
                with trio.fail_after(10.0):
                    await cluster.wait_until(lambda: read_lag() > 200.0)

        run_cluster(scenario, instances=1)

    def test_timeouts_of_orders_and_polls_include_the_lag(self):
        # Guards against a lag that is measured but not added to the timeouts of calls.
        timeouts = []

        async def send_request(client, method, path, *, timeout_ms, **fields):
            body = fields.get("body") or {}
            timeouts.append((path, timeout_ms - body.get("wait_ms", 0)))
            return await original(client, method, path, timeout_ms=timeout_ms, **fields)

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            lag_ms = mock.patch.object(LoopLag, "read", lambda *_: 100.0)
            with lag_ms, mock.patch.object(JsonClient, "send_request", send_request):
                await cluster.send(owner, "POST", PREFIX + JOB, build_body())
                await cluster.wait_for_state(owner, JOB, "completed")

        original = JsonClient.send_request
        run_cluster(scenario, instances=1)
        logged = {path: ms for path, ms in timeouts if "kv-" not in path}
        self.assertEqual(set(logged.values()), {1200.0})
        self.assertEqual(len(logged), 2)

    def test_lag_gauge_does_not_keep_a_previous_owner_alive(self):
        # Guards against a memory leak: a gauge that refers to the owner keeps the
        # scheduler with all its jobs alive after the ownership has ended.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.wait_until(
                lambda: "loop_lag_ms" in owner.process.metrics.gauges
            )
            read_lag = owner.process.metrics.gauges["loop_lag_ms"]
            held = [cell.cell_contents for cell in read_lag.__closure__]
            self.assertEqual({type(value) for value in held}, {LoopLag, Clock})

        run_cluster(scenario, instances=1)


class StartsInFlightTest(unittest.TestCase):
    """Limit on concurrent start orders."""

    def test_concurrent_starts_are_limited(self):
        # Guards against a burst of start orders that blocks a small owner until the
        # first orders and concurrent polls time out: 600 starts at once caused the loss
        # of 24 healthy workers.
        counts = []
        in_flight = []
        outcomes: dict[TaskId, list[OrderOutcome]] = {}

        async def count(order, *args, **fields):
            in_flight.append(order)
            counts.append(len(in_flight))
            try:
                outcome = await original(order, *args, **fields)
            finally:
                in_flight.remove(order)
            outcomes.setdefault(order.task, []).append(outcome)
            return outcome

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            steps = [{"count": 300, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}]
            body = json.dumps({"spec": "x", "steps": steps}).encode()
            await cluster.send(owner, "POST", PREFIX + JOB, body)
            await cluster.wait_for_state(owner, JOB, "completed")

        original = shard.execute_order
        with mock.patch.object(shard, "execute_order", count):
            run_cluster(scenario, instances=1)
        self.assertLessEqual(max(counts), 64)
        self.assertEqual(len(outcomes), 300)
        # Only a start that was not sent or not answered is repeated.
        repeated = [
            each for each in outcomes.values() if OrderOutcome.DONE in each[:-1]
        ]
        self.assertEqual(repeated, [])


def _plan_slowly(*args, **fields):
    time.sleep(0.25)
    return plan_orders(*args, **fields)


class _WorkerThread:
    """A worker with its own event loop, which is not blocked with the owner's."""

    def __init__(self) -> None:
        self.worker = PlatformWorker(
            worker_id="w", clock=build_boottime_clock(), task_ms=100.0
        )
        self._is_up = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,))
        self._thread.start()
        self._is_up.wait()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.worker.run)
            self._token = trio.lowlevel.current_trio_token()
            self._cancel = nursery.cancel_scope.cancel
            self._is_up.set()

    def stop(self) -> None:
        """End the worker."""
        self._token.run_sync_soon(self._cancel)
        self._thread.join()


async def _poll(thread: _WorkerThread, lag: LoopLag) -> object:
    clock = build_boottime_clock()
    client = WorkerClient(
        report=_describe(thread.worker),
        read_timeout=lambda: lag.extend(TIMEOUT_MS, clock.monotonic_ms()),
    )
    request = PollRequest(token=1, acknowledged=0, deadline_ms=None, wait_ms=0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_block_loop, BUSY_S)
        answer = await client.poll(request)
        nursery.cancel_scope.cancel()
    await client.close()
    return answer


def _describe(worker: PlatformWorker) -> WorkerReport:
    return WorkerReport(
        worker_id=worker.worker_id,
        service="s",
        host="127.0.0.1",
        port=worker.server.port,
        failure_domain="z",
        capacity=Demand(),
    )


async def _block_loop(busy_s: float) -> None:
    while True:
        time.sleep(busy_s)  # Blocks the event loop on purpose.
        await trio.lowlevel.checkpoint()
