"""Stops attempts that should not continue on their worker."""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.messages import StopReason

__all__ = ["is_migration_candidate", "stop_stalled_and_draining"]

_STALL_TIMEOUT_MS = 4000.0
"""Time without progress after which a task is stalled. The slowest observed task on a
sound worker (5.4 s of work at a sixth of the speed) makes 1 % of progress in 330 ms,
and polls are at most 1.5 s apart."""

_MIGRATION_PACE = 40
"""Pace below which a filler benefits from another worker, in percent; one reduction
from full speed reaches it."""

_MIGRATION_DELAY_MS = 900.0
"""Time below this pace before a filler is moved: two polls, within which a short
overload passes."""

_STALL_AVOIDANCE_MS = 6000.0
"""Time for which other workers are preferred to one with a stalled task."""


def stop_stalled_and_draining(
    scheduler: Scheduler, worker: Worker, now_ms: float
) -> None:
    """Stop attempts that are stalled or whose worker is about to shut down."""
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        if state is None or run.phase is not RunPhase.RUNNING:
            continue
        if _is_stalled(worker, run, state, now_ms):
            worker.faulty_until_ms = max(
                worker.faulty_until_ms, now_ms + _STALL_AVOIDANCE_MS
            )
            scheduler.request_stop(worker, run, StopReason.STALLED)
        elif worker.report.draining and _should_leave(worker, run, state):
            scheduler.request_stop(worker, run, StopReason.WORKER_DRAINING)


def is_migration_candidate(run: Run, state: JobState, now_ms: float) -> bool:
    """Return whether a filler has been throttled long enough to be moved."""
    step = state.job.steps[run.task.step]
    if not (step.filler and step.checkpointing) or run.pace >= _MIGRATION_PACE:
        return False
    return now_ms - run.throttled_since_ms > _MIGRATION_DELAY_MS


def _is_stalled(worker: Worker, run: Run, state: JobState, now_ms: float) -> bool:
    step = state.job.steps[run.task.step]
    if step.long_running and run.percent >= 100:
        return False
    if run.pace < 100 or worker.silence is not None:
        return False
    if step.filler and worker.cpu >= worker.report.capacity.cpu:
        # A filler makes no progress without spare processor time.
        return False
    if worker.clock_read_ms < run.progressed_ms + _STALL_TIMEOUT_MS:
        return False
    return now_ms - run.progressed_ms > _STALL_TIMEOUT_MS


def _should_leave(worker: Worker, run: Run, state: JobState) -> bool:
    """Return whether a task benefits from moving before its worker shuts down."""
    step = state.job.steps[run.task.step]
    if step.long_running:
        return True
    left_ms = step.estimate_ms * (100.0 - run.percent) / 100.0
    return step.checkpointing and left_ms > worker.report.remaining_ms
