"""Circuit breaker of an executor."""

import enum

import attrs

__all__ = ["Circuit", "CircuitState"]
_SERVICE_WIDE_LIMIT_FACTOR = 4


class CircuitState(enum.Enum):
    """State of a circuit breaker; ``PROBATION`` is also known as half-open."""

    CLOSED = "closed"
    OPEN = "open"
    PROBATION = "probation"


@attrs.define(kw_only=True)
class Circuit:
    """Circuit breaker that stops requests to an executor after repeated failures.

    Parameters
    ----------
    failure_limit : int
        Number of consecutive failures that open the circuit.
    open_ms : float
        Initial time that the circuit stays open, in ms; doubled after each failed
        probation.
    open_limit_ms : float
        Maximum time that the circuit stays open, in ms.
    probation_successes : int
        Number of consecutive successes that close the circuit.
    """

    failure_limit: int
    open_ms: float
    open_limit_ms: float
    probation_successes: int
    state: CircuitState = CircuitState.CLOSED
    _failures: int = attrs.field(default=0, init=False)
    _successes: int = attrs.field(default=0, init=False)
    _times_opened: int = attrs.field(default=0, init=False)
    _open_until_ms: float = attrs.field(default=0.0, init=False)

    def get_limit(self, *, now_ms: float, slots: int) -> int:
        """Return the maximum number of concurrent requests.

        Parameters
        ----------
        now_ms : float
            Current monotonic time, in ms.
        slots : int
            Number of slots of the executor, the limit while the circuit is closed.
        """
        if self.state is CircuitState.CLOSED:
            return slots
        if self.state is CircuitState.OPEN:
            if now_ms < self._open_until_ms:
                return 0
            self.state = CircuitState.PROBATION
            self._successes = 0
        return 1

    def record_success(self) -> bool:
        """Record a success; return whether it closed the circuit."""
        self._failures = 0
        if self.state is not CircuitState.PROBATION:
            return False
        self._successes += 1
        if self._successes < self.probation_successes:
            return False
        self.state = CircuitState.CLOSED
        self._times_opened = 0
        return True

    def record_failure(self, *, now_ms: float, is_service_wide: bool = False) -> bool:
        """Record a failure; return whether it opened the circuit.

        Parameters
        ----------
        now_ms : float
            Current monotonic time, in ms.
        is_service_wide : bool, optional
            Whether no other executor of the service succeeded recently.
        """
        self._failures += 1
        if self.state is CircuitState.OPEN:
            return False
        # A caller whose requests always fail must not open the circuits of all
        # executors and thereby block other callers. If no other executor succeeds
        # either, the requests are the more likely cause and the limit is raised.
        limit = self.failure_limit * (
            _SERVICE_WIDE_LIMIT_FACTOR if is_service_wide else 1
        )
        is_failing = self._failures >= limit
        if self.state is CircuitState.CLOSED and not is_failing:
            return False
        self.state = CircuitState.OPEN
        wait_ms = min(self.open_ms * 2.0**self._times_opened, self.open_limit_ms)
        self._open_until_ms = now_ms + wait_ms
        self._times_opened += 1
        return True
