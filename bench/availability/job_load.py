"""Load of a simulated fleet with batch jobs."""

import random

from bench.availability.fleet import BatchJob, BatchStep, Fleet
from bench.availability.job_series import JobSeries
from bench.availability.load import WORKER_CPU, build_service

__all__ = ["submit_jobs"]

_MAX_WIDTH = 60
_SERVICE_MEM_MB = 6000


async def submit_jobs(fleet: Fleet, series: JobSeries) -> None:
    """Submit services and batch jobs until the traffic ends."""
    generator = random.Random(series.seed + 1)
    load = series.load
    fleet.behaviour.cost = load.cost
    _submit_services(fleet, series, generator)
    for _ in range(load.jobs):
        fleet.submit_batch(_build_job(fleet, series, generator))
    until_ms = fleet.clock.monotonic_ms() + series.traffic_ms
    while load.jobs_per_s and fleet.clock.monotonic_ms() < until_ms:
        await fleet.clock.sleep_ms(generator.expovariate(load.jobs_per_s) * 1000.0)
        if fleet.clock.monotonic_ms() < until_ms:
            fleet.submit_batch(_build_job(fleet, series, generator))


def _submit_services(fleet: Fleet, series: JobSeries, generator: random.Random) -> None:
    """Submit services until they ask for the fraction of the capacity."""
    capacity = series.workers * WORKER_CPU
    asked = 0.0
    while asked < series.load.fill * capacity:
        job = build_service(fleet, generator, 0.25)
        # Memory is left to the batch jobs, and a task to each worker.
        job.mem_mb, job.label = _SERVICE_MEM_MB, ""
        job.count = max(job.count, series.workers)
        job.cpu = min(job.cpu, round(series.load.fill * WORKER_CPU))
        job.max_per_worker = 1 if series.load.is_spread else 0
        if series.load.is_spread:
            job.count = series.workers
        fleet.submit_service(job)
        asked += job.count * job.cpu


def _build_job(fleet: Fleet, series: JobSeries, generator: random.Random) -> BatchJob:
    load = series.load
    is_filler = generator.random() < load.filler_share
    steps = tuple(
        _build_step(series, generator, is_filler=is_filler)
        for _ in range(min(load.max_steps, generator.choice((1, 1, 2, 3))))
    )
    culprit = ""
    if generator.random() < load.culprit_share:
        culprit = generator.choice(load.culprits)
    return BatchJob(
        job_id=fleet.name_job(),
        steps=steps,
        culprit=culprit,
        harm_ms=generator.choice((20.0, 300.0, 1500.0)),
    )


def _build_step(
    series: JobSeries, generator: random.Random, *, is_filler: bool
) -> BatchStep:
    load = series.load
    count = generator.randint(1, load.max_count)
    if generator.random() < load.wide_share:
        count = generator.randint(10, _MAX_WIDTH)
    is_apart = generator.random() < load.apart_share
    return BatchStep(
        count=count,
        cpu=generator.choice((1000, 3500, 8000)),
        mem_mb=generator.choice((500, 2000)),
        task_ms=load.task_ms * generator.uniform(0.5, 1.5),
        max_per_worker=1 if is_apart else 0,
        is_filler=is_filler,
        image=generator.choice(("f0", "f1", "f2")) if is_filler else "",
    )
