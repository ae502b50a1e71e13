"""Cost of calls between two instances: rate, processor time, bytes, batches.

Run from the root of the repository: ``python -m bench.inner``. Both instances run in
one process and one trio run, so the processor time is that of both ends together.
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
    """Count batches and frames where the queue hands them out."""
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


async def _answer(call) -> ServiceAnswer:
    return ServiceAnswer(status=200, body=call.message.body)


async def _call_for_ever(node: InnerNode) -> None:
    request = ServiceRequest(
        team="team", service="service", key=bytes(16), body=bytes(_BODY_BYTES)
    )
    while True:
        await node.call("two", request, timeout_ms=_TIMEOUT_MS)
        _counts.calls += 1


async def _measure_load(one: InnerNode, two: InnerNode, in_flight: int) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(_call_for_ever, one)
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


async def _measure_idle(one: InnerNode, two: InnerNode) -> None:
    bytes_before = one.bytes_received + two.bytes_received
    cpu_before = time.process_time()
    await trio.sleep(_IDLE_S)
    received = one.bytes_received + two.bytes_received - bytes_before
    cpu_s = time.process_time() - cpu_before
    print(
        f"idle: {received / _IDLE_S:.0f} bytes/s on one link, both directions;"
        f" {cpu_s / _IDLE_S * 1e6:.0f} us of processor time a second, both ends"
    )


async def _run() -> None:
    one, two = _build_node("one"), _build_node("two")
    two.handle(ServiceRequest, _answer)
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await nursery.start(two.run)
        one.set_peers([PeerAddress(instance_id="two", host=_HOST, port=two.port)])
        while one.peer_state("two") is not PeerState.UP:
            await trio.sleep(0.01)
        print("in flight   calls/s   CPU us a call bytes a call  frames/batch")
        for in_flight in _IN_FLIGHT:
            await _measure_load(one, two, in_flight)
        await _measure_idle(one, two)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    configure_logs(level="ERROR")
    _count_batches()
    trio.run(_run)
