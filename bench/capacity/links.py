"""Costs of worker sessions over real sockets and of reading the instance list."""

import gc
import itertools
import multiprocessing
import time
import tracemalloc

import attrs
import trio

from bench.capacity.fit import Slope, fit_line, time_call
from bench.capacity.shard import build_records
from trefoilhook.clock import build_system_clock
from trefoilhook.exchange import decode_response
from trefoilhook.instances import BackendSnapshot
from trefoilhook.jobs import JobSettings
from trefoilhook.jobs.listing import WorkerPartition
from trefoilhook.jobs.messages import WorkerAddress
from trefoilhook.jobs.sessions import WorkerSession
from trefoilhook.logs import configure_logs
from trefoilhook.settings import ShardSettings
from trefoilhook.standins import WorkerSettings, WorkerStandin
from trefoilhook.standins.core import encode_answer
from trefoilhook.workers import CommandKind, Resources, WorkerClient, WorkerCommand

__all__ = ["measure_list", "measure_workers"]

SESSION_COUNTS = (20, 40, 80)
LIST_SIZES = (500, 1_000, 2_000, 4_000)
_HOST = "127.0.0.1"
_RENEW_MS = 100.0
_SETTLE_S = 1.5
_RUN_S = 3.0
_TIMEOUT_MS = 5_000.0
_LEASE_MS = 60_000.0
_COMMAND_PAUSE_S = 0.1
_TASK_RESOURCES = Resources(cores=0.01, memory_bytes=1_000)
_SHARDS = ShardSettings(request_shards=64, worker_shards=64)


@attrs.define(kw_only=True)
class _Traffic:
    sent_bytes: int = 0
    received_bytes: int = 0
    sends: int = 0


def _count_traffic(traffic):
    """Count the traffic of trio's socket streams; return a function that stops it."""
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
    """Run worker stand-ins in this process until the pipe receives a message."""
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


async def _run_commands(ports):
    """Repeatedly start and acknowledge a short task on each worker."""
    clock = build_system_clock()
    done = 0

    async def start_repeatedly(number, port):
        nonlocal done
        client = WorkerClient(
            worker_id=f"w-{number}",
            host=_HOST,
            port=port,
            clock=clock,
            timeout_ms=_TIMEOUT_MS,
        )
        await client.acquire_lease("i-1", 1, _LEASE_MS)
        for sequence in itertools.count(1):
            for kind in (CommandKind.START, CommandKind.ACKNOWLEDGE):
                command = WorkerCommand(
                    kind=kind,
                    job_id=f"job-{sequence:08d}",
                    attempt_epoch=1,
                    attempt_sequence=sequence,
                    resources=_TASK_RESOURCES if kind is CommandKind.START else None,
                    task_class="roster",
                    declared_run_ms=1.0,
                    payload='{"run_ms": 1}',
                )
                await client.command(1, [command])
                done += 1
                await trio.sleep(_COMMAND_PAUSE_S)

    async with trio.open_nursery() as nursery:
        for number, port in enumerate(ports):
            nursery.start_soon(start_repeatedly, number, port)
        await trio.sleep(_SETTLE_S)
        done, cpu_s = 0, time.process_time()
        await trio.sleep(_RUN_S)
        result = done / _RUN_S, (time.process_time() - cpu_s) / _RUN_S * 1e6
        nursery.cancel_scope.cancel()
    return result


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
            sends_before, cpu_s = traffic.sends, time.process_time()
            bytes_before = traffic.sent_bytes + traffic.received_bytes
            await trio.sleep(_RUN_S)
            result = _Renewals(
                per_s=(traffic.sends - sends_before) / _RUN_S,
                cpu_us_per_s=(time.process_time() - cpu_s) / _RUN_S * 1e6,
                bytes_per_s=(traffic.sent_bytes + traffic.received_bytes - bytes_before)
                / _RUN_S,
                memory_bytes=tracemalloc.get_traced_memory()[0],
            )
            nursery.cancel_scope.cancel()
    finally:
        restore()
    return result


def _measure_sessions(count, *, run=_run_sessions, is_traced=False):
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    process = context.Process(target=_serve_workers, args=(count, other), daemon=True)
    process.start()
    try:
        ports = pipe.recv()
        if is_traced:
            gc.collect()
            tracemalloc.start()
        return trio.run(run, ports)
    finally:
        tracemalloc.stop()
        pipe.send("end")
        process.join()


def measure_workers() -> list[Slope]:
    """Measure the owner's cost of sessions to workers in another process."""
    renewals = [_measure_sessions(count) for count in SESSION_COUNTS]
    traced = [_measure_sessions(count, is_traced=True) for count in SESSION_COUNTS]
    commands = [_measure_sessions(count, run=_run_commands) for count in SESSION_COUNTS]
    rates = [each.per_s for each in renewals]
    common = {"role": "worker link", "module": "jobs.sessions, workers.client"}
    return [
        fit_line(
            key="renew_cpu",
            description="renewals, the owner's side",
            axis="renewals/s",
            unit="us/s",
            sizes=rates,
            values=[each.cpu_us_per_s for each in renewals],
            **common,
        ),
        fit_line(
            key="command_cpu",
            description="commands of one start or acknowledgement, the owner's side",
            axis="commands/s",
            unit="us/s",
            sizes=[rate for rate, _ in commands],
            values=[cpu_us for _, cpu_us in commands],
            **common,
        ),
        fit_line(
            key="renew_bytes",
            description="renewals, both directions, above TCP",
            axis="renewals/s",
            unit="bytes/s",
            sizes=rates,
            values=[each.bytes_per_s for each in renewals],
            **common,
        ),
        fit_line(
            key="session_bytes",
            description="memory of sessions and their connections",
            axis="workers",
            unit="bytes",
            sizes=SESSION_COUNTS,
            values=[each.memory_bytes for each in traced],
            **common,
        ),
    ]


def measure_list() -> list[Slope]:
    """Measure reading the instance list and splitting its workers by shard."""
    pages = [
        BackendSnapshot(executors=(), workers=build_records(count), age_ms=0.0)
        for count in LIST_SIZES
    ]
    answers = [encode_answer(page) for page in pages]

    def split_workers(page):
        return WorkerPartition(shards=_SHARDS).select(page.workers, "wrk-007")

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
            [
                time_call(lambda a=a: decode_response(a, BackendSnapshot))
                for a in answers
            ],
        ),
        (
            "list_filter",
            "workers split by shard",
            "jobs.listing",
            "us",
            [time_call(lambda p=p: split_workers(p)) for p in pages],
        ),
    )
    return [
        fit_line(
            key=key,
            role="entry",
            description=description,
            module=module,
            axis="workers listed",
            unit=unit,
            sizes=LIST_SIZES,
            values=values,
        )
        for key, description, module, unit, values in rows
    ]
