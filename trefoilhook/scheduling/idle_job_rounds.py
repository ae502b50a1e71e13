"""Records after each round which batch jobs have due tasks and nothing running."""

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.idle_jobs import PREVIOUS_OWNER
from trefoilhook.scheduling.job_activity import has_live_runs, list_silent_attempts
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.overdue import AmpleCapacity
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["list_idle_candidates", "record_idle_jobs"]

_UNKNOWN = "unknown"

_SILENT_WORKER = "silent worker"
"""Reason for the time in which the runs of a job are on workers that don't answer."""


@attrs.define(kw_only=True)
class _IdleJob:
    """A batch job with nothing running.

    Parameters
    ----------
    waiting : dict of StepName to TaskState
        A waiting task of each of its steps.
    silent : list of TaskState
        Its tasks with runs on workers that don't answer.
    """

    waiting: dict[StepName, TaskState] = attrs.Factory(dict)
    silent: list[TaskState] = attrs.Factory(list)


def list_idle_candidates(scheduler: Scheduler) -> dict[str, JobState]:
    """Return the batch jobs of which nothing may be running, by id.

    These have waiting tasks, runs on workers that don't answer, or starts that no
    worker has confirmed since their last run.
    """
    jobs = {
        task.task.job_id: task.job
        for task in scheduler.waiting
        if not task.step.long_running
    }
    for worker in scheduler.workers.values():
        if worker.silence is None:
            continue
        for run in worker.runs.values():
            job = scheduler.jobs.get(run.task.job_id)
            if job is not None and _is_due(job, run):
                jobs[run.task.job_id] = job
    for job_id in scheduler.idle_times.list_since():
        job = scheduler.jobs.get(job_id) if job_id not in jobs else None
        if job is not None and job.is_open and has_live_runs(job):
            jobs[job_id] = job
    return jobs


def record_idle_jobs(
    scheduler: Scheduler,
    jobs: dict[str, JobState],
    capacity: AmpleCapacity,
    now_ms: float,
) -> None:
    """Record the batch jobs of which nothing runs after a round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    jobs : dict of str to JobState
        Result of `list_idle_candidates` in this round.
    capacity : AmpleCapacity
        Free capacity after the round.
    now_ms : float
        Current time, in ms.
    """
    tracker = scheduler.waits.idle_jobs
    if not tracker.is_due(now_ms):
        return
    idle = _list_idle_jobs(scheduler, jobs)
    for job_id, job in idle.items():
        tasks = [job.waiting[name] for name in sorted(job.waiting)] or job.silent
        first = tasks[0]
        since_ms = scheduler.idle_times.find_since(job_id)
        tracker.record(
            job_id,
            queue=first.job.job.queue,
            reason=_describe_reason(scheduler, job),
            idle_share=capacity.idle_fleet.get_idle_share(first),
            is_entitled=capacity.idle_fleet.is_idle_for(first)
            and any(_is_ample(capacity, task) for task in tasks),
            since_ms=now_ms if since_ms is None else since_ms,
            silent_runs=len(job.silent),
            earlier_reason=_describe_earlier(scheduler, job_id),
            now_ms=now_ms,
        )
    for job_id in tracker.list_others(idle):
        placed_ms = _find_first_place(scheduler.jobs.get(job_id))
        tracker.end(job_id, placed_ms=placed_ms, now_ms=now_ms)


def _is_due(job: JobState, run: Run) -> bool:
    """Return whether a run is an attempt at a batch task that is not completed."""
    task = job.tasks.get(run.task)
    if task is None or not job.is_open or task.done or task.step.long_running:
        return False
    return any(attempt.run is run for attempt in task.attempts)


def _list_idle_jobs(
    scheduler: Scheduler, jobs: dict[str, JobState]
) -> dict[str, _IdleJob]:
    """Return the jobs of which nothing runs, by job id."""
    idle = {
        job_id: _IdleJob(silent=_list_silent_tasks(job))
        for job_id, job in jobs.items()
        if not has_live_runs(job)
    }
    for task in scheduler.waiting:
        found = idle.get(task.task.job_id)
        if found is None or task.step.long_running:
            continue
        name = name_step(task.task)
        known = found.waiting.get(name)
        if known is None or task.task.index < known.task.index:
            found.waiting[name] = task
    return idle


def _list_silent_tasks(job: JobState) -> list[TaskState]:
    runs = {attempt.run.task for attempt in list_silent_attempts(job)}
    return [task for name, task in job.tasks.items() if name in runs and not task.done]


def _describe_reason(scheduler: Scheduler, job: _IdleJob) -> str:
    """Return why the first waiting step of a job was not placed."""
    if not job.waiting:
        return _SILENT_WORKER
    reason = scheduler.waits.get_last_reason(min(job.waiting))
    return reason.value if reason is not None else _UNKNOWN


def _describe_earlier(scheduler: Scheduler, job_id: str) -> str:
    """Return why nothing of a job ran before it was recorded."""
    if scheduler.idle_times.is_inherited(job_id):
        return PREVIOUS_OWNER
    return _SILENT_WORKER


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
            if attempt.worker.silence is None
        ),
        default=None,
    )
