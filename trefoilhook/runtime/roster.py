"""Roster: the workers on which a shard's owner may have started a task.

The roster is written before the first start on a worker, so that the next owner knows
which workers to poll, including those that the platform no longer lists. It contains
only workers that have answered this owner: nothing is started on others, and the next
owner would wait for a listed worker that never answers.

It is written twice, in one transaction: as a list, which also earlier builds read, and
as groups, with the workers of previous owners that are not accounted for.
"""

import json
from collections.abc import Callable, Mapping

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.decoding import check_string, parse_json
from trefoilhook.exceptions import DecodeError, StoreError, StoreUnavailableError
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
from trefoilhook.scheduling import (
    Scheduler,
    are_starts_recorded,
    limit_leases,
    list_unreleased,
)
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

_ELAPSED_STEP_MS = 1000
"""Interval at which the elapsed part of a wait for leases is written, in ms."""

_MAX_REMOVALS = 24
"""Maximum number of damaged keys removed with one write."""

_MAX_HANDOVER_WRITES = 2
"""Number of attempts to write the groups at the end of an ownership. The first one
fails if the write that the end interrupted is carried out."""

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
        self._unanswered_heads: list[Head] = []
        self._damaged_keys: tuple[str, ...] = ()
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

    def set_recorded(
        self, *, head_revision: int, damaged_keys: tuple[str, ...]
    ) -> None:
        """Set what previous owners have recorded.

        Parameters
        ----------
        head_revision : int
            Revision of their groups; 0 if there are none.
        damaged_keys : tuple of str
            Keys to remove once the shard is settled.
        """
        self._head_revision = head_revision
        self._damaged_keys = damaged_keys

    def contains(self, name: str) -> bool:
        """Return whether the stored groups contain an incarnation for certain.

        A write without an answer may have taken effect.
        """
        heads = [self._head, *self._unanswered_heads]
        return all(head is not None and head.groups.contains(name) for head in heads)

    def limits_leases(self, name: str) -> bool:
        """Return whether the stored groups may limit the leases on an incarnation."""
        heads = [self._head, *self._unanswered_heads]
        return any(head is not None and name in head.lease_limits for head in heads)

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
            members = self._list_members()
            names = members.keys() if self._settled else {*members, *self.workers}
            wanted = tuple(sorted(names))
            head = self._build_head(members)
            has_changed = (
                wanted != self.workers
                or head != self._head
                or bool(self._unanswered_heads)
                or (self._settled and bool(self._damaged_keys))
                or self._has_outdated_limits(head)
            )
            if has_changed and not await self._write(wanted, head):
                await self._store.wait_for_retry(_RETRY_PAUSE_MS)
                continue
            await self._wake.wait()
            await self._clock.sleep_ms(_BATCH_WINDOW_MS)
            self._wake = trio.Event()

    async def hand_over(self) -> None:
        """Record that each start has a place, once this owner sends no more starts.

        The next owner then holds only the tasks with a place on an awaited worker,
        instead of all jobs whose group contains one. This does not apply to starts of
        earlier epochs, whose groups keep what their own owners recorded.
        """
        if not are_starts_recorded(self._scheduler):
            return
        for _ in range(_MAX_HANDOVER_WRITES):
            # Rounding would lose up to one step of the elapsed time at each handover.
            head = self._build_head(self._list_members(), has_exact_times=True)
            if head is None or self._head is None:
                return
            groups = attrs.evolve(head.groups, has_all_places=True)
            head = attrs.evolve(head, groups=groups)
            if await self._write(self.workers, head):
                return

    def _build_head(
        self, answering: Mapping[str, Member], *, has_exact_times: bool = False
    ) -> Head | None:
        """Return the groups to be stored; None while no worker has answered.

        ``answering`` holds the workers that have answered, by incarnation. Times are
        rounded to steps unless ``has_exact_times``, so that the head rarely changes.
        """
        scheduler = self._scheduler
        now_ms = self._clock.monotonic_ms()
        unreleased = list_unreleased(scheduler)
        members = dict(answering)
        if self._head is None:
            if not members:
                return None
            groups = WorkerGroups(epoch=self._ownership.epoch, count=1)
        else:
            groups = self._head.groups
            for member in groups.members.values():
                if member.name in unreleased:
                    members.setdefault(member.name, member)
        groups = groups.replace_members(members.values())
        count = count_groups(len(members))
        if count != groups.count and not scheduler.has_group_starts:
            groups = groups.rearrange(count, self._list_locations())
        predecessors = scheduler.predecessors
        inherited = (each.retain(unreleased) for each in predecessors.groups)
        is_open = not unreleased.isdisjoint(predecessors.unrecorded_workers)
        return Head(
            groups=groups,
            inherited=tuple(each for each in inherited if each.members),
            unrecorded_epoch=predecessors.unrecorded_epoch if is_open else None,
            elapsed_ms={
                epoch: self._measure_elapsed(
                    epoch, 1 if has_exact_times else _ELAPSED_STEP_MS
                )
                for epoch in predecessors.list_awaited_epochs()
            },
            lease_limits=limit_leases(scheduler, now_ms, step_ms=1.0)
            if has_exact_times
            else limit_leases(scheduler, now_ms),
        )

    def _list_members(self) -> dict[str, Member]:
        """Return the workers that have answered, by incarnation.

        The stored member of an unchanged worker is used again, as comparing it with
        itself takes no time.
        """
        stored = self._head.groups.by_name if self._head is not None else {}
        members: dict[str, Member] = {}
        for worker in self._scheduler.workers.values():
            if not worker.has_answered_token:
                continue
            name, address = worker.incarnation, worker.report.address
            member = stored.get(name)
            if member is None or member.address != address:
                member = Member(name=name, address=address)
            members[name] = member
        return members

    def _has_outdated_limits(self, head: Head | None) -> bool:
        """Return whether a write without effect has left leases limited."""
        if head is None:
            return False
        return any(
            worker.is_lease_limited
            and head.groups.contains(worker.incarnation)
            and worker.incarnation not in head.lease_limits
            for worker in self._scheduler.workers.values()
        )

    def _list_locations(self) -> dict[str, tuple[str, ...]]:
        """Return the failure domain and labels, such as the rack, by incarnation."""
        return {
            worker.incarnation: (worker.report.failure_domain, *worker.report.labels)
            for worker in self._scheduler.workers.values()
        }

    def _measure_elapsed(self, epoch: int, step_ms: int) -> int:
        """Return how long ago an epoch had ended, in whole steps, in ms."""
        elapsed_ms = self._clock.monotonic_ms() - self._ownership.find_end(epoch)
        return step_ms * int(max(0.0, elapsed_ms) // step_ms)

    def _announce(self, head: Head) -> None:
        """Do nothing that contradicts what may be in the store from now on.

        These are starts on workers that the groups do not contain, starts without a
        place while the number of groups changes, and leases beyond their limits.
        """
        self._unanswered_heads.append(head)
        names = head.groups.list_names()
        for worker in self._scheduler.workers.values():
            if worker.incarnation not in names:
                worker.is_in_roster = False
            if worker.incarnation in head.lease_limits:
                worker.is_lease_limited = True
        groups = self._scheduler.groups
        if groups is not None and groups.count != head.groups.count:
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
        removals = self._damaged_keys[:_MAX_REMOVALS] if self._settled else ()
        change = Transaction(
            preconditions=tuple(preconditions), puts=tuple(puts), removals=removals
        )
        if head is not None:
            self._announce(head)
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
                self._unanswered_heads.pop()
            return False
        except StoreError as error:
            has_no_effect = not isinstance(error, StoreUnavailableError) or (
                error.is_proved_unsent
            )
            if head is not None and has_no_effect:
                self._unanswered_heads.pop()
            return False
        self._revision = revision
        self._damaged_keys = self._damaged_keys[len(removals) :]
        self.workers = roster
        if head is not None:
            self._head_revision = revision
            self._confirm(head)
        self._notify()
        return True

    def _confirm(self, head: Head) -> None:
        self._head = head
        self._unanswered_heads.clear()
        self._scheduler.groups = head.groups
        for name in head.groups.list_names():
            worker = self._scheduler.find_incarnation(name)
            if worker is not None:
                worker.is_in_roster = True
                worker.is_lease_limited = name in head.lease_limits
