"""Costs of idle links and of calls between instances, over real sockets."""

import gc
import time
import tracemalloc

import trio

from bench.capacity.fit import Slope, fit_line
from trefoilhook.clock import build_system_clock
from trefoilhook.inner import InnerNode, InnerSettings, PeerAddress
from trefoilhook.inner.messages_pb2 import ServiceAnswer, ServiceRequest

__all__ = ["measure_calls", "measure_inner"]

MESH_SIZES = (3, 6, 9, 12)
CALLS_PER_S = (100, 200, 400)
_HOST = "127.0.0.1"
_CALLERS = 20
_BODY_BYTES = 200
_TIMEOUT_MS = 5_000.0
_SETTLE_S = 5.0
_RUN_S = 3.0


def _build_nodes(count, clock):
    return [
        InnerNode(
            instance_id=f"node-{number}",
            host=_HOST,
            port=0,
            clock=clock,
            settings=InnerSettings(),
        )
        for number in range(count)
    ]


def _build_address(node):
    return PeerAddress(instance_id=node.instance_id, host=_HOST, port=node.port)


async def _run_mesh(size):
    """Measure a full mesh of instances with idle links."""
    clock = build_system_clock()
    nodes = _build_nodes(size, clock)
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await nursery.start(node.run)
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        peers = [_build_address(node) for node in nodes]
        for node in nodes:
            node.set_peers(peers)
        await trio.sleep(_SETTLE_S)
        received_before = sum(node.bytes_received for node in nodes)
        cpu_s = time.process_time()
        await trio.sleep(_RUN_S)
        cpu_us = (time.process_time() - cpu_s) / _RUN_S * 1e6
        received_per_s = (
            sum(node.bytes_received for node in nodes) - received_before
        ) / _RUN_S
        memory = tracemalloc.get_traced_memory()[0] - before
        nursery.cancel_scope.cancel()
    return cpu_us / size, 2 * received_per_s / size, memory / size


async def _run_calls(calls_per_s):
    """Measure calls between two instances that share one process."""
    clock = build_system_clock()
    one, two = _build_nodes(2, clock)
    request = ServiceRequest(
        team="team", service="service", key=bytes(16), body=bytes(_BODY_BYTES)
    )
    done = 0

    async def answer(call):
        return ServiceAnswer(status=200, body=call.message.body)

    async def call_repeatedly():
        nonlocal done
        while True:
            await one.call(two.instance_id, request, timeout_ms=_TIMEOUT_MS)
            done += 1
            await trio.sleep(_CALLERS / calls_per_s)

    two.register_handler(ServiceRequest, answer)
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await nursery.start(two.run)
        one.set_peers([_build_address(two)])
        await trio.sleep(_SETTLE_S)
        for _ in range(_CALLERS):
            nursery.start_soon(call_repeatedly)
        await trio.sleep(_SETTLE_S)
        done, cpu_s = 0, time.process_time()
        await trio.sleep(_RUN_S)
        result = done / _RUN_S, (time.process_time() - cpu_s) / _RUN_S * 1e6
        nursery.cancel_scope.cancel()
    return result


def measure_calls() -> list[Slope]:
    """Measure calls between instances by call rate."""
    results = [trio.run(_run_calls, rate) for rate in CALLS_PER_S]
    return [
        fit_line(
            key="call_cpu",
            role="inner link",
            module="inner.calls, inner.transport",
            description="calls of 200 bytes, both ends",
            axis="calls/s",
            unit="us/s",
            sizes=[rate for rate, _ in results],
            values=[cpu_us for _, cpu_us in results],
        )
    ]


def measure_inner() -> list[Slope]:
    """Measure the cost of idle links of an instance by number of peers."""
    peers = [size - 1 for size in MESH_SIZES]
    results = [trio.run(_run_mesh, size) for size in MESH_SIZES]
    tracemalloc.start()
    traced_results = [trio.run(_run_mesh, size) for size in MESH_SIZES[:3]]
    tracemalloc.stop()
    common = {"role": "inner link", "module": "inner.links, inner.transport"}
    return [
        fit_line(
            key=key,
            description=description,
            axis="peers",
            unit=unit,
            sizes=peers[: len(values)],
            values=values,
            **common,
        )
        for key, description, unit, values in (
            ("link_cpu", "idle links of an instance", "us/s", [s[0] for s in results]),
            (
                "link_traffic",
                "idle links, sent and received",
                "bytes/s",
                [s[1] for s in results],
            ),
            (
                "link_bytes",
                "memory of idle links",
                "bytes",
                [s[2] for s in traced_results],
            ),
        )
    ]
