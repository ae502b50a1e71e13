"""Settlement of a new owner: when the tasks of previous owners are accounted for."""

from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.scheduling import (
    Scheduler,
    is_settled,
    list_unreported,
)

__all__ = ["Settlement"]

_MAX_LOGGED_WORKERS = 5
"""Maximum number of workers named in a log line, which keeps it under 400 bytes."""


class Settlement:
    """Determines and logs when a shard is settled.

    Parameters
    ----------
    scheduler : Scheduler
        State of the shard.
    ownership : Ownership
        Ownership to settle.
    metrics : ProcessMetrics
        Receives the duration.

    Attributes
    ----------
    roster : tuple of str
        Workers on which a previous owner may have started a task.
    is_settled : bool
        Whether the outcome of all tasks started by previous owners is known.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        ownership: Ownership,
        metrics: ProcessMetrics,
    ) -> None:
        self.roster: tuple[str, ...] = ()
        self.is_settled = False
        self._scheduler = scheduler
        self._ownership = ownership
        self._metrics = metrics

    def update(self, now_ms: float) -> bool:
        """Return whether the shard has become settled since the last call."""
        if self.is_settled or not is_settled(self._scheduler, self.roster, now_ms):
            return False
        self.is_settled = True
        after_ms = now_ms - self._ownership.claimed_ms
        self._metrics.observe("takeover_ms", after_ms)
        log_event(
            Event.SHARD_SETTLED,
            epoch=self._ownership.epoch,
            after_ms=round(after_ms),
            unheard=list_unreported(self._scheduler, self.roster)[:_MAX_LOGGED_WORKERS],
        )
        return True
