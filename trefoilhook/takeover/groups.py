"""Groups of workers inside which an owner may start tasks without a record.

The groups of an epoch are written before its first start. A start on a worker of the
group of its job is therefore known to the next owner even if the store is unavailable
when it is sent.
"""

import zlib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs

__all__ = ["GROUP_SIZE", "Member", "WorkerGroups", "count_groups"]

GROUP_SIZE = 2
"""Number of workers in a group. A worker that does not answer the next owner delays the
tasks of all jobs of its group, so that the groups are small."""


@attrs.frozen(kw_only=True)
class Member:
    """A worker on which an owner may start tasks.

    Parameters
    ----------
    name : str
        Incarnation of the worker.
    address : str
        Host and port; another incarnation that answers there proves this one over.
    """

    name: str
    address: str


@attrs.frozen(kw_only=True)
class WorkerGroups:
    """Workers of one epoch and their groups.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that may start tasks on the workers.
    count : int
        Number of groups. It must not change while starts rely on the groups.
    members : mapping of int to Member
        Workers by slot. Slot and job id determine the group, modulo ``count``.
    has_all_places : bool
        Whether each start of the epoch has a place, so that nothing relies on the
        groups. It is only known at the end of an ownership that was given up.

    Attributes
    ----------
    by_name : mapping of str to Member
        Workers by incarnation.
    """

    epoch: int
    count: int
    members: Mapping[int, Member] = attrs.Factory(dict)
    has_all_places: bool = False
    by_name: Mapping[str, Member] = attrs.field(init=False, eq=False, repr=False)
    _slots: dict[str, int] = attrs.field(init=False, eq=False, repr=False)
    _end_slot: int = attrs.field(init=False, eq=False, repr=False)

    @by_name.default
    def _index_names(self) -> dict[str, Member]:
        return {member.name: member for member in self.members.values()}

    @_slots.default
    def _index_slots(self) -> dict[str, int]:
        return {member.name: slot for slot, member in self.members.items()}

    @_end_slot.default
    def _find_end_slot(self) -> int:
        return max(self.members, default=-1) + 1

    def find_group(self, job_id: str) -> int:
        """Return the group of a job."""
        return zlib.crc32(job_id.encode()) % self.count

    def list_group(self, job_id: str) -> list[str]:
        """Return the incarnations in the group of a job."""
        group = self.find_group(job_id)
        slots: Sequence[int] = range(group, self._end_slot, self.count)
        if self._end_slot // self.count > len(self.members):
            # A record in the store may have a slot of any size.
            slots = sorted(slot for slot in self.members if slot % self.count == group)
        return [self.members[slot].name for slot in slots if slot in self.members]

    def covers(self, job_id: str, name: str) -> bool:
        """Return whether a worker is in the group of a job."""
        slot = self._slots.get(name)
        return slot is not None and slot % self.count == self.find_group(job_id)

    def contains(self, name: str) -> bool:
        """Return whether an incarnation is a worker of any group."""
        return name in self._slots

    def list_names(self) -> set[str]:
        """Return the incarnations of all workers."""
        return set(self._slots)

    def retain(self, names: Iterable[str]) -> "WorkerGroups":
        """Return the same groups with only the workers in ``names``."""
        kept = set(names)
        return attrs.evolve(
            self,
            members={
                slot: member
                for slot, member in self.members.items()
                if member.name in kept
            },
        )

    def rearrange(
        self, count: int, locations: Mapping[str, Sequence[str]]
    ) -> "WorkerGroups":
        """Return ``count`` groups of the same workers, ordered by location.

        Few groups then span two failure domains, so that the loss of one delays only
        the tasks of the groups with workers in it.

        Parameters
        ----------
        count : int
            Number of groups.
        locations : mapping of str to sequence of str
            Failure domain of each incarnation, followed by smaller units within it.
        """
        members = sorted(
            self.members.values(),
            key=lambda member: (tuple(locations.get(member.name, ())), member.name),
        )
        slots: dict[int, Member] = {}
        sizes: Counter[int] = Counter()
        for number, member in enumerate(members):
            group = number * count // len(members)
            slots[group + sizes[group] * count] = member
            sizes[group] += 1
        return attrs.evolve(self, count=count, members=slots)

    def replace_members(self, members: Iterable[Member]) -> "WorkerGroups":
        """Return the same groups with exactly ``members``; those known keep their slot.

        Slots of removed workers are reused, which bounds the size of the groups.
        """
        wanted = {member.name: member for member in members}
        if wanted == self.by_name:
            return self
        slots = {
            slot: wanted.pop(member.name)
            for slot, member in self.members.items()
            if member.name in wanted
        }
        slot = 0
        for _, member in sorted(wanted.items()):
            while slot in slots:
                slot += 1
            slots[slot] = member
        return attrs.evolve(self, members=slots)


def count_groups(workers: int) -> int:
    """Return the number of groups for a number of workers."""
    return max(1, workers // GROUP_SIZE)
