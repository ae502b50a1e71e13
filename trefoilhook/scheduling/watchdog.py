"""Stops of attempts that should not go on where they are."""

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import StopReason

__all__ = ["is_halted", "stop_misplaced"]

_STILL_MS = 4000.0
"""A task without any progress for so long stands still: the slowest seen on a sound
worker (5.4 s of work, six times as slow) makes a percent in 330 ms, and a look comes
every 1.5 s."""

_HALTED_PACE = 40
"""A filler below this pace, in percent, is better off on a worker where it disturbs
nobody; one step down from full speed reaches it."""

_HALTED_MS = 900.0
"""How long it waits there, in ms: two looks, in which a passing strain is over."""

_AVOID_MS = 6000.0
"""How long a worker on which a task stood still gets no new task."""


def stop_misplaced(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Have attempts stopped that stand still, or whose worker is about to leave."""
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        if state is None or run.phase is not RunPhase.RUNNING:
            continue
        if _stands_still(worker, run, state, now_ms):
            worker.avoid_until_ms = now_ms + _AVOID_MS
            scheduler.request_stop(worker, run, StopReason.STANDS_STILL)
        elif worker.report.draining and _should_leave(worker, run, state):
            scheduler.request_stop(worker, run, StopReason.WORKER_LEAVES)


def is_halted(run: Run, state: JobState, now_ms: float) -> bool:
    """Tell whether a filler has been slowed for so long that it may gain by moving."""
    step = state.job.steps[run.task.step]
    if not (step.filler and step.checkpointing) or run.pace >= _HALTED_PACE:
        return False
    return now_ms - run.slowed_ms > _HALTED_MS


def _stands_still(worker: Worker, run: Run, state: JobState, now_ms: float) -> bool:
    step = state.job.steps[run.task.step]
    if step.long_running and run.percent >= 100:
        return False
    if run.pace < 100 or worker.silence is not None:
        return False
    if step.filler and worker.cpu >= worker.report.capacity.cpu:
        # A filler without any processor time left over makes no progress.
        return False
    if worker.clock_read_ms < run.progressed_ms + _STILL_MS:
        return False
    return now_ms - run.progressed_ms > _STILL_MS


def _should_leave(worker: Worker, run: Run, state: JobState) -> bool:
    """Tell whether a task gains by going elsewhere before its worker leaves."""
    step = state.job.steps[run.task.step]
    if step.long_running:
        return True
    left_ms = step.estimate_ms * (100.0 - run.percent) / 100.0
    return step.checkpointing and left_ms > worker.report.remaining_ms
