"""Writes the places of an owner's starts to the store, before the starts are sent."""

from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.platform import (
    MAX_ROWS,
    KeyValueStore,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.takeover import PageWrite, PlaceLedger, encode_places

__all__ = ["PlaceWriter"]

_RETRY_PAUSE_MS = 100.0
"""Pause after a failed write, in ms."""

_WRITE_TIMEOUT_MS = 500.0
"""Timeout of a write, in ms. It is repeated as it was, and the store ninety times
slower than usual answers in 360 ms."""

_OTHER_ROWS = 3
"""Rows of a transaction besides the removals: two preconditions and the page."""


class PlaceWriter:
    """Writes one page at a time, for as long as starts wait for one.

    Parameters
    ----------
    store : KeyValueStore
        Store to write to.
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership under which the pages are written.
    ledger : PlaceLedger
        Places to write.
    notify : callable
        Called after each write.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        ownership: Ownership,
        ledger: PlaceLedger,
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ownership = ownership
        self._ledger = ledger
        self._notify = notify
        self._wake = trio.Event()

    def wake(self) -> None:
        """Signal that there may be places to write."""
        self._wake.set()

    async def run(self) -> None:
        """Write places as they are requested, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._write_all()

    async def _write_all(self) -> None:
        while True:
            write = self._ledger.build_write(
                self._clock.monotonic_ms(), max_removals=MAX_ROWS - _OTHER_ROWS
            )
            if write is None:
                return
            if await self._write(write):
                self._ledger.confirm()
                self._notify()
            else:
                await self._store.wait_for_retry(_RETRY_PAUSE_MS)

    async def _write(self, write: PageWrite) -> bool:
        """Write a page; return whether it is known to be in the store."""
        owner = Precondition(
            key=keys.owner_key(keys.SHARD), revision=self._ownership.owner_revision
        )
        key = keys.page_key(keys.SHARD, *write.name)
        value = encode_places(write.places, epoch=self._ownership.epoch)
        transaction = Transaction(
            preconditions=(owner, Precondition(key=key, revision=0)),
            puts=(Put(key=key, value=value),),
            removals=tuple(keys.page_key(keys.SHARD, *name) for name in write.removals),
        )
        try:
            await self._store.commit(transaction, timeout_ms=_WRITE_TIMEOUT_MS)
        except PreconditionError as error:
            current_items = {item.key: item for item in error.items}
            current_owner = current_items.get(owner.key)
            if current_owner is None or current_owner.revision != owner.revision:
                self._ownership.ended.set()
                return False
            page = current_items.get(key)
            if page is not None and page.value == value:
                # An earlier attempt took effect whose answer was lost.
                return True
            self._ledger.rename_write()
            return False
        except StoreError:
            return False
        return True
