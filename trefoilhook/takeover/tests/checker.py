"""Breadth-first search of all histories of a `World`, up to a depth."""

import time

import attrs

from trefoilhook.takeover.tests.world import JOB_ID, TASKS, FaultError, Settings, World

__all__ = ["Result", "explore"]


@attrs.frozen(kw_only=True)
class Result:
    """Outcome of a search.

    Parameters
    ----------
    states : int
        Number of different states.
    depth : int
        Number of moves up to which all histories were explored.
    is_whole : bool
        Whether no history is longer.
    story : tuple of str
        Shortest history that ends in a fault; empty without one.
    """

    states: int
    depth: int
    is_whole: bool
    story: tuple[str, ...] = ()


def explore(settings: Settings, *, max_depth: int = 1000, max_s: float = 1e9) -> Result:
    """Explore the histories of a world.

    Parameters
    ----------
    settings : Settings
        What may happen.
    max_depth : int, optional
        Number of moves.
    max_s : float, optional
        Time after which no further depth is begun, in s.
    """
    start = World(settings)
    begun_s = time.monotonic()
    origins: dict[int, tuple[int, str]] = {}
    first = hash(start.key())
    origins[first] = (first, "")
    level = [(first, start)]
    depth = 0
    while level and depth < max_depth and time.monotonic() - begun_s < max_s:
        following = []
        for origin, world in level:
            for line, move in world.list_moves():
                other = world.clone()
                try:
                    move(other)
                    key = hash(other.key())
                    if key in origins:
                        continue
                    check(other)
                except FaultError as fault:
                    story = (*tell(origins, origin), line, f"FAULT: {fault}")
                    return Result(
                        states=len(origins), depth=depth, is_whole=False, story=story
                    )
                origins[key] = (origin, line)
                following.append((key, other))
        level = following
        depth += 1
    return Result(states=len(origins), depth=depth, is_whole=not level)


def check(world: World) -> None:
    """Raise `FaultError` if tasks wait for nobody, or rows are not bounded."""
    for owner in world.owners.values():
        if owner.is_checked:
            continue
        owner.is_checked = True
        predecessors = owner.predecessors
        for task in TASKS:
            for never_ends in (False, True):
                names = predecessors.list_awaited(task, JOB_ID, never_ends=never_ends)
                holds = predecessors.holds(task, JOB_ID, never_ends=never_ends)
                if holds != bool(names):
                    raise FaultError(f"{task} waits, but for {names}")
                if not predecessors.awaited.issuperset(names):
                    raise FaultError(
                        f"{task} waits for a worker accounted for: {names}"
                    )
        if owner.ledger.page_count > len(owner.ledger._page_of) + 3:
            raise FaultError("pages are not removed")


def tell(origins: dict[int, tuple[int, str]], key: int) -> list[str]:
    """Return the history that led to a state."""
    lines = []
    while origins[key][0] != key:
        key, line = origins[key]
        lines.append(line)
    return lines[::-1]
