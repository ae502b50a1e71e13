"""Follows the keys under a prefix in the store: a listing, then watches from there."""

import enum
from collections.abc import Callable, Iterable

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    HistoryLostError,
    StoreAnswerBrokenError,
    StoreError,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import Change, Changes, KeyValueStore, Listing
from trefoilhook.runtime.second_attempts import read_with_second_attempt

__all__ = ["WATCH_WAIT_MS", "KeyRead", "ReadKind", "follow"]

WATCH_WAIT_MS = 1000
"""Time for which a watch waits for changes, in ms. If a connection stops responding,
its changes are read again after this time and one timeout, within the 3 s in which an
instance must be up to date again."""

_SHORT_WAIT_MS = 500
"""Time for which a watch waits after one that returned changes, in ms. An answer with
changes confirms less than one without, so that the next one must come sooner."""

_OVERDUE_AFTER_MS = 400.0
"""Time after the end of a watch's wait after which its connection may be dead, in ms. A
store ninety times slower than usual answers in 360 ms."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed call, in ms. Five attempts per second are an eightieth of the
rate limit, which nine instances with two watches each share."""


class ReadKind(enum.Enum):
    """How keys were read."""

    LISTING = "listing"
    """A listing of all keys, at the start or after a lost history."""

    WATCH = "watch"
    """A watch that waited for changes."""

    POLL = "poll"
    """A read that did not wait, for example after a failed watch."""


@attrs.frozen(kw_only=True)
class KeyRead:
    """A read of the followed keys.

    Parameters
    ----------
    kind : ReadKind
        How they were read.
    confirmed_ms : float
        Monotonic time up to which all changes are known, in ms. It does not depend on
        how late the process handled the answer.
    """

    kind: ReadKind
    confirmed_ms: float


@attrs.define(kw_only=True, eq=False)
class _WatchReceipt:
    """Receipt of the answer to a watch.

    Parameters
    ----------
    clock : Clock
        Time source.
    received_ms : float or None
        When its latest part was received, in ms; None before.
    """

    clock: Clock
    received_ms: float | None = None

    def note(self) -> None:
        """Record that a part was received."""
        self.received_ms = self.clock.monotonic_ms()

    @property
    def is_under_way(self) -> bool:
        """Whether the answer is being received."""
        if self.received_ms is None:
            return False
        return self.clock.monotonic_ms() - self.received_ms < _OVERDUE_AFTER_MS


async def _watch(
    store: KeyValueStore,
    prefix: str,
    *,
    clock: Clock,
    after: int,
    wait_ms: int,
) -> Changes:
    """Watch keys; if the answer is overdue, also ask over a new connection."""
    receipt = _WatchReceipt(clock=clock)
    return await read_with_second_attempt(
        lambda is_second: store.watch(
            prefix,
            after=after,
            wait_ms=0 if is_second else wait_ms,
            note_received=None if is_second else receipt.note,
        ),
        connections=store,
        overdue_ms=wait_ms + _OVERDUE_AFTER_MS,
        is_final=lambda error: isinstance(error, HistoryLostError),
        is_receiving=lambda: receipt.is_under_way,
    )


def _drop_superseded(changes: Iterable[Change]) -> list[Change]:
    """Return the changes without writes of keys that the next change writes again.

    A write before a removal is kept, as it may tell why the key was removed.
    """
    kept: list[Change] = []
    is_written_next: dict[str, bool] = {}
    for change in reversed(list(changes)):
        is_write = change.item is not None
        if not (is_write and is_written_next.get(change.key, False)):
            kept.append(change)
        is_written_next[change.key] = is_write
    return kept[::-1]


def _ignore() -> None:
    """Do nothing."""


def _ignore_read(read: KeyRead) -> None:
    """Do nothing."""


async def follow(
    store: KeyValueStore,
    prefix: str,
    *,
    clock: Clock,
    take_listing: Callable[[Listing], None],
    take_change: Callable[[Change], None],
    listing: Listing | None = None,
    note_read: Callable[[KeyRead], None] | None = None,
    note_failure: Callable[[], None] | None = None,
    collect_ms: float = 0.0,
) -> None:
    """Report every change under a prefix, until cancelled.

    Parameters
    ----------
    store : KeyValueStore
        Store of the keys.
    prefix : str
        Prefix of the keys.
    clock : Clock
        Time source.
    take_listing : callable
        Called with all keys, initially and whenever changes may have been missed.
    take_change : callable
        Called with each subsequent change.
    listing : Listing, optional
        Listing that has already been applied, to watch from.
    note_read : callable, optional
        Called after each answer, once its changes have been applied.
    note_failure : callable, optional
        Called when a read failed or changes may have been missed.
    collect_ms : float, optional
        Minimum time between two watches that return changes, in ms, in which changes
        collect. Of writes of a key in a row only the last one is then reported. Without
        it, a key that changes all the time is read as often as the store answers.
    """
    failed = note_failure or _ignore
    note = note_read or _ignore_read
    after: int | None = None
    if listing is not None:
        after = listing.as_of
        note(KeyRead(kind=ReadKind.LISTING, confirmed_ms=clock.monotonic_ms()))
    wait_ms = WATCH_WAIT_MS
    while True:
        try:
            if after is None:
                sent_ms = clock.monotonic_ms()
                current = await store.list_items(prefix)
                take_listing(current)
                after = current.as_of
                note(KeyRead(kind=ReadKind.LISTING, confirmed_ms=sent_ms))
            sent_ms = clock.monotonic_ms()
            batch = await _watch(
                store, prefix, clock=clock, after=after, wait_ms=wait_ms
            )
        except HistoryLostError:
            log_event(Event.HISTORY_LOST, prefix=prefix, after=after)
            after = None
            failed()
            continue
        except StoreError as error:
            failed()
            if isinstance(error, StoreAnswerBrokenError):
                # The missed changes may be too many to be received; the current items
                # are fewer.
                after = None
            # Starts may be delayed until an answer shows that all changes are known.
            wait_ms = 0
            await store.wait_for_retry(_RETRY_PAUSE_MS)
            continue
        for change in _drop_superseded(batch.changes) if collect_ms else batch.changes:
            take_change(change)
        after = batch.as_of
        # A watch without changes was answered at the end of its wait.
        waited_ms = 0.0 if batch.changes else float(wait_ms)
        confirmed_ms = min(sent_ms + waited_ms, clock.monotonic_ms())
        kind = ReadKind.WATCH if wait_ms else ReadKind.POLL
        wait_ms = _SHORT_WAIT_MS if batch.changes else WATCH_WAIT_MS
        note(KeyRead(kind=kind, confirmed_ms=confirmed_ms))
        pause_ms = sent_ms + collect_ms - clock.monotonic_ms()
        if batch.changes and pause_ms > 0.0:
            await clock.sleep_ms(pause_ms)
