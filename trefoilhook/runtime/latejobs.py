"""Describes the size and the waits of jobs in log lines, and logs late jobs."""

import itertools

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import Job, Scheduler
from trefoilhook.scheduling.overtaking import JobWait
from trefoilhook.scheduling.tickets import name_step

__all__ = ["describe_services", "describe_size", "describe_wait", "log_late_jobs"]

_MAX_LISTED_STEPS = 8
"""Maximum number of steps named in a log line."""


def describe_size(job: Job) -> dict[str, int]:
    """Return the size of a job, for the log."""
    return {"tasks": job.tasks, "work_ms": round(job.estimate_work())}


def describe_services(job: Job) -> dict[str, dict[str, int]]:
    """Return the number of tasks of each service step that can start immediately.

    Parameters
    ----------
    job : Job
        Accepted job.

    Returns
    -------
    dict of str to dict of str to int
        Number of tasks by step under ``services``, for at most eight steps; empty if
        there is no such step or the job repeats.
    """
    steps = {
        str(index): step.count
        for index, step in enumerate(job.steps)
        if step.long_running and not step.after
    }
    if not steps or job.repeats:
        return {}
    return {"services": dict(itertools.islice(steps.items(), _MAX_LISTED_STEPS))}


def describe_wait(wait: JobWait) -> dict[str, int | str]:
    """Return how long a job waited and what overtook it, for the log."""
    return {
        "waited_ms": round(wait.waited_ms),
        "overtaken": wait.overtaken,
        "overtaken_by_smaller": wait.overtaken_by_smaller,
        "overtaken_by": wait.overtaken_by,
    }


def log_late_jobs(scheduler: Scheduler, metrics: ProcessMetrics) -> None:
    """Log and count the jobs that became late since the last call."""
    for late in scheduler.overtaking.late:
        job = late.task.job
        reason = scheduler.waits.get_main_reason(name_step(late.task.task))
        metrics.count("late_jobs", late.stage)
        log_event(
            Event.JOB_LATE,
            job=job.job.job_id,
            queue=job.job.queue,
            stage=late.stage,
            waiting=sum(task in scheduler.waiting for task in job.tasks.values()),
            waits_for=reason.value if reason is not None else "",
            **describe_size(job.job),
            **describe_wait(late.wait),
        )
    scheduler.overtaking.late.clear()
