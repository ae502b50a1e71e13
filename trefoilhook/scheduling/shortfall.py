"""How far long-running jobs fall short: tasks that are away or answer too late."""

from collections.abc import Iterator

import attrs

from trefoilhook.scheduling.book import JobState, TaskState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.tickets import name_step

__all__ = ["Shortfall", "ShortfallCounter"]

_AT_WORK = 100.0
"""Progress of a long-running task that is past its start, in percent."""


@attrs.frozen(kw_only=True)
class Shortfall:
    """What a long-running job lacked over a while, as means.

    Parameters
    ----------
    job : str
        The job.
    queue : str
        Its queue.
    tasks : int
        Its long-running tasks.
    away : float
        Tasks that were not at work.
    over : float
        Tasks at work whose tail latency was over their limit.
    beside : float
        Those of them that had batch tasks at work beside them.
    waited_for : str
        What its waiting tasks wait for, if any wait.
    """

    job: str
    queue: str
    tasks: int
    away: float
    over: float
    beside: float
    waited_for: str = ""


@attrs.define(kw_only=True)
class _Sums:
    samples: int = 0
    away: int = 0
    over: int = 0
    beside: int = 0


@attrs.define(kw_only=True)
class ShortfallCounter:
    """Samples of long-running jobs since they were last taken."""

    _sums: dict[str, _Sums] = attrs.Factory(dict)

    def sample(self, scheduler: Scheduler) -> None:
        """Look at every long-running job once."""
        for job_id, state in scheduler.jobs.items():
            if not (state.is_open and state.started):
                continue
            if any(step.long_running for step in state.job.steps):
                sums = self._sums.setdefault(job_id, _Sums())
                sums.samples += 1
                for task in _list_tasks(state):
                    _count(scheduler, sums, task)

    def take(self, scheduler: Scheduler) -> Iterator[Shortfall]:
        """Yield what each job that is still open lacked, and begin anew."""
        for job_id, sums in self._sums.items():
            state = scheduler.jobs.get(job_id)
            if state is None or not state.is_open or not (sums.away or sums.over):
                continue
            yield Shortfall(
                job=job_id,
                queue=state.job.queue,
                tasks=sum(1 for _ in _list_tasks(state)),
                away=round(sums.away / sums.samples, 2),
                over=round(sums.over / sums.samples, 2),
                beside=round(sums.beside / sums.samples, 2),
                waited_for=_explain(scheduler, state),
            )
        self._sums.clear()


def _list_tasks(state: JobState) -> Iterator[TaskState]:
    return (task for task in state.tasks.values() if task.step.long_running)


def _explain(scheduler: Scheduler, state: JobState) -> str:
    for task in _list_tasks(state):
        if task.attempts:
            continue
        reason = scheduler.waits.find_main(name_step(task.task))
        if reason is not None:
            return reason.value
    return ""


def _count(scheduler: Scheduler, sums: _Sums, task: TaskState) -> None:
    working = [
        attempt for attempt in task.attempts if _is_at_work(attempt.worker, attempt.run)
    ]
    if not working:
        sums.away += 1
        return
    limit_ms = task.step.latency_limit_ms
    if not limit_ms or all(attempt.run.load <= limit_ms for attempt in working):
        return
    sums.over += 1
    sums.beside += any(_has_fillers(scheduler, each.worker) for each in working)


def _is_at_work(worker: Worker, run: Run) -> bool:
    return (
        run.phase is not RunPhase.STARTING
        and run.percent >= _AT_WORK
        and worker.silence is None
    )


def _has_fillers(scheduler: Scheduler, worker: Worker) -> bool:
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        if state is None or run.task.step >= len(state.job.steps):
            continue
        if state.job.steps[run.task.step].filler and run.pace > 0:
            return True
    return False
