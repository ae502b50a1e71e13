"""Measures of services with too many tasks on one worker."""

from collections import Counter
from collections.abc import Iterable, Mapping

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.tickets import StepName

__all__ = ["count_together", "measure_largest_share"]


def measure_largest_share(
    workers: Iterable[Worker], jobs: Mapping[str, JobState]
) -> float:
    """Return the largest fraction of a service step on one worker; 0 if none runs."""
    shares = (
        _compute_share(jobs, name, count)
        for worker in workers
        for name, count in worker.step_runs.items()
    )
    return max(shares, default=0.0)


def _compute_share(jobs: Mapping[str, JobState], name: StepName, count: int) -> float:
    """Return the fraction of a service step that runs on one worker.

    0 for other steps and for a step with a single task.
    """
    state = jobs.get(name[0])
    if state is None or name[2] >= len(state.job.steps):
        return 0.0
    step = state.job.steps[name[2]]
    return count / step.count if step.long_running and step.count > 1 else 0.0


def count_together(state: JobState) -> int:
    """Return the largest number of tasks of one service step on one worker."""
    counts = Counter(
        (task.task.occurrence, task.task.step, attempt.worker.report.worker_id)
        for task in state.tasks.values()
        if task.step.long_running
        for attempt in task.attempts
    )
    return max(counts.values(), default=0)
