"""The jobs of a shard as the store holds them, taken into its owner's state."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event
from trefoilhook.platform import Change, Item, KeyValueStore, Listing
from trefoilhook.runtime import keys
from trefoilhook.runtime.following import follow
from trefoilhook.runtime.ownership import Tenure
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
    """Reads jobs and their progress for one tenure.

    Parameters
    ----------
    store : KeyValueStore
        Where they are.
    clock : Clock
        Where time comes from.
    tenure : Tenure
        The ownership.
    scheduler : Scheduler
        Where they go.
    rejections : Rejections
        Told of what can't be read.
    notify : callable
        Called after each change.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        tenure: Tenure,
        scheduler: Scheduler,
        rejections: Rejections,
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._tenure = tenure
        self._scheduler = scheduler
        self._rejections = rejections
        self._notify = notify

    def take_loaded(self, jobs: Listing, progress: Listing) -> None:
        """Take in all that earlier owners left; progress was listed before the jobs."""
        known = {keys.read_job_id(item.key): item for item in progress.items}
        for item in jobs.items:
            self._take_job(item, known.get(keys.read_job_id(item.key)))

    async def follow(self, listing: Listing) -> None:
        """Take in every change after a listing, for good."""
        await follow(
            self._store,
            self._clock,
            keys.job_prefix(keys.SHARD),
            take_listing=self._take_listing,
            take_change=self._take_change,
            listing=listing,
        )

    def _take_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._take_job(item)
        self._notify()

    def _take_change(self, change: Change) -> None:
        if change.item is None:
            self._scheduler.held_back.discard(keys.read_job_id(change.key))
            return
        self._take_job(change.item)
        self._notify()

    def _take_job(self, item: Item, progress: Item | None = None) -> None:
        """Take in a job's record, or hold the job back if it can't be read.

        Without its progress a job can't be told from one that has just come, and tasks
        of it that are done would run again. So it stays held back in this tenure, also
        when its record alone is mended: that brings no progress with it.
        """
        job_id = keys.read_job_id(item.key)
        try:
            record = decode_job_record(item.value)
            if record.job.job_id != job_id:
                raise DecodeError("job_id: not the key's")
        except DecodeError as error:
            self._hold_back(job_id, item, error)
            return
        done: Progress | None = None
        if progress is not None:
            try:
                done = decode_progress(progress.value)
            except DecodeError as error:
                self._hold_back(job_id, progress, error)
                return
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        if job_id in self._scheduler.held_back:
            return
        if job_id in self._scheduler.jobs:
            if record.phase is JobPhase.CANCELLED:
                self._scheduler.cancel_job(job_id, revision=item.revision)
            return
        self._scheduler.add_job(
            record,
            revision=item.revision,
            certain=item.created > self._tenure.owner_revision,
            wall_ms=self._clock.wall_ms(),
            progress=done,
            progress_revision=progress.revision if progress is not None else 0,
        )

    def _hold_back(self, job_id: str, item: Item, error: DecodeError) -> None:
        self._rejections.report(
            Event.ENTRY_INVALID, item.key, str(error), revision=item.revision
        )
        if job_id not in self._scheduler.jobs:
            self._scheduler.held_back.add(job_id)
