"""Measures how soon a process works again after an outage of the store."""

import enum

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import KeyValueStore
from trefoilhook.runtime.metrics import ProcessMetrics

__all__ = ["Recovery", "RecoveryStep"]

_MAX_DELAY_MS = 10_000.0
"""Time after the store's return after which a step is no consequence of it, in ms: an
idle owner starts a task when one is submitted."""


class RecoveryStep(enum.Enum):
    """What a process does again after an outage."""

    UP_TO_DATE = "up_to_date"
    """It knows all changes of the operator's keys."""

    CLAIMED = "claimed"
    """It has claimed the shard."""

    STARTED = "started"
    """A worker has confirmed the start of a task."""


class Recovery:
    """Logs and measures the first occurrence of each step after an outage.

    Parameters
    ----------
    store : KeyValueStore
        Store whose outages count.
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
        self._noted_ms: dict[RecoveryStep, float] = {}

    def note(self, step: RecoveryStep) -> None:
        """Record that a step is done."""
        back_ms = self._store.back_ms
        after_ms = self._clock.monotonic_ms() - back_ms
        if after_ms > _MAX_DELAY_MS or self._noted_ms.get(step) == back_ms:
            return
        self._noted_ms[step] = back_ms
        self._metrics.observe(f"store_return_{step.value}_ms", after_ms)
        log_event(Event.STORE_RECOVERED, step=step.value, after_ms=round(after_ms))
