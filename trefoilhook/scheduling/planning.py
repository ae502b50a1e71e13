"""Determines the orders to send next from the state of a shard."""

from collections.abc import Iterable

from trefoilhook.scheduling.assignment import assign_waiting
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crash_records import record_exposure, resolve_recorded
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.isolation import is_placement_recorded
from trefoilhook.scheduling.lease_expiry import release_unstarted
from trefoilhook.scheduling.messages import (
    Order,
    StartOrder,
    StopOrder,
    StopReason,
)
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.pacing import plan_paces
from trefoilhook.scheduling.takeovers import (
    is_start_recorded,
    list_unaccounted,
    record_group_starts,
    withdraw_unrecorded,
)
from trefoilhook.scheduling.tickets import name_step
from trefoilhook.scheduling.urgent_demand import is_urgent
from trefoilhook.scheduling.watchdog import stop_stalled_and_draining

__all__ = [
    "are_fillers_due",
    "confirm_start",
    "has_urgent_waiting",
    "is_settled",
    "list_awaited",
    "plan_orders",
    "plan_pending_orders",
]

_NO_DEMAND = Demand()

_ORDER_DUE_TOLERANCE_MS = 20.0
"""Orders that become due within this time are sent now."""


def is_settled(scheduler: Scheduler, roster: Iterable[str], now_ms: float) -> bool:
    """Return whether the outcome of all tasks started by previous owners is known.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    roster : iterable of str
        Incarnations of workers on which a previous owner may have started a task.
    now_ms : float
        Current time, in ms.

    Notes
    -----
    An entry of a later incarnation does not keep an unreachable worker awaited: its
    process holds no end of its predecessor. Only the leases of starts that may have
    reached it must expire.
    """
    return not list_awaited(scheduler, roster, now_ms)


def list_awaited(
    scheduler: Scheduler, roster: Iterable[str], now_ms: float
) -> list[str]:
    """Return the workers of the roster that keep the shard from being settled."""
    return list_unaccounted(scheduler, roster, now_ms)


def plan_orders(
    scheduler: Scheduler,
    *,
    settled: bool,
    now_ms: float,
    wall_ms: float,
    with_fillers: bool = True,
) -> list[Order]:
    """Return the orders to send now.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard; it records the returned orders as in flight.
    settled : bool
        Whether the outcome of all tasks started by previous owners is known.
    now_ms, wall_ms : float
        Current time, in ms.
    with_fillers : bool, optional
        Whether fillers may be placed, if they are due.
    """
    scheduler.open_due_steps(wall_ms)
    scheduler.suspects.crash_rate.update(len(scheduler.workers), now_ms)
    for worker in scheduler.workers.values():
        if worker.has_changed:
            stop_stalled_and_draining(scheduler, worker, now_ms)
        record_exposure(scheduler, worker, now_ms)
    if scheduler.suspects.recorded:
        is_final = settled or now_ms >= scheduler.limits.settled_at_ms
        resolve_recorded(scheduler, now_ms, is_final=is_final)
    withdraw_unrecorded(scheduler, now_ms)
    record_group_starts(scheduler, now_ms)
    if _has_fresh_state(scheduler, now_ms):
        assign_waiting(
            scheduler,
            settled=settled,
            now_ms=now_ms,
            wall_ms=wall_ms,
            with_fillers=with_fillers and are_fillers_due(scheduler, now_ms),
        )
    orders = plan_pending_orders(scheduler, now_ms)
    for worker in scheduler.workers.values():
        if worker.has_changed:
            worker.has_changed = False
            try:
                orders += plan_paces(scheduler, worker, now_ms)
            except Exception as error:
                # Planned again after the worker's next answer.
                scheduler.failures.record_worker(worker.report.worker_id, error)
    return orders


def are_fillers_due(scheduler: Scheduler, now_ms: float) -> bool:
    """Return whether the next plan may place fillers."""
    return now_ms >= scheduler.fillers_due_ms


def has_urgent_waiting(scheduler: Scheduler) -> bool:
    """Return whether an urgent task waits for a worker."""
    return any(is_urgent(task.step) for task in scheduler.waiting)


def plan_pending_orders(scheduler: Scheduler, now_ms: float) -> list[Order]:
    """Return the due orders to start and stop runs that are already assigned."""
    orders: list[Order] = []
    concerned = [each for each in scheduler.workers.values() if each.pending_runs]
    for worker in concerned:
        for run in list(worker.pending_runs):
            if run.phase is RunPhase.RUNNING:
                del worker.pending_runs[run]
                continue
            order = _get_due_order(scheduler, worker, run, now_ms)
            if order is not None:
                orders.append(order)
    return orders


def _has_fresh_state(scheduler: Scheduler, now_ms: float) -> bool:
    """Return whether the state that permits a start was read recently enough.

    A worker may have shrunk, its failure domain may have been evacuated, the route of a
    job may have been given to another service, and the job may have been cancelled.
    """
    return not (
        scheduler.entries.is_stale(now_ms)
        or scheduler.evacuations.is_stale(now_ms)
        or scheduler.configuration_freshness.is_stale(now_ms)
        or scheduler.job_freshness.is_stale(now_ms)
    )


def _may_still_start(scheduler: Scheduler, worker: Worker) -> bool:
    """Return whether reserved capacity on a worker may still be used for a start.

    Its entry may have become unusable, it may drain, its capacity may have shrunk, or
    its failure domain may have been evacuated.
    """
    return (
        worker.usable
        and not worker.report.draining
        and worker.has_room(_NO_DEMAND)
        and not scheduler.evacuations.covers(worker)
    )


def confirm_start(scheduler: Scheduler, order: StartOrder, now_ms: float) -> bool:
    """Return whether a queued start order is still valid, and record that it is sent.

    While an order is queued, its worker may fall silent, drain, shrink, be excluded or
    be evacuated, and its job may be cancelled. The task cannot have run before the
    order is sent.
    """
    worker = scheduler.workers.get(order.worker_id)
    run = worker.runs.get((order.task, order.attempt)) if worker is not None else None
    if worker is None or run is None or run.phase is not RunPhase.STARTING:
        return False
    if not (
        _has_fresh_state(scheduler, now_ms) and _may_still_start(scheduler, worker)
    ):
        return False
    if _would_stay_unanswered(worker, run):
        return False
    if not run.ambiguous:
        run.started_ms = run.seen_ms = now_ms
    run.is_sent = True
    return True


def _would_stay_unanswered(worker: Worker, run: Run) -> bool:
    """Return whether the first order for a run would go to a worker without answers.

    The task could then not be placed again before the leases on the worker expire. A
    worker whose process has ended refuses the order at once.
    """
    silence = worker.silence
    if silence is None or silence.indicates_process_exit:
        return False
    return not _may_have_reached_worker(run)


def _was_never_sent(run: Run) -> bool:
    """Return whether no start order for a run has been sent or answered."""
    is_starting = run.phase is RunPhase.STARTING
    return is_starting and not (run.in_flight or _may_have_reached_worker(run))


def _may_have_reached_worker(run: Run) -> bool:
    """Return whether a start order for a run was answered or may have been executed."""
    return run.may_have_run or run.confirmed_ms < float("inf")


def _get_due_order(
    scheduler: Scheduler, worker: Worker, run: Run, now_ms: float
) -> Order | None:
    if run.phase is RunPhase.RUNNING or run.in_flight:
        return None
    if (
        run.order_due_ms > now_ms + _ORDER_DUE_TOLERANCE_MS
        or not worker.has_answered_token
    ):
        return None
    if run.phase is RunPhase.STARTING and not _has_fresh_state(scheduler, now_ms):
        return None
    if run.phase is RunPhase.STARTING and worker.has_awaited_runs:
        # Its lease has expired and the worker would refuse it; the connections are
        # needed for polls.
        return None
    if worker.silence is not None and _was_never_sent(run):
        # The order would probably remain unanswered, and the task could not be placed
        # again before the leases on the worker expire.
        release_unstarted(scheduler, worker, run)
        return None
    if run.phase is RunPhase.STARTING and not _may_still_start(scheduler, worker):
        if not run.ambiguous:
            release_unstarted(scheduler, worker, run)
            return None
        # Repeating the order could start the task.
        scheduler.request_stop(worker, run, StopReason.UNCERTAIN)
    if run.phase is RunPhase.STARTING and not (
        is_placement_recorded(scheduler, worker, run)
        and is_start_recorded(scheduler, worker, run, now_ms)
    ):
        return None
    run.in_flight = True
    run.is_sent = False
    if run.phase is RunPhase.STOPPING:
        return StopOrder(
            worker_id=worker.report.worker_id,
            task=run.task,
            attempt=run.attempt,
            token=scheduler.epoch,
            reason=run.stop_reason,
        )
    job = scheduler.jobs[run.task.job_id].job
    return StartOrder(
        worker_id=worker.report.worker_id,
        task=run.task,
        attempt=run.attempt,
        spec=job.spec,
        is_filler=job.steps[run.task.step].filler,
        deadline_ms=run.deadline_ms,
        token=scheduler.epoch,
        checkpoint=run.checkpoint_used,
        ticket=scheduler.tickets.find(
            name_step(run.task), worker.report.worker_id, now_ms
        )
        or "",
    )
