"""Logs and counts where the time of completed jobs went, by queue and stage."""

from collections.abc import Callable, Mapping

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import Scheduler, Stage

__all__ = ["describe_stages", "report_times"]

_REPORT_PERIOD_MS = 2000.0
"""Interval between two log lines of a queue, in ms, equal to that of its backlog."""


def describe_stages(
    by_stage: Mapping[Stage, float], *, jobs: int = 1
) -> dict[str, int]:
    """Return the mean time of jobs by stage, in ms, for the log."""
    return {
        f"{stage.value}_ms": round(by_stage[stage] / jobs)
        for stage in Stage
        if stage in by_stage
    }


async def report_times(
    scheduler: Scheduler,
    *,
    clock: Clock,
    metrics: ProcessMetrics,
    read_lag_ms: Callable[[], float],
) -> None:
    """Periodically log and count the times of completed jobs, until cancelled.

    Parameters
    ----------
    scheduler : Scheduler
        State of the shard.
    clock : Clock
        Time source.
    metrics : ProcessMetrics
        Counts the time by queue and stage.
    read_lag_ms : callable
        Returns the recent lag of the event loop, in ms.
    """
    while True:
        await clock.sleep_ms(_REPORT_PERIOD_MS)
        for queue, totals in scheduler.times.take_totals().items():
            for stage, spent_ms in totals.by_stage.items():
                metrics.add("job_ms", f"{queue} {stage.value}", round(spent_ms))
            log_event(
                Event.QUEUE_TIMES,
                queue=queue,
                jobs=totals.jobs,
                late=totals.late,
                **describe_stages(totals.by_stage, jobs=totals.jobs),
                waited_for={
                    reason: round(ms / totals.jobs)
                    for reason, ms in totals.waited_for.most_common()
                },
                lag_ms=round(read_lag_ms()),
            )
