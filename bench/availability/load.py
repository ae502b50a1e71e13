"""Load of a simulated fleet: services, batch work and urgent tasks."""

import random

import attrs
import trio

from bench.availability.fleet import PREFIXES, SPECIAL_LABEL, Fleet, ServiceJob

__all__ = ["Load", "submit_load"]

WORKER_CPU = 32_000
"""Processors of a worker, in thousandths of a core."""

_BATCH_TASKS = 4
_BATCH_CPU = 4000
_BATCH_MS = (4000.0, 12_000.0)


@attrs.frozen(kw_only=True)
class Load:
    """What clients submit.

    Parameters
    ----------
    fill : float
        Processors that services ask for, as a fraction of the capacity.
    spread : float
        Standard deviation of the logarithm of the processors of a service task.
    batch : float
        Processors that batch work uses in the mean, as a fraction of the capacity.
    urgent_per_s : float
        Urgent jobs a second.
    burst : float
        Processors of one burst of urgent tasks, as a fraction of the capacity.
    burst_ms : float
        Time between bursts, in ms.
    churn_ms : float
        Time between two services that are cancelled and replaced, in ms; 0 for none.
    """

    fill: float
    spread: float = 0.25
    batch: float = 0.0
    urgent_per_s: float = 0.0
    burst: float = 0.0
    burst_ms: float = 1000.0
    churn_ms: float = 0.0


def build_service(fleet: Fleet, generator: random.Random, spread: float) -> ServiceJob:
    """Return a service that has not been submitted."""
    return ServiceJob(
        job_id=fleet.name_job(),
        prefix=generator.choice(PREFIXES),
        count=generator.randint(2, 14),
        cpu=round(min(14_000, max(1000, generator.lognormvariate(8.6, spread)))),
        mem_mb=generator.randint(6000, 26_000),
        max_per_worker=generator.choice((0, 0, 2, 3)),
        label=generator.choice(("", "", "", SPECIAL_LABEL)),
    )


async def submit_load(fleet: Fleet, load: Load, *, seed: int, workers: int) -> None:
    """Submit services, then the other work until cancelled."""
    generator = random.Random(seed)
    capacity = workers * WORKER_CPU
    asked = 0.0
    while asked < load.fill * capacity:
        job = build_service(fleet, generator, load.spread)
        fleet.submit_service(job)
        asked += job.count * job.cpu
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_submit_urgent, fleet, load, random.Random(seed + 1))
        nursery.start_soon(_submit_bursts, fleet, load, capacity)
        nursery.start_soon(
            _submit_batch, fleet, load, random.Random(seed + 2), capacity
        )
        nursery.start_soon(_replace_services, fleet, load, random.Random(seed + 3))


async def _submit_urgent(fleet: Fleet, load: Load, generator: random.Random) -> None:
    while load.urgent_per_s:
        await fleet.clock.sleep_ms(generator.expovariate(load.urgent_per_s) * 1000.0)
        fleet.submit_urgent(
            count=generator.randint(1, 10),
            cpu=round(min(12_000, generator.lognormvariate(8.3, 0.45))),
            duration_ms=generator.choice((400.0, 640.0, 1600.0)),
        )


async def _submit_bursts(fleet: Fleet, load: Load, capacity: float) -> None:
    while load.burst:
        await fleet.clock.sleep_ms(load.burst_ms)
        fleet.submit_urgent(
            count=max(1, round(load.burst * capacity / 4000)),
            cpu=4000,
            duration_ms=400.0,
        )


async def _submit_batch(
    fleet: Fleet, load: Load, generator: random.Random, capacity: float
) -> None:
    mean_ms = sum(_BATCH_MS) / 2
    while load.batch:
        await fleet.clock.sleep_ms(
            _BATCH_TASKS * _BATCH_CPU * mean_ms / (load.batch * capacity)
        )
        fleet.submit_urgent(
            count=_BATCH_TASKS,
            cpu=_BATCH_CPU,
            duration_ms=generator.uniform(*_BATCH_MS),
        )


async def _replace_services(fleet: Fleet, load: Load, generator: random.Random) -> None:
    while load.churn_ms:
        await fleet.clock.sleep_ms(load.churn_ms)
        open_jobs = [job for job in fleet.services.values() if not job.is_cancelled]
        if len(open_jobs) > 2:
            fleet.cancel_service(generator.choice(open_jobs))
        fleet.submit_service(build_service(fleet, generator, load.spread))
