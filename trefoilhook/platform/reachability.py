"""Failure detection for a service, based on the outcomes of this process's calls.

A failed call makes the service suspect. While it is suspect, probes are sent, and
callers wait instead of repeating their calls. The first answer ends the suspicion,
wakes the callers and abandons the calls sent during the outage: a call accepted by an
unresponsive service is never answered and would block its caller until its timeout.
Shorter outages and dead connections are detected when a later call is answered first;
watches and overdue calls are then abandoned.
"""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock

__all__ = ["PendingCall", "Reachability"]

_PROBE_PERIOD_MS = 500.0
"""Mean interval between two probes, in ms. Short enough for the instance to be up to
date when refused callers retry after 1 s."""

_SHORT_PROBE_PERIOD_MS = 200.0
"""Mean interval between two probes of the instance that blocks claims by others, in ms.
Task starts must resume within 1 s, half of which is spent on loading and settling the
shard."""

_PROBE_JITTER = 0.25
"""Maximum deviation of an interval, as a fraction of the period. Prevents instances
from calling the store simultaneously after an outage."""

_UNAVAILABLE_AFTER_MS = 400.0
"""Time without an answer to a probe after which the service counts as unavailable, in
ms. A store ninety times slower than usual answers in 360 ms."""

_OVERDUE_AFTER_MS = 600.0
"""Time after which an answer is overdue, in ms, if later calls are answered. A more
recent call may be slow, or sent as the service recovered."""

_OVERDUE_CHECK_PERIOD_MS = 200.0
"""Interval between two checks for overdue calls, in ms. Detects an outage on an idle
instance, which only has watches, before these time out after 2 s."""

_MAX_RETRY_WAIT_MS = 5000.0
"""Maximum time for which a caller waits for a suspect service, in ms. Its call is then
repeated, in case only the probes fail."""

_SLICE_MS = 50.0
"""Length of the slices in which the time without an answer is measured, in ms. One that
ends late counts as much: the process may have been suspended, and has not read yet what
it received."""

_LATE_MS = 100.0
"""Lateness of a slice from which a probe that failed meanwhile shows nothing, in ms."""

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
        Whether the call is idempotent.
    scope : trio.CancelScope
        Scope of the exchange; cancelled when the call is abandoned.
    received_bytes : int
        Number of bytes of the answer received so far.
    begun_ms, received_ms : float or None
        When its first and its latest part were received, in ms; None before.
    """

    sent_ms: float
    wait_ms: float = 0.0
    is_repeatable: bool = False
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)
    received_bytes: int = 0
    begun_ms: float | None = None
    received_ms: float | None = None

    def note_received(self, count: int, now_ms: float) -> None:
        """Record that ``count`` bytes of the answer were received."""
        if self.begun_ms is None:
            self.begun_ms = now_ms
        self.received_bytes += count
        self.received_ms = now_ms

    def is_receiving(self, now_ms: float) -> bool:
        """Return whether the answer is being received."""
        return (
            self.received_ms is not None
            and now_ms - self.received_ms < _OVERDUE_AFTER_MS
        )

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the answer is overdue."""
        if self.is_receiving(now_ms):
            return False
        return now_ms - self.sent_ms - self.wait_ms >= _OVERDUE_AFTER_MS


class Reachability:
    """Tracks the calls to one service.

    Parameters
    ----------
    clock : Clock
        Time source.

    Attributes
    ----------
    is_unavailable : bool
        Whether the service is suspect and probes are refused or not answered.
    recovered_ms : float
        Monotonic time at which the service was last found to be available again, in
        ms; minus infinity before.
    probes_frequently : bool
        Whether probes are sent at the shorter interval.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._pending: set[PendingCall] = set()
        self._answered_sent_ms = float("-inf")
        self._failed_sent_ms = float("-inf")
        self._has_lost_calls = False
        self._suspected = trio.Event()
        self._recovered = trio.Event()
        self._resolved = trio.Event()
        self._random = random.Random()
        self._slice_due_ms = math.inf
        self._paused_ms = -math.inf
        self.is_unavailable = False
        self.recovered_ms = float("-inf")
        self.probes_frequently = False

    @property
    def is_suspect(self) -> bool:
        """Whether a call failed and none sent later has been answered."""
        return self._suspected.is_set()

    @property
    def is_receiving(self) -> bool:
        """Whether an answer to any call is being received."""
        now_ms = self._clock.monotonic_ms()
        return any(call.is_receiving(now_ms) for call in self._pending)

    def begin_call(self, call: PendingCall) -> None:
        """Register a call."""
        self._pending.add(call)

    def end_call(self, call: PendingCall) -> None:
        """Remove a call that was answered, failed or abandoned."""
        self._pending.discard(call)

    def record_failure(self, sent_ms: float, *, is_refusal: bool = False) -> None:
        """Record that a call, sent at ``sent_ms``, was refused or not answered.

        After a refusal, watches that are pending are not suspected: the service has
        answered, and sending them again would only add calls that it may refuse.
        """
        if self.is_suspect:
            self._has_lost_calls = self._has_lost_calls or not is_refusal
            return
        if sent_ms <= self._answered_sent_ms:
            if not is_refusal:
                self._give_up_watches(self._answered_sent_ms)
            return
        self._has_lost_calls = not is_refusal
        self._failed_sent_ms = sent_ms
        self._resolved = trio.Event()
        self._suspected.set()

    def record_answer(self, sent_ms: float) -> None:
        """Record that a call, sent at ``sent_ms``, was answered.

        The answer to a call sent before the first failed one does not end the
        suspicion: a store that refuses new calls may still answer a pending watch.
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
        self._recovered.set()
        self._recovered = trio.Event()
        self._resolved.set()
        if not self.is_unavailable:
            if self._has_lost_calls:
                self._give_up_watches(sent_ms)
            return
        self.is_unavailable = False
        self.recovered_ms = self._clock.monotonic_ms()
        self._give_up([call for call in self._pending if call.sent_ms < sent_ms])

    def _give_up_watches(self, before_ms: float) -> None:
        """Abandon the watches sent before a call that was answered.

        They may have been lost with the unanswered call; each is sent again.
        """
        self._give_up(
            [c for c in self._pending if c.wait_ms > 0 and c.sent_ms < before_ms]
        )

    def _give_up(self, calls: list[PendingCall]) -> None:
        """Abandon calls: repeatable ones at once, others once they are overdue.

        A call whose answer is being received goes on: its connection works, and on a
        slow link the repetition would take as long.
        """
        now_ms = self._clock.monotonic_ms()
        for call in calls:
            if call.is_receiving(now_ms):
                continue
            remaining_ms = max(0.0, call.sent_ms + _OVERDUE_AFTER_MS - now_ms)
            if call.is_repeatable:
                remaining_ms = 0.0
            call.scope.deadline = trio.current_time() + remaining_ms / _MS_PER_S

    async def wait_for_retry(
        self, pause_ms: float, *, limit_ms: float = _MAX_RETRY_WAIT_MS
    ) -> None:
        """Wait before a failed call is repeated.

        Parameters
        ----------
        pause_ms : float
            Minimum wait, in ms.
        limit_ms : float, optional
            Maximum wait for the recovery of a suspect service, in ms.
        """
        began_ms = self._clock.monotonic_ms()
        if self.is_suspect:
            with trio.move_on_after(limit_ms / _MS_PER_S):
                await self._recovered.wait()
        spent_ms = self._clock.monotonic_ms() - began_ms
        await self._clock.sleep_ms(max(0.0, pause_ms - spent_ms))

    async def wait_for_probe_result(self, limit_ms: float) -> None:
        """Wait until it is known whether a suspect service is unavailable.

        Parameters
        ----------
        limit_ms : float
            Maximum wait, in ms.
        """
        if self.is_suspect:
            with trio.move_on_after(limit_ms / _MS_PER_S):
                await self._resolved.wait()

    async def run_probes(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Probe the service while it is suspect, until cancelled.

        Parameters
        ----------
        probe : callable
            Sends one probe, records its outcome, and returns whether it was answered.
        """
        while True:
            await self._wait_for_suspicion()
            recovered = self._recovered
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._mark_unavailable_after_timeout)
                while not recovered.is_set():
                    nursery.start_soon(self._send_probe, probe)
                    deviation = self._random.uniform(-_PROBE_JITTER, _PROBE_JITTER)
                    mean_ms = (
                        _SHORT_PROBE_PERIOD_MS
                        if self.probes_frequently
                        else _PROBE_PERIOD_MS
                    )
                    with trio.move_on_after(mean_ms * (1.0 + deviation) / _MS_PER_S):
                        await recovered.wait()
                nursery.cancel_scope.cancel()

    async def _wait_for_suspicion(self) -> None:
        while not self.is_suspect:
            with trio.move_on_after(_OVERDUE_CHECK_PERIOD_MS / _MS_PER_S):
                await self._suspected.wait()
            now_ms = self._clock.monotonic_ms()
            for call in self._pending:
                if call.is_overdue(now_ms) and call.sent_ms > self._answered_sent_ms:
                    self.record_failure(call.sent_ms)

    async def _mark_unavailable_after_timeout(self) -> None:
        """Mark the service as unavailable unless an answer is being received.

        While a large answer uses the whole link, a probe is answered late. After a
        pause of this process, its answer may be there already.
        """
        for _ in range(math.ceil(_UNAVAILABLE_AFTER_MS / _SLICE_MS)):
            self._slice_due_ms = self._clock.monotonic_ms() + _SLICE_MS
            await self._clock.sleep_ms(_SLICE_MS)
            self._note_pause()
        while self.is_receiving:
            await self._clock.sleep_ms(_OVERDUE_CHECK_PERIOD_MS)
        self._slice_due_ms = math.inf
        self._mark_unavailable()

    async def _send_probe(self, probe: Callable[[], Awaitable[bool]]) -> None:
        sent_ms = self._clock.monotonic_ms()
        if await probe() or self.is_receiving:
            return
        self._note_pause()
        if self._paused_ms < sent_ms:
            self._mark_unavailable()

    def _note_pause(self) -> None:
        """Record whether the process has just stood still."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._slice_due_ms > _LATE_MS:
            self._paused_ms = now_ms

    def _mark_unavailable(self) -> None:
        if self.is_suspect:
            self.is_unavailable = True
            self._resolved.set()
