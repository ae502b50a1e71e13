"""Services that have more tasks on one worker than they should lose at once."""

import attrs

from trefoilhook.scheduling.arrangement.spread import compute_max_together
from trefoilhook.scheduling.core import Scheduler

__all__ = ["Concentration", "measure_concentration"]


@attrs.frozen(kw_only=True)
class Concentration:
    """Concentration of the services of a shard.

    Parameters
    ----------
    services : int
        Number of service steps with more tasks on a worker than their bound.
    largest_share : float
        Largest fraction of the tasks of one service step that a worker holds, over the
        steps with at least two tasks; 0 if there is none.
    """

    services: int = 0
    largest_share: float = 0.0


def measure_concentration(scheduler: Scheduler) -> Concentration:
    """Return how concentrated the services of a shard are."""
    concentrated: set[tuple[str, int, int]] = set()
    largest_share = 0.0
    for worker in scheduler.workers.values():
        for (job_id, occurrence, number), count in worker.step_runs.items():
            state = scheduler.jobs.get(job_id)
            if state is None or number >= len(state.job.steps):
                continue
            step = state.job.steps[number]
            if not step.long_running or step.count < 2:
                continue
            largest_share = max(largest_share, count / step.count)
            if count > compute_max_together(step):
                concentrated.add((job_id, occurrence, number))
    return Concentration(services=len(concentrated), largest_share=largest_share)
