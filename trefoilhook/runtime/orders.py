"""Sends orders to workers, and counts, logs and applies their outcome."""

from typing import Any

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, describe_failure, log_event
from trefoilhook.platform import WorkerClient
from trefoilhook.runtime.losses import log_restart
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import (
    Order,
    OrderOutcome,
    PaceOrder,
    Run,
    Scheduler,
    StartOrder,
    StopOrder,
    apply_start_outcome,
    apply_stop_outcome,
    confirm_start,
    describe_reasons,
)

__all__ = ["execute_order"]

_MIN_LOGGED_WAIT_MS = 10.0
"""Shortest waiting time that is logged, in ms. Each plan is delayed by about 6 ms."""

_MIN_LOGGED_ORDER_DELAY_MS = 100.0
"""Minimum time from the placement of a task to the answer to its start order that is
logged, in ms. Storing the placement and sending the order usually take less."""

_MIN_DETAILED_WAIT_MS = 1000.0
"""Minimum wait of a service task that is logged with the time of each reason, in ms.
The same as for ``TASK_WAITS``."""


async def execute_order(
    order: Order,
    client: WorkerClient | None,
    *,
    scheduler: Scheduler,
    clock: Clock,
    metrics: ProcessMetrics,
) -> OrderOutcome:
    """Send an order and apply its outcome to the scheduler.

    Parameters
    ----------
    order : StartOrder, StopOrder or PaceOrder
        Order to send.
    client : WorkerClient or None
        Client of the worker, or None if the worker was removed.
    scheduler : Scheduler
        State of the shard, which planned the order.
    clock : Clock
        Time source.
    metrics : ProcessMetrics
        Counts orders by kind and outcome.
    """
    outcome = OrderOutcome.WITHDRAWN
    worker = scheduler.workers.get(order.worker_id)
    is_due = not isinstance(order, StartOrder) or confirm_start(
        scheduler, order, clock.monotonic_ms()
    )
    if is_due:
        outcome = await _send(order, client, metrics)
    metrics.count("orders", f"{_get_kind(order)} {outcome.value}")
    if isinstance(order, PaceOrder):
        # The scheduler repeats the order as long as the pace has to change.
        return outcome
    current = scheduler.workers.get(order.worker_id)
    is_replaced = current is not None and current is not worker
    if is_replaced and outcome is not OrderOutcome.FENCED:
        # The answer proves nothing about the incarnation that has replaced the worker.
        _log(order, outcome, None, clock.monotonic_ms())
        return outcome
    worker = current
    if outcome is OrderOutcome.OTHER_INCARNATION and worker is not None:
        log_restart(worker, clock.monotonic_ms())
    run = worker.runs.get((order.task, order.attempt)) if worker is not None else None
    take = apply_stop_outcome if isinstance(order, StopOrder) else apply_start_outcome
    take(
        scheduler,
        order.worker_id,
        order.task,
        order.attempt,
        outcome,
        clock.monotonic_ms(),
    )
    _log(order, outcome, run, clock.monotonic_ms())
    return outcome


async def _send(
    order: Order, client: WorkerClient | None, metrics: ProcessMetrics
) -> OrderOutcome:
    if client is None:
        return OrderOutcome.NOT_SENT
    try:
        if isinstance(order, StartOrder):
            return await client.start(order)
        if isinstance(order, StopOrder):
            return await client.stop(order)
        return await client.pace(order)
    except Exception as error:
        # Nothing proves that the worker has not received the order.
        metrics.count("call_failures", "order")
        log_event(Event.CALL_FAILED, worker=order.worker_id, **describe_failure(error))
        return OrderOutcome.NO_ANSWER


def _get_kind(order: Order) -> str:
    if isinstance(order, StartOrder):
        return "start"
    return "stop" if isinstance(order, StopOrder) else "pace"


def _log(
    order: StartOrder | StopOrder, outcome: OrderOutcome, run: Run | None, now_ms: float
) -> None:
    if outcome is not OrderOutcome.DONE:
        log_event(
            Event.ORDER_FAILED,
            task=str(order.task),
            attempt=order.attempt,
            worker=order.worker_id,
            order=type(order).__name__,
            outcome=outcome.value,
        )
    elif isinstance(order, StopOrder):
        log_event(
            Event.TASK_STOPPED,
            task=str(order.task),
            attempt=order.attempt,
            worker=order.worker_id,
            why=order.reason.value,
        )
    else:
        log_event(
            Event.TASK_STARTED,
            task=str(order.task),
            attempt=order.attempt,
            worker=order.worker_id,
            token=order.token,
            resumed=bool(order.checkpoint),
            **({"lateness": run.lateness} if run is not None and run.lateness else {}),
            **_describe_wait(run),
            **_describe_order_delay(run, now_ms),
        )


def _describe_wait(run: Run | None) -> dict[str, Any]:
    """Return how long a task waited for a worker, and the main reason.

    Long waits of service tasks have the additional fields of ``TASK_WAITS``.
    """
    if run is None or run.waited_ms < _MIN_LOGGED_WAIT_MS:
        return {}
    reason = run.wait_reason.value if run.wait_reason is not None else ""
    wait = {"waited_ms": round(run.waited_ms), "waited_for": reason}
    if run.waited_ms < _MIN_DETAILED_WAIT_MS or not run.wait_reasons:
        return wait
    return {
        **wait,
        "ample_ms": round(run.ample_ms),
        "overdue": run.was_overdue,
        "reasons_ms": describe_reasons(run.wait_reasons),
    }


def _describe_order_delay(run: Run | None, now_ms: float) -> dict[str, int]:
    """Return the delays of a start order and of its answer, if they are long."""
    if run is None or now_ms - run.placed_ms < _MIN_LOGGED_ORDER_DELAY_MS:
        return {}
    return {
        "ordered_ms": round(run.started_ms - run.placed_ms),
        "answered_ms": round(now_ms - run.started_ms),
    }
