"""One line when a dependency is lost and one when it is back, not one a failed call."""

import enum
import math
from collections import Counter
from collections.abc import Callable

import attrs

from trefoilhook.clock import Clock
from trefoilhook.logs.core import log_event
from trefoilhook.logs.events import Event

__all__ = ["CallFailure", "DependencyLog"]

_LEAST_PAUSE_MS = 1000.0
"""Least time between two lines on a loss, in ms. A dependency that loses every other
answer is lost and back with every call; with this it takes two lines a second, so that
the last 200 lines of a process still reach 100 s back."""


class CallFailure(enum.Enum):
    """Why a call to a service wasn't answered with what was asked."""

    NOT_SENT = "not sent"
    """No connection: nothing was done."""

    NO_ANSWER = "no answer"
    """Silence, or a connection that ended early: the effect is unknown."""

    RATE_LIMITED = "rate limited"
    """Turned away, as too many calls came: nothing was done."""

    TURNED_AWAY = "turned away"
    """Turned away by a service that can't serve now: nothing was done."""

    INTERNAL = "internal error"
    """The service failed while at it: the effect is unknown."""

    UNREADABLE = "unreadable"
    """The answer can't be decoded: the effect is unknown."""

    REFUSED = "refused"
    """The service took the call for a wrong one."""


@attrs.define(kw_only=True)
class _Outage:
    began_ms: float
    answered_ms: float
    reasons: Counter[str] = attrs.Factory(Counter)
    calls: Counter[str] = attrs.Factory(Counter)
    is_told: bool = False


class DependencyLog:
    """Tells of the outages of one dependency, as this process sees them.

    It is lost with the first call that fails and back with the next that is answered.
    What fails in between is only counted, whoever of the process made the call.

    Parameters
    ----------
    clock : Clock
        Where time comes from.
    lost, regained : Event
        What is logged.
    subject : dict of str to str, optional
        Fields that name the dependency, where there are several of its kind.
    write : callable, optional
        Writes an event with its fields.

    Notes
    -----
    Calls overlap, so what comes back may speak of an earlier time. A call that was sent
    during an outage may time out after its end: it is counted as late with the next
    loss, and is none. A call that was sent before an outage may be answered during it,
    such as a watch that waits at a store which turns new calls away: it ends none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lost: Event,
        regained: Event,
        subject: dict[str, str] | None = None,
        write: Callable[..., None] = log_event,
    ) -> None:
        self._clock = clock
        self._lost = lost
        self._regained = regained
        self._subject = subject or {}
        self._write = write
        self._outage: _Outage | None = None
        self._answered_ms = clock.monotonic_ms()
        self._ended_ms = -math.inf
        self._told_ms = -math.inf
        self._untold = 0
        self._late = 0

    def record_answer(self, *, sent_ms: float) -> None:
        """Record that a call was answered.

        Parameters
        ----------
        sent_ms : float
            When it was sent, in ms on the monotonic clock.
        """
        now_ms = self._clock.monotonic_ms()
        outage = self._outage
        if outage is not None and sent_ms >= outage.began_ms:
            self._end(outage, now_ms)
        self._answered_ms = now_ms

    def record_failure(
        self, call: str, why: enum.Enum, *, sent_ms: float, detail: str = ""
    ) -> None:
        """Record that a call failed.

        Parameters
        ----------
        call : str
            Which call.
        why : enum.Enum
            How it failed; its value is logged.
        sent_ms : float
            When it was sent, in ms on the monotonic clock.
        detail : str, optional
            What is known beyond that, for people.
        """
        if sent_ms < self._ended_ms:
            self._late += 1
            return
        now_ms = self._clock.monotonic_ms()
        if self._outage is None:
            self._outage = _Outage(began_ms=now_ms, answered_ms=self._answered_ms)
        outage = self._outage
        outage.reasons[str(why.value)] += 1
        outage.calls[call] += 1
        if outage.is_told or now_ms - self._told_ms < _LEAST_PAUSE_MS:
            return
        outage.is_told = True
        self._told_ms = now_ms
        self._write(
            self._lost,
            **self._subject,
            call=call,
            why=why.value,
            **({"detail": detail} if detail else {}),
            silent_ms=round(now_ms - outage.answered_ms),
            **self._take_untold(),
        )

    def _take_untold(self) -> dict[str, int]:
        """Return, and forget, what had no line of its own since the last loss."""
        found = {"short_losses": self._untold, "late_failures": self._late}
        self._untold = self._late = 0
        return {name: count for name, count in found.items() if count}

    def _end(self, outage: _Outage, now_ms: float) -> None:
        self._outage = None
        self._ended_ms = now_ms
        if not outage.is_told:
            self._untold += 1
            return
        self._write(
            self._regained,
            **self._subject,
            lost_ms=round(now_ms - outage.began_ms),
            silent_ms=round(now_ms - outage.answered_ms),
            failed=outage.reasons.total(),
            why=dict(outage.reasons),
            calls=dict(outage.calls),
        )
