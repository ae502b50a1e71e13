"""Requests advice on the workers that may run the steps of a queue with advice."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import AdviceClient
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import Scheduler, choose_advice_request

__all__ = ["run_advice_requests"]

_SERVICE = "advice"
"""Name of the service in log lines."""

_IDLE_PAUSE_MS = 10.0
"""Pause between two checks for steps that need advice, in ms. The scheduler adds at
most one step every 6 ms, and an answer alone takes longer than this."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed call, in ms. The service rejects calls while 32 are queued."""

_EXTRA_TIMEOUT_MS = 2000.0
"""Timeout of a call beyond its processing time, in ms. Calls of other instances don't
delay it, but a pending call of a previous owner may."""


async def run_advice_requests(
    client: AdviceClient,
    clock: Clock,
    scheduler: Scheduler,
    rejections: Rejections,
    notify: Callable[[], None],
) -> None:
    """Request advice for steps that need it, one call at a time, until cancelled.

    Parameters
    ----------
    client : AdviceClient
        Client of the advice service.
    clock : Clock
        Time source.
    scheduler : Scheduler
        State of the shard, which receives the answers.
    rejections : Rejections
        Receives unreadable answers, which count as no answer.
    notify : callable
        Called after each answer.
    """
    while True:
        chosen = choose_advice_request(scheduler, clock.monotonic_ms())
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
        # The validity starts at an unknown time after the request was sent.
        until_ms = asked_ms + advice.valid_ms
        scheduler.tickets.record_answer(request, grants, until_ms=until_ms)
        notify()
