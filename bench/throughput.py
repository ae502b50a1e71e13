"""Request throughput of one instance, and its processor time per request.

Run from the root of the repository: ``python -m bench.throughput``. The first part
measures one instance in all roles, with increasing concurrency. The second part
measures three instances with one role each: entry, key owner and executor owner.
"""

import sys

import numpy as np
import trio

from bench.system import CpuMeter, System, format_quantiles, run_system
from trefoilhook.requests.keys import compute_executor_shard

_SERVICE = "seat-check"
_SERVICE_TIME_MS = 5.0
_EXECUTORS = 12
_DURATION_S = 4.0
_IN_FLIGHT = (1, 4, 8, 12, 16, 24, 32)
_ROLE_IN_FLIGHT = 12
_US_PER_S = 1_000_000
_ROLES = ("entry", "key owner", "executor owner")


async def _measure_single_instance(system: System) -> None:
    for _ in range(2):
        await system.add_executors(_SERVICE, _EXECUTORS)
    await trio.sleep(2)
    daemon = system.daemons[0]
    meter = CpuMeter(pid=daemon.process.pid)
    base_p99_ms = None
    print("one instance in all roles")
    print("in flight      rate   CPU us      p50      p99  answers")
    for in_flight in _IN_FLIGHT:
        load = system.build_load(
            daemon, _SERVICE, callers=in_flight, duration_s=_DURATION_S, warm_up_s=0.0
        )
        meter.start()
        result = await system.run_load(load)
        cpu_s = meter.read_s()
        answered = len(result.latencies_ms)
        p99_ms = float(np.percentile(result.latencies_ms, 99))
        base_p99_ms = base_p99_ms or p99_ms
        print(
            f"{in_flight:>9} {answered / result.elapsed_s:>9.0f}"
            f" {cpu_s / answered * _US_PER_S:>8.0f}"
            f" {format_quantiles(result.latencies_ms)}"
            f"  p99 x {p99_ms / base_p99_ms:.2f}",
            flush=True,
        )
        if set(result.codes) != {"OK"}:
            print("  codes:", result.codes)


def _choose_executor_names(shards: list[str], *, shard_count: int) -> list[str]:
    """Return executor names that hash to the given shards."""
    names = []
    number = 0
    while len(names) < 2 * _EXECUTORS:
        name = f"{_SERVICE}-{number}"
        number += 1
        if compute_executor_shard(name, shard_count=shard_count) in shards:
            names.append(name)
    return names


async def _measure_roles(system: System) -> None:
    entry, key_owner, executor_owner = system.daemons
    shard_count = system.platform.settings.requests.shard_count
    names = _choose_executor_names(
        await system.list_shards(executor_owner), shard_count=shard_count
    )
    for batch in (names[:_EXECUTORS], names[_EXECUTORS:]):
        await system.add_executors(_SERVICE, _EXECUTORS, names=batch)
    await trio.sleep(3)
    load = system.build_load(
        entry,
        _SERVICE,
        callers=_ROLE_IN_FLIGHT,
        duration_s=2 * _DURATION_S,
        warm_up_s=0.0,
        shards=await system.list_shards(key_owner),
    )
    meters = [CpuMeter(pid=d.process.pid) for d in system.daemons]
    for meter in meters:
        meter.start()
    result = await system.run_load(load)
    answered = len(result.latencies_ms)
    rate = answered / result.elapsed_s
    print(f"\none role an instance, {_ROLE_IN_FLIGHT} in flight, {rate:.0f} requests/s")
    print("p50, p99, answers:", format_quantiles(result.latencies_ms), result.codes)
    for role, meter in zip(_ROLES, meters, strict=True):
        print(f"{role:>15} {meter.read_s() / answered * _US_PER_S:>6.0f} us a request")


if __name__ == "__main__":
    which = sys.argv[1:]
    if not which or "one" in which:
        run_system(
            _measure_single_instance, daemons=1, service_time_ms=_SERVICE_TIME_MS
        )
    if not which or "roles" in which:
        run_system(_measure_roles, daemons=3, service_time_ms=_SERVICE_TIME_MS)
