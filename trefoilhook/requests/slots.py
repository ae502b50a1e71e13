"""Exact count of one executor's slots at its owner."""

import enum
import math

import attrs

from trefoilhook.requests.circuit import Circuit

__all__ = ["AttemptOutcome", "ExecutorSlots", "Probe"]

_INITIAL_PAUSE_INTERVAL_MS = 250.0
_MAX_PAUSE_INTERVAL_MS = 30_000.0


class AttemptOutcome(enum.Enum):
    """How a request to an executor ended."""

    ANSWERED = "answered"
    FAILED = "answered with a failure"
    NOT_SENT = "not sent"
    LOST = "sent, answer lost"
    CANCELLED_AFTER_SEND = "sent, then cut off from here"
    WITHDRAWN = "not sent, for a reason that is not the executor's"


@attrs.frozen(kw_only=True)
class Probe:
    """A look at an executor's health that has begun.

    Parameters
    ----------
    is_quiet : bool
        Whether nothing was in progress from here when it began.
    started : int
        Number of requests started from here until then.
    eligible : int
        Lost requests that no byte can arrive of any more.
    """

    is_idle: bool
    started: int
    releasable: int


@attrs.define(kw_only=True, eq=False)
class ExecutorSlots:
    """Who holds an executor's slots, as its owner knows it.

    Parameters
    ----------
    slots : int
        Most requests that the executor may run at once.
    circuit : Circuit
        Its circuit breaker.
    settle_ms : float
        Time after a lost request in which its bytes may still arrive, in ms.
    is_taken_over : bool
        Whether an earlier owner may have requests in progress that were not handed
        over: nothing is sent before the executor has said what it runs.
    ask_from_ms : float
        From when on the executor's count shows all that an earlier owner sent.
    held_until_ms : float
        Until when one slot is kept back for an earlier owner that was not met.
    is_leaving : bool
        Whether the executor must get nothing new.

    Notes
    -----
    A slot is in use by a request in progress from here, by one whose answer was lost
    (it may still run), or by an earlier owner's. The last two are *unproved*: the
    executor's own count can release them only while nothing is in progress from here,
    because it doesn't say whose requests it counts. An executor with unproved slots
    therefore gets nothing new from time to time, until it is quiet and was asked.
    """

    slots: int
    circuit: Circuit
    settle_ms: float
    is_count_unknown: bool = False
    probe_from_ms: float = -math.inf
    reserved_until_ms: float = -math.inf
    is_leaving: bool = False
    in_progress: int = 0
    unproved: int = 0
    _lost_at_ms: list[float] = attrs.field(factory=list, init=False)
    _started: int = attrs.field(default=0, init=False)
    _pause_at_ms: float = attrs.field(default=0.0, init=False)
    _pause_interval_ms: float = attrs.field(
        default=_INITIAL_PAUSE_INTERVAL_MS, init=False
    )

    @property
    def started(self) -> int:
        """Number of requests started from here so far."""
        return self._started

    def count_in_use(self, now_ms: float) -> int:
        """Return the slots that may be in use, with the one kept back."""
        held = 1 if now_ms < self.reserved_until_ms else 0
        return self.in_progress + self.unproved + held

    def count_free(self, now_ms: float) -> int:
        """Return how many requests may be sent now."""
        if self.is_leaving or self.is_count_unknown or self.is_paused(now_ms):
            return 0
        limit = self.circuit.get_limit(now_ms=now_ms, slots=self.slots)
        by_circuit = limit - self.in_progress
        by_slots = self.slots - self.count_in_use(now_ms)
        return max(0, min(by_circuit, by_slots))

    def count_usable(self, now_ms: float) -> int:
        """Return how many slots serve requests, in use from here or free.

        Unproved ones come back, so that waiting for them is of use: at least one
        counts while the executor may be sent to at all.
        """
        if self.is_leaving:
            return 0
        limit = self.circuit.get_limit(now_ms=now_ms, slots=self.slots)
        return min(limit, max(1, self.slots - self.unproved))

    def is_paused(self, now_ms: float) -> bool:
        """Tell whether nothing new is sent so that unproved slots can be asked for."""
        return self.unproved > 0 and now_ms >= self._pause_at_ms

    def acquire(self, now_ms: float) -> None:
        """Take a slot for a request.

        Raises
        ------
        RuntimeError
            If none is free: a fault of the caller, never of the load.
        """
        if self.count_free(now_ms) < 1:
            raise RuntimeError("no slot is free")
        self.in_progress += 1
        self._started += 1

    def release(self, outcome: AttemptOutcome, *, now_ms: float) -> None:
        """Give a request's slot back, unless it may still run.

        Parameters
        ----------
        ending : Ending
            How the request ended.
        now_ms : float
            Time now.
        """
        self.in_progress -= 1
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.CANCELLED_AFTER_SEND):
            # Guards against the slot of a request that still runs being given away:
            # the executor would run one more than it has slots.
            self._add_unproved(1, now_ms)
            self._lost_at_ms.append(now_ms)

    def needs_probe(self, now_ms: float) -> bool:
        """Tell whether the executor's own count is wanted now."""
        if self.is_count_unknown:
            return now_ms >= self.probe_from_ms
        return self.is_paused(now_ms) and self.in_progress == 0

    def begin_probe(self, now_ms: float) -> Probe:
        """Note what is known when a look at the executor's health begins."""
        settled = [at for at in self._lost_at_ms if now_ms - at >= self.settle_ms]
        fresh = len(self._lost_at_ms) - len(settled)
        return Probe(
            is_idle=self.in_progress == 0,
            started=self._started,
            releasable=max(0, self.unproved - fresh),
        )

    def end_probe(self, probe: Probe, *, in_use: int, now_ms: float) -> None:
        """Take in the executor's own count.

        Parameters
        ----------
        probe : Probe
            What was known when the look began.
        in_use : int
            Requests that the executor said it runs.
        now_ms : float
            Time now.
        """
        if not probe.is_idle or self._started != probe.started:
            return
        if self.is_count_unknown:
            self.is_count_unknown = False
            self.unproved = 0
            self._lost_at_ms.clear()
            self._add_unproved(min(in_use, self.slots), now_ms)
            return
        released = max(0, probe.releasable - in_use)
        self.unproved = max(0, self.unproved - released)
        del self._lost_at_ms[: min(released, len(self._lost_at_ms))]
        is_mostly_unproved = 2 * self.unproved >= self.slots
        if released or is_mostly_unproved:
            self._pause_interval_ms = _INITIAL_PAUSE_INTERVAL_MS
        else:
            self._pause_interval_ms = min(
                2 * self._pause_interval_ms, _MAX_PAUSE_INTERVAL_MS
            )
        self._pause_at_ms = now_ms + self._pause_interval_ms

    def fail_probe(self, now_ms: float) -> None:
        """Note that the executor did not say; try again after a growing wait."""
        self._pause_interval_ms = min(
            2 * self._pause_interval_ms, _MAX_PAUSE_INTERVAL_MS
        )
        self._pause_at_ms = now_ms + self._pause_interval_ms

    def apply_handover(self, in_use: int, *, now_ms: float) -> None:
        """Take in what a leaving owner said was in use; it has been met."""
        self.is_count_unknown = False
        self.reserved_until_ms = -math.inf
        self._add_unproved(min(in_use, self.slots), now_ms)

    def _add_unproved(self, count: int, now_ms: float) -> None:
        if count and not self.unproved:
            self._pause_interval_ms = _INITIAL_PAUSE_INTERVAL_MS
            self._pause_at_ms = now_ms + self._pause_interval_ms
        self.unproved += count
