"""Workers that had left as planned before a takeover, by the history of their entries.

A worker that has left runs nothing any more, so that none of its leases has to expire.
The platform removes its entry at once, and that of a worker that fell silent only some
time after its last write.
"""

from collections.abc import Callable, Iterable, Sequence

import trio

from trefoilhook.exceptions import DecodeError, HistoryLostError, StoreError
from trefoilhook.platform import (
    WORKER_PREFIX,
    Change,
    KeyValueStore,
    decode_worker_report,
)
from trefoilhook.runtime.revisions import RevisionLog
from trefoilhook.scheduling import get_worker_id, name_incarnation

__all__ = ["find_departures", "has_left"]

_MAX_ENTRIES = 128
"""Maximum number of entries whose history is read at a takeover. All instances share a
limit of some hundreds of reads a second."""

_CONCURRENT_READS = 8
"""Number of histories read at the same time."""

_MAX_ATTEMPTS = 3
"""Maximum number of attempts to read a history."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed read, in ms."""

_MAX_GAP_FRACTION = 5 / 6
"""Maximum time between the last write and the removal of an entry, as a fraction of the
time for which the entry of a silent worker stays. The remainder, half an interval
between its writes, covers clocks that run 2 % slow and a write that took effect late.
"""


async def find_departures(
    store: KeyValueStore,
    names: Iterable[str],
    *,
    revisions: RevisionLog,
    entry_life_ms: float,
    take_departure: Callable[[str], None],
) -> None:
    """Read the histories of entries that are gone, and report which workers left.

    Parameters
    ----------
    store : KeyValueStore
        Store of the entries.
    names : iterable of str
        Incarnations without an entry.
    revisions : RevisionLog
        Times of changes in the store.
    entry_life_ms : float
        Time for which the entry of a silent worker stays in the store, in ms.
    take_departure : callable
        Called with each incarnation that is proved to have left.
    """
    after = revisions.oldest_revision
    if after is None:
        return
    limiter = trio.CapacityLimiter(_CONCURRENT_READS)

    async def check(name: str) -> None:
        async with limiter:
            changes = await _read_history(store, get_worker_id(name), after=after)
        if has_left(name, changes, revisions=revisions, entry_life_ms=entry_life_ms):
            take_departure(name)

    async with trio.open_nursery() as nursery:
        for name in sorted(names)[:_MAX_ENTRIES]:
            nursery.start_soon(check, name)


async def _read_history(
    store: KeyValueStore, worker_id: str, *, after: int
) -> list[Change]:
    """Return the changes of an entry, in order; none if they can't be read."""
    key = WORKER_PREFIX + worker_id
    for _ in range(_MAX_ATTEMPTS):
        try:
            changes = await store.watch(key, after=after, wait_ms=0)
        except HistoryLostError:
            return []
        except StoreError:
            await store.wait_for_retry(_RETRY_PAUSE_MS)
            continue
        # The id may be the beginning of another one.
        return [change for change in changes.changes if change.key == key]
    return []


def has_left(
    name: str,
    changes: Sequence[Change],
    *,
    revisions: RevisionLog,
    entry_life_ms: float,
) -> bool:
    """Return whether the history of its entry proves that an incarnation has left.

    Parameters
    ----------
    name : str
        The incarnation.
    changes : sequence of Change
        Changes of its entry, in order.
    revisions : RevisionLog
        Times of changes in the store.
    entry_life_ms : float
        Time for which the entry of a silent worker stays in the store, in ms.

    Notes
    -----
    Only a worker that was draining leaves as planned. Its entry must have been removed
    before that of a silent worker would have been, also if its last write was made as
    early, and the removal as late, as this instance can tell.
    """
    if len(changes) < 2:
        return False
    last_write, removal = changes[-2:]
    if last_write.item is None or removal.item is not None:
        return False
    try:
        report = decode_worker_report(last_write.item.key, last_write.item.value)
    except DecodeError:
        # Logged as such when it was the entry of a worker in use.
        return False
    if not report.draining or name != name_incarnation(
        report.worker_id, report.born_ms
    ):
        return False
    gap_ms = revisions.find_latest_ms(removal.revision) - revisions.find_earliest_ms(
        last_write.revision
    )
    return gap_ms < _MAX_GAP_FRACTION * entry_life_ms
