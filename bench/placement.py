"""Benchmark the placement decisions against baselines; write tables and a plot.

Run ``python -m bench.placement``. With ``--quick`` only two seeds and no parameter
sweep are run, and nothing is written.
"""

import argparse
import multiprocessing
import pathlib
import time
import tracemalloc

import attrs
import numpy as np

from bench.placement_driver import run_scheme
from bench.placement_report import draw_plot, list_points, write_report
from bench.placement_schemes import build_ablations, build_schemes
from bench.placement_world import USERS, Conditions
from trefoilhook.placement import (
    THROUGHPUT_FIRST,
    Placement,
    Resources,
    ShardState,
    TaskKind,
    TaskShape,
    WorkerShape,
    decide_placement,
)

__all__ = ["main"]

DOCS = pathlib.Path(__file__).parent.parent / "docs"
PROCESSES = 4
TUNING_SEEDS = (0, 1, 2, 3, 4)
HELD_OUT_SEEDS = (100, 101, 102, 103, 104)
ABLATION_SEEDS = (0, 1, 100)
SWEEP_SEEDS = (0, 1)
SWEEP = {
    "reports at most this late (s)": [
        {"least_lag_s": lag / 6.0, "most_lag_s": lag} for lag in (30.0, 120.0, 480.0)
    ],
    "sizes and run times off (sd of the logarithm)": [
        {"misdeclared": off} for off in (0.1, 0.8, 1.2)
    ],
    "drift of the slowdowns (sd of the logarithm an hour)": [
        {"drift_per_hour": drift} for drift in (0.0, 0.8, 2.0)
    ],
}
HISTORY_LENGTH = 32
GIB = 2**30


@attrs.frozen(kw_only=True)
class Run:
    """Configuration of one simulation run."""

    group: str
    user: str
    scheme: str
    conditions: Conditions


def _execute_run(run):
    build = build_ablations if run.group == "ablation" else build_schemes
    scheme = build(run.user)[run.scheme]
    return run, run_scheme(scheme, USERS[run.user], run.conditions)


def _list_runs(quick):
    seeds = (*TUNING_SEEDS[:1], *HELD_OUT_SEEDS[:1])
    if not quick:
        seeds = (*TUNING_SEEDS, *HELD_OUT_SEEDS)
    runs = []
    for user in USERS:
        for seed in seeds:
            for scheme in build_schemes(user):
                runs.append(_build_run("main", user, scheme, Conditions(seed=seed)))
        for seed in ABLATION_SEEDS[: 1 if quick else None]:
            for scheme in build_ablations(user):
                runs.append(_build_run("ablation", user, scheme, Conditions(seed=seed)))
    for axis, points in SWEEP.items():
        for point in points:
            for seed in () if quick else SWEEP_SEEDS:
                conditions = Conditions(seed=seed, **point)
                runs.append(_build_run(axis, "carrowmore", "decisions", conditions))
    return runs


def _build_run(group, user, scheme, conditions):
    return Run(group=group, user=user, scheme=scheme, conditions=conditions)


@attrs.frozen(kw_only=True)
class DecisionTime:
    """Processor time of a placement decision for a number of workers."""

    workers: int
    median_us: float
    p99_us: float


@attrs.frozen(kw_only=True)
class Memory:
    """Memory used by the state of a shard."""

    bytes_per_worker: float
    bytes_per_task: float
    bytes_per_history: float


def _build_task(number, kind, cores):
    return TaskShape(
        task_id=f"task-{number}",
        team="rosters",
        task_class=f"{kind.value}-{number % 6}",
        kind=kind,
        urgent=False,
        resources=Resources(cores=cores, memory_bytes=GIB, accelerators=0),
        declared_run_ms=600_000.0,
    )


def _build_state(workers, rng):
    """Yield the state with workers, then with tasks, then with speed history.

    Six tasks are offered for each worker.
    """
    state = ShardState()
    for number in range(workers):
        state.add_worker(
            WorkerShape(
                worker_id=f"worker-{number}",
                rack=f"rack-{number // 8}",
                failure_domain=f"domain-{number // 8 % 3}",
                capacity=Resources(cores=32.0, memory_bytes=125 * GIB, accelerators=0),
            )
        )
    yield state
    for number in range(6 * workers):
        kind = TaskKind.SERVICE if number < 2 * workers else TaskKind.BATCH
        task = _build_task(number, kind, 2.0)
        decision = decide_placement(state, task, 0.0, rng, THROUGHPUT_FIRST)
        if isinstance(decision, Placement):
            state.reserve(task, decision.worker_id, 0.0)
    yield state
    for worker in list(state.workers.values()):
        task_id = next(iter(worker.residents), None)
        for change in range(HISTORY_LENGTH if task_id else 0):
            state.set_speed(task_id, 1.0, float(change))
    yield state


def measure_decision_time(workers):
    """Measure the time of a placement decision for a number of workers."""
    rng = np.random.default_rng(0)
    stages = _build_state(workers, rng)
    next(stages)
    state = next(stages)
    times_us = []
    for number in range(2000):
        task = _build_task(6 * workers + number, TaskKind.BATCH, 2.0)
        before = time.perf_counter()
        decide_placement(state, task, 0.0, rng, THROUGHPUT_FIRST)
        times_us.append(1e6 * (time.perf_counter() - before))
    return DecisionTime(
        workers=workers,
        median_us=float(np.median(times_us)),
        p99_us=float(np.quantile(times_us, 0.99)),
    )


def measure_memory(workers):
    """Measure the memory of a shard's state for a number of workers."""
    tracemalloc.start()
    stages = _build_state(workers, np.random.default_rng(0))
    traced_bytes = []
    for state in stages:
        traced_bytes.append(tracemalloc.get_traced_memory()[0])
        tasks = len(state.tasks)
    tracemalloc.stop()
    return Memory(
        bytes_per_worker=traced_bytes[0] / workers,
        bytes_per_task=(traced_bytes[1] - traced_bytes[0]) / tasks,
        bytes_per_history=(traced_bytes[2] - traced_bytes[1]) / workers,
    )


def main():
    """Run all simulations and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="a trial: write nothing")
    quick = parser.parse_args().quick
    started_s = time.monotonic()
    times = [measure_decision_time(24), measure_decision_time(10_000)]
    memory = measure_memory(200)
    with multiprocessing.Pool(PROCESSES) as pool:
        results = pool.map(_execute_run, _list_runs(quick), chunksize=1)
    text = write_report(
        results, times, memory, HELD_OUT_SEEDS, time.monotonic() - started_s
    )
    print(text)
    if quick:
        return
    DOCS.mkdir(exist_ok=True)
    (DOCS / "PLACEMENT_BENCH.md").write_text(text)
    points = list_points(results, HELD_OUT_SEEDS)
    draw_plot(points, DOCS / "placement_bench.png")


if __name__ == "__main__":
    main()
