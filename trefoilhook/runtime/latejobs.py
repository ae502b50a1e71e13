"""Logs jobs that missed their latency objective while their tasks waited."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import Scheduler
from trefoilhook.scheduling.tickets import name_step

__all__ = ["log_late_jobs"]


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
            tasks=job.job.tasks,
            waiting=sum(task in scheduler.waiting for task in job.tasks.values()),
            work_ms=round(job.work),
            waited_ms=round(late.wait.waited_ms),
            waits_for=reason.value if reason is not None else "",
            overtaken=late.wait.overtaken,
            overtaken_by_smaller=late.wait.overtaken_by_smaller,
            overtaken_by=late.wait.overtaken_by,
        )
    scheduler.overtaking.late.clear()
