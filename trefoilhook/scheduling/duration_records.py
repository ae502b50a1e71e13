"""Learns durations from the ends of attempts."""

from trefoilhook.scheduling.core import ATTEMPTS_PER_EPOCH, Scheduler
from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.messages import EndKind
from trefoilhook.scheduling.tickets import name_step

__all__ = ["record_duration"]


def record_duration(
    scheduler: Scheduler, run: Run, kind: EndKind, now_ms: float
) -> None:
    """Learn from the end of an attempt.

    The start of an attempt that a previous owner ordered is unknown, and one that was
    resumed has done less than the whole work. Neither tells how long the task takes.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if not scheduler.features.durations or state is None or task is None:
        return
    step = task.step
    if step.long_running or step.gang:
        return
    queue = state.job.queue
    if kind is EndKind.FAILED:
        scheduler.durations.record_failed(queue, step, now_ms)
    elif (
        kind is EndKind.DONE
        and run.attempt > scheduler.epoch * ATTEMPTS_PER_EPOCH
        and not run.checkpoint_used
    ):
        scheduler.durations.record_done(
            queue,
            step,
            name_step(run.task),
            ran_ms=now_ms - run.started_ms,
            slowing_ms=run.measure_throttling_loss(now_ms),
            now_ms=now_ms,
        )
