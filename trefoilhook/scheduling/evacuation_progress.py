"""Counts the tasks that still run in evacuated failure domains."""

from collections.abc import Iterator

import attrs

from trefoilhook.scheduling.colocation import find_step
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.evacuations import Evacuation

__all__ = ["EvacuatedDomain", "measure_evacuated"]


@attrs.frozen(kw_only=True)
class EvacuatedDomain:
    """Workers and runs left in an evacuated failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain, as spelled by the operator.
    since_ms : int
        Time since this instance learned of the evacuation, in ms.
    workers : int
        Workers in the failure domain.
    busy_workers : int
        Workers that hold runs.
    runs : int
        Runs on these workers.
    long_running : int
        Runs of long-running steps, which end only when their jobs are cancelled.
    """

    failure_domain: str
    since_ms: int
    workers: int
    busy_workers: int
    runs: int
    long_running: int


def measure_evacuated(scheduler: Scheduler, now_ms: float) -> Iterator[EvacuatedDomain]:
    """Yield the workers and runs left in each evacuated failure domain."""
    for evacuation in scheduler.evacuations.in_force.values():
        yield _measure(scheduler, evacuation, now_ms)


def _measure(
    scheduler: Scheduler, evacuation: Evacuation, now_ms: float
) -> EvacuatedDomain:
    workers = [
        worker
        for worker in scheduler.workers.values()
        if evacuation.covers(worker.report.failure_domain)
    ]
    runs = [run for worker in workers for run in worker.runs.values()]
    steps = [find_step(scheduler.jobs, run) for run in runs]
    return EvacuatedDomain(
        failure_domain=evacuation.failure_domain,
        since_ms=round(now_ms - evacuation.since_ms),
        workers=len(workers),
        busy_workers=sum(bool(worker.runs) for worker in workers),
        runs=len(runs),
        long_running=sum(step is not None and step.long_running for step in steps),
    )
