"""Benchmark of one assignment round, by number of workers.

Run ``python -m bench.rounds``.
"""

import random
import time

import attrs

from trefoilhook.scheduling import (
    Demand,
    OrderOutcome,
    StartOrder,
    Step,
    WorkerReport,
)
from trefoilhook.scheduling.tests.cases import FakeWorker, Shard, build_job

__all__ = [
    "FILLER_IMAGES",
    "FILLER_STEP",
    "IMAGES",
    "SERVICE_STEP",
    "build_shard",
    "learn_weights",
]

IMAGES = 10
FILLER_IMAGES = 18
FILLER_STEP = Step(
    count=20,
    demand=Demand(cpu=3500, memory_mb=6400),
    estimate_ms=2200.0,
    filler=True,
    checkpointing=True,
)
SERVICE_STEP = Step(
    count=14,
    demand=Demand(cpu=6400, memory_mb=13_000),
    long_running=True,
    latency_limit_ms=18.0,
    max_per_worker=1,
)
_URGENT_STEP = Step(
    count=10, demand=Demand(cpu=1500, memory_mb=4000), estimate_ms=640.0
)


def build_shard(count: int) -> Shard:
    """Build a shard of idle workers, each of which has been polled once."""
    shard = Shard(workers=0)
    for number in range(count):
        worker_id = f"w{number}"
        shard.workers[worker_id] = FakeWorker(worker_id=worker_id)
        shard.scheduler.update_worker(
            WorkerReport(
                worker_id=worker_id,
                service="s",
                host=worker_id,
                port=1,
                failure_domain="z",
                capacity=Demand(cpu=32_000, memory_mb=128_000),
                labels=("a", f"r{number // 12}"),
            )
        )
        shard.scheduler.workers[worker_id].is_in_roster = True
        shard.poll(worker_id)
    return shard


def learn_weights(shard: Shard, generator: random.Random) -> None:
    """Teach the scheduler the weight of every pair of images, three in five heavy."""
    for victim in range(IMAGES):
        for filler in range(FILLER_IMAGES):
            cost = 0.1 * generator.choice((0.8, 0.8, 9.0, 9.0, 9.0))
            for _ in range(10):
                shard.scheduler.interference.learn_change(
                    f"s{victim}",
                    before={},
                    after={f"f{filler}": 0.1},
                    slack_before=2.6,
                    slack_after=2.6 - cost,
                )


def _run_round(shard: Shard, *, pause_ms: float = 1000.0) -> tuple[float, int]:
    """Plan and execute one round; return its processor time in ms and its starts."""
    shard.advance_time(pause_ms)
    started_s = time.process_time()
    orders = [order for order in shard.plan() if isinstance(order, StartOrder)]
    cpu_ms = (time.process_time() - started_s) * 1000.0
    for order in orders:
        worker = shard.workers[order.worker_id]
        worker.run(order)
        state = shard.scheduler.jobs[order.task.job_id]
        if state.job.steps[order.task.step].latency_limit_ms:
            worker.update(order.task, order.attempt, percent=100.0, load=7.0)
        shard.answer(order, OrderOutcome.DONE)
    shard.advance_time(5.0)
    # Advance every task, as workers whose tasks make no progress are avoided.
    for worker in shard.workers.values():
        for (task, attempt), running in worker.running.items():
            worker.update(task, attempt, percent=min(100.0, running.percent + 1.0))
    shard.poll_all()
    return cpu_ms, len(orders)


def _measure(count: int) -> None:
    generator = random.Random(count)
    shard = build_shard(count)
    learn_weights(shard, generator)
    for number in range(count // 4):
        step = attrs.evolve(SERVICE_STEP, image=f"s{number % IMAGES}")
        shard.submit(build_job(step, job_id=f"service-{number}"))
    _run_round(shard)
    rows = []
    for batch in range(5):
        for number in range(count // 6):
            image = f"f{generator.randrange(FILLER_IMAGES)}"
            step = attrs.evolve(FILLER_STEP, image=image)
            shard.submit(build_job(step, job_id=f"filler-{batch}-{number}"))
        rows.append(_run_round(shard))
    waiting = len(shard.scheduler.waiting)
    idle_ms, _ = _run_round(shard)
    for number in range(4):
        shard.submit(build_job(_URGENT_STEP, job_id=f"urgent-{number}"))
    # The pause is too short for the round to consider fillers.
    urgent_ms, urgent = _run_round(shard, pause_ms=5.0)
    first_ms, first = rows[0]
    print(
        f"{count:8} {first:6} in {first_ms:7.1f} {waiting:8} {idle_ms:12.1f} "
        f"{urgent:6} in {urgent_ms:6.1f}"
    )


def main() -> None:
    """Print one row for each number of workers."""
    print(" workers  fillers placed   waiting  nothing, ms  urgent placed")
    for count in (24, 176, 704):
        _measure(count)


if __name__ == "__main__":
    main()
