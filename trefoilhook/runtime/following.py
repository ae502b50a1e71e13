"""Following of keys in the store: list once, then watch from there."""

from collections.abc import Callable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import HistoryLostError, StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import Change, KeyValueStore, Listing

__all__ = ["WATCH_WAIT_MS", "follow"]

WATCH_WAIT_MS = 1000
"""How long a watch waits at the store, in ms. An open connection may go silent for
good; what it should have told is then learnt this and one timeout later, within the
3 s in which an instance has to be up to date again."""

_RETRY_PAUSE_MS = 200.0
"""Pause after a call that failed: five tries a second, an eightieth of the rate that
nine instances share with two watches each."""


def _ignore() -> None:
    """Do nothing."""


async def follow(
    store: KeyValueStore,
    clock: Clock,
    prefix: str,
    *,
    take_listing: Callable[[Listing], None],
    take_change: Callable[[Change], None],
    listing: Listing | None = None,
    note_read: Callable[[], None] | None = None,
    note_failure: Callable[[], None] | None = None,
) -> None:
    """Tell every change under a prefix, for good.

    Parameters
    ----------
    store : KeyValueStore
        Where the keys are.
    clock : Clock
        Where time comes from.
    prefix : str
        Beginning of the keys.
    take_listing : callable
        Called with all keys, at first and whenever changes may have been missed.
    take_change : callable
        Called with each change after that.
    listing : Listing, optional
        A listing that has been taken in already.
    note_read : callable, optional
        Called after each answer, once all that it told has been taken in.
    note_failure : callable, optional
        Called when a read failed, or changes may have been missed.
    """
    failed = note_failure or _ignore
    read = note_read or _ignore
    after = listing.as_of if listing is not None else None
    while True:
        try:
            if after is None:
                fresh = await store.list_items(prefix)
                take_listing(fresh)
                after = fresh.as_of
            batch = await store.watch(prefix, after=after, wait_ms=WATCH_WAIT_MS)
        except HistoryLostError:
            log_event(Event.HISTORY_LOST, prefix=prefix, after=after)
            after = None
            failed()
            continue
        except StoreError:
            failed()
            await clock.sleep_ms(_RETRY_PAUSE_MS)
            continue
        for change in batch.changes:
            take_change(change)
        after = batch.as_of
        read()
