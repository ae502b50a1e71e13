"""Links over real sockets: to workers, between instances, and the list of backends."""

import gc
import multiprocessing
import time
import tracemalloc

import attrs
import trio

from bench.capacity.fit import Slope, fit_line, time_call
from bench.capacity.shard import build_records
from trefoilhook.clock import build_system_clock
from trefoilhook.inner import InnerNode, InnerSettings, PeerAddress
from trefoilhook.instances import BackendPage
from trefoilhook.jobs import JobSettings
from trefoilhook.jobs.messages import WorkerAddress
from trefoilhook.jobs.sessions import WorkerSession
from trefoilhook.logs import configure_logs
from trefoilhook.platform import decode_answer
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import ShardKind, find_shard
from trefoilhook.standins import WorkerSettings, WorkerStandin
from trefoilhook.standins.core import encode_answer
from trefoilhook.workers import WorkerClient

__all__ = ["measure_inner", "measure_list", "measure_workers"]

SESSIONS = (20, 40, 80)
NODES = (3, 6, 9, 12)
LISTED = (500, 1_000, 2_000, 4_000)
_HOST = "127.0.0.1"
_RENEW_MS = 100.0
_SETTLE_S = 1.5
_RUN_S = 4.0
_TIMEOUT_MS = 5_000.0
_SHARDS = ShardSettings(request_shards=64, worker_shards=64)


@attrs.define(kw_only=True)
class _Traffic:
    sent_bytes: int = 0
    received_bytes: int = 0
    sends: int = 0


def _count_traffic(traffic):
    """Count what passes through trio's sockets; returns what ends it."""
    send_all, receive_some = trio.SocketStream.send_all, trio.SocketStream.receive_some

    async def send(self, data):
        traffic.sent_bytes += len(data)
        traffic.sends += 1
        await send_all(self, data)

    async def receive(self, max_bytes=None):
        data = await receive_some(self, max_bytes)
        traffic.received_bytes += len(data)
        return data

    def restore():
        trio.SocketStream.send_all = send_all
        trio.SocketStream.receive_some = receive_some

    trio.SocketStream.send_all = send
    trio.SocketStream.receive_some = receive
    return restore


def _serve_workers(count, pipe):
    """Be some workers until told to end."""
    configure_logs(level="CRITICAL")

    async def run():
        async with trio.open_nursery() as nursery:
            ports = []
            for number in range(count):
                worker = WorkerStandin(
                    clock=build_system_clock(),
                    settings=WorkerSettings(worker_id=f"w-{number}"),
                )
                ports.append(await nursery.start(worker.run))
            pipe.send(ports)
            await trio.to_thread.run_sync(pipe.recv)
            nursery.cancel_scope.cancel()

    trio.run(run)


@attrs.frozen(kw_only=True)
class _Renewals:
    per_s: float
    cpu_us_per_s: float
    bytes_per_s: float
    memory_bytes: int


async def _run_sessions(ports):
    clock = build_system_clock()
    settings = JobSettings(renew_interval_ms=_RENEW_MS)
    sender, receiver = trio.open_memory_channel(10_000)
    traffic = _Traffic()

    async def drain():
        async for _ in receiver:
            pass

    def open_session(number, port):
        worker_id = f"w-{number}"
        return WorkerSession(
            address=WorkerAddress(worker_id=worker_id, host=_HOST, port=port),
            client=WorkerClient(
                worker_id=worker_id,
                host=_HOST,
                port=port,
                clock=clock,
                timeout_ms=_TIMEOUT_MS,
            ),
            owner_id="i-1",
            shard_epoch=1,
            may_act=lambda: True,
            clock=clock,
            settings=settings,
            events=sender,
        )

    restore = _count_traffic(traffic)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain)
            for number, port in enumerate(ports):
                nursery.start_soon(open_session(number, port).run)
            await trio.sleep(_SETTLE_S)
            renewals, cpu_s = traffic.sends, time.process_time()
            moved = traffic.sent_bytes + traffic.received_bytes
            await trio.sleep(_RUN_S)
            seen = _Renewals(
                per_s=(traffic.sends - renewals) / _RUN_S,
                cpu_us_per_s=(time.process_time() - cpu_s) / _RUN_S * 1e6,
                bytes_per_s=(traffic.sent_bytes + traffic.received_bytes - moved)
                / _RUN_S,
                memory_bytes=tracemalloc.get_traced_memory()[0],
            )
            nursery.cancel_scope.cancel()
    finally:
        restore()
    return seen


def _observe_sessions(count, *, is_traced=False):
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=_serve_workers, args=(count, other), daemon=True)
    process.start()
    try:
        ports = pipe.recv()
        if is_traced:
            gc.collect()
            tracemalloc.start()
        return trio.run(_run_sessions, ports)
    finally:
        tracemalloc.stop()
        pipe.send("end")
        process.join()


def measure_workers() -> list[Slope]:
    """Measure the owner's side of sessions to workers in another process."""
    seen = [_observe_sessions(count) for count in SESSIONS]
    traced = [_observe_sessions(count, is_traced=True) for count in SESSIONS]
    rates = [each.per_s for each in seen]
    common = {"role": "worker link", "module": "jobs.sessions, workers.client"}
    return [
        fit_line(
            key="renew_cpu",
            what="renewals, the owner's side",
            axis="renewals/s",
            unit="us/s",
            sizes=rates,
            values=[each.cpu_us_per_s for each in seen],
            **common,
        ),
        fit_line(
            key="renew_bytes",
            what="renewals, both directions, above TCP",
            axis="renewals/s",
            unit="bytes/s",
            sizes=rates,
            values=[each.bytes_per_s for each in seen],
            **common,
        ),
        fit_line(
            key="session_bytes",
            what="memory of sessions and their connections",
            axis="workers",
            unit="bytes",
            sizes=SESSIONS,
            values=[each.memory_bytes for each in traced],
            **common,
        ),
    ]


async def _run_mesh(size):
    """Measure a full mesh of instances that only keep their links."""
    clock = build_system_clock()
    nodes = [
        InnerNode(
            instance_id=f"node-{number}",
            host=_HOST,
            port=0,
            clock=clock,
            settings=InnerSettings(),
        )
        for number in range(size)
    ]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await nursery.start(node.run)
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        peers = [
            PeerAddress(instance_id=node.instance_id, host=_HOST, port=node.port)
            for node in nodes
        ]
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


def measure_list() -> list[Slope]:
    """Measure one reading of the instance list, and one filtering by shard."""
    pages = [
        BackendPage(executors=(), workers=build_records(count), age_ms=0.0)
        for count in LISTED
    ]
    answers = [encode_answer(page) for page in pages]

    def filter_workers(page):
        return [
            record
            for record in page.workers
            if find_shard(ShardKind.WORKER, record.rack.encode(), _SHARDS) == "wrk-007"
        ]

    rows = (
        (
            "list_bytes",
            "a reading of the instance list",
            "daemon.backends",
            "bytes",
            [len(answer.body) for answer in answers],
        ),
        (
            "list_cpu",
            "the same, decoded",
            "instances.client",
            "us",
            [time_call(lambda a=a: decode_answer(a, BackendPage)) for a in answers],
        ),
        (
            "list_filter",
            "workers of one shard picked out",
            "jobs.service",
            "us",
            [time_call(lambda p=p: filter_workers(p)) for p in pages],
        ),
    )
    return [
        fit_line(
            key=key,
            role="entry",
            what=what,
            module=module,
            axis="workers listed",
            unit=unit,
            sizes=LISTED,
            values=values,
        )
        for key, what, module, unit, values in rows
    ]
