"""Ways to determine which workers a task waits for after a takeover."""

import random
from collections.abc import Callable, Collection

import attrs

from bench.succession.world import JobCase, Placement, World, hash_group
from trefoilhook.scheduling import TaskId

__all__ = ["WAYS", "Way"]

_GROUP_SIZE = 8
"""Workers of a group, and groups of a job, if every start keeps to its job's groups."""

_GROUPS_PER_JOB = 2

Awaited = Callable[[World, JobCase, TaskId], Collection[int]]


@attrs.frozen(kw_only=True)
class Way:
    """A way to determine which workers a task waits for.

    Parameters
    ----------
    name : str
        Name.
    find_awaited : callable
        Returns the numbers of the workers on which a task may be.
    place, place_unrecorded : callable or None
        Where its owner starts tasks, with and without a record; None for anywhere.
    reads_record : bool
        Whether a takeover reads the recorded places.
    trusts_inputs : bool
        Whether a step waits for nobody if an input of it was seen running.
    """

    name: str
    find_awaited: Awaited
    place: Placement | None = None
    place_unrecorded: Placement | None = None
    reads_record: bool = False
    trusts_inputs: bool = False


def _await_all(world: World, case: JobCase, task: TaskId) -> Collection[int]:
    return range(len(world.workers))


def _count_groups(size: int, group_size: int) -> int:
    return max(1, size // group_size)


def _list_job_groups(case: JobCase, count: int) -> list[int]:
    generator = random.Random(case.job.job_id)
    return generator.sample(range(count), min(_GROUPS_PER_JOB, count))


def _list_members(size: int, count: int, group: int) -> range:
    """Return the workers of a group.

    Groups are cut from the workers in the order of their failure domains, so that few
    groups have members in two of them.
    """
    return range(-(-group * size // count), -(-(group + 1) * size // count))


def _await_groups(world: World, case: JobCase, task: TaskId) -> Collection[int]:
    size = len(world.workers)
    count = _count_groups(size, _GROUP_SIZE)
    return [
        number
        for group in _list_job_groups(case, count)
        for number in _list_members(size, count, group)
    ]


def _place_in_groups(size: int) -> Placement:
    count = _count_groups(size, _GROUP_SIZE)

    def place(case: JobCase, generator: random.Random) -> int:
        group = generator.choice(_list_job_groups(case, count))
        return generator.choice(_list_members(size, count, group))

    return place


def _await_row(world: World, case: JobCase, task: TaskId) -> Collection[int]:
    row = world.rows.get(task)
    return () if row is None else (row,)


def _list_own_group(size: int, group_size: int, job_id: str) -> range:
    count = _count_groups(size, group_size)
    return _list_members(size, count, hash_group(job_id, count))


def _await_row_and_group(group_size: int) -> Awaited:
    def find_awaited(world: World, case: JobCase, task: TaskId) -> Collection[int]:
        group = _list_own_group(len(world.workers), group_size, case.job.job_id)
        return {*_await_row(world, case, task), *group}

    return find_awaited


def _place_in_own_group(size: int, group_size: int) -> Placement:
    def place(case: JobCase, generator: random.Random) -> int:
        return generator.choice(
            list(_list_own_group(size, group_size, case.job.job_id))
        )

    return place


def _build_record_with_groups(size: int, group_size: int) -> Way:
    return Way(
        name=f"record, groups of {group_size}",
        find_awaited=_await_row_and_group(group_size),
        place_unrecorded=_place_in_own_group(size, group_size),
        reads_record=True,
    )


def _place_anywhere(size: int) -> Placement:
    def place(case: JobCase, generator: random.Random) -> int:
        return generator.randrange(size)

    return place


WAYS: dict[str, Callable[[int], Way]] = {
    "today": lambda size: Way(
        name="today", find_awaited=_await_all, place_unrecorded=_place_anywhere(size)
    ),
    "evidence": lambda size: Way(
        name="evidence",
        find_awaited=_await_all,
        place_unrecorded=_place_anywhere(size),
        trusts_inputs=True,
    ),
    "groups": lambda size: Way(
        name="groups",
        find_awaited=_await_groups,
        place=_place_in_groups(size),
        place_unrecorded=_place_in_groups(size),
    ),
    "record": lambda size: Way(
        name="record", find_awaited=_await_row, reads_record=True
    ),
    "record, groups of 2": lambda size: _build_record_with_groups(size, 2),
    "record, groups of 8": lambda size: _build_record_with_groups(size, 8),
}
"""Ways by name, for a number of workers."""
