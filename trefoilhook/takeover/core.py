"""What previous owners may have started, and for whom a new owner's tasks wait.

A task waits only for the workers on which a previous owner may have started it: those
named by a place, those of its job's group in the groups of each previous epoch that may
have started tasks without a place, and, where a previous owner did not record its
starts, all workers that it used. Each worker is awaited until it is accounted for,
which other tasks do not wait for.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs

from trefoilhook.takeover.groups import Member, WorkerGroups

__all__ = ["Place", "Predecessors"]


@attrs.frozen(kw_only=True)
class Place:
    """The worker on which one attempt at a task may have been started.

    Parameters
    ----------
    task : str
        Id of the task.
    attempt : int
        Number of the attempt.
    worker : str
        Incarnation of the worker.
    """

    task: str
    attempt: int
    worker: str


@attrs.define(kw_only=True)
class _Blocked:
    """Tasks that wait for at least one of a set of workers."""

    everything: bool = False
    tasks: set[str] = attrs.Factory(set)
    groups: list[tuple[WorkerGroups, set[int]]] = attrs.Factory(list)

    def includes(self, task: str, job_id: str) -> bool:
        return (
            self.everything
            or task in self.tasks
            or any(
                groups.find_group(job_id) in numbers for groups, numbers in self.groups
            )
        )


class Predecessors:
    """Previous owners of a shard, as their successor knows them.

    Parameters
    ----------
    groups : iterable of WorkerGroups, optional
        Groups of each previous epoch, with the workers not accounted for by a later
        owner.
    places : iterable of Place, optional
        Recorded places that have not been removed.
    superseded : collection of (str, int), optional
        Task and attempt of those of them which were over before a later attempt at the
        task was started. Tasks that are never completed do not wait for them.
    unrecorded_epoch : int or None, optional
        Last epoch that may have started tasks without a record; None if there is none.
    unrecorded_workers : iterable of str, optional
        Incarnations on which it may have started any task.

    Attributes
    ----------
    awaited : set of str
        Incarnations that are not accounted for.
    expired : set of str
        Those of them on which all leases of previous owners have expired. They may
        still hold the end of a completed task.
    """

    def __init__(
        self,
        *,
        groups: Iterable[WorkerGroups] = (),
        places: Iterable[Place] = (),
        superseded: Collection[tuple[str, int]] = (),
        unrecorded_epoch: int | None = None,
        unrecorded_workers: Iterable[str] = (),
    ) -> None:
        self.groups = tuple(groups)
        self._relied_on = tuple(each for each in self.groups if not each.has_all_places)
        self.unrecorded_epoch = unrecorded_epoch
        self._unrecorded = frozenset(unrecorded_workers)
        self._last_epoch: dict[str, int] = {}
        self._members: dict[str, Member] = {}
        for each in self.groups:
            for member in each.members.values():
                known = self._last_epoch.get(member.name, 0)
                self._last_epoch[member.name] = max(known, each.epoch)
                self._members[member.name] = member
        self._tasks: dict[str, set[str]] = {}
        self._last_tasks: dict[str, set[str]] = {}
        for place in places:
            # A later owner removes a worker once everything there is accounted for.
            if place.worker not in self._members:
                continue
            self._tasks.setdefault(place.worker, set()).add(place.task)
            if (place.task, place.attempt) not in superseded:
                self._last_tasks.setdefault(place.worker, set()).add(place.task)
        self.awaited: set[str] = {*self._unrecorded, *self._last_epoch}
        self.expired: set[str] = set()
        self._blocked: dict[bool, _Blocked] = {}

    @property
    def unrecorded_workers(self) -> frozenset[str]:
        """Incarnations on which any task may have been started without a record."""
        return self._unrecorded

    def get_last_epoch(self, name: str, *, epoch: int) -> int:
        """Return the last epoch whose owner may have renewed leases on a worker.

        Parameters
        ----------
        name : str
            Incarnation of the worker.
        epoch : int
            Epoch of the current owner.
        """
        known = self._last_epoch.get(name)
        if name in self._unrecorded and self.unrecorded_epoch is not None:
            return max(known or 0, self.unrecorded_epoch)
        return known if known is not None else epoch - 1

    def list_awaited_epochs(self) -> set[int]:
        """Return the epochs whose leases may not have expired everywhere."""
        waiting = self.awaited - self.expired
        epochs = {self._last_epoch[name] for name in waiting & self._last_epoch.keys()}
        if self.unrecorded_epoch is not None and waiting & self._unrecorded:
            epochs.add(self.unrecorded_epoch)
        return epochs

    def knows(self, name: str) -> bool:
        """Return whether a previous owner may have left anything on a worker."""
        return name in self._last_epoch

    def get_address(self, name: str) -> str:
        """Return the address of a worker; empty if it is unknown."""
        member = self._members.get(name)
        return member.address if member is not None else ""

    def account(self, name: str) -> None:
        """Record that the outcome of everything started on a worker is known."""
        if name in self.awaited:
            self.awaited.discard(name)
            self.expired.discard(name)
            self._blocked.clear()

    def expire(self, name: str) -> None:
        """Record that all leases of previous owners on a worker have expired."""
        if name in self.awaited and name not in self.expired:
            self.expired.add(name)
            self._blocked.clear()

    def holds(self, task: str, job_id: str, *, never_ends: bool) -> bool:
        """Return whether a task must wait for an awaited worker.

        Parameters
        ----------
        task, job_id : str
            Id of the task and of its job.
        never_ends : bool
            Whether the task is never completed. It then only waits for the expiry of
            the leases, as no worker can hold its completion, and only where its last
            attempt may run.
        """
        return bool(self.awaited) and self._get_blocked(never_ends).includes(
            task, job_id
        )

    def list_awaited(self, task: str, job_id: str, *, never_ends: bool) -> list[str]:
        """Return the workers for which a task waits."""
        awaited = self._list_relevant(never_ends)
        tasks = self._last_tasks if never_ends else self._tasks
        names = {name for name in awaited if task in tasks.get(name, ())}
        names |= awaited & self._unrecorded
        for groups in self._relied_on:
            names |= awaited.intersection(groups.list_group(job_id))
        return sorted(names)

    def _list_relevant(self, never_ends: bool) -> set[str]:
        return self.awaited - self.expired if never_ends else self.awaited

    def _get_blocked(self, never_ends: bool) -> _Blocked:
        blocked = self._blocked.get(never_ends)
        if blocked is None:
            blocked = self._blocked[never_ends] = self._find_blocked(
                self._list_relevant(never_ends),
                self._last_tasks if never_ends else self._tasks,
            )
        return blocked

    def _find_blocked(
        self, awaited: set[str], tasks: Mapping[str, set[str]]
    ) -> _Blocked:
        blocked = _Blocked(everything=bool(awaited & self._unrecorded))
        for name in awaited:
            blocked.tasks |= tasks.get(name, set())
        for groups in self._relied_on:
            numbers = {
                slot % groups.count
                for slot, member in groups.members.items()
                if member.name in awaited
            }
            if numbers:
                blocked.groups.append((groups, numbers))
        return blocked
