"""Store call rate of nine instances, idle and with job submissions.

Run from the root of the repository: ``python -m bench.store_calls``. All instances run
in one process on loopback. Calls are counted by the store.
"""

import time
from collections import Counter

import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.demo import LocalCluster, LocalPlan, LocalPlatform
from trefoilhook.exceptions import TransportError

_INSTANCES = 9
_WORKERS = 24
_RUN_S = 10.0
_TEAM = "carrowmore"
_OPERATOR = "operator"
_RATES_PER_S = (5, 20, 60)
_SUBMITTERS = 6


async def _count(cluster: LocalCluster, duration_s: float) -> tuple[Counter, float]:
    """Return the store calls by kind during an interval, and its length in s."""
    before = Counter(cluster.platform.store.counts.calls)
    started = time.perf_counter()
    await trio.sleep(duration_s)
    elapsed_s = time.perf_counter() - started
    return Counter(cluster.platform.store.counts.calls) - before, elapsed_s


async def _submit(
    cluster: LocalCluster, number: int, rate_per_s: float, statuses: Counter
) -> None:
    admin = cluster.open_admin(number % _INSTANCES, _OPERATOR)
    while True:
        started_s = trio.current_time()
        try:
            status, _ = await admin.send_request(
                "POST",
                f"/v1/teams/{_TEAM}/jobs",
                {"name": "roster", "declared_run_ms": 1_000},
            )
            statuses[status] += 1
        except TransportError:
            statuses["no answer"] += 1
        await trio.sleep_until(started_s + 1 / rate_per_s)


def _print_row(name: str, calls: Counter, elapsed_s: float, jobs: int) -> None:
    rate = sum(calls.values()) / elapsed_s
    kinds = ", ".join(f"{k} {v / elapsed_s:.1f}" for k, v in calls.most_common(6))
    print(
        f"{name:<12} {jobs / elapsed_s:>8.1f} {rate:>8.1f} {rate / _INSTANCES:>8.2f}"
        f"  {kinds}",
        flush=True,
    )


async def _run() -> None:
    async with trio.open_nursery() as nursery:
        platform = LocalPlatform(
            clock=build_system_clock(),
            nursery=nursery,
            plan=LocalPlan(instances=_INSTANCES, workers=_WORKERS),
        )
        await platform.start()
        cluster = LocalCluster(platform=platform)
        await cluster.start()
        admin = cluster.open_admin(0)
        tokens = {"callers": [], "operators": [digest_token(_OPERATOR)]}
        await admin.send("PUT", f"/v1/config/teams/{_TEAM}", {"tokens": tokens})
        await trio.sleep(5)
        print("store calls  jobs/s  calls/s  each instance, by kind a second")
        _print_row("idle", *await _count(cluster, _RUN_S), 0)
        for rate in _RATES_PER_S:
            statuses: Counter = Counter()
            async with trio.open_nursery() as submitters:
                for number in range(_SUBMITTERS):
                    submitters.start_soon(
                        _submit, cluster, number, rate / _SUBMITTERS, statuses
                    )
                await trio.sleep(1)
                before = statuses.total()
                calls, elapsed_s = await _count(cluster, _RUN_S)
                jobs = statuses.total() - before
                submitters.cancel_scope.cancel()
            _print_row(f"{rate} jobs/s", calls, elapsed_s, jobs)
            print("  statuses:", dict(statuses))
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(_run)
