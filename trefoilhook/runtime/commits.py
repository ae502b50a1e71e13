"""Writing of a shard's decisions into the store, many in one transaction.

Every transaction expects the owner's key unchanged, so that a former owner writes
nothing any more, and expects each row at the revision last known, so that a write
whose answer was lost and that is carried out late can't undo a newer one.
"""

from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError, LeaseLostError, StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    MAX_ROWS,
    Expectation,
    Item,
    KeyValueStore,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
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

_END_WINDOW_MS = 5.0
"""How long the end of a job waits for others: a round trip to the store is 6 ms, and
its client's objective runs on until it is written."""

_PROGRESS_WINDOW_MS = 40.0
"""How long progress waits for more. A worker answers a look at once while it has ends
that aren't acknowledged, so a longer window costs looks: 24 workers were looked at 530
times a second with 700 ms."""

_RETRY_PAUSE_MS = 150.0
"""Pause after a transaction without an answer."""

_ROWS_PER_CHANGE = 5
"""Most rows of one change: an expectation, a value and two removals, and one spare."""


class Committer:
    """Writes what a scheduler wants to last.

    Parameters
    ----------
    store : KeyValueStore
        Where it is written.
    clock : Clock
        Where time comes from.
    scheduler : Scheduler
        Whose changes are written.
    owner_revision : int
        Revision of the owner's key.
    depose : callable
        Called when the owner's key has changed.
    notify : callable
        Called after changes were written.

    Attributes
    ----------
    saved : trio.Event
        Set, and replaced, whenever changes were written.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        scheduler: Scheduler,
        owner_revision: int,
        depose: Callable[[], None],
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._scheduler = scheduler
        self._owner = Expectation(
            key=keys.owner_key(keys.SHARD), revision=owner_revision
        )
        self._depose = depose
        self._notify = notify
        self._retention_lease = 0
        self._wake = trio.Event()
        self._sent: dict[str, bytes] = {}
        self.saved = trio.Event()

    def wake(self) -> None:
        """Have it look for changes."""
        self._wake.set()

    def set_retention(self, lease: int) -> None:
        """Have ended jobs removed with ``lease``."""
        self._retention_lease = lease

    async def run(self) -> None:
        """Write changes as they come, for good."""
        while True:
            if not self._scheduler.dirty:
                await self._wake.wait()
            self._wake = trio.Event()
            await self._gather()
            await self.flush()

    async def _gather(self) -> None:
        """Wait for more changes, the longer the less urgent they are."""
        began = self._clock.monotonic_ms()
        while not any(not state.phase_saved for state in self._scheduler.dirty):
            left = _PROGRESS_WINDOW_MS - (self._clock.monotonic_ms() - began)
            if left <= 0:
                return
            with trio.move_on_after(left / 1000.0):
                await self._wake.wait()
            self._wake = trio.Event()
        await self._clock.sleep_ms(_END_WINDOW_MS)

    async def flush(self) -> None:
        """Write all changes that there are now."""
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
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            return
        for change in changes:
            self._confirm(change, revision)
        self._tell()

    def _tell(self) -> None:
        self.saved.set()
        self.saved = trio.Event()
        self._notify()

    def _build(self, changes: list[JobChange]) -> Transaction:
        expectations = [self._owner]
        puts: list[Put] = []
        removals: list[str] = []
        for change in changes:
            job = change.state.job
            progress = keys.progress_key(keys.SHARD, job.job_id)
            if change.is_end:
                key = keys.job_key(keys.SHARD, job.job_id)
                expectations.append(
                    Expectation(key=key, revision=change.state.revision)
                )
                value = encode_job_record(change.state.record())
                puts.append(Put(key=key, value=value, lease=self._retention_lease))
                removals.append(progress)
            else:
                revision = change.state.progress_revision
                expectations.append(Expectation(key=progress, revision=revision))
                value = encode_progress(change.state.progress)
                puts.append(Put(key=progress, value=value))
                self._sent[job.job_id] = value
            if change.is_first_start:
                removals.append(keys.waiting_key(keys.SHARD, job.queue, job.job_id))
        return Transaction(
            expectations=tuple(expectations),
            puts=tuple(puts),
            removals=tuple(removals),
        )

    def _confirm(self, change: JobChange, revision: int) -> None:
        state = change.state
        self._sent.pop(state.job.job_id, None)
        confirm_change(self._scheduler, change, revision=revision)
        if change.is_end:
            log_event(
                Event.JOB_FINISHED,
                job=state.job.job_id,
                queue=state.job.queue,
                phase=state.phase.value,
                revision=revision,
                **self._tell_lateness(state),
            )

    def _tell_lateness(self, state: JobState) -> dict[str, int]:
        """Return a job's objective and by how much it was missed, for its last line."""
        if state.queue is None:
            return {}
        objective_ms = state.queue.compute_objective(state.job)
        if objective_ms is None:
            return {}
        spent_ms = self._clock.wall_ms() - state.job.accepted_ms
        return {
            "objective_ms": round(objective_ms),
            "late_ms": round(spent_ms - objective_ms),
        }

    def _resolve(self, changes: list[JobChange], items: dict[str, Item]) -> None:
        """Find out which row stands otherwise, after a transaction was refused."""
        owner = items.get(self._owner.key)
        if owner is None or owner.revision != self._owner.revision:
            self._depose()
            return
        for change in changes:
            job_id = change.state.job.job_id
            if change.is_end:
                self._resolve_end(change, items.get(keys.job_key(keys.SHARD, job_id)))
            else:
                item = items.get(keys.progress_key(keys.SHARD, job_id))
                self._resolve_progress(change, item)
        self._tell()

    def _resolve_end(self, change: JobChange, item: Item | None) -> None:
        state = change.state
        if item is None:
            # Its record ran out of its retention: it had been written before.
            self._confirm(change, state.revision)
            return
        if item.revision == state.revision:
            return
        try:
            phase = decode_job_record(item.value).phase
        except DecodeError:
            # Another writer's: the end is known here, and goes in its place.
            state.revision = item.revision
            return
        if phase is JobPhase.CANCELLED and state.phase is not phase:
            self._scheduler.cancel_job(state.job.job_id, revision=item.revision)
        elif phase is state.phase:
            # An earlier copy of this transaction whose answer was lost.
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
