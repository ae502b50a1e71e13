"""Asking which workers may run the steps of a queue with advice."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import AdviceClient
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import Scheduler, choose_advised

__all__ = ["ask_for_advice"]

_SERVICE = "advice"
"""What the service is called in log lines."""

_IDLE_PAUSE_MS = 10.0
"""Pause between two looks at what is wanted, in ms: a round wants a step each 6 ms at
most, and an answer takes longer than this by itself."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a call without an answer, in ms: with 32 calls waiting the service turns
calls away."""

_EXTRA_TIMEOUT_MS = 2000.0
"""How much longer than its own time an answer may take, in ms: other instances' calls
don't stand in its way, but a call of an earlier owner may."""


async def ask_for_advice(
    client: AdviceClient,
    clock: Clock,
    scheduler: Scheduler,
    rejections: Rejections,
    notify: Callable[[], None],
) -> None:
    """Ask about the steps that want it, one call at a time, for good.

    Parameters
    ----------
    client : AdviceClient
        Where to ask.
    clock : Clock
        Where time comes from.
    scheduler : Scheduler
        Whose steps are meant.
    rejections : Rejections
        Told of answers that can't be read; each counts as none.
    notify : callable
        Called after each answer.
    """
    while True:
        chosen = choose_advised(scheduler, clock.monotonic_ms())
        if chosen is None:
            await clock.sleep_ms(_IDLE_PAUSE_MS)
            continue
        request, advice = chosen
        own_ms = advice.decision_ms + advice.per_worker_ms * len(request.workers)
        asked_ms = clock.monotonic_ms()
        grants = None
        try:
            grants = await client.ask(request, timeout_ms=own_ms + _EXTRA_TIMEOUT_MS)
            rejections.accept(Event.ANSWER_INVALID, _SERVICE)
        except DecodeError as error:
            rejections.report(Event.ANSWER_INVALID, _SERVICE, str(error))
        log_event(
            Event.ADVICE_TAKEN,
            job=request.step[0],
            step=request.step[2],
            asked=len(request.workers),
            granted=-1 if grants is None else len(grants),
            ms=round(clock.monotonic_ms() - asked_ms),
        )
        if grants is None:
            await clock.sleep_ms(_RETRY_PAUSE_MS)
            continue
        # Counted from when it was asked: the latest time that is surely not too late.
        until_ms = asked_ms + advice.valid_ms
        scheduler.tickets.take(request, grants, until_ms=until_ms)
        notify()
