"""Settlement of a new owner: when the tasks of previous owners are accounted for."""

import math
from collections.abc import Iterable

from trefoilhook.clock import Clock
from trefoilhook.logs import Event, log_event
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.scheduling import (
    Scheduler,
    account_for_workers,
    get_worker_id,
    list_unreported,
    summarize_missing_evidence,
)

__all__ = ["Settlement"]

_MAX_LOGGED_WORKERS = 5
"""Maximum number of workers named in a log line, which keeps it under 400 bytes."""

_LOG_PERIOD_MS = 2000.0
"""Interval between log lines while the shard is not settled, in ms. A takeover in which
every worker is reachable is normally settled earlier, and logs no such line."""


def _list_worker_ids(incarnations: Iterable[str]) -> list[str]:
    """Return the worker ids to log, which other log lines use as well."""
    return [get_worker_id(name) for name in sorted(incarnations)[:_MAX_LOGGED_WORKERS]]


class Settlement:
    """Detects when a shard is settled, and reports the tasks held until then.

    Parameters
    ----------
    clock : Clock
        Time source.
    scheduler : Scheduler
        State of the shard.
    ownership : Ownership
        Ownership to settle.
    metrics : ProcessMetrics
        Receives the duration of the takeover and the number of held tasks.

    Attributes
    ----------
    workers : frozenset of str
        Incarnations of workers on which a previous owner may have started a task.
    is_settled : bool
        Whether the outcome of all tasks started by previous owners is known.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        scheduler: Scheduler,
        ownership: Ownership,
        metrics: ProcessMetrics,
    ) -> None:
        self.workers: frozenset[str] = frozenset()
        self.is_settled = False
        self._clock = clock
        self._scheduler = scheduler
        self._ownership = ownership
        self._metrics = metrics
        holds = scheduler.holds
        # Captures no reference to the scheduler, which the gauge would keep alive after
        # the end of the ownership.
        metrics.gauges["held_tasks"] = lambda: float(holds.count)

    def update(self, now_ms: float) -> bool:
        """Update ``is_settled``, and return whether it has just become true."""
        if self.is_settled:
            return False
        account_for_workers(self._scheduler, now_ms)
        if self._scheduler.predecessors.awaited:
            return False
        self.is_settled = True
        after_ms = now_ms - self._ownership.claimed_ms
        self._metrics.observe("takeover_ms", after_ms)
        log_event(
            Event.SHARD_SETTLED,
            epoch=self._ownership.epoch,
            after_ms=round(after_ms),
            unheard=_list_worker_ids(list_unreported(self._scheduler, self.workers)),
            **self._build_hold_fields(now_ms),
        )
        return True

    def _build_hold_fields(self, now_ms: float) -> dict[str, int]:
        holds = self._scheduler.holds
        holds.retain(self._scheduler.waiting)
        summary = holds.summarize(now_ms)
        return {
            "held": summary.tasks,
            "held_ms": round(summary.total_ms),
            "longest_ms": round(summary.longest_ms),
        }

    async def log_awaited_workers(self) -> None:
        """Periodically log the awaited workers until the shard is settled."""
        while True:
            await self._clock.sleep_ms(_LOG_PERIOD_MS)
            if self.is_settled:
                return
            now_ms = self._clock.monotonic_ms()
            awaited = self._scheduler.predecessors.awaited
            missing = summarize_missing_evidence(self._scheduler, now_ms)
            log_event(
                Event.SHARD_UNSETTLED,
                epoch=self._ownership.epoch,
                after_ms=round(now_ms - self._ownership.claimed_ms),
                awaited=len(awaited),
                workers=_list_worker_ids(awaited),
                leases=missing.leases,
                listed=missing.listed,
                lease_ms=math.ceil(missing.lease_ms),
                **self._build_hold_fields(now_ms),
            )

    def end(self) -> None:
        """Clear the held tasks at the end of the ownership."""
        self._scheduler.holds.clear()
