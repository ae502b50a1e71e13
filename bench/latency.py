"""Latency added by the system at low load, compared with direct executor calls.

Run from the root of the repository: ``python -m bench.latency``. Three instances run as
processes, as nine would overload a small machine; the cost of an inner hop is the same.
Callers pause between requests, so that requests do not queue. Direct calls use the same
client over one connection.
"""

import time

import numpy as np
import trio

from bench.callers import format_key
from bench.system import System, format_quantiles, run_system
from trefoilhook.daemon.tests.processes import TEAM
from trefoilhook.executors import ExecutorClient
from trefoilhook.requests import generate_key

_SERVICE = "seat-check"
_EXECUTORS = 24
_SERVICE_TIME_MS = 5.0
_DURATION_S = 10.0
_CALLERS = 2
_THINK_MS = 40.0
_DIRECT_RUNS = 400
_WARM_UP_RUNS = 30


async def _measure_direct(system: System) -> list[float]:
    """Return the latencies of direct calls to one executor, in ms."""
    record = system.platform.instance_list.lists.executors[0]
    client = ExecutorClient(
        executor_id=record.executor_id, host=record.host, port=record.port
    )
    latencies_ms = []
    for number in range(_DIRECT_RUNS):
        started = time.perf_counter()
        await client.run(
            b"seat", content_type="", timeout_ms=1_000, request_id=f"direct-{number}"
        )
        latencies_ms.append((time.perf_counter() - started) * 1000)
        await trio.sleep(_THINK_MS / 1000 / _CALLERS)
    await client.close()
    return latencies_ms[_WARM_UP_RUNS:]


async def _measure_first_requests(system: System) -> list[float]:
    """Return the latency of the first request on each instance, in ms."""
    latencies_ms = []
    for daemon in system.daemons:
        client = system.open_entry(daemon)
        key = format_key(generate_key())
        answer = await client.send(TEAM, _SERVICE, b"seat", key=key)
        latencies_ms.append(answer.latency_ms)
        await client.close()
    return latencies_ms


async def _measure(system: System) -> None:
    await system.add_executors(_SERVICE, _EXECUTORS)
    await trio.sleep(1)
    first_ms = await _measure_first_requests(system)
    await trio.sleep(1)
    direct_ms = await _measure_direct(system)
    load = system.build_load(
        system.daemons[0],
        _SERVICE,
        callers=_CALLERS,
        duration_s=_DURATION_S,
        think_ms=_THINK_MS,
    )
    result = await system.run_load(load)
    own_shards = await system.list_shards(system.daemons[0])
    own_load = system.build_load(
        system.daemons[0],
        _SERVICE,
        callers=_CALLERS,
        duration_s=_DURATION_S,
        think_ms=_THINK_MS,
        shards=own_shards,
    )
    own_result = await system.run_load(own_load)
    print("way                             p50      p99  answers")
    print(f"executor alone             {format_quantiles(direct_ms)}")
    print(f"key owned by the entry     {format_quantiles(own_result.latencies_ms)}")
    print(f"any key                    {format_quantiles(result.latencies_ms)}")
    added = [
        float(
            np.percentile(result.latencies_ms, share) - np.percentile(direct_ms, share)
        )
        for share in (50, 99)
    ]
    print(f"added, any key: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms")
    first_text = ", ".join(f"{each:.0f}" for each in first_ms)
    print(f"first request on each instance: {first_text} ms")
    print("codes:", result.codes, own_result.codes)


if __name__ == "__main__":
    run_system(_measure, daemons=3, service_time_ms=_SERVICE_TIME_MS)
