"""Isolation of runs of tasks that are suspected of crashing their workers.

Suspected tasks are started again, as most suspects are bystanders. A strongly suspected
task gets a worker with as few other runs as possible, to which no other task is
assigned until it has run for a while. Its next crash then identifies its cause and
affects nothing else. Weakly suspected tasks are spread over the workers.
"""

from collections import Counter

import attrs

from trefoilhook.scheduling.colocation import ColocationCache
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.suspicion import STRONG_ODDS, compute_survival

__all__ = [
    "Isolation",
    "compute_risk_penalty",
    "is_placement_recorded",
    "is_run_isolated",
    "is_strongly_suspected",
]

_ISOLATION_MS = 3000.0
"""Maximum time for which a strongly suspected task reserves its worker."""

_MIN_ISOLATION_WAIT_MS = 500.0
"""Minimum time after a delay for which the limits on isolated runs apply to an overdue
task, in ms. Prevents tasks whose delays end together from all starting before the first
one crashes."""

_MAX_RUNS_PER_JOB = 2
"""Maximum number of concurrent isolated runs of one job. If all tasks of the job crash,
each takes a worker down; if only one does, the others wait for their turn."""

_MAX_WORKER_SHARE = 0.25
"""Maximum fraction of the workers that is reserved for isolated runs."""

_COLOCATION_PENALTY = 100_000
_SERVICE_PENALTY = 1_000_000
"""Penalties for starting a strongly suspected task beside another run and beside a
service task, in thousandths of a core."""

_SUSPECT_PENALTY = 100_000
"""Penalty for starting a suspected task beside another one, in thousandths of a
core."""


def is_strongly_suspected(task: TaskState) -> bool:
    """Return whether a task must run in isolation."""
    suspicion = task.suspicion
    return suspicion is not None and suspicion.odds >= STRONG_ODDS


def is_run_isolated(task: TaskState, run: Run) -> bool:
    """Return whether a run reserves its worker."""
    suspicion = task.suspicion
    if suspicion is None or run.proved_ms >= _ISOLATION_MS:
        return False
    return suspicion.odds * compute_survival(run.proved_ms) >= STRONG_ODDS


def is_placement_recorded(scheduler: Scheduler, worker: Worker, run: Run) -> bool:
    """Return whether the worker of a run is recorded in the store, if required.

    Guards against losing a crash together with the owner: from the record the next
    owner determines whether the worker was lost while it ran a suspected task.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if state is None or task is None or task.suspicion is None:
        return True
    if run.recorded_version is None:
        scheduler.suspects.get_or_add(task).record_attempt(
            run.attempt, worker.incarnation
        )
        run.recorded_version = state.version
    return state.saved_version >= run.recorded_version


def compute_risk_penalty(
    worker: Worker, task: TaskState, colocations: ColocationCache
) -> float:
    """Return the penalty for starting a suspected task on a worker."""
    if not worker.runs or task.suspicion is None:
        return 0.0
    risk = float(_SUSPECT_PENALTY * worker.suspected_runs)
    if is_strongly_suspected(task):
        risk += _COLOCATION_PENALTY * len(worker.runs)
        risk += _SERVICE_PENALTY * len(colocations.lookup(worker).victims)
    return risk


@attrs.define(kw_only=True)
class Isolation:
    """Isolated runs during one round of assignment.

    Parameters
    ----------
    max_workers : int
        Maximum number of workers reserved for isolated runs.
    workers : int
        Number of reserved workers.
    jobs : Counter of JobState
        Number of isolated runs by job.
    silent_jobs : Counter of JobState
        Number of those on workers that don't answer.
    hosts : set of Worker
        Answering workers with isolated runs, which may exceed the reserved ones.
    """

    max_workers: int
    workers: int = 0
    jobs: Counter[JobState] = attrs.Factory(Counter)
    silent_jobs: Counter[JobState] = attrs.Factory(Counter)
    hosts: set[Worker] = attrs.Factory(set)

    @classmethod
    def collect(cls, scheduler: Scheduler) -> "Isolation":
        """Find the current isolated runs and mark their workers as reserved."""
        for worker in scheduler.workers.values():
            worker.suspected_runs = 0
            worker.is_reserved = False
        max_workers = max(1, int(_MAX_WORKER_SHARE * len(scheduler.workers)))
        found = cls(max_workers=max_workers)
        for state in scheduler.suspects.jobs:
            for unit in state.progress.suspicions:
                for task in state.list_unit(unit):
                    for attempt in task.attempts:
                        found.add(task, attempt.worker, attempt.run)
        return found

    def add(self, task: TaskState, worker: Worker, run: Run) -> None:
        """Add a run of a suspected task."""
        worker.suspected_runs += 1
        if not is_run_isolated(task, run):
            return
        self.jobs[task.job] += 1
        if worker.silence is not None:
            # Nothing can be started there. The run counts for its own job only, whose
            # tasks may have silenced the worker.
            self.silent_jobs[task.job] += 1
            return
        self.hosts.add(worker)
        if not worker.is_reserved and self.workers < self.max_workers:
            worker.is_reserved = True
            self.workers += 1

    def may_start(
        self, task: TaskState, now_ms: float, *, is_overdue: bool = False
    ) -> bool:
        """Return whether isolation permits starting a task now.

        The limits on isolated runs apply to overdue tasks only for a short time. They
        continue to apply to batch tasks after a proved crash: beside each other, tasks
        are given up in place of the one that crashes their worker. Runs on workers that
        don't answer do not limit overdue tasks.
        """
        held_until_ms = task.shared.held_until_ms
        if held_until_ms > now_ms:
            return False
        runs = self.jobs[task.job]
        if is_overdue:
            runs -= self.silent_jobs[task.job]
        suspicion = task.suspicion
        if suspicion is not None and suspicion.crashes and not task.step.long_running:
            is_overdue = False
        if is_overdue and now_ms - held_until_ms >= _MIN_ISOLATION_WAIT_MS:
            return True
        if not is_strongly_suspected(task):
            return True
        return self.workers < self.max_workers and runs < _MAX_RUNS_PER_JOB
