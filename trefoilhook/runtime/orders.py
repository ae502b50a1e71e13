"""Orders on their way to workers: sent, counted, logged, and their outcome taken in."""

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import WorkerClient
from trefoilhook.runtime.figures import Figures
from trefoilhook.runtime.losses import log_restart
from trefoilhook.scheduling import (
    Order,
    OrderOutcome,
    PaceOrder,
    Scheduler,
    StartOrder,
    StopOrder,
    is_start_due,
    take_start_outcome,
    take_stop_outcome,
)

__all__ = ["carry_out"]


async def carry_out(
    order: Order,
    client: WorkerClient | None,
    *,
    scheduler: Scheduler,
    clock: Clock,
    figures: Figures,
) -> OrderOutcome:
    """Send an order, and take in what became of it.

    Parameters
    ----------
    order : StartOrder, StopOrder or PaceOrder
        What to do.
    client : WorkerClient or None
        The way to its worker; None once that is gone.
    scheduler : Scheduler
        Whose order it is.
    clock : Clock
        Where time comes from.
    figures : Figures
        Where it is counted.
    """
    outcome = OrderOutcome.WITHDRAWN
    if not isinstance(order, StartOrder) or is_start_due(scheduler, order):
        outcome = await _send(order, client)
    figures.count("orders", f"{_name(order)} {outcome.value}")
    if isinstance(order, PaceOrder):
        # It is ordered again as long as it matters.
        return outcome
    worker = scheduler.workers.get(order.worker_id)
    if outcome is OrderOutcome.OTHER_LIFE and worker is not None:
        log_restart(worker, clock.monotonic_ms())
    take = take_stop_outcome if isinstance(order, StopOrder) else take_start_outcome
    take(
        scheduler,
        order.worker_id,
        order.task,
        order.attempt,
        outcome,
        clock.monotonic_ms(),
    )
    _log(order, outcome)
    return outcome


async def _send(order: Order, client: WorkerClient | None) -> OrderOutcome:
    if client is None:
        return OrderOutcome.NOT_SENT
    if isinstance(order, StartOrder):
        return await client.start(order)
    if isinstance(order, StopOrder):
        return await client.stop(order)
    return await client.pace(order)


def _name(order: Order) -> str:
    if isinstance(order, StartOrder):
        return "start"
    return "stop" if isinstance(order, StopOrder) else "pace"


def _log(order: StartOrder | StopOrder, outcome: OrderOutcome) -> None:
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
        )
