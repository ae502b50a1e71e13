"""A gang that has failed once is given up, since its members are counted one by one."""

import random
import sys
from pathlib import Path
from typing import Any

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support_2"))

from deployment_2 import Deployment, Work, is_troubled, now_s, run_case

EXECUTORS = 12
CPU = 4000
MAX_ATTEMPTS = 3
SIZE = 4
GREY_S = 6.5
WATCH_S = 20.0
STEP: dict[str, Any] = {
    "count": SIZE,
    "cpu": 1000,
    "mem_mb": 256,
    "estimate_ms": 1000,
    "gang": True,
}


async def _turn_grey(world: Deployment) -> None:
    """Let the executor that is told to start the first member fail all it starts."""
    while not world.runs:
        await trio.sleep(0.001)
    name = world.runs[0].executor
    executor = next(each for each in world.executors if each.executor_id == name)
    executor.fails_all = True
    world.record.write(f"executor {name} fails all that it starts")
    await trio.sleep(GREY_S)
    executor.fails_all = False
    world.record.write(f"executor {name} is sound again")


async def play(world: Deployment) -> int:
    """Hand in one gang, some members of which are started on a grey executor."""
    if is_troubled():
        world.nursery.start_soon(_turn_grey, world)
    job = f"{random.Random(8).getrandbits(64):016x}"
    world.work[job] = Work(run_ms=1000.0, gang_size=SIZE)
    status, _ = await world.call("POST", job, {"spec": "x", "steps": [STEP]})
    if status != 200:
        return 2
    state = ""
    until_s = now_s() + WATCH_S
    while now_s() < until_s and state not in ("completed", "failed"):
        await trio.sleep(0.5)
        _, answer = await world.call("GET", job)
        state = answer.get("state", state)
    ends = [run for run in world.runs if run.how == "failed"]
    runs = len({run.attempt for run in ends})
    by_task = [sum(run.task == task for run in ends) for task in {r.task for r in ends}]
    most = max(by_task, default=0)
    world.record.write(
        f"state {state!r}; {len(ends)} members ended failed in {runs} runs of the "
        f"gang, no task more than {most} times; max_attempts {MAX_ATTEMPTS}"
    )
    if state == "failed" and runs < MAX_ATTEMPTS and most < MAX_ATTEMPTS:
        world.record.write("LOST: the job is shown as failed without cause")
        return 1
    return 0 if state == "completed" else 2


run_case(
    play,
    __file__,
    executors=EXECUTORS,
    cpu=CPU,
    route={"max_attempts": MAX_ATTEMPTS},
)
