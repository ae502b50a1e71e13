"""Roster: the workers on which a shard's owner may have started a task.

The roster is written before the first start on a worker, so that the next owner knows
which workers to poll, including those that the platform no longer lists. It contains
only workers that have answered this owner: nothing is started on others, and the next
owner would wait for a listed worker that never answers.
"""

import json
from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.decoding import check_string, parse_json
from trefoilhook.exceptions import DecodeError, StoreError
from trefoilhook.platform import (
    Item,
    KeyValueStore,
    Precondition,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.scheduling import Scheduler

__all__ = ["Roster"]

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed write, in ms."""

_BATCH_WINDOW_MS = 10.0
"""Time to collect more workers before a write, in ms. The first polls of a new owner
are answered within about 10 ms of each other, so that one write covers them all."""


def _decode_roster(data: bytes) -> tuple[str, ...]:
    rows = parse_json(data)
    if not isinstance(rows, list):
        raise DecodeError("not a list")
    return tuple(check_string(row, "worker") for row in rows)


class Roster:
    """Keeps the roster in the store up to date.

    Parameters
    ----------
    store : KeyValueStore
        Store of the roster.
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership under which the roster is written.
    scheduler : Scheduler
        State of the shard, with its workers.
    notify : callable
        Called after the roster has been written.

    Attributes
    ----------
    workers : tuple of str
        Incarnations listed in the stored roster.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        ownership: Ownership,
        scheduler: Scheduler,
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ownership = ownership
        self._scheduler = scheduler
        self._notify = notify
        self.workers: tuple[str, ...] = ()
        self._revision = 0
        self._settled = False
        self._wake = trio.Event()

    def load(self, item: Item | None) -> None:
        """Load the roster of the previous owner.

        Raises
        ------
        DecodeError
            If the value is unreadable. The next write then replaces it.
        """
        if item is None:
            return
        self._revision = item.revision
        self.workers = _decode_roster(item.value)

    def notify_change(self) -> None:
        """Request a comparison of the roster with the workers that have answered."""
        self._wake.set()

    def mark_settled(self) -> None:
        """Allow removals, once all effects of the previous owner are known."""
        self._settled = True
        self.notify_change()

    async def run(self) -> None:
        """Add workers as they answer and, once settled, remove those that are gone."""
        while True:
            workers = self._scheduler.workers.values()
            wanted = tuple(
                sorted(each.incarnation for each in workers if each.has_answered_token)
            )
            if set(wanted) - set(self.workers) or (
                self._settled and wanted != self.workers
            ):
                if not self._settled:
                    wanted = tuple(sorted({*wanted, *self.workers}))
                if not await self._write(wanted):
                    await self._store.wait_for_retry(_RETRY_PAUSE_MS)
                    continue
            await self._wake.wait()
            await self._clock.sleep_ms(_BATCH_WINDOW_MS)
            self._wake = trio.Event()

    async def _write(self, roster: tuple[str, ...]) -> bool:
        key = keys.roster_key(keys.SHARD)
        owner = keys.owner_key(keys.SHARD)
        value = json.dumps(roster).encode()
        change = Transaction(
            preconditions=(
                Precondition(key=owner, revision=self._ownership.owner_revision),
                Precondition(key=key, revision=self._revision),
            ),
            puts=(Put(key=key, value=value),),
        )
        try:
            self._revision = await self._store.commit(change)
        except PreconditionError as error:
            current_items = {item.key: item for item in error.items}
            if owner not in current_items:
                self._ownership.ended.set()
                return False
            item = current_items.get(key)
            self._revision = item.revision if item is not None else 0
            return False
        except StoreError:
            return False
        self.workers = roster
        for name in roster:
            worker = self._scheduler.find_incarnation(name)
            if worker is not None:
                worker.is_in_roster = True
        self._notify()
        return True
