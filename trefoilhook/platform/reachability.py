"""Whether a service answers, as told by the outcomes of this process's calls.

A failed call makes the service suspect. While it is suspect, probes are sent, and
callers wait instead of repeating their calls. The first answer ends the suspicion,
wakes the callers and gives up the calls that were sent into the outage: a call that a
silent service has accepted is never answered, and would hold its caller until its
timeout. Shorter outages and dead connections show when a later call is answered first:
then watches, and calls that are overdue, are given up.
"""

import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock

__all__ = ["PendingCall", "Reachability"]

_PROBE_PERIOD_MS = 500.0
"""Mean interval between two probes, in ms. Callers that were refused come back after
1 s, and find the instance up to date."""

_URGENT_PROBE_PERIOD_MS = 200.0
"""The same for the instance whose return the others wait for, in ms. The fleet has to
be at work again within 1 s, of which load and settlement of the shard take half."""

_PROBE_JITTER = 0.25
"""Maximum deviation of an interval, as a fraction of the period: instances that lost
the store together don't return to it together."""

_AWAY_AFTER_MS = 400.0
"""Time without an answer to a probe after which the service counts as away, in ms. A
store ninety times slower than usual answers in 360 ms."""

_STUCK_AFTER_MS = 600.0
"""Time after which an answer is overdue, in ms, if later calls are answered. A younger
call may be slow, or sent as the service returned."""

_CHECK_PERIOD_MS = 200.0
"""Interval between two searches for overdue calls, in ms. An idle instance has only
watches, whose timeouts end 2 s after the start of an outage."""

_MAX_SUSPENSION_MS = 5000.0
"""Maximum time for which a caller waits for a suspect service, in ms. After it, its own
call is repeated, should the probes fail for a reason of their own."""

_MS_PER_S = 1000.0


@attrs.define(kw_only=True, eq=False)
class PendingCall:
    """A call in flight.

    Parameters
    ----------
    sent_ms : float
        When it was sent, in ms.
    wait_ms : float
        Time for which the service may wait before it answers, in ms.
    is_repeatable : bool
        Whether a repetition has no further effect.
    scope : trio.CancelScope
        Scope of the exchange; cancelled when the call is given up.
    """

    sent_ms: float
    wait_ms: float = 0.0
    is_repeatable: bool = False
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether it should have been answered."""
        return now_ms - self.sent_ms - self.wait_ms >= _STUCK_AFTER_MS


class Reachability:
    """Tracks the calls to one service.

    Parameters
    ----------
    clock : Clock
        Time source.

    Attributes
    ----------
    is_away : bool
        Whether the service is suspect and probes are refused or not answered.
    back_ms : float
        Monotonic time at which the service was last found to be back after it had been
        away, in ms; minus infinity before.
    is_urgent : bool
        Whether other instances wait for the return of this one.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._pending: set[PendingCall] = set()
        self._answered_sent_ms = float("-inf")
        self._failed_sent_ms = float("-inf")
        self._suspected = trio.Event()
        self._back = trio.Event()
        self._verdict = trio.Event()
        self._random = random.Random()
        self.is_away = False
        self.back_ms = float("-inf")
        self.is_urgent = False

    @property
    def is_suspect(self) -> bool:
        """Whether a call failed and none sent later has been answered."""
        return self._suspected.is_set()

    def begin_call(self, call: PendingCall) -> None:
        """Register a call."""
        self._pending.add(call)

    def end_call(self, call: PendingCall) -> None:
        """Remove a call that was answered, failed or given up."""
        self._pending.discard(call)

    def record_failure(self, sent_ms: float) -> None:
        """Record that a call, sent at ``sent_ms``, was refused or not answered."""
        if self.is_suspect:
            return
        if sent_ms <= self._answered_sent_ms:
            self._give_up_watches(self._answered_sent_ms)
            return
        self._failed_sent_ms = sent_ms
        self._verdict = trio.Event()
        self._suspected.set()

    def record_answer(self, sent_ms: float) -> None:
        """Record that a call, sent at ``sent_ms``, was answered.

        A call sent before the first failed one proves nothing, such as a watch that is
        pending at a store which refuses new calls.
        """
        self._answered_sent_ms = max(self._answered_sent_ms, sent_ms)
        if self.is_suspect and sent_ms >= self._failed_sent_ms:
            self._end_suspicion(sent_ms)
        now_ms = self._clock.monotonic_ms()
        overdue = [
            call
            for call in self._pending
            if call.is_repeatable and call.sent_ms < sent_ms and call.is_overdue(now_ms)
        ]
        if overdue:
            self._give_up(overdue)
            self._give_up_watches(sent_ms)

    def _end_suspicion(self, sent_ms: float) -> None:
        self._suspected = trio.Event()
        self._back.set()
        self._back = trio.Event()
        self._verdict.set()
        if not self.is_away:
            self._give_up_watches(sent_ms)
            return
        self.is_away = False
        self.back_ms = self._clock.monotonic_ms()
        self._give_up([call for call in self._pending if call.sent_ms < sent_ms])

    def _give_up_watches(self, before_ms: float) -> None:
        """Give up the watches sent before a call that was answered.

        They may have been lost with the call that was not; each costs another call.
        """
        self._give_up(
            [c for c in self._pending if c.wait_ms > 0 and c.sent_ms < before_ms]
        )

    def _give_up(self, calls: list[PendingCall]) -> None:
        """Give up calls: repeatable ones at once, others when they count as stuck."""
        now_ms = self._clock.monotonic_ms()
        for call in calls:
            remaining_ms = max(0.0, call.sent_ms + _STUCK_AFTER_MS - now_ms)
            if call.is_repeatable:
                remaining_ms = 0.0
            call.scope.deadline = trio.current_time() + remaining_ms / _MS_PER_S

    async def wait_for_retry(
        self, pause_ms: float, *, limit_ms: float = _MAX_SUSPENSION_MS
    ) -> None:
        """Wait before a failed call is repeated.

        Parameters
        ----------
        pause_ms : float
            Minimum wait, in ms.
        limit_ms : float, optional
            Maximum wait for the return of a suspect service, in ms.
        """
        began_ms = self._clock.monotonic_ms()
        if self.is_suspect:
            with trio.move_on_after(limit_ms / _MS_PER_S):
                await self._back.wait()
        spent_ms = self._clock.monotonic_ms() - began_ms
        await self._clock.sleep_ms(max(0.0, pause_ms - spent_ms))

    async def wait_for_verdict(self, limit_ms: float) -> None:
        """Wait until it is known whether a suspect service is away, or for a limit."""
        if self.is_suspect:
            with trio.move_on_after(limit_ms / _MS_PER_S):
                await self._verdict.wait()

    async def run_probes(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Probe the service while it is suspect, until cancelled.

        Parameters
        ----------
        probe : callable
            Sends one probe, records its outcome, and returns whether it was answered.
        """
        while True:
            await self._wait_for_suspicion()
            back = self._back
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._confirm_later)
                while not back.is_set():
                    nursery.start_soon(self._send_probe, probe)
                    deviation = self._random.uniform(-_PROBE_JITTER, _PROBE_JITTER)
                    mean_ms = (
                        _URGENT_PROBE_PERIOD_MS if self.is_urgent else _PROBE_PERIOD_MS
                    )
                    with trio.move_on_after(mean_ms * (1.0 + deviation) / _MS_PER_S):
                        await back.wait()
                nursery.cancel_scope.cancel()

    async def _wait_for_suspicion(self) -> None:
        while not self.is_suspect:
            with trio.move_on_after(_CHECK_PERIOD_MS / _MS_PER_S):
                await self._suspected.wait()
            now_ms = self._clock.monotonic_ms()
            for call in self._pending:
                if call.is_overdue(now_ms) and call.sent_ms > self._answered_sent_ms:
                    self.record_failure(call.sent_ms)

    async def _confirm_later(self) -> None:
        await self._clock.sleep_ms(_AWAY_AFTER_MS)
        self._confirm()

    async def _send_probe(self, probe: Callable[[], Awaitable[bool]]) -> None:
        if not await probe():
            self._confirm()

    def _confirm(self) -> None:
        if self.is_suspect:
            self.is_away = True
            self._verdict.set()
