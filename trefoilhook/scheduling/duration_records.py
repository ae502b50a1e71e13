"""Updates the learned durations when attempts end."""

from trefoilhook.scheduling.copy_tracker import project_total
from trefoilhook.scheduling.core import ATTEMPTS_PER_EPOCH, Scheduler
from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.messages import EndKind
from trefoilhook.scheduling.tickets import name_step

__all__ = ["record_duration"]

_CENSORED_FACTOR = 2.0
"""Assumed ratio of the total duration of a stopped run to its run time, if its progress
is unknown."""


def record_duration(
    scheduler: Scheduler, run: Run, kind: EndKind, now_ms: float
) -> None:
    """Update the learned durations from the end of an attempt.

    Attempts that a previous owner started are ignored, as their start time is unknown,
    and so are resumed attempts, which have done only a part of the work.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if not scheduler.features.durations or state is None or task is None:
        return
    step = task.step
    if step.long_running or step.gang or task.done:
        return
    queue = state.job.queue
    if kind is EndKind.FAILED:
        scheduler.durations.record_failed(queue, step, now_ms)
    elif kind is EndKind.DONE:
        _record_superseded(scheduler, task, run, now_ms)
        if not _is_whole(scheduler, run):
            return
        scheduler.durations.record_done(
            queue,
            step,
            name_step(run.task),
            ran_ms=now_ms - run.started_ms,
            slowing_ms=run.measure_throttling_loss(now_ms),
            now_ms=now_ms,
        )


def _is_whole(scheduler: Scheduler, run: Run) -> bool:
    """Return whether a run has a known start time and was not resumed."""
    is_own = run.attempt > scheduler.epoch * ATTEMPTS_PER_EPOCH
    return is_own and not run.checkpoint_used


def _record_superseded(
    scheduler: Scheduler, task: TaskState, run: Run, now_ms: float
) -> None:
    """Record the attempts that are stopped because a copy completed first."""
    for attempt in task.attempts:
        other = attempt.run
        if other.attempt >= run.attempt or not _is_whole(scheduler, other):
            continue
        scheduler.durations.record_censored(
            task.job.job.queue,
            task.step,
            name_step(task.task),
            total_ms=project_total(other)
            or _CENSORED_FACTOR * max(1.0, now_ms - other.started_ms),
            now_ms=now_ms,
        )
