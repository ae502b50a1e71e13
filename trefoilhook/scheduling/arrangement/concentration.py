"""Detection of services with too many tasks on one worker."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from trefoilhook.scheduling.arrangement.spread import compute_max_together
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.tickets import StepName

__all__ = ["StepGroup", "count_together", "list_step_groups", "measure_largest_share"]


@attrs.frozen(kw_only=True)
class StepGroup:
    """Tasks of one service step on one worker.

    Parameters
    ----------
    worker : Worker
        The worker.
    name : StepName
        Name of the step.
    step : Step
        The step.
    count : int
        Number of runs of the step on the worker.
    """

    worker: Worker
    name: StepName
    step: Step
    count: int

    @property
    def share(self) -> float:
        """Fraction of the step's tasks that run on the worker."""
        return self.count / self.step.count

    @property
    def excess(self) -> int:
        """Number of tasks beyond the maximum per worker."""
        return max(0, self.count - compute_max_together(self.step))


def list_step_groups(
    workers: Iterable[Worker], jobs: Mapping[str, JobState], *, min_count: int = 1
) -> Iterator[StepGroup]:
    """Yield the groups of at least ``min_count`` runs of all service steps.

    Steps with a single task are skipped.
    """
    for worker in workers:
        for name, count in worker.step_runs.items():
            if count < min_count:
                continue
            state = jobs.get(name[0])
            if state is None or name[2] >= len(state.job.steps):
                continue
            step = state.job.steps[name[2]]
            if step.long_running and step.count > 1:
                yield StepGroup(worker=worker, name=name, step=step, count=count)


def measure_largest_share(
    workers: Iterable[Worker], jobs: Mapping[str, JobState]
) -> float:
    """Return the largest fraction of a service step on one worker; 0 if none runs."""
    return max((each.share for each in list_step_groups(workers, jobs)), default=0.0)


def count_together(state: JobState) -> int:
    """Return the largest number of tasks of one service step on one worker."""
    counts = Counter(
        (task.task.occurrence, task.task.step, attempt.worker.report.worker_id)
        for task in state.tasks.values()
        if task.step.long_running
        for attempt in task.attempts
    )
    return max(counts.values(), default=0)
