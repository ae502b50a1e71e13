"""What running tasks cost the owner of a shard on the users' platform.

Run from the root of the repository: ``python -m bench.capacity.running``. It takes half
a minute and rewrites its own tables in ``docs/CAPACITY.md``. Each worker runs service
tasks and fillers in the ratio of the size aimed at, one to four, taken over from an
earlier owner. All weights between images are known, so that pacing has all its work.
"""

import gc
import itertools
import json
import math
import os
import pathlib
import random
import tracemalloc
from collections.abc import Callable

import attrs
import numpy as np

from bench.capacity.fit import Slope, Slopes, fit_line, time_call
from bench.capacity.page import render_rows, render_slopes, rewrite_block
from bench.capacity.target import TARGET, US_PER_S, Row
from bench.rounds import (
    FILLER_IMAGES,
    FILLER_STEP,
    IMAGES,
    SERVICE_STEP,
    build_shard,
    learn_weights,
)
from trefoilhook.platform.looks import decode_look
from trefoilhook.scheduling import Look, Running, TaskId, plan_orders, take_look
from trefoilhook.scheduling.models import parse_task_id
from trefoilhook.scheduling.tests.cases import Shard, build_job

__all__ = ["rewrite_running"]

WORKERS = (24, 96, 192)
ROWS = (5, 10, 20, 40)
_USUAL_ROWS = 10
"""Tasks on a worker at the size aimed at: 316,000 on 30,000 workers."""

_SHARD_WORKERS = 200.0
"""Most workers that a shard should have, by the rounds of assignment."""

_GATHER_MS = 6.0
"""How long the owner's plan waits for more news, in ms."""

_ROUNDS_PER_S = 5.0
"""Rounds of assignment that look at fillers: a pause of one ms for each worker."""

_FILLERS_PER_SERVICE = 4
_TASKS_PER_JOB = 20
_SERVICE_TAIL_MS = 7.0
_FILLER_CPU = 3000.0
_LOOK_PAUSE_MS = 500.0
"""Pause between two looks at a worker whose service tasks share it, in ms."""


def _list_rows(workers: int, rows: int) -> list[list[tuple[TaskId, bool]]]:
    """Name the tasks of each worker, and tell which of them serve."""
    counts = {True: 0, False: 0}
    fleet = []
    for _ in range(workers):
        tasks = []
        for row in range(rows):
            serves = row % (_FILLERS_PER_SERVICE + 1) == 0
            job, index = divmod(counts[serves], _TASKS_PER_JOB)
            counts[serves] += 1
            name = f"{'service' if serves else 'filler'}-{job:08d}"
            tasks.append((TaskId(name, 0, 0, index), serves))
        fleet.append(tasks)
    return fleet


def _submit_jobs(shard: Shard, fleet: list[list[tuple[TaskId, bool]]]) -> None:
    choices = random.Random(len(fleet))
    jobs = {task.job_id: serves for tasks in fleet for task, serves in tasks}
    for job_id, serves in jobs.items():
        step = SERVICE_STEP if serves else FILLER_STEP
        kind, images = ("s", IMAGES) if serves else ("f", FILLER_IMAGES)
        image = f"{kind}{choices.randrange(images)}"
        step = attrs.evolve(step, image=image, count=_TASKS_PER_JOB)
        shard.submit(build_job(step, job_id=job_id))


def _run_tasks(shard: Shard, fleet: list[list[tuple[TaskId, bool]]]) -> None:
    for worker, tasks in zip(shard.workers.values(), fleet, strict=True):
        for task, serves in tasks:
            worker.running[task, 1] = Running(
                # As decoded from an answer: it shares nothing with the job's record.
                task=parse_task_id(str(task)),
                attempt=1,
                checkpoint="" if serves else f"{task.index:016x}",
                percent=100.0 if serves else 40.0,
                load=_SERVICE_TAIL_MS if serves else _FILLER_CPU,
            )


def _build(workers: int, rows: int) -> Shard:
    """Build a shard whose workers run ``rows`` tasks each and that has no news."""
    shard = build_shard(workers)
    learn_weights(shard, random.Random(workers))
    fleet = _list_rows(workers, rows)
    _submit_jobs(shard, fleet)
    _run_tasks(shard, fleet)
    shard.pass_time(_LOOK_PAUSE_MS)
    shard.look_all()
    for _ in range(2):
        _plan(shard)
        shard.pass_time(_LOOK_PAUSE_MS)
        shard.look_all()
    _plan(shard)
    held = sum(len(worker.runs) for worker in shard.scheduler.workers.values())
    assert held == workers * rows, held
    return shard


def _plan(shard: Shard) -> None:
    # No new places: what waits has been measured with the rounds of assignment.
    shard.scheduler.waiting.clear()
    plan_orders(
        shard.scheduler, settled=True, now_ms=shard.now_ms, wall_ms=shard.now_ms
    )


def _measure_bytes(rows: int) -> int:
    """Measure what a scheduler takes beyond the same workers and weights idle."""
    workers = WORKERS[0]
    gc.collect()
    tracemalloc.start()
    shard = _build(workers, rows)
    # The stand-ins of the workers keep what they list; an owner doesn't.
    for worker in shard.workers.values():
        worker.running.clear()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert shard.scheduler.jobs
    return size


def _encode_look(shard: Shard) -> bytes:
    """Write the list of one worker as the platform's workers do."""
    look = shard.workers["w0"].look(shard.now_ms)
    rows = [
        [str(run.task), run.attempt, run.checkpoint, run.percent, run.load]
        for run in look.running
    ]
    table = {"clock_ms": look.clock_ms, "running": rows, "finished": []}
    return json.dumps(table, separators=(",", ":")).encode()


def _vary(look: Look) -> tuple[Look, Look]:
    """Return a list and one whose figures differ in every row."""
    running = tuple(attrs.evolve(r, load=1.1 * (r.load or 0.0)) for r in look.running)
    return look, attrs.evolve(look, running=running)


def _build_look(rows: int) -> Callable[[], None]:
    """Return a call that takes one look in; time passes, and figures change."""
    shard = _build(WORKERS[0], rows)
    looks = itertools.cycle(_vary(shard.workers["w0"].look(shard.now_ms)))

    def call() -> None:
        shard.pass_time(_LOOK_PAUSE_MS)
        now_ms = shard.now_ms
        take_look(shard.scheduler, "w0", next(looks), sent_ms=now_ms, now_ms=now_ms)

    return call


def _build_plan(
    workers: int, *, rows: int = _USUAL_ROWS, news: int = 0, halted: bool = False
) -> Callable[[], None]:
    """Return a call that plans, when ``news`` workers have been looked at.

    With ``halted`` it looks for fillers to be moved, too, which few plans do.
    """
    shard = _build(workers, rows)
    seen = list(shard.scheduler.workers.values())[:news]

    def call() -> None:
        shard.pass_time(_LOOK_PAUSE_MS)
        for worker in seen:
            worker.is_news = True
        shard.scheduler.fillers_due_ms = 0.0 if halted else math.inf
        _plan(shard)

    return call


def _time_paces(rows: int) -> float:
    """Time what a plan does more when one more worker has been looked at."""
    count = WORKERS[0]
    most = time_call(_build_plan(count, rows=rows, news=count))
    return (most - time_call(_build_plan(count, rows=rows))) / count


def _fit_rows(
    *, key: str, what: str, module: str, unit: str, values: list[float]
) -> Slope:
    return fit_line(
        key=key,
        role="owner",
        what=what,
        module=module,
        axis="tasks on the worker",
        unit=unit,
        sizes=ROWS,
        values=values,
    )


def _measure_looks() -> list[Slope]:
    answers = {rows: _encode_look(_build(WORKERS[0], rows)) for rows in ROWS}
    return [
        _fit_rows(
            key="look_bytes",
            what="answer to a look",
            module="platform.looks",
            unit="bytes",
            values=[len(data) for data in answers.values()],
        ),
        _fit_rows(
            key="look_decode",
            what="the same, decoded",
            module="platform.looks",
            unit="us",
            values=[time_call(lambda d=d: decode_look(d)) for d in answers.values()],
        ),
        _fit_rows(
            key="look_take",
            what="the same, taken in",
            module="scheduling.looks, scheduling.crowds",
            unit="us",
            values=[time_call(_build_look(rows)) for rows in ROWS],
        ),
        _fit_rows(
            key="look_paces",
            what="paces planned after it",
            module="scheduling.pacing",
            unit="us",
            values=[_time_paces(rows) for rows in ROWS],
        ),
    ]


def _measure_running() -> list[Slope]:
    """Measure state and processor time of the tasks that run in one shard."""
    tasks = [workers * _USUAL_ROWS for workers in WORKERS]
    plans = [time_call(_build_plan(workers)) for workers in WORKERS]
    rounds = [time_call(_build_plan(workers, halted=True)) for workers in WORKERS]
    return [
        fit_line(
            key="run_bytes",
            role="owner",
            what="memory of running tasks",
            module="scheduling.fleet, scheduling.book, scheduling.slack",
            axis="tasks",
            unit="bytes",
            sizes=[WORKERS[0] * rows for rows in ROWS],
            values=[_measure_bytes(rows) for rows in ROWS],
        ),
        *_measure_looks(),
        fit_line(
            key="plan_idle",
            role="owner",
            what="a plan without news",
            module="scheduling.planning",
            axis="tasks",
            unit="us",
            sizes=tasks,
            values=plans,
        ),
        fit_line(
            key="plan_halted",
            role="owner",
            what="the same with a look for halted fillers",
            module="scheduling.assignment",
            axis="tasks",
            unit="us",
            sizes=tasks,
            values=rounds,
        ),
    ]


def _read_at(slope: Slope, size: float) -> float:
    """Return what was measured at a size, between two points; not every line is one."""
    return float(np.interp(size, slope.sizes, slope.values))


def _build_rows(slopes: Slopes) -> list[Row]:
    """Work out what the running tasks cost at the size aimed at."""
    rows = TARGET.tasks / TARGET.workers
    tasks = rows * _SHARD_WORKERS
    shards = TARGET.workers / _SHARD_WORKERS
    each = slopes["run_bytes"].per_unit
    parts = [
        _read_at(slopes[key], rows)
        for key in ("look_decode", "look_take", "look_paces")
    ]
    look_us = sum(parts)
    looks = _SHARD_WORKERS * 1000.0 / _LOOK_PAUSE_MS
    looks_cores = looks * look_us / US_PER_S
    plan_us = slopes["plan_idle"].at(tasks)
    plans = US_PER_S / (_GATHER_MS * 1000.0 + plan_us)
    plans_cores = plans * plan_us / US_PER_S
    halted_us = slopes["plan_halted"].at(tasks) - plan_us
    halted_cores = _ROUNDS_PER_S * halted_us / US_PER_S
    detail = " + ".join(f"{part:.0f}" for part in parts)
    return [
        Row(
            role="owner",
            what="running tasks of a shard of 200 workers",
            sum=f"200 x {TARGET.tasks:,.0f} / {TARGET.workers:,.0f}",
            value=tasks,
            unit="tasks",
        ),
        Row(
            role="owner",
            what="their memory",
            sum=f"{tasks:,.0f} x {each:,.0f} bytes",
            value=tasks * each,
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="all owners",
            what="memory of all running tasks",
            sum=f"{TARGET.tasks:,.0f} x {each:,.0f} bytes",
            value=TARGET.tasks * each,
            unit="bytes",
        ),
        Row(
            role="owner",
            what="one look: decoded, taken in, paces planned",
            sum=f"({detail}) us at {rows:.1f} tasks",
            value=look_us / rows,
            unit="us a task and look",
        ),
        Row(
            role="owner",
            what="looks at 200 workers, two a second",
            sum=f"{looks:.0f}/s x {look_us:.0f} us",
            value=looks_cores,
            unit="cores",
        ),
        Row(
            role="owner",
            what="plans, one for each gathering of news",
            sum=f"1 / (6 ms + {plan_us / 1000.0:.2f} ms) x {plan_us / 1000.0:.2f} ms",
            value=plans_cores,
            unit="cores",
        ),
        Row(
            role="owner",
            what="looks for halted fillers, one in a millisecond a worker",
            sum=f"{_ROUNDS_PER_S:.0f}/s x {halted_us / 1000.0:.2f} ms",
            value=halted_cores,
            unit="cores",
        ),
        Row(
            role="all owners",
            what="all three, 150 shards",
            sum=f"150 x ({looks_cores:.3f} + {plans_cores:.3f} + {halted_cores:.3f})",
            value=shards * (looks_cores + plans_cores + halted_cores),
            unit="cores",
        ),
        Row(
            role="worker",
            what="answers to its looks, without HTTP's heads",
            sum=f"2/s x {_read_at(slopes['look_bytes'], rows):,.0f} bytes",
            value=2.0 * _read_at(slopes["look_bytes"], rows),
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
    ]


def rewrite_running(path: pathlib.Path) -> None:
    """Measure and rewrite the tables of running tasks."""
    slopes = Slopes()
    slopes.add(*_measure_running())
    note = f"{os.cpu_count()} processors, load average {os.getloadavg()[0]:.1f}."
    tables = (note, render_slopes(slopes), render_rows(_build_rows(slopes)))
    rewrite_block(path, "running", "\n\n".join(tables))


if __name__ == "__main__":
    rewrite_running(pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md")
