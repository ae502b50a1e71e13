"""How fast the fillers of a worker may work, so that its processors aren't all busy.

A filler takes whatever processor time is there. Near the end of it every service task
on the worker waits for a processor, however little the filler's image disturbs it: on
a quiet day three quarters of the time over a limit fell to workers on which more than
nine tenths of the processors were asked for, and tails rose to ten times the limit
within half a second of an urgent task's start.

So fillers are slowed together as soon as what others reserve leaves too little, before
a tail shows it, and let go again once it is free.
"""

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.crowds import (
    BUSY_SHARE,
    FILLER_USE,
    FULL_PACE,
    SERVICE_USE,
    find_step,
)
from trefoilhook.scheduling.fleet import Worker

__all__ = ["limit_pace"]

_PACE_STEP = 20
"""Paces come in multiples of this, in percent: each order is a call."""


def limit_pace(worker: Worker, jobs: dict[str, JobState]) -> int:
    """Return the highest pace for the fillers of a worker, in percent.

    Parameters
    ----------
    worker : Worker
        Where they run.
    jobs : dict of str to JobState
        The jobs of the shard.
    """
    kept = 0.0
    wanted = 0.0
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is None:
            continue
        if step.filler:
            wanted += FILLER_USE * step.demand.cpu * run.first_pace / FULL_PACE
        elif step.latency_limit_ms:
            kept += SERVICE_USE * step.demand.cpu
        else:
            kept += step.demand.cpu
    left = BUSY_SHARE * worker.report.capacity.cpu - kept
    if wanted <= 0.0 or left >= wanted:
        return FULL_PACE
    steps = int(FULL_PACE * max(0.0, left) / wanted) // _PACE_STEP
    return max(_PACE_STEP, steps * _PACE_STEP)
