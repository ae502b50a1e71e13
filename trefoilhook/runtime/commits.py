"""Writes a shard's changes to the store in batches.

Every transaction requires an unchanged owner key, so that a previous owner can't write,
and each row at its last known revision, so that an unanswered write that takes effect
late can't overwrite a newer one.
"""

from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError, LeaseLostError, StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    MAX_ROWS,
    Item,
    KeyValueStore,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.jobtimes import describe_stages
from trefoilhook.runtime.latejobs import describe_size, describe_wait
from trefoilhook.scheduling import (
    JobChange,
    JobPhase,
    JobState,
    Scheduler,
    collect_changes,
    confirm_change,
    decode_job_record,
    encode_job_record,
    encode_progress,
)

__all__ = ["Committer"]

_END_BATCH_WINDOW_MS = 5.0
"""Time to collect more changes before the end of a job is written, in ms. A round trip
to the store takes 6 ms, and the job's latency counts until its end is stored."""

_PROGRESS_BATCH_WINDOW_MS = 40.0
"""Time to collect more changes before progress is written, in ms. A worker with
unacknowledged ends answers each poll immediately, so a longer window causes more polls:
with 700 ms, 24 workers are polled 530 times a second."""

_RETRY_PAUSE_MS = 150.0
"""Pause after a failed transaction, in ms."""

_ROWS_PER_CHANGE = 5
"""Maximum rows of one change: a precondition, a value, two removals and one spare."""


class Committer:
    """Writes the persistent changes of a scheduler.

    Parameters
    ----------
    store : KeyValueStore
        Store to write to.
    clock : Clock
        Time source.
    scheduler : Scheduler
        Source of the changes.
    owner_revision : int
        Revision of the owner's key.
    on_ownership_lost : callable
        Called when the owner's key has changed.
    notify : callable
        Called after changes have been written.

    Attributes
    ----------
    committed : trio.Event
        Set, and replaced by a new event, whenever changes have been written.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        scheduler: Scheduler,
        owner_revision: int,
        on_ownership_lost: Callable[[], None],
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._scheduler = scheduler
        self._owner = Precondition(
            key=keys.owner_key(keys.SHARD), revision=owner_revision
        )
        self._on_ownership_lost = on_ownership_lost
        self._notify = notify
        self._retention_lease = 0
        self._wake = trio.Event()
        self._sent: dict[str, bytes] = {}
        self.committed = trio.Event()

    def wake(self) -> None:
        """Signal that there may be changes to write."""
        self._wake.set()

    def set_retention(self, lease: int) -> None:
        """Attach the records of jobs that end from now on to ``lease``."""
        self._retention_lease = lease

    async def run(self) -> None:
        """Write changes as they occur, until cancelled."""
        while True:
            if not self._scheduler.dirty:
                await self._wake.wait()
            self._wake = trio.Event()
            await self._wait_for_batch()
            await self.flush()

    async def _wait_for_batch(self) -> None:
        """Wait for more changes, but only briefly if a job has ended."""
        began_ms = self._clock.monotonic_ms()
        while not any(not state.phase_saved for state in self._scheduler.dirty):
            remaining_ms = _PROGRESS_BATCH_WINDOW_MS - (
                self._clock.monotonic_ms() - began_ms
            )
            if remaining_ms <= 0:
                return
            with trio.move_on_after(remaining_ms / 1000.0):
                await self._wake.wait()
            self._wake = trio.Event()
        await self._clock.sleep_ms(_END_BATCH_WINDOW_MS)

    async def flush(self) -> None:
        """Write all pending changes."""
        changes = collect_changes(self._scheduler)
        size = (MAX_ROWS - 1) // _ROWS_PER_CHANGE
        for begin in range(0, len(changes), size):
            await self._write(changes[begin : begin + size])

    async def _write(self, changes: list[JobChange]) -> None:
        transaction = self._build(changes)
        try:
            revision = await self._store.commit(transaction)
        except PreconditionError as error:
            self._resolve(changes, {item.key: item for item in error.items})
            return
        except LeaseLostError:
            self._retention_lease = 0
            return
        except StoreError:
            await self._store.wait_for_retry(_RETRY_PAUSE_MS)
            return
        for change in changes:
            self._confirm(change, revision)
        self._notify_committed()

    def _notify_committed(self) -> None:
        self.committed.set()
        self.committed = trio.Event()
        self._notify()

    def _build(self, changes: list[JobChange]) -> Transaction:
        preconditions = [self._owner]
        puts: list[Put] = []
        removals: list[str] = []
        for change in changes:
            job = change.state.job
            progress = keys.progress_key(keys.SHARD, job.job_id)
            if change.is_end:
                key = keys.job_key(keys.SHARD, job.job_id)
                preconditions.append(
                    Precondition(key=key, revision=change.state.revision)
                )
                value = encode_job_record(change.state.record())
                puts.append(Put(key=key, value=value, lease=self._retention_lease))
                removals.append(progress)
            else:
                revision = change.state.progress_revision
                preconditions.append(Precondition(key=progress, revision=revision))
                value = encode_progress(change.state.progress)
                puts.append(Put(key=progress, value=value))
                self._sent[job.job_id] = value
            if change.is_first_start:
                removals.append(keys.waiting_key(keys.SHARD, job.queue, job.job_id))
        return Transaction(
            preconditions=tuple(preconditions),
            puts=tuple(puts),
            removals=tuple(removals),
        )

    def _confirm(self, change: JobChange, revision: int) -> None:
        state = change.state
        self._sent.pop(state.job.job_id, None)
        confirm_change(self._scheduler, change, revision=revision)
        if change.is_end:
            wait = self._scheduler.overtaking.remove(state.job.job_id)
            lateness = self._describe_lateness(state)
            log_event(
                Event.JOB_FINISHED,
                job=state.job.job_id,
                queue=state.job.queue,
                phase=state.phase.value,
                revision=revision,
                **lateness,
                **describe_size(state.job),
                **(describe_wait(wait) if wait is not None else {}),
                **self._describe_times(state, is_late=lateness.get("late_ms", 0) > 0),
            )

    def _describe_times(self, state: JobState, *, is_late: bool) -> dict[str, int]:
        """Return where the time of a completed job went, for the log."""
        times = self._scheduler.times
        if state.phase is not JobPhase.COMPLETED:
            times.forget(state.job.job_id)
            return {}
        spent = times.finish(state, now_ms=self._clock.monotonic_ms(), is_late=is_late)
        return describe_stages(spent.by_stage) if spent is not None else {}

    def _describe_lateness(self, state: JobState) -> dict[str, int]:
        """Return a job's latency objective and its lateness, for the log."""
        queue = state.accepted_queue or state.queue
        if queue is None:
            return {}
        objective_ms = queue.compute_objective(state.job)
        if objective_ms is None:
            return {}
        spent_ms = self._clock.wall_ms() - state.job.accepted_ms
        return {
            "objective_ms": round(objective_ms),
            "late_ms": round(spent_ms - objective_ms),
        }

    def _resolve(self, changes: list[JobChange], items: dict[str, Item]) -> None:
        """Update the known revisions after a transaction's preconditions failed."""
        owner = items.get(self._owner.key)
        if owner is None or owner.revision != self._owner.revision:
            self._on_ownership_lost()
            return
        for change in changes:
            job_id = change.state.job.job_id
            if change.is_end:
                self._resolve_end(change, items.get(keys.job_key(keys.SHARD, job_id)))
            else:
                item = items.get(keys.progress_key(keys.SHARD, job_id))
                self._resolve_progress(change, item)
        self._notify_committed()

    def _resolve_end(self, change: JobChange, item: Item | None) -> None:
        state = change.state
        if item is None:
            # The end had been written before, and the record's retention has expired.
            self._confirm(change, state.revision)
            return
        if item.revision == state.revision:
            return
        try:
            phase = decode_job_record(item.value).phase
        except DecodeError:
            # Overwritten by another writer. The next attempt replaces it with the end.
            state.revision = item.revision
            return
        if phase is JobPhase.CANCELLED and state.phase is not phase:
            self._scheduler.cancel_job(state.job.job_id, revision=item.revision)
        elif phase is state.phase:
            # Written by an earlier attempt of this transaction whose answer was lost.
            self._confirm(change, item.revision)
        else:
            state.revision = item.revision

    def _resolve_progress(self, change: JobChange, item: Item | None) -> None:
        state = change.state
        revision = item.revision if item is not None else 0
        if revision == state.progress_revision:
            return
        if item is not None and item.value == self._sent.get(state.job.job_id):
            self._confirm(change, revision)
        else:
            state.progress_revision = revision
