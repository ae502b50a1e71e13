"""The workers on which a shard's owner may have started a task.

The roster is written before the first start on a worker, so that the next owner knows
where to look, also for a worker that the platform lists no more. It names only workers
that have answered this owner: nothing is started on others, and an entry of the list
that never answers would keep the next owner waiting for it.
"""

import json
from collections.abc import Callable

import trio

from trefoilhook.clock import Clock
from trefoilhook.decoding import check_text, parse_json
from trefoilhook.exceptions import DecodeError, StoreError
from trefoilhook.platform import (
    Expectation,
    Item,
    KeyValueStore,
    PreconditionError,
    Put,
    Transaction,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.ownership import Tenure
from trefoilhook.scheduling import Scheduler

__all__ = ["Roster"]

_RETRY_PAUSE_MS = 200.0
"""Pause after a write that failed, in ms."""

_GATHER_MS = 10.0
"""How long a write waits for more workers, in ms: a new owner's first looks are
answered within some 10 ms of each other, and one write names them all."""


def _decode_roster(data: bytes) -> tuple[str, ...]:
    rows = parse_json(data)
    if not isinstance(rows, list):
        raise DecodeError("not a list")
    return tuple(check_text(row, "worker") for row in rows)


class Roster:
    """Keeps the roster in the store.

    Parameters
    ----------
    store : KeyValueStore
        Where it is kept.
    clock : Clock
        Where time comes from.
    tenure : Tenure
        The ownership.
    scheduler : Scheduler
        Whose workers are meant.
    notify : callable
        Called once workers were added.

    Attributes
    ----------
    workers : tuple of str
        The roster as it stands in the store.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        tenure: Tenure,
        scheduler: Scheduler,
        notify: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._tenure = tenure
        self._scheduler = scheduler
        self._notify = notify
        self.workers: tuple[str, ...] = ()
        self._revision = 0
        self._settled = False
        self._wake = trio.Event()

    def take(self, item: Item | None) -> None:
        """Take in what the earlier owner left.

        Raises
        ------
        DecodeError
            If it can't be read. It is written anew then, in place of what stands there.
        """
        if item is None:
            return
        self._revision = item.revision
        self.workers = _decode_roster(item.value)

    def wake(self) -> None:
        """Have it compared with the workers that have answered."""
        self._wake.set()

    def settle(self) -> None:
        """Let go of workers that are gone: all that the earlier owner did is known."""
        self._settled = True
        self.wake()

    async def keep(self) -> None:
        """Write the workers as they answer, and go once it is settled, for good."""
        while True:
            workers = self._scheduler.workers
            wanted = tuple(sorted(i for i, worker in workers.items() if worker.fenced))
            if set(wanted) - set(self.workers) or (
                self._settled and wanted != self.workers
            ):
                if not self._settled:
                    wanted = tuple(sorted({*wanted, *self.workers}))
                if not await self._write(wanted):
                    await self._clock.sleep_ms(_RETRY_PAUSE_MS)
                    continue
            await self._wake.wait()
            await self._clock.sleep_ms(_GATHER_MS)
            self._wake = trio.Event()

    async def _write(self, roster: tuple[str, ...]) -> bool:
        key = keys.roster_key(keys.SHARD)
        owner = keys.owner_key(keys.SHARD)
        value = json.dumps(roster).encode()
        change = Transaction(
            expectations=(
                Expectation(key=owner, revision=self._tenure.owner_revision),
                Expectation(key=key, revision=self._revision),
            ),
            puts=(Put(key=key, value=value),),
        )
        try:
            self._revision = await self._store.commit(change)
        except PreconditionError as error:
            standing = {item.key: item for item in error.items}
            if owner not in standing:
                self._tenure.over.set()
                return False
            item = standing.get(key)
            self._revision = item.revision if item is not None else 0
            return False
        except StoreError:
            return False
        self.workers = roster
        for worker_id in roster:
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None:
                worker.rostered = True
        self._notify()
        return True
