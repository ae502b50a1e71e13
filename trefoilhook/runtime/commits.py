"""Writes a shard's changes to the store in batches.

Every transaction requires an unchanged owner key, so that a previous owner can't write,
and each row at its last known revision, so that an unanswered write that takes effect
late can't overwrite a newer one.
"""

from collections.abc import Callable, Iterable, Iterator

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
from trefoilhook.runtime.looptime import Work
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

_BACKLOG_BATCH_WINDOW_MS = 10.0
"""The same while changes are left from the batches before, in ms. It limits the calls
to half of the writes that the smallest store allows."""

_RETRY_PAUSE_MS = 150.0
"""Pause after a failed transaction, in ms."""

_MAX_PROGRESS_WRITES = 3
"""Maximum number of concurrent transactions without the end of a job. One at a time
would take as many round trips as there are batches of changed jobs, for which the
workers wait with their ends, and jobs with theirs."""

_MAX_WRITES = 5
"""Maximum number of concurrent transactions. Those over `_MAX_PROGRESS_WRITES` write
the ends of jobs, for which clients wait."""


_MAX_FLUSHES = 2
"""Number of times that the last changes of an ownership are written."""


def _count_rows(change: JobChange) -> int:
    """Return the number of rows that a change takes in a transaction."""
    return 2 + int(change.is_end) + int(change.is_first_start)


def _split(changes: Iterable[JobChange]) -> Iterator[list[JobChange]]:
    """Divide changes among transactions; each also has the owner's precondition."""
    batch: list[JobChange] = []
    rows = 1
    for change in changes:
        rows += _count_rows(change)
        if rows > MAX_ROWS:
            yield batch
            batch = []
            rows = 1 + _count_rows(change)
        batch.append(change)
    if batch:
        yield batch


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
        self._writing: set[JobState] = set()
        self._writes = 0
        self._waits: dict[trio.Event, Callable[[], bool]] = {}

    def wake(self) -> None:
        """Signal that there may be changes to write."""
        self._wake.set()

    def set_retention(self, lease: int) -> None:
        """Attach the records of jobs that end from now on to ``lease``."""
        self._retention_lease = lease

    async def run(self) -> None:
        """Write changes as they occur, until cancelled."""
        is_behind = False
        async with trio.open_nursery() as nursery:
            while True:
                if not self._can_write():
                    await self._wake.wait()
                self._wake = trio.Event()
                if not self._can_write():
                    continue
                await self._wait_for_batch(
                    _BACKLOG_BATCH_WINDOW_MS if is_behind else _PROGRESS_BATCH_WINDOW_MS
                )
                while changes := self._take_batch():
                    nursery.start_soon(self._run_write, changes, name=Work.RECORD)
                is_behind = not self._scheduler.dirty <= self._writing

    def _has_ends(self) -> bool:
        """Return whether the end of a job is to be written."""
        return any(
            not state.phase_saved and state not in self._writing
            for state in self._scheduler.dirty
        )

    def _can_write(self) -> bool:
        """Return whether there are changes that may be written now."""
        if self._writes >= _MAX_WRITES or self._scheduler.dirty <= self._writing:
            return False
        return self._writes < _MAX_PROGRESS_WRITES or self._has_ends()

    async def _wait_for_batch(self, window_ms: float) -> None:
        """Wait for more changes, but only briefly if a job has ended."""
        began_ms = self._clock.monotonic_ms()
        while not self._has_ends():
            remaining_ms = window_ms - (self._clock.monotonic_ms() - began_ms)
            if remaining_ms <= 0:
                return
            with trio.move_on_after(remaining_ms / 1000.0):
                await self._wake.wait()
            self._wake = trio.Event()
        await self._clock.sleep_ms(_END_BATCH_WINDOW_MS)

    def _take_batch(self) -> list[JobChange]:
        """Return the changes of the next transaction, ends first; none if it waits.

        A change of a job that is being written waits for that, as the next revision of
        its key is not known before.
        """
        if not self._can_write():
            return []
        changes = [
            change
            for change in collect_changes(self._scheduler)
            if change.state not in self._writing
        ]
        batch = next(_split(changes))
        self._writing.update(change.state for change in batch)
        self._writes += 1
        return batch

    async def _run_write(self, changes: list[JobChange]) -> None:
        try:
            await self._write(changes)
        finally:
            self._writes -= 1
            self._writing.difference_update(change.state for change in changes)
            self._wake.set()

    async def flush(self) -> None:
        """Write all pending changes, after `run` has been cancelled.

        A write that fails because an interrupted one has taken effect is repeated.
        """
        for _ in range(_MAX_FLUSHES):
            if self._scheduler.dirty:
                await self._write_all()

    async def _write_all(self) -> None:
        limiter = trio.CapacityLimiter(_MAX_WRITES)

        async def write(changes: list[JobChange]) -> None:
            async with limiter:
                await self._write(changes)

        async with trio.open_nursery() as nursery:
            for changes in _split(collect_changes(self._scheduler)):
                nursery.start_soon(write, changes)

    async def _write(self, changes: list[JobChange]) -> None:
        lease = self._retention_lease
        transaction = self._build(changes)
        try:
            revision = await self._store.commit(transaction)
        except PreconditionError as error:
            self._resolve(changes, {item.key: item for item in error.items})
            return
        except LeaseLostError:
            if self._retention_lease == lease:
                self._retention_lease = 0
            return
        except StoreError:
            await self._store.wait_for_retry(_RETRY_PAUSE_MS)
            return
        for change in changes:
            self._confirm(change, revision)
        self._notify_committed()

    async def wait_until(self, is_done: Callable[[], bool]) -> None:
        """Wait until ``is_done``, called after each write, returns True.

        Only the tasks whose wait is over are woken: hundreds of them may wait.
        """
        if is_done():
            return
        done = trio.Event()
        self._waits[done] = is_done
        try:
            await done.wait()
        finally:
            self._waits.pop(done, None)

    def _notify_committed(self) -> None:
        for done, is_done in list(self._waits.items()):
            if is_done():
                del self._waits[done]
                done.set()
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
