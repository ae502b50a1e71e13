"""Applies the jobs in the store to the scheduler of the shard's owner."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, describe_failure
from trefoilhook.platform import Change, Item, KeyValueStore, Listing
from trefoilhook.runtime import keys
from trefoilhook.runtime.following import follow
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.scheduling import (
    JobPhase,
    Progress,
    Scheduler,
    decode_job_record,
    decode_progress,
)

__all__ = ["JobFeed"]


class JobFeed:
    """Reads jobs and their progress during one ownership.

    Parameters
    ----------
    store : KeyValueStore
        Store of the jobs.
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership during which jobs are read.
    scheduler : Scheduler
        Receives the jobs.
    rejections : Rejections
        Receives unreadable entries.
    notify : callable
        Called after each change.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        ownership: Ownership,
        scheduler: Scheduler,
        rejections: Rejections,
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ownership = ownership
        self._scheduler = scheduler
        self._rejections = rejections
        self._notify = notify

    def load(self, jobs: Listing, progress: Listing) -> None:
        """Load the jobs of previous owners; progress must be listed before the jobs."""
        known = {keys.read_job_id(item.key): item for item in progress.items}
        for item in sorted(jobs.items, key=lambda item: item.created):
            self._take_job(item, known.get(keys.read_job_id(item.key)))

    async def follow(self, listing: Listing) -> None:
        """Apply every change after a listing, until cancelled."""
        freshness = self._scheduler.job_freshness
        await follow(
            self._store,
            keys.job_prefix(keys.SHARD),
            clock=self._clock,
            take_listing=self._take_listing,
            take_change=self._take_change,
            listing=listing,
            note_read=lambda read: freshness.note_read(read.confirmed_ms),
        )

    def _take_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._take_job(item)
        self._notify()

    def _take_change(self, change: Change) -> None:
        if change.item is None:
            self._scheduler.unreadable_jobs.discard(keys.read_job_id(change.key))
            return
        self._take_job(change.item)
        self._notify()

    def _take_job(self, item: Item, progress: Item | None = None) -> None:
        """Apply a job record, or hold the job back if it is unreadable.

        A job without its progress looks like a new one, so its completed tasks would
        run again. It is therefore held back for the whole ownership, even if its record
        is repaired, because a change of the record doesn't include the progress.
        """
        job_id = keys.read_job_id(item.key)
        try:
            record = decode_job_record(item.value)
            if record.job.job_id != job_id:
                raise DecodeError("job_id: not the key's")
        except DecodeError as error:
            self._hold_back(job_id, item, str(error))
            return
        done: Progress | None = None
        if progress is not None:
            try:
                done = decode_progress(progress.value)
            except DecodeError as error:
                self._hold_back(job_id, progress, str(error))
                return
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        if job_id in self._scheduler.unreadable_jobs:
            return
        if job_id in self._scheduler.jobs:
            if record.phase is JobPhase.CANCELLED:
                self._scheduler.cancel_job(job_id, revision=item.revision)
            return
        try:
            self._scheduler.add_job(
                record,
                revision=item.revision,
                is_new=item.created > self._ownership.owner_revision,
                wall_ms=self._clock.wall_ms(),
                progress=done,
                progress_revision=progress.revision if progress is not None else 0,
            )
        except Exception as error:
            # One job must not keep all others from being loaded.
            self._scheduler.discard_job(job_id)
            reason = " ".join(describe_failure(error).values())
            self._hold_back(job_id, item, reason)
            return
        self._scheduler.times.begin(
            self._scheduler.jobs[job_id],
            now_ms=self._clock.monotonic_ms(),
            wall_ms=self._clock.wall_ms(),
        )

    def _hold_back(self, job_id: str, item: Item, reason: str) -> None:
        self._rejections.report(
            Event.ENTRY_INVALID, item.key, reason, revision=item.revision
        )
        if job_id not in self._scheduler.jobs:
            self._scheduler.unreadable_jobs.add(job_id)
