"""A best-effort task without ``cpu`` ends every process that owns the shard.

A service with a limit on its tail and a task that fills, which requests memory alone,
share the executors. Then the machine that leads is stopped and started once
(`roll_term`). Judged is the rule Fault: on a tenth of the machines, two at least,
processes end by themselves three times with no disruption there.
"""

import asyncio
import signal
import time
from pathlib import Path

from review.standins.deployment import (
    BOUNDS,
    Deployment,
    build_route,
    open_deployment,
    run_case,
    wants_trouble,
)

_RECORD = Path(__file__).with_name("record.txt")
_SERVICE = "/pule252/9c0e7a21d94b36f8"
_BATCH = "/pufi791/5c0e7a21d94b36f8"
_WATCH_S = 50.0
_MIN_ENDS = 3
_MIN_MACHINES = 2


async def _load(deployment: Deployment) -> bool:
    """Hand both jobs in; return whether all their tasks run."""
    accepted = await deployment.submit(
        _SERVICE,
        [{"ms": 0, "serves": True}],
        [
            {
                "count": 2,
                "cpu": 2000,
                "mem_mb": 1024,
                "long_running": True,
                "image": "alerts",
                "target_ms": 18,
                "miss_allowed": 1,
                "anti_affinity": 1,
            }
        ],
    )
    accepted &= await deployment.submit(
        _BATCH,
        [{"ms": 300_000}],
        [
            {
                "count": 2,
                "mem_mb": 512,
                "estimate_ms": 300_000,
                "fill_count": True,
                "image": "mail",
            }
        ],
    )
    await asyncio.sleep(4.0)
    runs = [run for each in deployment.executors for run in each.history]
    return accepted and len(runs) >= 4 and all(run.ended is None for run in runs)


async def _play() -> tuple[int, str]:
    async with open_deployment(_RECORD) as deployment:
        routes = [
            build_route("r-9n73hh2", "/pule252/", target_latency_ms=2500),
            build_route("r-73d3zji", "/pufi791/", priority=2),
        ]
        await deployment.start(instances=3, executors=2, routes=routes)
        if not await _load(deployment):
            return 2, "the tasks do not run"
        calm_from = time.monotonic()
        if wants_trouble():
            leader = deployment.find_leader()
            deployment.note(f"disruption: SIGTERM to {leader.name}")
            leader.signal(signal.SIGTERM)
            # The end of the grace, the restart, and the span until it is in touch.
            calm_from += BOUNDS["grace_s"] + 1.0 + BOUNDS["contact_ms"] / 1000.0
        await asyncio.sleep(_WATCH_S)
        counts = {
            each.name: sum(at >= calm_from for at, _ in each.own_ends)
            for each in deployment.instances
        }
        for instance in deployment.instances:
            for line in sorted(set(instance.read_errors())):
                deployment.note(f"{instance.name} wrote: {line}")
        state = await deployment.send("GET", _BATCH)
        text = f"ends by themselves, out of any disruption: {counts}; job: {state}"
        deployment.note(text)
        broken = sum(count >= _MIN_ENDS for count in counts.values()) >= _MIN_MACHINES
        return int(broken), text


run_case(_play)
