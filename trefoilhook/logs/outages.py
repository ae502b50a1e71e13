"""Logging of outages: a line at the start and the end, not one per failed call."""

import enum
import math
from collections import Counter
from collections.abc import Callable

import attrs

from trefoilhook.clock import Clock
from trefoilhook.logs.core import log_event
from trefoilhook.logs.events import Event

__all__ = ["CallFailure", "OutageLog"]

_MIN_LOSS_INTERVAL_MS = 1000.0
"""Minimum interval between two logged outages. A dependency that fails every other call
starts and ends an outage with each pair; the interval limits this to two lines per
second, so that the last 200 lines of a process still cover 100 s."""


class CallFailure(enum.Enum):
    """Why a call to a service failed."""

    NOT_SENT = "not sent"
    """No connection: the call had no effect."""

    NO_ANSWER = "no answer"
    """Time-out, or a connection that was closed early: the effect is unknown."""

    RATE_LIMITED = "rate limited"
    """Rejected because of a rate limit: the call had no effect."""

    UNAVAILABLE = "turned away"
    """Rejected by a service that is unavailable: the call had no effect."""

    INTERNAL = "internal error"
    """The service failed during the call: the effect is unknown."""

    UNREADABLE = "unreadable"
    """The response can't be decoded: the effect is unknown."""

    INVALID_CALL = "refused"
    """The service rejected the call as invalid."""


@attrs.define(kw_only=True)
class _Outage:
    started_ms: float
    last_answer_ms: float
    reasons: Counter[str] = attrs.Factory(Counter)
    calls: Counter[str] = attrs.Factory(Counter)
    is_logged: bool = False


class OutageLog:
    """Logs the outages of one dependency, as observed by this process.

    An outage starts with the first call that fails and ends with the next that is
    answered. Failures in between are only counted, for all callers in the process.

    Parameters
    ----------
    clock : Clock
        Source of time.
    started_event, ended_event : Event
        Events logged at the start and at the end of an outage.
    subject : dict of str to str, optional
        Fields that identify the dependency among several of its kind.
    write : callable, optional
        Writes an event with its fields.

    Notes
    -----
    Calls overlap, so a result may describe an earlier state. A call that was sent
    during an outage may time out after its end: it starts no new outage, and is logged
    as a late failure with the next one. A call that was sent before an outage may be
    answered during it, such as a watch that is pending at a store which rejects new
    calls: it does not end the outage.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        started_event: Event,
        ended_event: Event,
        subject: dict[str, str] | None = None,
        write: Callable[..., None] = log_event,
    ) -> None:
        self._clock = clock
        self._lost = started_event
        self._regained = ended_event
        self._subject = subject or {}
        self._write = write
        self._outage: _Outage | None = None
        self._last_answer_ms = clock.monotonic_ms()
        self._last_end_ms = -math.inf
        self._last_logged_ms = -math.inf
        self._unlogged_losses = 0
        self._late_failures = 0

    def record_answer(self, *, sent_ms: float) -> None:
        """Record that a call was answered.

        Parameters
        ----------
        sent_ms : float
            When it was sent, in ms on the monotonic clock.
        """
        now_ms = self._clock.monotonic_ms()
        outage = self._outage
        if outage is not None and sent_ms >= outage.started_ms:
            self._end_outage(outage, now_ms)
        self._last_answer_ms = now_ms

    def record_failure(
        self, call: str, why: enum.Enum, *, sent_ms: float, detail: str = ""
    ) -> None:
        """Record that a call failed.

        Parameters
        ----------
        call : str
            Name of the call.
        why : enum.Enum
            Reason of the failure; its value is logged.
        sent_ms : float
            When it was sent, in ms on the monotonic clock.
        detail : str, optional
            Further description of the failure.
        """
        if sent_ms < self._last_end_ms:
            self._late_failures += 1
            return
        now_ms = self._clock.monotonic_ms()
        if self._outage is None:
            self._outage = _Outage(
                started_ms=now_ms, last_answer_ms=self._last_answer_ms
            )
        outage = self._outage
        outage.reasons[str(why.value)] += 1
        outage.calls[call] += 1
        if outage.is_logged or now_ms - self._last_logged_ms < _MIN_LOSS_INTERVAL_MS:
            return
        outage.is_logged = True
        self._last_logged_ms = now_ms
        self._write(
            self._lost,
            **self._subject,
            call=call,
            why=why.value,
            **({"detail": detail} if detail else {}),
            silent_ms=round(now_ms - outage.last_answer_ms),
            **self._take_unlogged_counts(),
        )

    def _take_unlogged_counts(self) -> dict[str, int]:
        """Return and reset the counts of what was not logged since the last outage."""
        found = {
            "short_losses": self._unlogged_losses,
            "late_failures": self._late_failures,
        }
        self._unlogged_losses = self._late_failures = 0
        return {name: count for name, count in found.items() if count}

    def _end_outage(self, outage: _Outage, now_ms: float) -> None:
        self._outage = None
        self._last_end_ms = now_ms
        if not outage.is_logged:
            self._unlogged_losses += 1
            return
        self._write(
            self._regained,
            **self._subject,
            lost_ms=round(now_ms - outage.started_ms),
            silent_ms=round(now_ms - outage.last_answer_ms),
            failed=outage.reasons.total(),
            why=dict(outage.reasons),
            calls=dict(outage.calls),
        )
