"""Shortfall of long-running jobs: tasks that are absent or exceed their limits."""

from collections.abc import Iterator

import attrs

from trefoilhook.scheduling.arrangement import compute_max_together, count_together
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import Attempt, JobState, TaskState
from trefoilhook.scheduling.tickets import name_step

__all__ = ["Shortfall", "ShortfallCounter"]

_SERVING_PERCENT = 100.0
"""Progress of a long-running task that has finished its start-up, in percent."""


@attrs.frozen(kw_only=True)
class Shortfall:
    """Mean shortfall of a long-running job over an interval.

    Parameters
    ----------
    job : str
        Id of the job.
    queue : str
        Name of its queue.
    tasks : int
        Number of its long-running tasks.
    away : float
        Mean number of tasks that did not serve requests.
    over : float
        Mean number of serving tasks whose tail latency exceeded their limit.
    beside : float
        Mean number of these that shared a worker with running batch tasks.
    waited_for : str
        Reason why a task of it waits, if any does.
    waiting : float
        Mean number of the absent tasks that waited for a worker. None of them had an
        attempt that might still be running.
    unknown : float
        Mean number of the absent tasks with an attempt whose state is unknown to the
        owner: its worker does not answer, or the worker's last answer neither lists the
        attempt nor contains a readable end of it. These tasks are not started elsewhere
        until the attempt is proved over.
    unknown_task, unknown_worker : str
        Id and worker of the task whose attempt has been unlisted for longest, among
        those that are unknown at the end of the interval.
    unknown_ms : int
        Time since that worker last listed the attempt, in ms.
    together : int
        Largest number of its tasks on one worker at the end of the interval.
    max_together : int
        Maximum number of its tasks that one worker should run.
    """

    job: str
    queue: str
    tasks: int
    away: float
    over: float
    beside: float
    waited_for: str = ""
    waiting: float = 0.0
    unknown: float = 0.0
    unknown_task: str = ""
    unknown_worker: str = ""
    unknown_ms: int = 0
    together: int = 0
    max_together: int = 0


@attrs.define(kw_only=True)
class _Sums:
    samples: int = 0
    away: int = 0
    over: int = 0
    beside: int = 0
    waiting: int = 0
    unknown: int = 0


@attrs.define(kw_only=True)
class ShortfallCounter:
    """Samples of long-running jobs since the last report."""

    _sums: dict[str, _Sums] = attrs.Factory(dict)

    def sample(self, scheduler: Scheduler) -> None:
        """Add one sample of every long-running job."""
        for job_id, state in scheduler.jobs.items():
            if not (state.is_open and state.started):
                continue
            if any(step.long_running for step in state.job.steps):
                sums = self._sums.setdefault(job_id, _Sums())
                sums.samples += 1
                for task in _list_tasks(state):
                    _add_sample(scheduler, sums, task)

    def collect(self, scheduler: Scheduler, *, now_ms: float) -> Iterator[Shortfall]:
        """Yield the mean shortfall of each open job, and reset the samples."""
        for job_id, sums in self._sums.items():
            state = scheduler.jobs.get(job_id)
            if state is None or not state.is_open or not (sums.away or sums.over):
                continue
            shortfall = Shortfall(
                job=job_id,
                queue=state.job.queue,
                tasks=sum(1 for _ in _list_tasks(state)),
                away=round(sums.away / sums.samples, 2),
                over=round(sums.over / sums.samples, 2),
                beside=round(sums.beside / sums.samples, 2),
                waited_for=_get_wait_reason(scheduler, state),
                waiting=round(sums.waiting / sums.samples, 2),
                unknown=round(sums.unknown / sums.samples, 2),
                together=count_together(state),
                max_together=max(
                    compute_max_together(task.step) for task in _list_tasks(state)
                ),
            )
            yield _add_unknown(shortfall, state, now_ms) if sums.unknown else shortfall
        self._sums.clear()


def _list_tasks(state: JobState) -> Iterator[TaskState]:
    return (task for task in state.tasks.values() if task.step.long_running)


def _list_unknown_attempts(task: TaskState) -> list[Attempt]:
    return [
        attempt
        for attempt in task.attempts
        if attempt.worker.is_state_unknown(attempt.run)
    ]


def _add_unknown(shortfall: Shortfall, state: JobState, now_ms: float) -> Shortfall:
    unknown = [
        attempt
        for task in _list_tasks(state)
        if not _list_serving_attempts(task)
        for attempt in _list_unknown_attempts(task)
    ]
    least_recent = min(unknown, key=lambda attempt: attempt.run.seen_ms, default=None)
    if least_recent is None:
        return shortfall
    return attrs.evolve(
        shortfall,
        unknown_task=str(least_recent.run.task),
        unknown_worker=least_recent.worker.report.worker_id,
        unknown_ms=round(now_ms - least_recent.run.seen_ms),
    )


def _get_wait_reason(scheduler: Scheduler, state: JobState) -> str:
    for task in _list_tasks(state):
        if task.attempts:
            continue
        reason = scheduler.waits.get_main_reason(name_step(task.task))
        if reason is not None:
            return reason.value
    return ""


def _add_sample(scheduler: Scheduler, sums: _Sums, task: TaskState) -> None:
    serving_attempts = _list_serving_attempts(task)
    if not serving_attempts:
        sums.away += 1
        sums.waiting += task in scheduler.waiting
        sums.unknown += bool(_list_unknown_attempts(task))
        return
    limit_ms = task.step.latency_limit_ms
    if not limit_ms or all(
        attempt.run.load <= limit_ms for attempt in serving_attempts
    ):
        return
    sums.over += 1
    sums.beside += any(
        _has_fillers(scheduler, each.worker) for each in serving_attempts
    )


def _list_serving_attempts(task: TaskState) -> list[Attempt]:
    return [
        attempt for attempt in task.attempts if _is_serving(attempt.worker, attempt.run)
    ]


def _is_serving(worker: Worker, run: Run) -> bool:
    return (
        run.phase is not RunPhase.STARTING
        and run.percent >= _SERVING_PERCENT
        and not worker.is_state_unknown(run)
    )


def _has_fillers(scheduler: Scheduler, worker: Worker) -> bool:
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        if state is None or run.task.step >= len(state.job.steps):
            continue
        if state.job.steps[run.task.step].filler and run.pace > 0:
            return True
    return False
