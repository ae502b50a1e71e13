"""Records after each round which batch jobs have due tasks and nothing running."""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.idle_fleet import has_runs
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.overdue import AmpleCapacity
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["record_idle_jobs"]

_UNKNOWN = "unknown"


def record_idle_jobs(
    scheduler: Scheduler, capacity: AmpleCapacity, now_ms: float
) -> None:
    """Record the batch jobs of which nothing runs after a round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    capacity : AmpleCapacity
        Free capacity after the round.
    now_ms : float
        Current time, in ms.
    """
    tracker = scheduler.waits.idle_jobs
    if not tracker.is_due(now_ms):
        return
    idle = _list_idle_jobs(scheduler)
    for job_id, steps in idle.items():
        tasks = [steps[name] for name in sorted(steps)]
        first = tasks[0]
        reason = scheduler.waits.get_last_reason(name_step(first.task))
        tracker.record(
            job_id,
            queue=first.job.job.queue,
            reason=reason.value if reason is not None else _UNKNOWN,
            idle_share=capacity.idle_fleet.get_idle_share(first),
            is_entitled=capacity.idle_fleet.is_idle_for(first)
            and any(_is_ample(capacity, task) for task in tasks),
            since_ms=scheduler.idle_since_ms.get(job_id, now_ms),
            now_ms=now_ms,
        )
    for job_id in tracker.list_others(idle):
        placed_ms = _find_first_place(scheduler.jobs.get(job_id))
        tracker.end(job_id, placed_ms=placed_ms, now_ms=now_ms)


def _list_idle_jobs(scheduler: Scheduler) -> dict[str, dict[StepName, TaskState]]:
    """Return a waiting task of each step of the jobs without runs, by job id."""
    idle: dict[str, dict[StepName, TaskState]] = {}
    running: set[str] = set()
    for task in scheduler.waiting:
        job_id = task.task.job_id
        if task.step.long_running or job_id in running:
            continue
        steps = idle.get(job_id)
        if steps is None:
            if has_runs(task.job):
                running.add(job_id)
                continue
            steps = idle[job_id] = {}
        name = name_step(task.task)
        known = steps.get(name)
        if known is None or task.task.index < known.task.index:
            steps[name] = task
    return idle


def _is_ample(capacity: AmpleCapacity, task: TaskState) -> bool:
    """Return whether there is capacity for two tasks like one; unknown for gangs."""
    return not task.step.gang and capacity.is_ample_for(task)


def _find_first_place(job: JobState | None) -> float | None:
    """Return when the first of a job's runs was placed, in ms, or None without any."""
    if job is None:
        return None
    return min(
        (
            attempt.run.placed_ms
            for task in job.tasks.values()
            for attempt in task.attempts
        ),
        default=None,
    )
