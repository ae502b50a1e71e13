"""Whether one's own slowness is taken for another's silence."""

import json
import threading
import time
import unittest
from unittest import mock

import trio

from trefoilhook.clock import Clock, build_boot_clock
from trefoilhook.http import JsonClient
from trefoilhook.platform import LookRequest, WorkerClient
from trefoilhook.runtime import shard
from trefoilhook.runtime.lag import LoopLag
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.scheduling import Look, WorkerReport, plan_orders
from trefoilhook.scheduling.models import Demand
from trefoilhook.standins.platform_worker import PlatformWorker

JOB = "00000000000000a1"

BUSY_S = 0.07
"""How long the process is busy at a time, in s."""

TIMEOUT_MS = 150.0
"""Two busy times: a single turn of the event loop fits in, seven don't."""


class LoopLagTest(unittest.TestCase):
    """Lags, and the timeouts that follow from them."""

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

    def test_busy_owner_still_hears_a_sound_worker(self):
        # An owner is busy for 70 ms at a time. The worker answers
        # within milliseconds, but the owner comes to connect, send and read only in
        # between. With the bare timeout it took the worker for silent, each time.
        worker = _WorkerThread()
        self.addCleanup(worker.stop)
        self.assertNotIsInstance(trio.run(_look, worker, LoopLag()), Look)
        lag = LoopLag()
        lag.note(BUSY_S * 1000.0, build_boot_clock().monotonic_ms())
        self.assertIsInstance(trio.run(_look, worker, lag), Look)

    def test_owner_notes_its_own_lag(self):
        # The timer that the lag is read from was given up with the pause around it,
        # just when it was late: an owner that stood still for 200 ms noted nothing.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.send(owner, "POST", PREFIX + JOB, build_body())
            await cluster.wait_for_state(owner, JOB, "completed")
            read_lag = owner.process.figures.gauges["loop_lag_ms"]
            with trio.move_on_after(1.0):
                await _be_busy(0.2)
            self.assertGreater(read_lag(), 100.0)

        run_cluster(scenario, instances=1)

    def test_owner_notes_the_time_of_its_plans(self):
        # Plans over many tasks took half a second each, and no timer ran meanwhile: the
        # owner gave sound workers the bare time for their answers and lost them.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            with mock.patch.object(shard, "plan_orders", _plan_slowly):
                await cluster.send(owner, "POST", PREFIX + JOB, build_body())
                await cluster.wait_for_state(owner, JOB, "completed")
                read_lag = owner.process.figures.gauges["loop_lag_ms"]
                # Half of a lag is forgotten in a second: looked at after each turn.
                with trio.fail_after(10.0):
                    await cluster.wait_until(lambda: read_lag() > 200.0)

        run_cluster(scenario, instances=1)

    def test_orders_and_looks_follow_the_owners_lag(self):
        # The lag was read and nothing was given more time for it.
        timeouts = []

        async def exchange(client, method, path, *, timeout_ms, **fields):
            body = fields.get("body") or {}
            timeouts.append((path, timeout_ms - body.get("wait_ms", 0)))
            return await plain(client, method, path, timeout_ms=timeout_ms, **fields)

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            lag_ms = mock.patch.object(LoopLag, "read", lambda *_: 100.0)
            with lag_ms, mock.patch.object(JsonClient, "exchange", exchange):
                await cluster.send(owner, "POST", PREFIX + JOB, build_body())
                await cluster.wait_for_state(owner, JOB, "completed")

        plain = JsonClient.exchange
        run_cluster(scenario, instances=1)
        told = {path: ms for path, ms in timeouts if "kv-" not in path}
        self.assertEqual(set(told.values()), {1200.0})
        self.assertEqual(len(told), 2)

    def test_lag_does_not_keep_an_owner_that_is_over(self):
        # The gauge held the scheduler of each tenure that had ended, with all its jobs.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            await cluster.wait_until(
                lambda: "loop_lag_ms" in owner.process.figures.gauges
            )
            read_lag = owner.process.figures.gauges["loop_lag_ms"]
            held = [cell.cell_contents for cell in read_lag.__closure__]
            self.assertEqual({type(value) for value in held}, {LoopLag, Clock})

        run_cluster(scenario, instances=1)


class StartsInFlightTest(unittest.TestCase):
    """How many starts an owner sends at the same time."""

    def test_burst_of_starts_is_sent_in_turns(self):
        # A small owner sent 600 starts at once. The first answers timed out before it
        # came to read them, looks beside them, too, and 24 sound workers were given up.
        counts = []
        under_way = []

        async def count(order, *args, **fields):
            under_way.append(order)
            counts.append(len(under_way))
            try:
                return await plain(order, *args, **fields)
            finally:
                under_way.remove(order)

        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            steps = [{"count": 300, "cpu": 1, "mem_mb": 1, "estimate_ms": 50}]
            body = json.dumps({"spec": "x", "steps": steps}).encode()
            await cluster.send(owner, "POST", PREFIX + JOB, body)
            await cluster.wait_for_state(owner, JOB, "completed")

        plain = shard.carry_out
        with mock.patch.object(shard, "carry_out", count):
            run_cluster(scenario, instances=1)
        self.assertLessEqual(max(counts), 64)
        self.assertEqual(len(counts), 300)


def _plan_slowly(*args, **fields):
    time.sleep(0.25)
    return plan_orders(*args, **fields)


class _WorkerThread:
    """A worker with an event loop of its own, which a busy owner doesn't slow."""

    def __init__(self) -> None:
        self.worker = PlatformWorker(
            worker_id="w", clock=build_boot_clock(), task_ms=100.0
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


async def _look(thread: _WorkerThread, lag: LoopLag) -> object:
    clock = build_boot_clock()
    client = WorkerClient(
        report=_describe(thread.worker),
        read_timeout=lambda: lag.extend(TIMEOUT_MS, clock.monotonic_ms()),
    )
    request = LookRequest(token=1, acknowledged=0, deadline_ms=None, wait_ms=0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_be_busy, BUSY_S)
        answer = await client.look(request)
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


async def _be_busy(busy_s: float) -> None:
    while True:
        time.sleep(busy_s)  # The event loop stands still: that is what is tested.
        await trio.lowlevel.checkpoint()
