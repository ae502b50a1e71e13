"""Rate, processor time, traffic and batch size of calls between two instances.

Run from the root of the repository: ``python -m bench.inner``. Both instances run in
one process and one trio run, so the processor time includes both ends.
"""

import time

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.inner import InnerNode, InnerSettings, PeerAddress, PeerState
from trefoilhook.inner.messages_pb2 import ServiceAnswer, ServiceRequest
from trefoilhook.inner.outbound import OutboundQueue
from trefoilhook.logs import configure_logs

_HOST = "127.0.0.1"
_RUN_S = 3.0
_WARM_UP_S = 0.5
_IDLE_S = 10.0
_SETTLE_S = 2.0
_STAGGER_S = 0.05
_MESH_INSTANCES = 9
_BODY_BYTES = 200
_IN_FLIGHT = (1, 8, 32, 128)
_TIMEOUT_MS = 60_000.0


@attrs.define(kw_only=True)
class _Counts:
    calls: int = 0
    batches: int = 0
    frames: int = 0


_counts = _Counts()


def _count_batches() -> None:
    """Patch the outbound queue to count batches and frames."""
    take_batch = OutboundQueue.take_batch

    def take_and_count(queue):
        batch = take_batch(queue)
        if batch is not None:
            _counts.batches += 1
            _counts.frames += len(batch.frames)
        return batch

    OutboundQueue.take_batch = take_and_count


def _build_node(instance_id: str) -> InnerNode:
    return InnerNode(
        instance_id=instance_id,
        host=_HOST,
        port=0,
        clock=build_system_clock(),
        settings=InnerSettings(),
    )


async def _echo(call) -> ServiceAnswer:
    return ServiceAnswer(status=200, body=call.message.body)


async def _call_repeatedly(node: InnerNode) -> None:
    request = ServiceRequest(
        team="team", service="service", key=bytes(16), body=bytes(_BODY_BYTES)
    )
    while True:
        await node.call("two", request, timeout_ms=_TIMEOUT_MS)
        _counts.calls += 1


async def _measure_load(one: InnerNode, two: InnerNode, in_flight: int) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(_call_repeatedly, one)
        await trio.sleep(_WARM_UP_S)
        _counts.calls = _counts.batches = _counts.frames = 0
        bytes_before = one.bytes_received + two.bytes_received
        wall_before, cpu_before = time.perf_counter(), time.process_time()
        await trio.sleep(_RUN_S)
        wall_s = time.perf_counter() - wall_before
        cpu_s = time.process_time() - cpu_before
        received = one.bytes_received + two.bytes_received - bytes_before
        calls = _counts.calls
        print(
            f"{in_flight:>9} {calls / wall_s:>9.0f} {cpu_s / calls * 1e6:>14.0f}"
            f" {received / calls:>12.0f} {_counts.frames / _counts.batches:>13.1f}"
        )
        nursery.cancel_scope.cancel()


async def _run_idle() -> None:
    """Measure a full mesh of instances with idle links."""
    nodes = [_build_node(f"node-{number}") for number in range(_MESH_INSTANCES)]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await nursery.start(node.run)
            await trio.sleep(_STAGGER_S)
        peers = [
            PeerAddress(instance_id=node.instance_id, host=_HOST, port=node.port)
            for node in nodes
        ]
        for node in nodes:
            node.set_peers(peers)
        await trio.sleep(_SETTLE_S)
        bytes_before = sum(node.bytes_received for node in nodes)
        cpu_before = time.process_time()
        await trio.sleep(_IDLE_S)
        received = sum(node.bytes_received for node in nodes) - bytes_before
        cpu_s = time.process_time() - cpu_before
        links = _MESH_INSTANCES * (_MESH_INSTANCES - 1)
        print(
            f"idle mesh of {_MESH_INSTANCES}: {received / links / _IDLE_S:.0f} bytes/s"
            f" a dialled link, both directions;"
            f" {cpu_s / _IDLE_S / _MESH_INSTANCES:.2%} of a core an instance"
        )
        nursery.cancel_scope.cancel()


async def _run() -> None:
    one, two = _build_node("one"), _build_node("two")
    two.register_handler(ServiceRequest, _echo)
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await nursery.start(two.run)
        one.set_peers([PeerAddress(instance_id="two", host=_HOST, port=two.port)])
        while one.get_peer_state("two") is not PeerState.UP:
            await trio.sleep(0.01)
        print("in flight   calls/s   CPU us a call bytes a call  frames/batch")
        for in_flight in _IN_FLIGHT:
            await _measure_load(one, two, in_flight)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    configure_logs(level="ERROR")
    _count_batches()
    trio.run(_run)
    trio.run(_run_idle)
