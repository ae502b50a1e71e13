"""Links between instances over real sockets: idle ones, and calls."""

import gc
import time
import tracemalloc

import trio

from bench.capacity.fit import Slope, fit_line
from trefoilhook.clock import build_system_clock
from trefoilhook.inner import InnerNode, InnerSettings, PeerAddress
from trefoilhook.inner.messages_pb2 import ServiceAnswer, ServiceRequest

__all__ = ["measure_calls", "measure_inner"]

NODES = (3, 6, 9, 12)
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


def _address(node):
    return PeerAddress(instance_id=node.instance_id, host=_HOST, port=node.port)


async def _run_mesh(size):
    """Measure a full mesh of instances that only keep their links."""
    clock = build_system_clock()
    nodes = _build_nodes(size, clock)
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await nursery.start(node.run)
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        peers = [_address(node) for node in nodes]
        for node in nodes:
            node.set_peers(peers)
        await trio.sleep(_SETTLE_S)
        received = sum(node.bytes_received for node in nodes)
        cpu_s = time.process_time()
        await trio.sleep(_RUN_S)
        cpu_us = (time.process_time() - cpu_s) / _RUN_S * 1e6
        moved = (sum(node.bytes_received for node in nodes) - received) / _RUN_S
        memory = tracemalloc.get_traced_memory()[0] - before
        nursery.cancel_scope.cancel()
    return cpu_us / size, 2 * moved / size, memory / size


async def _run_calls(calls_per_s):
    """Measure calls between two instances in one process, both ends together."""
    clock = build_system_clock()
    one, two = _build_nodes(2, clock)
    request = ServiceRequest(
        team="team", service="service", key=bytes(16), body=bytes(_BODY_BYTES)
    )
    done = 0

    async def answer(call):
        return ServiceAnswer(status=200, body=call.message.body)

    async def keep_calling():
        nonlocal done
        while True:
            await one.call(two.instance_id, request, timeout_ms=_TIMEOUT_MS)
            done += 1
            await trio.sleep(_CALLERS / calls_per_s)

    two.handle(ServiceRequest, answer)
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await nursery.start(two.run)
        one.set_peers([_address(two)])
        await trio.sleep(_SETTLE_S)
        for _ in range(_CALLERS):
            nursery.start_soon(keep_calling)
        await trio.sleep(_SETTLE_S)
        done, cpu_s = 0, time.process_time()
        await trio.sleep(_RUN_S)
        seen = done / _RUN_S, (time.process_time() - cpu_s) / _RUN_S * 1e6
        nursery.cancel_scope.cancel()
    return seen


def measure_calls() -> list[Slope]:
    """Measure calls between instances, by their rate."""
    seen = [trio.run(_run_calls, rate) for rate in CALLS_PER_S]
    return [
        fit_line(
            key="call_cpu",
            role="inner link",
            module="inner.calls, inner.transport",
            what="calls of 200 bytes, both ends",
            axis="calls/s",
            unit="us/s",
            sizes=[rate for rate, _ in seen],
            values=[cpu_us for _, cpu_us in seen],
        )
    ]


def measure_inner() -> list[Slope]:
    """Measure what idle links cost an instance, by the number of its peers."""
    peers = [size - 1 for size in NODES]
    seen = [trio.run(_run_mesh, size) for size in NODES]
    tracemalloc.start()
    traced = [trio.run(_run_mesh, size) for size in NODES[:3]]
    tracemalloc.stop()
    common = {"role": "inner link", "module": "inner.links, inner.transport"}
    return [
        fit_line(
            key=key,
            what=what,
            axis="peers",
            unit=unit,
            sizes=peers[: len(values)],
            values=values,
            **common,
        )
        for key, what, unit, values in (
            ("link_cpu", "idle links of an instance", "us/s", [s[0] for s in seen]),
            (
                "link_traffic",
                "idle links, sent and received",
                "bytes/s",
                [s[1] for s in seen],
            ),
            ("link_bytes", "memory of idle links", "bytes", [s[2] for s in traced]),
        )
    ]
