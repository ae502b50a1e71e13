"""Circuit breaker for an executor that fails everything."""

import enum

import attrs

__all__ = ["Circuit", "CircuitState"]
_SERVICE_WIDE_LIMIT_FACTOR = 4


class CircuitState(enum.Enum):
    """Whether requests pass."""

    CLOSED = "closed"
    OPEN = "open"
    PROBATION = "probation"


@attrs.define(kw_only=True)
class Circuit:
    """Counts an executor's failures and keeps requests away from a failing one.

    Parameters
    ----------
    failure_limit : int
        Failures in a row that open the circuit.
    open_ms : float
        First time that it stays open, in ms; doubled at each failed probation.
    open_limit_ms : float
        Longest time that it stays open, in ms.
    probation_successes : int
        Successes in a row that close it.
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
        """Return how many requests may be in progress at once.

        Parameters
        ----------
        now_ms : float
            Time now.
        slots : int
            What the executor takes when it is healthy.
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
        """Count a success; True if it closed the circuit."""
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
        """Count a failure; True if it opened the circuit.

        Parameters
        ----------
        now_ms : float
            Time now.
        is_alone : bool, optional
            Whether no other executor of the service succeeded lately.
        """
        self._failures += 1
        if self.state is CircuitState.OPEN:
            return False
        # Guards against one caller whose requests always fail: it would open the
        # circuit of every executor, and so refuse all other callers. Where no other
        # executor does better, the requests are more likely at fault.
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
