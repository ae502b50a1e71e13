"""Applies the worker entries in the store to the scheduler of the shard's owner."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    WORKER_PREFIX,
    Change,
    Item,
    KeyValueStore,
    Listing,
    decode_worker_report,
)
from trefoilhook.runtime.following import follow
from trefoilhook.runtime.losses import log_departure, log_restart
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import (
    Configuration,
    Scheduler,
    WorkerReport,
    apply_report,
    handle_worker_loss,
    has_left,
    has_restarted,
)

__all__ = ["WorkerFeed"]

_COLLECT_MS = 50.0
"""Minimum time between two reads of changed entries, in ms. Hundreds of workers write
one with each heartbeat, and another writer may change one at any rate; the news of the
workers' tasks comes from polls. It is a hundredth of the time in which an evacuation
must take effect, and 20 reads a second are a twentieth of the store's rate limit."""


class WorkerFeed:
    """Reads worker entries during one ownership.

    Parameters
    ----------
    store : KeyValueStore
        Store of the entries.
    clock : Clock
        Time source.
    scheduler : Scheduler
        Receives the workers.
    rejections : Rejections
        Receives unreadable entries.
    metrics : ProcessMetrics
        Counts restarts of workers.
    read_configuration : callable
        Returns the configuration in force.
    on_new_worker : callable
        Called with the report of each new worker.
    notify : callable
        Called after each change.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        scheduler: Scheduler,
        rejections: Rejections,
        metrics: ProcessMetrics,
        read_configuration: Callable[[], Configuration],
        on_new_worker: Callable[[WorkerReport], None],
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._scheduler = scheduler
        self._rejections = rejections
        self._metrics = metrics
        self._read_configuration = read_configuration
        self._on_new_worker = on_new_worker
        self._notify = notify
        self._unknown_service_items: dict[str, Item] = {}

    async def follow(self, listing: Listing) -> None:
        """Apply a listing and every change after it, until cancelled."""
        self._take_listing(listing)
        await follow(
            self._store,
            WORKER_PREFIX,
            clock=self._clock,
            take_listing=self._take_listing,
            take_change=self._take_change,
            listing=listing,
            note_read=lambda read: self._scheduler.entries.note_read(read.confirmed_ms),
            note_failure=self._scheduler.entries.note_failure,
            collect_ms=_COLLECT_MS,
        )

    def retry_unknown_services(self) -> None:
        """Reconsider workers whose service was missing from the configuration."""
        for item in list(self._unknown_service_items.values()):
            self._take_worker(item)
        self._notify()

    def _take_listing(self, listing: Listing) -> None:
        listed = set()
        self._unknown_service_items.clear()
        for item in listing.items:
            listed.add(item.key.removeprefix(WORKER_PREFIX))
            self._take_worker(item)
        for worker_id in set(self._scheduler.workers) - listed:
            self._scheduler.mark_unlisted(worker_id)
        self._notify()

    def _take_change(self, change: Change) -> None:
        worker_id = change.key.removeprefix(WORKER_PREFIX)
        if change.item is not None:
            self._take_worker(change.item)
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None:
                # All changes until this time had been read before.
                worker.entry_written_ms = self._scheduler.entries.read_ms
        else:
            self._rejections.accept(Event.REPORT_INVALID, change.key)
            self._unknown_service_items.pop(change.key, None)
            self._take_removal(worker_id)
        self._notify()

    def _take_removal(self, worker_id: str) -> None:
        """Apply the removal of a worker's entry."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is None:
            return
        self._scheduler.mark_unlisted(worker_id)
        now_ms = self._clock.monotonic_ms()
        if has_left(self._scheduler, worker, now_ms):
            log_departure(worker)
            handle_worker_loss(self._scheduler, worker, now_ms)
        else:
            log_event(Event.WORKER_LOST, worker=worker_id, why="unlisted")

    def _is_known_service(self, service: str) -> bool:
        """Return whether the configuration or a job's earlier queue names a service."""
        return (
            service in self._read_configuration().services
            or service in self._scheduler.services
        )

    def _take_worker(self, item: Item) -> None:
        self._unknown_service_items.pop(item.key, None)
        try:
            report = decode_worker_report(item.key, item.value)
            if not self._is_known_service(report.service):
                self._unknown_service_items[item.key] = item
                raise DecodeError("service: not in the configuration")
        except DecodeError as error:
            self._rejections.report(
                Event.REPORT_INVALID, item.key, str(error), revision=item.revision
            )
            self._scheduler.exclude_worker(item.key.removeprefix(WORKER_PREFIX))
            return
        known = self._scheduler.workers.get(report.worker_id)
        now_ms = self._clock.monotonic_ms()
        if known is not None and has_restarted(known, report.born_ms):
            log_restart(known, now_ms, seen_in="entry")
            self._metrics.count("worker_restarts", "entry")
        if apply_report(self._scheduler, report, now_ms):
            self._rejections.accept(Event.REPORT_INVALID, item.key)
        else:
            reason = "born: not that of the worker's answers"
            self._rejections.report(
                Event.REPORT_INVALID, item.key, reason, revision=item.revision
            )
        if self._scheduler.workers[report.worker_id] is not known:
            self._on_new_worker(report)
