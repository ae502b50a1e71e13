"""Strategies that determine which workers a task waits for after a takeover."""

import random
from collections.abc import Callable, Collection

import attrs

from bench.succession.world import JobCase, Placement, World, hash_group
from trefoilhook.scheduling import TaskId

__all__ = ["STRATEGIES", "Strategy"]

_GROUP_SIZE = 8
"""Number of workers in a group, for the strategy that starts the tasks of a job only in
the groups of the job."""

_GROUPS_PER_JOB = 2

Awaited = Callable[[World, JobCase, TaskId], Collection[int]]


@attrs.frozen(kw_only=True)
class Strategy:
    """Determines which workers a task waits for after a takeover.

    Parameters
    ----------
    name : str
        Name.
    find_awaited : callable
        Returns the numbers of the workers on which a task may have been started.
    place, place_unrecorded : callable or None
        Chooses the worker of a task that is started with or without a record; None for
        any worker, or if starts without a record are not permitted.
    reads_record : bool
        Whether a takeover reads the recorded placements.
    trusts_inputs : bool
        Whether a step waits for no worker if one of its inputs was seen running.
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

    Groups are consecutive workers in the order of their failure domains, so that few
    groups span two failure domains.
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


def _await_recorded(world: World, case: JobCase, task: TaskId) -> Collection[int]:
    number = world.recorded.get(task)
    return () if number is None else (number,)


def _list_hashed_group(size: int, group_size: int, job_id: str) -> range:
    count = _count_groups(size, group_size)
    return _list_members(size, count, hash_group(job_id, count))


def _await_recorded_and_group(group_size: int) -> Awaited:
    def find_awaited(world: World, case: JobCase, task: TaskId) -> Collection[int]:
        group = _list_hashed_group(len(world.workers), group_size, case.job.job_id)
        return {*_await_recorded(world, case, task), *group}

    return find_awaited


def _place_in_hashed_group(size: int, group_size: int) -> Placement:
    def place(case: JobCase, generator: random.Random) -> int:
        return generator.choice(
            list(_list_hashed_group(size, group_size, case.job.job_id))
        )

    return place


def _build_record_with_groups(size: int, group_size: int) -> Strategy:
    return Strategy(
        name=f"record, groups of {group_size}",
        find_awaited=_await_recorded_and_group(group_size),
        place_unrecorded=_place_in_hashed_group(size, group_size),
        reads_record=True,
    )


def _place_anywhere(size: int) -> Placement:
    def place(case: JobCase, generator: random.Random) -> int:
        return generator.randrange(size)

    return place


STRATEGIES: dict[str, Callable[[int], Strategy]] = {
    "today": lambda size: Strategy(
        name="today", find_awaited=_await_all, place_unrecorded=_place_anywhere(size)
    ),
    "evidence": lambda size: Strategy(
        name="evidence",
        find_awaited=_await_all,
        place_unrecorded=_place_anywhere(size),
        trusts_inputs=True,
    ),
    "groups": lambda size: Strategy(
        name="groups",
        find_awaited=_await_groups,
        place=_place_in_groups(size),
        place_unrecorded=_place_in_groups(size),
    ),
    "record": lambda size: Strategy(
        name="record", find_awaited=_await_recorded, reads_record=True
    ),
    "record, groups of 2": lambda size: _build_record_with_groups(size, 2),
    "record, groups of 8": lambda size: _build_record_with_groups(size, 8),
}
"""Builders of the strategies by name; each takes the number of workers."""
