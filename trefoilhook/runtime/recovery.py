"""Measures how soon a process resumes work after an outage of the store."""

import enum

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import KeyValueStore
from trefoilhook.runtime.metrics import ProcessMetrics

__all__ = ["RecoveryStep", "RecoveryTracker"]

_MAX_DELAY_MS = 10_000.0
"""Time after the recovery of the store after which a step is unrelated to it, in ms. An
idle owner starts no task until one is submitted."""


class RecoveryStep(enum.Enum):
    """Steps of the recovery of a process after an outage."""

    UP_TO_DATE = "up_to_date"
    """The process knows all changes of the operator's keys."""

    CLAIMED = "claimed"
    """The process has claimed the shard."""

    STARTED = "started"
    """A worker has confirmed the start of a task."""


class RecoveryTracker:
    """Logs and measures the first occurrence of each step after an outage.

    Parameters
    ----------
    store : KeyValueStore
        Store whose outages are tracked.
    clock : Clock
        Time source.
    metrics : ProcessMetrics
        Receives the delays.
    """

    def __init__(
        self, *, store: KeyValueStore, clock: Clock, metrics: ProcessMetrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._recorded_ms: dict[RecoveryStep, float] = {}

    def record(self, step: RecoveryStep) -> None:
        """Record that a step is complete."""
        recovered_ms = self._store.recovered_ms
        after_ms = self._clock.monotonic_ms() - recovered_ms
        if after_ms > _MAX_DELAY_MS or self._recorded_ms.get(step) == recovered_ms:
            return
        self._recorded_ms[step] = recovered_ms
        self._metrics.observe(f"store_return_{step.value}_ms", after_ms)
        log_event(Event.STORE_RECOVERED, step=step.value, after_ms=round(after_ms))
