"""Spread of the tasks of a service over workers.

The loss, drain or overload of a worker affects all service tasks on it. A service
tolerates the absence of a few of its tasks, and no worker should run more of them.
"""

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.models import Step, TaskId

__all__ = ["compute_concentration_penalty", "compute_max_together", "may_spread"]

_DEFAULT_SHARE = 0.125
"""Fraction of the tasks of a service that one worker should run at most if the job does
not specify how many may be absent."""

_MIN_WORKERS = 64
"""Minimum number of workers in a fleet that spreads services. Fillers are tolerated by
few images and need workers with tasks of one image only, of which spreading leaves too
few on a small fleet."""

_CONCENTRATION_PENALTY = 15_000.0
"""Penalty for each task of the step on a worker beyond the maximum, in thousandths of a
core. It is below the penalty for mixed images up to an excess of two tasks."""


def compute_max_together(step: Step) -> int:
    """Return how many tasks of a service step one worker should run at most."""
    if step.max_absent is not None:
        return max(1, step.max_absent)
    return max(1, int(_DEFAULT_SHARE * step.count))


def may_spread(workers: int) -> bool:
    """Return whether services are spread on a fleet of this size."""
    return workers >= _MIN_WORKERS


def compute_concentration_penalty(worker: Worker, task: TaskId, step: Step) -> float:
    """Return the penalty for one more task of a service step on a worker.

    In thousandths of a core. The maximum is a preference: a task that fits only on a
    worker that has reached it is still started there.
    """
    excess = worker.count_step(task) + 1 - compute_max_together(step)
    return _CONCENTRATION_PENALTY * max(0, excess)
