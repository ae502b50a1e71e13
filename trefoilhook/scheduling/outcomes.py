"""Applies the outcomes of orders to the state of a shard."""

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crashes import handle_worker_loss
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.lease_expiry import release_unstarted
from trefoilhook.scheduling.messages import (
    UNANSWERED,
    UNSENT,
    OrderOutcome,
    StopReason,
)
from trefoilhook.scheduling.models import TaskId
from trefoilhook.scheduling.tickets import name_step

__all__ = ["apply_start_outcome", "apply_stop_outcome"]

_RETRY_DELAY_MS = 80.0
"""Delay before an unanswered order is repeated. The round trip on the platform takes 2
ms, and orders are idempotent."""

_UNHEALTHY_AVOIDANCE_MS = 1000.0
"""Time for which a worker that reported itself unhealthy gets no new task."""


def apply_start_outcome(
    scheduler: Scheduler,
    worker_id: str,
    task: TaskId,
    attempt: int,
    outcome: OrderOutcome,
    now_ms: float,
) -> None:
    """Apply the outcome of a start order."""
    settled_order = _settle_order(scheduler, worker_id, task, attempt, outcome, now_ms)
    if settled_order is None:
        return
    worker, run = settled_order
    if outcome in UNANSWERED | {OrderOutcome.DONE, OrderOutcome.SUPERSEDED}:
        _record_start(scheduler, run)
    if outcome is OrderOutcome.DONE:
        run.confirmed_ms = (
            now_ms if run.phase is not RunPhase.STOPPING else run.confirmed_ms
        )
        run.is_confirmed = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.progressed_ms = now_ms
            # A throttled task runs at full speed until its pace is ordered.
            worker.has_changed = worker.has_changed or run.is_throttled
        return
    if outcome in UNANSWERED:
        run.ambiguous = True
        return
    if outcome is OrderOutcome.SUPERSEDED:
        run.confirmed_ms = min(run.confirmed_ms, now_ms)
        return
    if outcome is OrderOutcome.WITHDRAWN:
        if not (run.ambiguous or run.is_confirmed):
            release_unstarted(scheduler, worker, run)
        return
    _apply_refusal(scheduler, worker, run, outcome, now_ms)


def _record_start(scheduler: Scheduler, run: Run) -> None:
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if task is not None:
        scheduler.record_start(task)


def _apply_refusal(
    scheduler: Scheduler,
    worker: Worker,
    run: Run,
    outcome: OrderOutcome,
    now_ms: float,
) -> None:
    """Apply the outcome of a start order that was refused or not sent."""
    if outcome is OrderOutcome.NO_TICKET:
        scheduler.tickets.drop(name_step(run.task), worker.report.worker_id)
    elif outcome is not OrderOutcome.TOO_LATE:
        avoidance_ms = (
            _UNHEALTHY_AVOIDANCE_MS
            if outcome is OrderOutcome.UNHEALTHY
            else _RETRY_DELAY_MS
        )
        worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + avoidance_ms)
    if run.ambiguous:
        # An unanswered copy may still be executed: only an answered stop order rules
        # that out.
        scheduler.request_stop(worker, run, StopReason.UNCERTAIN)
        return
    release_unstarted(scheduler, worker, run)


def apply_stop_outcome(
    scheduler: Scheduler,
    worker_id: str,
    task: TaskId,
    attempt: int,
    outcome: OrderOutcome,
    now_ms: float,
) -> None:
    """Apply the outcome of a stop order."""
    settled_order = _settle_order(scheduler, worker_id, task, attempt, outcome, now_ms)
    if settled_order is None:
        return
    _, run = settled_order
    if outcome in UNANSWERED | UNSENT or outcome is OrderOutcome.UNHEALTHY:
        return
    # Repeated stops must not postpone the time from which a poll proves the run over:
    # they are more frequent than the answers to long polls.
    run.confirmed_ms = min(run.confirmed_ms, now_ms)
    run.order_due_ms = now_ms + scheduler.limits.longest_stop_ms + _RETRY_DELAY_MS


def _settle_order(
    scheduler: Scheduler,
    worker_id: str,
    task: TaskId,
    attempt: int,
    outcome: OrderOutcome,
    now_ms: float,
) -> tuple[Worker, Run] | None:
    if outcome is OrderOutcome.FENCED:
        scheduler.is_superseded = True
        return None
    worker = scheduler.workers.get(worker_id)
    run = worker.runs.get((task, attempt)) if worker is not None else None
    if run is not None:
        run.in_flight = False
    if worker is not None and outcome is OrderOutcome.OTHER_INCARNATION:
        handle_worker_loss(scheduler, worker, now_ms)
        return None
    if worker is None or run is None:
        return None
    run.order_due_ms = now_ms + _RETRY_DELAY_MS
    if outcome in UNANSWERED | UNSENT:
        worker.record_failed_call(outcome, now_ms)
    return worker, run
