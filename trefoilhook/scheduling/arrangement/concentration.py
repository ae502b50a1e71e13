"""Services that have more tasks on one worker than they should lose at once."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from trefoilhook.scheduling.arrangement.spread import compute_max_together
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.tickets import StepName

__all__ = ["Cluster", "count_together", "list_clusters", "measure_largest_share"]


@attrs.frozen(kw_only=True)
class Cluster:
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
        Number of its runs on the worker.
    """

    worker: Worker
    name: StepName
    step: Step
    count: int

    @property
    def share(self) -> float:
        """Fraction of the tasks of the step."""
        return self.count / self.step.count

    @property
    def excess(self) -> int:
        """Number of tasks by which the cluster exceeds its bound."""
        return max(0, self.count - compute_max_together(self.step))


def list_clusters(
    workers: Iterable[Worker], jobs: Mapping[str, JobState], *, min_count: int = 1
) -> Iterator[Cluster]:
    """Yield the clusters of at least ``min_count`` runs of all service steps.

    Steps with a single task are left out.
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
                yield Cluster(worker=worker, name=name, step=step, count=count)


def measure_largest_share(
    workers: Iterable[Worker], jobs: Mapping[str, JobState]
) -> float:
    """Return the largest fraction of a service step on one worker; 0 without any."""
    return max((each.share for each in list_clusters(workers, jobs)), default=0.0)


def count_together(state: JobState) -> int:
    """Return the largest number of tasks of one service step on one worker."""
    counts = Counter(
        (task.task.occurrence, task.task.step, attempt.worker.report.worker_id)
        for task in state.tasks.values()
        if task.step.long_running
        for attempt in task.attempts
    )
    return max(counts.values(), default=0)
