"""Roster: the workers on which a shard's owner may have started a task.

The roster is written before the first start on a worker, so that the next owner knows
which workers to poll, including those that the platform no longer lists. It contains
only workers that have answered this owner: nothing is started on others, and the next
owner would wait for a listed worker that never answers.

It is written twice, in one transaction: as a list, which also earlier builds read, and
as groups, with the workers of previous owners that are not accounted for.
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
from trefoilhook.scheduling import Scheduler, list_unreleased
from trefoilhook.takeover import (
    Head,
    Member,
    WorkerGroups,
    count_groups,
    encode_head,
)

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


def _get_revision(item: Item | None) -> int:
    """Return the revision of a key; 0 if it does not exist."""
    return item.revision if item is not None else 0


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
        self._head: Head | None = None
        self._head_revision = 0
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

    def set_head_revision(self, revision: int) -> None:
        """Set the revision of the groups that a previous owner has written."""
        self._head_revision = revision

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
            if not self._settled:
                wanted = tuple(sorted({*wanted, *self.workers}))
            head = self._build_head()
            has_changed = wanted != self.workers or head != self._head
            if has_changed and not await self._write(wanted, head):
                await self._store.wait_for_retry(_RETRY_PAUSE_MS)
                continue
            await self._wake.wait()
            await self._clock.sleep_ms(_BATCH_WINDOW_MS)
            self._wake = trio.Event()

    def _build_head(self) -> Head | None:
        """Return the groups to be stored; None while no worker has answered."""
        scheduler = self._scheduler
        unreleased = list_unreleased(scheduler)
        members = {
            worker.incarnation: Member(
                name=worker.incarnation, address=worker.report.address
            )
            for worker in scheduler.workers.values()
            if worker.has_answered_token
        }
        if self._head is None:
            if not members:
                return None
            groups = WorkerGroups(epoch=self._ownership.epoch, count=1)
        else:
            groups = self._head.groups
            for member in groups.members.values():
                if member.name in unreleased:
                    members.setdefault(member.name, member)
        if not scheduler.has_group_starts:
            groups = groups.resize(count_groups(len(members)))
        predecessors = scheduler.predecessors
        inherited = (each.retain(unreleased) for each in predecessors.groups)
        is_open = not unreleased.isdisjoint(predecessors.unrecorded_workers)
        return Head(
            groups=groups.replace_members(members.values()),
            inherited=tuple(each for each in inherited if each.members),
            unrecorded_epoch=predecessors.unrecorded_epoch if is_open else None,
        )

    def _suspend_groups(self, head: Head | None) -> None:
        """Start nothing inside groups whose number is being changed in the store."""
        groups = self._scheduler.groups
        if (
            groups is not None
            and head is not None
            and groups.count != head.groups.count
        ):
            self._scheduler.groups = None

    async def _write(self, roster: tuple[str, ...], head: Head | None) -> bool:
        key = keys.roster_key(keys.SHARD)
        head_key = keys.groups_key(keys.SHARD)
        owner = keys.owner_key(keys.SHARD)
        preconditions = [
            Precondition(key=owner, revision=self._ownership.owner_revision),
            Precondition(key=key, revision=self._revision),
        ]
        puts = [Put(key=key, value=json.dumps(roster).encode())]
        if head is not None:
            preconditions.append(
                Precondition(key=head_key, revision=self._head_revision)
            )
            puts.append(Put(key=head_key, value=encode_head(head)))
        change = Transaction(preconditions=tuple(preconditions), puts=tuple(puts))
        self._suspend_groups(head)
        try:
            revision = await self._store.commit(change)
        except PreconditionError as error:
            current_items = {item.key: item for item in error.items}
            if owner not in current_items:
                self._ownership.ended.set()
                return False
            self._revision = _get_revision(current_items.get(key))
            if head is not None:
                self._head_revision = _get_revision(current_items.get(head_key))
            return False
        except StoreError:
            return False
        self._revision = revision
        self.workers = roster
        if head is not None:
            self._head_revision = revision
            self._head = head
            self._scheduler.groups = head.groups
        for name in roster:
            worker = self._scheduler.find_incarnation(name)
            if worker is not None:
                worker.is_in_roster = True
        self._notify()
        return True
