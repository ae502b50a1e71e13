"""Slowing of fillers that disturb service tasks.

How much a filler disturbs a service task is not known ahead and changes within seconds,
so the tail latency that the worker lists decides: over the limit the fillers beside it
are slowed at once, well under it they are let go again step by step.
"""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import PaceOrder

__all__ = ["plan_paces"]

_HIGH = 0.85
"""Share of the limit from which fillers are slowed: the listed tail is a rough figure
of the last half second, and may be a tenth too low."""

_LOW = 0.6
"""Share of the limit under which fillers are let go again; the gap keeps the pace from
swinging with each look."""

_SLOWED = 0.4
"""Factor on the pace of a filler at each look that is over; three looks reach 6 %."""

_LEAST_PACE = 10
"""Below this a filler is halted, as it then hardly gets on, in percent."""

_RAISE = 20
"""Added to the pace at each look that is well under, in percent."""

_PAUSE_MS = 500.0
"""Between two changes of a pace: the tail is a figure of the last half second."""

_REPEAT_MS = 3000.0
"""A pace is ordered again so often: an order without an answer may be carried out late,
after a newer one."""

_FULL = 100


def plan_paces(scheduler: Scheduler, worker: Worker, now_ms: float) -> list[PaceOrder]:
    """Tell which fillers of a worker are to work at another pace."""
    strain = 0.0
    fillers: list[Run] = []
    for run in worker.runs.values():
        job = scheduler.jobs.get(run.task.job_id)
        if job is None or run.phase is not RunPhase.RUNNING:
            continue
        step = job.job.steps[run.task.step]
        if step.latency_limit_ms and run.percent >= _FULL:
            strain = max(strain, run.load / step.latency_limit_ms)
        if step.filler:
            fillers.append(run)
    orders: list[PaceOrder] = []
    for run in fillers:
        pace = _choose_pace(run, strain, now_ms)
        if pace is None:
            continue
        run.pace = pace
        run.paced_ms = now_ms
        orders.append(
            PaceOrder(
                worker_id=worker.report.worker_id,
                task=run.task,
                attempt=run.attempt,
                percent=pace,
                token=scheduler.epoch,
            )
        )
    return orders


def _choose_pace(run: Run, strain: float, now_ms: float) -> int | None:
    since = now_ms - run.paced_ms
    if since < _PAUSE_MS:
        return None
    if strain > _HIGH and run.pace > 0:
        pace = int(run.pace * _SLOWED)
        return pace if pace >= _LEAST_PACE else 0
    if strain < _LOW and run.pace < _FULL:
        return min(_FULL, run.pace + _RAISE)
    if run.paced_ms and since > _REPEAT_MS:
        return run.pace
    return None
