"""Service steps that are not placed although there is capacity for them."""

from collections.abc import Collection

import attrs

from trefoilhook.scheduling.tickets import StepName

__all__ = ["Hold", "ServiceHolds"]


@attrs.define(kw_only=True)
class Hold:
    """Wait of one service step beside capacity for it.

    Parameters
    ----------
    first_ms : float
        Time of the first round in which it could have been placed, in ms.
    since_ms : float
        Time from which its wait is counted, in ms.
    interruptions : int
        Number of times that no worker could host it since ``first_ms``.
    interrupted_ms : float, optional
        Begin of the present interruption, in ms; None if there is none.
    """

    first_ms: float
    since_ms: float
    interruptions: int = 0
    interrupted_ms: float | None = None


@attrs.define(kw_only=True)
class ServiceHolds:
    """Waits of service steps that could have been placed."""

    _holds: dict[StepName, Hold] = attrs.field(factory=dict, init=False)

    def extend(self, step: StepName, now_ms: float) -> float:
        """Record that a step could be placed now.

        Returns the time for which this has been so without interruption, in ms.
        """
        hold = self._holds.get(step)
        if hold is None:
            hold = self._holds[step] = Hold(first_ms=now_ms, since_ms=now_ms)
        if hold.interrupted_ms is not None:
            hold.since_ms = now_ms
            hold.interrupted_ms = None
        return now_ms - hold.since_ms

    def interrupt(self, step: StepName, now_ms: float) -> None:
        """Record that no worker can host a step now."""
        hold = self._holds.get(step)
        if hold is not None and hold.interrupted_ms is None:
            hold.interrupted_ms = now_ms
            hold.interruptions += 1

    def find(self, step: StepName) -> Hold | None:
        """Return the wait of a step, or None if it could not have been placed."""
        return self._holds.get(step)

    def retain(self, waiting: Collection[StepName]) -> None:
        """Remove all steps that are not in ``waiting``."""
        for step in self._holds.keys() - waiting:
            del self._holds[step]
