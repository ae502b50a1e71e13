"""Added latency of the system at low load, over that of the executor alone.

Run from the root of the repository: ``python -m bench.latency``. Three instances as
processes, for nine would starve a small machine; one inner hop is the same. Callers
pause between requests, so that none waits for another. The executor alone is called by
the same client over one connection.
"""

import time

import numpy as np
import trio

from bench.callers import format_key
from bench.system import System, format_quantiles, run_system
from trefoilhook.daemon.tests.processes import TEAM
from trefoilhook.executors import ExecutorClient
from trefoilhook.requests import mint_key

_SERVICE = "seat-check"
_EXECUTORS = 24
_SERVICE_TIME_MS = 5.0
_DURATION_S = 10.0
_CALLERS = 2
_THINK_MS = 40.0
_DIRECT_RUNS = 400
_WARM_RUNS = 30


async def _measure_direct(system: System) -> list[float]:
    """Call one executor without the system between."""
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
    return latencies_ms[_WARM_RUNS:]


async def _measure_first(system: System) -> list[float]:
    """Return the first request's latency on each instance, executors just owned."""
    latencies_ms = []
    for daemon in system.daemons:
        client = system.open_entry(daemon)
        key = format_key(mint_key())
        answer = await client.send(TEAM, _SERVICE, b"seat", key=key)
        latencies_ms.append(answer.latency_ms)
        await client.close()
    return latencies_ms


async def _measure(system: System) -> None:
    await system.add_executors(_SERVICE, _EXECUTORS)
    await trio.sleep(1)
    first_ms = await _measure_first(system)
    await trio.sleep(1)
    direct_ms = await _measure_direct(system)
    order = system.build_order(
        system.daemons[0],
        _SERVICE,
        callers=_CALLERS,
        duration_s=_DURATION_S,
        think_ms=_THINK_MS,
    )
    outcome = await system.call(order)
    own = await system.list_shards(system.daemons[0])
    own_order = system.build_order(
        system.daemons[0],
        _SERVICE,
        callers=_CALLERS,
        duration_s=_DURATION_S,
        think_ms=_THINK_MS,
        shards=own,
    )
    own_outcome = await system.call(own_order)
    print("way                             p50      p99  answers")
    print(f"executor alone             {format_quantiles(direct_ms)}")
    print(f"key owned by the entry     {format_quantiles(own_outcome.latencies_ms)}")
    print(f"any key                    {format_quantiles(outcome.latencies_ms)}")
    added = [
        float(
            np.percentile(outcome.latencies_ms, share) - np.percentile(direct_ms, share)
        )
        for share in (50, 99)
    ]
    print(f"added, any key: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms")
    told = ", ".join(f"{each:.0f}" for each in first_ms)
    print(f"first request on each instance: {told} ms")
    print("codes:", outcome.codes, own_outcome.codes)


if __name__ == "__main__":
    run_system(_measure, daemons=3, service_time_ms=_SERVICE_TIME_MS)
