"""Spread of the tasks of a service over workers.

A worker that is lost, drained or overloaded by its fillers takes all service tasks on
it along. A service bears the absence of a few of its tasks, so that no worker should
hold more of them than that.
"""

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.models import Step, TaskId

__all__ = ["compute_concentration_penalty", "compute_max_together", "may_spread"]

_DEFAULT_SHARE = 0.125
"""Fraction of the tasks of a service that one worker may hold if the job does not say
how many may be absent. The others take over its load with a seventh more each."""

_MIN_WORKERS = 64
"""Minimum number of workers in a fleet that spreads services. Fillers are tolerated by
few images and need workers with tasks of one image only. With five workers for each
image, services that are spread leave a third as many of these as packed ones."""

_CONCENTRATION_PENALTY = 15_000.0
"""Penalty for each task of the step on a worker beyond its bound, in thousandths of a
core: about two service tasks. It is below the penalty for mixed images until a worker
holds three tasks too many."""


def compute_max_together(step: Step) -> int:
    """Return how many tasks of a service step one worker should hold at most."""
    if step.max_absent is not None:
        return max(1, step.max_absent)
    return max(1, int(_DEFAULT_SHARE * step.count))


def may_spread(workers: int) -> bool:
    """Return whether services are spread on a fleet of a number of workers."""
    return workers >= _MIN_WORKERS


def compute_concentration_penalty(worker: Worker, task: TaskId, step: Step) -> float:
    """Return the penalty for one more task of a service step on a worker.

    In thousandths of a core. The bound is a preference: a task that fits only beside
    others of its step is still started there.
    """
    excess = worker.count_step(task) + 1 - compute_max_together(step)
    return _CONCENTRATION_PENALTY * max(0, excess)
