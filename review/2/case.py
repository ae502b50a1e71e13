"""An accepted job stands still for good once its route has another name.

A job of two steps is at work when the operator replaces its route by one of another
name, for the same host, prefix and service. Later than `config_apply_ms` after that the
process that leads is killed once (`node_kill`). Judged is the rule LOST: the job has
nothing running though a task's turn has come and there is room.
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
_JOB = "5c0e7a21d94b36f8"
_TARGET = f"/lohu930/{_JOB}"
_WATCH_S = 40.0
_LONGEST_IDLE_S = 3.0


async def _load(deployment: Deployment) -> bool:
    accepted = await deployment.submit(
        _TARGET,
        [{"ms": 6000}, {"ms": 1000}],
        [
            {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 6000},
            {
                "count": 2,
                "cpu": 500,
                "mem_mb": 256,
                "estimate_ms": 1000,
                "after": [0],
            },
        ],
    )
    await asyncio.sleep(1.0)
    return accepted and len(deployment.list_runs(_JOB)) == 1


def _measure_idle(deployment: Deployment) -> float:
    """Return the longest time for which the job had nothing running, in s."""
    now = time.monotonic()
    runs = deployment.list_runs(_JOB)
    idle = 0.0
    for number in range(1, len(runs) + 1):
        last = max(run.ended or now for run in runs[:number])
        after = runs[number].began if number < len(runs) else now
        idle = max(idle, after - last)
    return idle


async def _play() -> tuple[int, str]:
    async with open_deployment(_RECORD) as deployment:
        await deployment.start(
            instances=3, executors=4, routes=[build_route("r-3hwrr6x", "/lohu930/")]
        )
        if not await _load(deployment):
            return 2, "the first step is not at work"
        deployment.configure([build_route("r-73d3zji", "/lohu930/")])
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000.0 + 0.5)
        if wants_trouble():
            leader = deployment.find_leader()
            deployment.note(f"disruption: SIGKILL to {leader.name}")
            leader.signal(signal.SIGKILL)
        await asyncio.sleep(_WATCH_S)
        status, state = await deployment.send("GET", _TARGET)
        if status != 200:
            return 2, f"the state can't be read: {status}"
        is_completed = state == {"state": "completed"}
        idle = 0.0 if is_completed else _measure_idle(deployment)
        text = f"job: {state}, nothing running for {idle:.1f} s"
        deployment.note(text)
        return int(not is_completed and idle > _LONGEST_IDLE_S), text


run_case(_play)
