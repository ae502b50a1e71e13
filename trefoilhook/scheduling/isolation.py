"""Runs of suspected tasks apart from others.

A task that is suspected to crash its workers is started again, as most suspects turn
out to be bystanders. So that its next crash tells whose it was, and takes nothing
along, a strongly suspected one gets a worker to which nothing else goes until it has
run for a while, with as little on it as there is. Weakly suspected ones are spread.
"""

from collections import Counter

import attrs

from trefoilhook.scheduling.book import JobState, TaskState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crowds import Crowds
from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.suspicion import STRONG_ODDS, compute_survival

__all__ = [
    "Isolation",
    "is_run_isolated",
    "is_recorded",
    "is_strongly_suspected",
    "rate_risk",
]

_ISOLATION_MS = 3000.0
"""How long a strongly suspected task keeps a worker for itself at most, in ms."""

_MOST_A_JOB = 2
"""Isolated runs of one job at a time. Where all tasks of a job crash, each takes a
worker down; where one does, the others wait for their turns."""

_LARGEST_SHARE = 0.25
"""Share of the workers that may be kept for isolated runs."""

_RUN_RISK = 100_000
_SERVICE_RISK = 1_000_000
"""Thousandths of a core that a strongly suspected task would rather leave unused than
run beside another task, and beside a service task."""

_APART_RISK = 100_000
"""The same for a suspected task beside another one."""


def is_strongly_suspected(task: TaskState) -> bool:
    """Tell whether a task is to run apart from others."""
    suspicion = task.suspicion
    return suspicion is not None and suspicion.odds >= STRONG_ODDS


def is_run_isolated(task: TaskState, run: Run) -> bool:
    """Tell whether a run keeps its worker to itself."""
    suspicion = task.suspicion
    if suspicion is None or run.proved_ms >= _ISOLATION_MS:
        return False
    return suspicion.odds * compute_survival(run.proved_ms) >= STRONG_ODDS


def is_recorded(scheduler: Scheduler, worker: Worker, run: Run) -> bool:
    """Tell whether the store knows where a run is ordered, as far as that is needed.

    Guards against a crash that is forgotten with its owner: by the record the next
    owner finds out whether the worker was lost under a task that is suspected.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if state is None or task is None or task.suspicion is None:
        return True
    if run.recorded_version is None:
        scheduler.suspects.suspect(task).place(run.attempt, worker.report.worker_id)
        run.recorded_version = state.version
    return state.saved_version >= run.recorded_version


def rate_risk(worker: Worker, task: TaskState, crowds: Crowds) -> float:
    """Return what speaks against starting a suspected task on a worker."""
    if task.suspicion is None:
        return 0.0
    risk = float(_APART_RISK * worker.suspected_runs)
    if is_strongly_suspected(task):
        risk += _RUN_RISK * len(worker.runs)
        risk += _SERVICE_RISK * len(crowds.find(worker).victims)
    return risk


@attrs.define(kw_only=True)
class Isolation:
    """The isolated runs that go on, for one round of assignment.

    Parameters
    ----------
    most : int
        Workers that may be kept for isolated runs.
    workers : int
        Workers that are.
    jobs : Counter of JobState
        Isolated runs by job.
    """

    most: int
    workers: int = 0
    jobs: Counter[JobState] = attrs.Factory(Counter)

    @classmethod
    def collect(cls, scheduler: Scheduler) -> "Isolation":
        """Find the isolated runs that go on, and mark their workers."""
        for worker in scheduler.workers.values():
            worker.suspected_runs = 0
            worker.is_reserved = False
        most = max(1, int(_LARGEST_SHARE * len(scheduler.workers)))
        found = cls(most=most)
        for state in scheduler.suspects.jobs:
            for unit in state.progress.suspicions:
                for task in state.list_unit(unit):
                    for attempt in task.attempts:
                        found.add(task, attempt.worker, attempt.run)
        return found

    def add(self, task: TaskState, worker: Worker, run: Run) -> None:
        """Count a run of a suspected task."""
        worker.suspected_runs += 1
        if not is_run_isolated(task, run):
            return
        self.jobs[task.job] += 1
        if not worker.is_reserved:
            worker.is_reserved = True
            self.workers += 1

    def may_start(self, task: TaskState, now_ms: float) -> bool:
        """Tell whether a task may be started now, as far as isolation goes."""
        if task.held_until_ms > now_ms:
            return False
        if not is_strongly_suspected(task):
            return True
        return self.workers < self.most and self.jobs[task.job] < _MOST_A_JOB
