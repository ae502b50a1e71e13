"""Service steps that are not placed although there is capacity for them."""

from collections.abc import Collection

import attrs

from trefoilhook.scheduling.tickets import StepName

__all__ = ["ServiceHolds"]


@attrs.define(kw_only=True)
class ServiceHolds:
    """Time since when waiting service steps could have been placed."""

    _since_ms: dict[StepName, float] = attrs.field(factory=dict, init=False)

    def extend(self, step: StepName, now_ms: float) -> float:
        """Record that a step could be placed now.

        Returns the time for which this has been so without interruption, in ms.
        """
        return now_ms - self._since_ms.setdefault(step, now_ms)

    def end(self, step: StepName) -> None:
        """Record that a step cannot be placed now, or is no longer held."""
        self._since_ms.pop(step, None)

    def retain(self, waiting: Collection[StepName]) -> None:
        """Remove all steps that are not in ``waiting``."""
        for step in self._since_ms.keys() - waiting:
            del self._since_ms[step]
