"""Propagation time of a configuration change to all instances.

Run from the root of the repository: ``python -m bench.configuration``. Nine instances
run in one process on loopback. In the second part the watch of one instance receives no
events.
"""

import logging
import time

import attrs
import numpy as np
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.demo import LocalCluster, LocalPlan, LocalPlatform
from trefoilhook.standins import FaultSettings

_INSTANCES = 9
_CHANGES = 60
_SILENT_CHANGES = 8
_POLL_S = 0.002
_TEAM = "carrowmore"


def _build_subtree(number: int) -> dict:
    return {
        "tokens": {"callers": [digest_token("caller")], "operators": []},
        "services": {"seat-check": {"max_queue": 10 + number}},
    }


async def _time_change(cluster: LocalCluster, number: int) -> float:
    """Change the configuration; return the propagation time to all, in ms."""
    admin = cluster.open_admin(number % _INSTANCES)
    target = f"/v1/config/teams/{_TEAM}"
    changed = await admin.send("PUT", target, _build_subtree(number))
    accepted = time.perf_counter()
    await admin.close()
    revision = changed["revision"]
    while any(i.view.revision < revision for i in cluster.instances):
        await trio.sleep(_POLL_S)
    return (time.perf_counter() - accepted) * 1000


def _print_row(name: str, times_ms: list[float]) -> None:
    p50, p99 = np.percentile(times_ms, [50, 99])
    print(
        f"{name:<22} {p50:>8.0f} {p99:>8.0f} {max(times_ms):>8.0f} {len(times_ms):>8}"
    )


async def _run() -> None:
    async with trio.open_nursery() as nursery:
        platform = LocalPlatform(
            clock=build_system_clock(),
            nursery=nursery,
            plan=LocalPlan(instances=_INSTANCES, workers=3),
        )
        await platform.start()
        cluster = LocalCluster(platform=platform)
        await cluster.start()
        await trio.sleep(2)
        times_ms = [await _time_change(cluster, number) for number in range(_CHANGES)]
        print(f"{_INSTANCES} instances, ms from accepted to in force on all")
        print("watches                     p50      p99     most  changes")
        _print_row("all work", times_ms)
        silent_ms = []
        for number in range(_SILENT_CHANGES):
            faults = platform.store.faults
            faults.set(attrs.evolve(FaultSettings(), silent_watches=1))
            while faults.settings.silent_watches:
                await trio.sleep(_POLL_S)
            silent_ms.append(await _time_change(cluster, _CHANGES + number))
            await trio.sleep(4)
        _print_row("one silent", silent_ms)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    logging.disable()
    trio.run(_run)
