"""Limit on the pace of fillers that keeps a worker from saturation.

Fillers take all processor time that is available. Close to saturation every service
task on the worker waits for a processor, however light the filler is: on a day with low
load three quarters of the time over a limit occurred on workers with more than 0.9 of
the processors requested, and tails reached ten times the limit within 0.5 s of the
start of an urgent task.

All fillers of a worker are therefore throttled as soon as reservations leave too
little, before the tails react, and sped up again when capacity becomes free.
"""

from trefoilhook.scheduling.colocation import (
    FILLER_UTILISATION,
    FULL_PACE,
    MAX_UTILISATION,
    SERVICE_UTILISATION,
    find_step,
)
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState

__all__ = ["compute_max_pace"]

_PACE_STEP = 20
"""Paces are multiples of this, in percent, as each order is a request."""


def compute_max_pace(worker: Worker, jobs: dict[str, JobState]) -> int:
    """Return the maximum pace for the fillers of a worker, in percent.

    Parameters
    ----------
    worker : Worker
        Worker that runs them.
    jobs : dict of str to JobState
        The jobs of the shard.
    """
    reserved_cpu = 0.0
    filler_cpu = 0.0
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is None:
            continue
        if step.filler:
            filler_cpu += (
                FILLER_UTILISATION * step.demand.cpu * run.initial_pace / FULL_PACE
            )
        elif step.latency_limit_ms:
            reserved_cpu += SERVICE_UTILISATION * step.demand.cpu
        else:
            reserved_cpu += step.demand.cpu
    spare_cpu = MAX_UTILISATION * worker.report.capacity.cpu - reserved_cpu
    if filler_cpu <= 0.0 or spare_cpu >= filler_cpu:
        return FULL_PACE
    steps = int(FULL_PACE * max(0.0, spare_cpu) / filler_cpu) // _PACE_STEP
    return max(_PACE_STEP, steps * _PACE_STEP)
