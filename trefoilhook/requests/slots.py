"""Slot accounting of one executor at its owner."""

import enum
import math

import attrs

from trefoilhook.requests.circuit import Circuit

__all__ = ["AttemptOutcome", "ExecutorSlots", "Probe"]

_INITIAL_PAUSE_INTERVAL_MS = 250.0
_MAX_PAUSE_INTERVAL_MS = 30_000.0


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt to run a request on an executor."""

    ANSWERED = "answered"
    FAILED = "answered with a failure"
    NOT_SENT = "not sent"
    LOST = "sent, answer lost"
    CANCELLED_AFTER_SEND = "sent, then cut off from here"
    WITHDRAWN = "not sent, for a reason that is not the executor's"


@attrs.frozen(kw_only=True)
class Probe:
    """State of the slots at the start of a health probe.

    Parameters
    ----------
    is_idle : bool
        Whether this instance had no request in progress on the executor.
    started : int
        Number of requests that this instance had started so far.
    releasable : int
        Number of unconfirmed slots that the probe may release: those of requests whose
        bytes can no longer arrive at the executor.
    """

    is_idle: bool
    started: int
    releasable: int


@attrs.define(kw_only=True, eq=False)
class ExecutorSlots:
    """Slots of an executor that are in use, as known to its owner.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests on the executor.
    circuit : Circuit
        Circuit breaker of the executor.
    settle_ms : float
        Time after a lost request in which its bytes may still arrive, in ms.
    is_count_unknown : bool
        Whether a previous owner may have an unknown number of requests in progress.
        No request is sent until the executor has reported its count.
    probe_from_ms : float
        Monotonic time from which the executor's count includes everything that a
        previous owner sent, in ms.
    reserved_until_ms : float
        Monotonic time until which one slot is reserved for a previous owner that made
        no handover, in ms.
    is_leaving : bool
        Whether the executor must not receive new requests.
    in_progress : int
        Number of requests that this instance has in progress on the executor.
    unconfirmed : int
        Number of unconfirmed slots; see the notes.

    Notes
    -----
    A slot is in use by a request that this instance has in progress, by one whose
    answer was lost and that may still run, or by a request of a previous owner. The
    last two kinds are *unconfirmed*. The executor reports only a total, so its count
    can release unconfirmed slots only while this instance has no request in progress
    there. New requests to an executor with unconfirmed slots are therefore paused from
    time to time, until it is idle and has been probed.
    """

    slots: int
    circuit: Circuit
    settle_ms: float
    is_count_unknown: bool = False
    probe_from_ms: float = -math.inf
    reserved_until_ms: float = -math.inf
    is_leaving: bool = False
    in_progress: int = 0
    unconfirmed: int = 0
    _lost_at_ms: list[float] = attrs.field(factory=list, init=False)
    _started: int = attrs.field(default=0, init=False)
    _pause_at_ms: float = attrs.field(default=0.0, init=False)
    _pause_interval_ms: float = attrs.field(
        default=_INITIAL_PAUSE_INTERVAL_MS, init=False
    )

    @property
    def started(self) -> int:
        """Number of requests that this instance has started so far."""
        return self._started

    def count_in_use(self, now_ms: float) -> int:
        """Return the number of slots that may be in use, including a reserved one."""
        reserved = 1 if now_ms < self.reserved_until_ms else 0
        return self.in_progress + self.unconfirmed + reserved

    def count_free(self, now_ms: float) -> int:
        """Return the number of requests that may be sent now."""
        if self.is_leaving or self.is_count_unknown or self.is_paused(now_ms):
            return 0
        limit = self.circuit.get_limit(now_ms=now_ms, slots=self.slots)
        by_circuit = limit - self.in_progress
        by_slots = self.slots - self.count_in_use(now_ms)
        return max(0, min(by_circuit, by_slots))

    def count_usable(self, now_ms: float) -> int:
        """Return the number of slots that serve requests, free or in use.

        Unconfirmed slots do not count, but they become free again and are worth
        waiting for. At least one slot therefore counts while the executor accepts
        requests.
        """
        if self.is_leaving:
            return 0
        limit = self.circuit.get_limit(now_ms=now_ms, slots=self.slots)
        return min(limit, max(1, self.slots - self.unconfirmed))

    def is_paused(self, now_ms: float) -> bool:
        """Return whether new requests are paused to probe the unconfirmed slots."""
        return self.unconfirmed > 0 and now_ms >= self._pause_at_ms

    def acquire(self, now_ms: float) -> None:
        """Acquire a slot for a request.

        Raises
        ------
        RuntimeError
            If no slot is free. The calling code must check this first.
        """
        if self.count_free(now_ms) < 1:
            raise RuntimeError("no slot is free")
        self.in_progress += 1
        self._started += 1

    def release(self, outcome: AttemptOutcome, *, now_ms: float) -> None:
        """Release the slot of a request, unless the request may still be running.

        Parameters
        ----------
        outcome : AttemptOutcome
            Outcome of the attempt.
        now_ms : float
            Current monotonic time, in ms.
        """
        self.in_progress -= 1
        if outcome in (AttemptOutcome.LOST, AttemptOutcome.CANCELLED_AFTER_SEND):
            # The request may still be running. Releasing its slot could make the
            # executor run one request more than it has slots.
            self._add_unproved(1, now_ms)
            self._lost_at_ms.append(now_ms)

    def needs_probe(self, now_ms: float) -> bool:
        """Return whether the executor should be probed now."""
        if self.is_count_unknown:
            return now_ms >= self.probe_from_ms
        return self.is_paused(now_ms) and self.in_progress == 0

    def begin_probe(self, now_ms: float) -> Probe:
        """Return the state of the slots at the start of a health probe."""
        settled = [at for at in self._lost_at_ms if now_ms - at >= self.settle_ms]
        fresh = len(self._lost_at_ms) - len(settled)
        return Probe(
            is_idle=self.in_progress == 0,
            started=self._started,
            releasable=max(0, self.unconfirmed - fresh),
        )

    def end_probe(self, probe: Probe, *, in_use: int, now_ms: float) -> None:
        """Apply the result of a health probe.

        Parameters
        ----------
        probe : Probe
            State of the slots at the start of the probe.
        in_use : int
            Number of running requests that the executor reported.
        now_ms : float
            Current monotonic time, in ms.
        """
        if not probe.is_idle or self._started != probe.started:
            return
        if self.is_count_unknown:
            self.is_count_unknown = False
            self.unconfirmed = 0
            self._lost_at_ms.clear()
            self._add_unproved(min(in_use, self.slots), now_ms)
            return
        released = max(0, probe.releasable - in_use)
        self.unconfirmed = max(0, self.unconfirmed - released)
        del self._lost_at_ms[: min(released, len(self._lost_at_ms))]
        is_mostly_unproved = 2 * self.unconfirmed >= self.slots
        if released or is_mostly_unproved:
            self._pause_interval_ms = _INITIAL_PAUSE_INTERVAL_MS
        else:
            self._pause_interval_ms = min(
                2 * self._pause_interval_ms, _MAX_PAUSE_INTERVAL_MS
            )
        self._pause_at_ms = now_ms + self._pause_interval_ms

    def fail_probe(self, now_ms: float) -> None:
        """Record a failed health probe and back off exponentially."""
        self._pause_interval_ms = min(
            2 * self._pause_interval_ms, _MAX_PAUSE_INTERVAL_MS
        )
        self._pause_at_ms = now_ms + self._pause_interval_ms

    def apply_handover(self, in_use: int, *, now_ms: float) -> None:
        """Apply the number of slots in use from the previous owner's handover.

        No slot needs to be reserved for the previous owner any more.
        """
        self.is_count_unknown = False
        self.reserved_until_ms = -math.inf
        self._add_unproved(min(in_use, self.slots), now_ms)

    def _add_unproved(self, count: int, now_ms: float) -> None:
        if count and not self.unconfirmed:
            self._pause_interval_ms = _INITIAL_PAUSE_INTERVAL_MS
            self._pause_at_ms = now_ms + self._pause_interval_ms
        self.unconfirmed += count
