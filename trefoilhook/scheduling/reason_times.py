"""Accumulated times by reason, from a reason at each round."""

from collections import Counter
from typing import Generic, TypeVar

import attrs

__all__ = ["ReasonTimes"]

_MAX_GAP_MS = 1000.0
"""Maximum time between two rounds that is counted as waiting for the reason of the
first one, in ms; the reason is unknown for a longer gap."""

_ReasonT = TypeVar("_ReasonT")


@attrs.define(kw_only=True)
class ReasonTimes(Generic[_ReasonT]):
    """Time by reason; the time since the last round is not included.

    Parameters
    ----------
    recorded_ms : float
        Time of the last round, in ms.
    reason : object
        Reason in the last round.
    by_reason : Counter
        Time by reason, in ms.
    """

    recorded_ms: float
    reason: _ReasonT
    by_reason: Counter[_ReasonT] = attrs.Factory(Counter)

    def record(self, reason: _ReasonT, now_ms: float) -> None:
        """Count the time since the last round for its reason."""
        gap_ms = now_ms - self.recorded_ms
        if gap_ms <= _MAX_GAP_MS:
            self.by_reason[self.reason] += gap_ms  # type: ignore[assignment]
        self.recorded_ms = now_ms
        self.reason = reason

    def list_times(self) -> tuple[tuple[_ReasonT, float], ...]:
        """Return the time for each reason, in ms, in descending order."""
        return tuple((reason, float(ms)) for reason, ms in self.by_reason.most_common())
