"""Costs of running tasks on the owner of a shard of the platform scheduler.

Run from the root of the repository: ``python -m bench.capacity.running``. It takes half
a minute and rewrites its own tables in ``docs/CAPACITY.md``. Each worker runs service
tasks and fillers in a ratio of one to four, as at the target size, taken over from a
previous owner. The weights of all pairs of images are known, so that pacing does all of
its work.
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
from bench.capacity.page import render_projections, render_slopes, rewrite_block
from bench.capacity.target import TARGET, US_PER_S, Projection
from bench.rounds import (
    FILLER_IMAGES,
    FILLER_STEP,
    IMAGES,
    SERVICE_STEP,
    build_shard,
    learn_weights,
)
from trefoilhook.platform.worker_answers import decode_poll_answer
from trefoilhook.scheduling import (
    PollAnswer,
    Running,
    TaskId,
    apply_poll_answer,
    plan_orders,
)
from trefoilhook.scheduling.models import parse_task_id
from trefoilhook.scheduling.tests.cases import Shard, build_job

__all__ = ["rewrite_running"]

WORKER_COUNTS = (24, 96, 192)
TASK_COUNTS = (5, 10, 20, 40)
_TARGET_TASKS_PER_WORKER = 10
"""Tasks per worker at the target size: 316,000 on 30,000 workers."""

_MAX_SHARD_WORKERS = 200.0
"""Recommended maximum of workers per shard, limited by the assignment rounds."""

_BATCHING_WINDOW_MS = 6.0
"""Time that the owner collects updates before planning, in ms."""

_ROUNDS_PER_S = 5.0
"""Rate of assignment rounds that consider fillers; 1 ms of pause for each worker."""

_FILLERS_PER_SERVICE = 4
_TASKS_PER_JOB = 20
_SERVICE_TAIL_MS = 7.0
_FILLER_CPU = 3000.0
_POLL_INTERVAL_MS = 500.0
"""Polling interval of workers that run shared service tasks, in ms."""


def _assign_tasks(
    workers: int, tasks_per_worker: int
) -> list[list[tuple[TaskId, bool]]]:
    """Return the tasks of each worker, each with whether it is a service task."""
    counts = {True: 0, False: 0}
    fleet = []
    for _ in range(workers):
        tasks = []
        for row in range(tasks_per_worker):
            is_service = row % (_FILLERS_PER_SERVICE + 1) == 0
            job, index = divmod(counts[is_service], _TASKS_PER_JOB)
            counts[is_service] += 1
            name = f"{'service' if is_service else 'filler'}-{job:08d}"
            tasks.append((TaskId(name, 0, 0, index), is_service))
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


def _start_tasks(shard: Shard, fleet: list[list[tuple[TaskId, bool]]]) -> None:
    for worker, tasks in zip(shard.workers.values(), fleet, strict=True):
        for task, serves in tasks:
            worker.running[task, 1] = Running(
                # A separate object, as when decoded, so that memory is not shared with
                # the job's record.
                task=parse_task_id(str(task)),
                attempt=1,
                checkpoint="" if serves else f"{task.index:016x}",
                percent=100.0 if serves else 40.0,
                load=_SERVICE_TAIL_MS if serves else _FILLER_CPU,
            )


def _build(workers: int, tasks_per_worker: int) -> Shard:
    """Build a shard with running tasks on each worker and no pending updates."""
    shard = build_shard(workers)
    learn_weights(shard, random.Random(workers))
    fleet = _assign_tasks(workers, tasks_per_worker)
    _submit_jobs(shard, fleet)
    _start_tasks(shard, fleet)
    shard.advance_time(_POLL_INTERVAL_MS)
    shard.poll_all()
    for _ in range(2):
        _plan(shard)
        shard.advance_time(_POLL_INTERVAL_MS)
        shard.poll_all()
    _plan(shard)
    running = sum(len(worker.runs) for worker in shard.scheduler.workers.values())
    assert running == workers * tasks_per_worker, running
    return shard


def _plan(shard: Shard) -> None:
    # Skip assignment of waiting tasks, which is measured by `bench.rounds`.
    shard.scheduler.waiting.clear()
    plan_orders(
        shard.scheduler, settled=True, now_ms=shard.now_ms, wall_ms=shard.now_ms
    )


def _measure_bytes(tasks_per_worker: int) -> int:
    """Measure the memory of a shard's scheduler with running tasks."""
    workers = WORKER_COUNTS[0]
    gc.collect()
    tracemalloc.start()
    shard = _build(workers, tasks_per_worker)
    # Exclude the task lists of the worker stand-ins, which an owner does not hold.
    for worker in shard.workers.values():
        worker.running.clear()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert shard.scheduler.jobs
    return size


def _encode_poll_answer(shard: Shard) -> bytes:
    """Encode the poll answer of one worker in the format of the platform."""
    answer = shard.workers["w0"].answer_poll(shard.now_ms)
    rows = [
        [str(run.task), run.attempt, run.checkpoint, run.percent, run.load]
        for run in answer.running
    ]
    table = {"clock_ms": answer.clock_ms, "running": rows, "finished": []}
    return json.dumps(table, separators=(",", ":")).encode()


def _build_variants(answer: PollAnswer) -> tuple[PollAnswer, PollAnswer]:
    """Return a poll answer and a copy with different loads of all tasks."""
    running = tuple(attrs.evolve(r, load=1.1 * (r.load or 0.0)) for r in answer.running)
    return answer, attrs.evolve(answer, running=running)


def _build_poll_call(tasks_per_worker: int) -> Callable[[], None]:
    """Return a function that processes one poll answer with changed loads."""
    shard = _build(WORKER_COUNTS[0], tasks_per_worker)
    answers = itertools.cycle(
        _build_variants(shard.workers["w0"].answer_poll(shard.now_ms))
    )

    def call() -> None:
        shard.advance_time(_POLL_INTERVAL_MS)
        now_ms = shard.now_ms
        apply_poll_answer(
            shard.scheduler, "w0", next(answers), sent_ms=now_ms, now_ms=now_ms
        )

    return call


def _build_plan_call(
    workers: int,
    *,
    tasks_per_worker: int = _TARGET_TASKS_PER_WORKER,
    polled: int = 0,
    checks_halted: bool = False,
) -> Callable[[], None]:
    """Return a function that plans after ``polled`` workers have been polled.

    With ``checks_halted`` the plan also considers moving halted fillers, which few
    plans do.
    """
    shard = _build(workers, tasks_per_worker)
    polled_workers = list(shard.scheduler.workers.values())[:polled]

    def call() -> None:
        shard.advance_time(_POLL_INTERVAL_MS)
        for worker in polled_workers:
            worker.has_changed = True
        shard.scheduler.fillers_due_ms = 0.0 if checks_halted else math.inf
        _plan(shard)

    return call


def _time_pacing(tasks_per_worker: int) -> float:
    """Return the additional time of a plan for each polled worker, in us."""
    count = WORKER_COUNTS[0]
    with_polls_us = time_call(
        _build_plan_call(count, tasks_per_worker=tasks_per_worker, polled=count)
    )
    return (
        with_polls_us
        - time_call(_build_plan_call(count, tasks_per_worker=tasks_per_worker))
    ) / count


def _fit_by_tasks(
    *, key: str, description: str, module: str, unit: str, values: list[float]
) -> Slope:
    return fit_line(
        key=key,
        role="owner",
        description=description,
        module=module,
        axis="tasks on the worker",
        unit=unit,
        sizes=TASK_COUNTS,
        values=values,
    )


def _measure_polls() -> list[Slope]:
    answers = {
        count: _encode_poll_answer(_build(WORKER_COUNTS[0], count))
        for count in TASK_COUNTS
    }
    return [
        _fit_by_tasks(
            key="look_bytes",
            description="answer to a look",
            module="platform.worker_answers",
            unit="bytes",
            values=[len(data) for data in answers.values()],
        ),
        _fit_by_tasks(
            key="look_decode",
            description="the same, decoded",
            module="platform.worker_answers",
            unit="us",
            values=[
                time_call(lambda d=d: decode_poll_answer(d)) for d in answers.values()
            ],
        ),
        _fit_by_tasks(
            key="look_take",
            description="the same, taken in",
            module="scheduling.polling, scheduling.colocation",
            unit="us",
            values=[time_call(_build_poll_call(count)) for count in TASK_COUNTS],
        ),
        _fit_by_tasks(
            key="look_paces",
            description="paces planned after it",
            module="scheduling.pacing",
            unit="us",
            values=[_time_pacing(count) for count in TASK_COUNTS],
        ),
    ]


def _measure_running() -> list[Slope]:
    """Measure memory and processor time of the running tasks of one shard."""
    tasks = [workers * _TARGET_TASKS_PER_WORKER for workers in WORKER_COUNTS]
    plans = [time_call(_build_plan_call(workers)) for workers in WORKER_COUNTS]
    halted_plans = [
        time_call(_build_plan_call(workers, checks_halted=True))
        for workers in WORKER_COUNTS
    ]
    return [
        fit_line(
            key="run_bytes",
            role="owner",
            description="memory of running tasks",
            module="scheduling.fleet, scheduling.job_state, scheduling.slack",
            axis="tasks",
            unit="bytes",
            sizes=[WORKER_COUNTS[0] * count for count in TASK_COUNTS],
            values=[_measure_bytes(count) for count in TASK_COUNTS],
        ),
        *_measure_polls(),
        fit_line(
            key="plan_idle",
            role="owner",
            description="a plan without news",
            module="scheduling.planning",
            axis="tasks",
            unit="us",
            sizes=tasks,
            values=plans,
        ),
        fit_line(
            key="plan_halted",
            role="owner",
            description="the same with a look for halted fillers",
            module="scheduling.assignment",
            axis="tasks",
            unit="us",
            sizes=tasks,
            values=halted_plans,
        ),
    ]


def _interpolate(slope: Slope, size: float) -> float:
    """Interpolate between measurements, as some costs are not linear."""
    return float(np.interp(size, slope.sizes, slope.values))


def _build_projections(slopes: Slopes) -> list[Projection]:
    """Project the costs of running tasks to the target size."""
    tasks_per_worker = TARGET.tasks / TARGET.workers
    tasks = tasks_per_worker * _MAX_SHARD_WORKERS
    shards = TARGET.workers / _MAX_SHARD_WORKERS
    task_bytes = slopes["run_bytes"].per_unit
    stages_us = [
        _interpolate(slopes[key], tasks_per_worker)
        for key in ("look_decode", "look_take", "look_paces")
    ]
    poll_us = sum(stages_us)
    polls_per_s = _MAX_SHARD_WORKERS * 1000.0 / _POLL_INTERVAL_MS
    polls_cores = polls_per_s * poll_us / US_PER_S
    plan_us = slopes["plan_idle"].evaluate(tasks)
    plans_per_s = US_PER_S / (_BATCHING_WINDOW_MS * 1000.0 + plan_us)
    plans_cores = plans_per_s * plan_us / US_PER_S
    halted_us = slopes["plan_halted"].evaluate(tasks) - plan_us
    halted_cores = _ROUNDS_PER_S * halted_us / US_PER_S
    detail = " + ".join(f"{part:.0f}" for part in stages_us)
    return [
        Projection(
            role="owner",
            description="running tasks of a shard of 200 workers",
            formula=f"200 x {TARGET.tasks:,.0f} / {TARGET.workers:,.0f}",
            value=tasks,
            unit="tasks",
        ),
        Projection(
            role="owner",
            description="their memory",
            formula=f"{tasks:,.0f} x {task_bytes:,.0f} bytes",
            value=tasks * task_bytes,
            unit="bytes",
            limit=TARGET.control_memory_bytes,
        ),
        Projection(
            role="all owners",
            description="memory of all running tasks",
            formula=f"{TARGET.tasks:,.0f} x {task_bytes:,.0f} bytes",
            value=TARGET.tasks * task_bytes,
            unit="bytes",
        ),
        Projection(
            role="owner",
            description="one look: decoded, taken in, paces planned",
            formula=f"({detail}) us at {tasks_per_worker:.1f} tasks",
            value=poll_us / tasks_per_worker,
            unit="us a task and look",
        ),
        Projection(
            role="owner",
            description="looks at 200 workers, two a second",
            formula=f"{polls_per_s:.0f}/s x {poll_us:.0f} us",
            value=polls_cores,
            unit="cores",
        ),
        Projection(
            role="owner",
            description="plans, one for each gathering of news",
            formula=f"1 / (6 ms + {plan_us / 1000.0:.2f} ms) x "
            f"{plan_us / 1000.0:.2f} ms",
            value=plans_cores,
            unit="cores",
        ),
        Projection(
            role="owner",
            description="looks for halted fillers, one in a millisecond a worker",
            formula=f"{_ROUNDS_PER_S:.0f}/s x {halted_us / 1000.0:.2f} ms",
            value=halted_cores,
            unit="cores",
        ),
        Projection(
            role="all owners",
            description="all three, 150 shards",
            formula=f"150 x ({polls_cores:.3f} + {plans_cores:.3f} "
            f"+ {halted_cores:.3f})",
            value=shards * (polls_cores + plans_cores + halted_cores),
            unit="cores",
        ),
        Projection(
            role="worker",
            description="answers to its looks, without HTTP's heads",
            formula="2/s x "
            f"{_interpolate(slopes['look_bytes'], tasks_per_worker):,.0f} bytes",
            value=2.0 * _interpolate(slopes["look_bytes"], tasks_per_worker),
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
    ]


def rewrite_running(path: pathlib.Path) -> None:
    """Measure the costs of running tasks and rewrite their tables."""
    slopes = Slopes()
    slopes.add(*_measure_running())
    note = f"{os.cpu_count()} processors, load average {os.getloadavg()[0]:.1f}."
    tables = (
        note,
        render_slopes(slopes),
        render_projections(_build_projections(slopes)),
    )
    rewrite_block(path, "running", "\n\n".join(tables))


if __name__ == "__main__":
    rewrite_running(pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md")
