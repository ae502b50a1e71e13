r"""Breadth-first search of all histories of a `World`, up to a depth.

By hand, with what may happen as arguments, for instance::

    python -m trefoilhook.takeover.tests.checker owners=3 second=0 births=1 \
        --without R6 --depth 12 --seconds 600

What is not named is a world of three owners and two tasks without other faults than
the loss of owners, orders and leases.
"""

import argparse
import contextlib
import gc
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from trefoilhook.takeover import Predecessors
from trefoilhook.takeover.tests.world import (
    GUARDS,
    JOB_ID,
    TASKS,
    FaultError,
    Settings,
    World,
)

__all__ = ["Result", "build_settings", "explore", "main", "render"]

_QUIET = {
    "fails": 0,
    "births": 0,
    "unlistings": 0,
    "lost_answers": 0,
    "late_writes": 0,
    "leaves": 0,
}


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
    moves : int
        Number of moves made.
    story : tuple of str
        Shortest history that ends in a fault; empty without one.
    """

    states: int
    depth: int
    is_whole: bool
    moves: int = 0
    story: tuple[str, ...] = ()


def build_settings(
    changes: Mapping[str, int], *, without: Iterable[str] = ()
) -> Settings:
    """Return settings without faults, but for ``changes``.

    Parameters
    ----------
    changes : mapping of str to int
        Settings by name; ``old`` stands for ``is_first_old``.
    without : iterable of str, optional
        Guards to take out.

    Raises
    ------
    ValueError
        If there is no such guard.
    """
    taken = frozenset(without)
    if not taken <= GUARDS:
        raise ValueError(f"no such guard: {sorted(taken - GUARDS)}")
    values: dict[str, int] = {**_QUIET, **changes}
    return Settings(
        without=taken, is_first_old=bool(values.pop("old", 0)), **_as_flags(values)
    )


def _as_flags(values: Mapping[str, int]) -> dict[str, int]:
    flags = ("never_ends", "second", "same_id", "resigns", "limits")
    return {key: bool(each) if key in flags else each for key, each in values.items()}


def render(result: Result) -> str:
    """Return a result as text, with its story in numbered lines."""
    extent = "whole" if result.is_whole else f"up to {result.depth} moves"
    lines = [f"{result.states} states, {result.moves} moves made, {extent}"]
    lines += [f"{number:2} {line}" for number, line in enumerate(result.story, 1)]
    return "\n".join(lines)


@contextlib.contextmanager
def _pause_collection() -> Iterator[None]:
    """Spare the collector the worlds, which hold no cycles."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


@_pause_collection()
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
    depth = moves = 0
    while level and depth < max_depth and time.monotonic() - begun_s < max_s:
        following = []
        for origin, world in level:
            for line, move in world.list_moves():
                other = world.clone()
                moves += 1
                try:
                    move(other)
                    key = hash(other.key())
                    if key in origins:
                        continue
                    check(other)
                except FaultError as fault:
                    story = (*tell(origins, origin), line, f"FAULT: {fault}")
                    return Result(
                        states=len(origins),
                        depth=depth,
                        is_whole=False,
                        moves=moves,
                        story=story,
                    )
                origins[key] = (origin, line)
                following.append((key, other))
        level = following
        depth += 1
    return Result(states=len(origins), depth=depth, is_whole=not level, moves=moves)


def check(world: World) -> None:
    """Raise `FaultError` if tasks wait for nobody, or rows are not bounded."""
    for owner in world.owners.values():
        if owner.ledger.page_count > owner.ledger.recorded_count + 3:
            raise FaultError("pages are not removed")
        # A copy of an owner waits for the same workers.
        if not owner.is_checked:
            owner.is_checked = True
            _check_waits(owner.predecessors)


def _check_waits(predecessors: Predecessors) -> None:
    for task in TASKS:
        for never_ends in (False, True):
            names = predecessors.list_awaited(task, JOB_ID, never_ends=never_ends)
            holds = predecessors.holds(task, JOB_ID, never_ends=never_ends)
            if holds != bool(names):
                raise FaultError(f"{task} waits, but for {names}")
            if not predecessors.awaited.issuperset(names):
                raise FaultError(f"{task} waits for a worker accounted for: {names}")


def tell(origins: dict[int, tuple[int, str]], key: int) -> list[str]:
    """Return the history that led to a state."""
    lines = []
    while origins[key][0] != key:
        key, line = origins[key]
        lines.append(line)
    return lines[::-1]


def main(arguments: Sequence[str] | None = None) -> None:
    """Explore a world by hand, and print what was found."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("settings", nargs="*", help="for instance owners=3")
    parser.add_argument("--without", action="append", default=[], help="a guard")
    parser.add_argument("--depth", type=int, default=1000, help="number of moves")
    parser.add_argument(
        "--seconds", type=float, default=1e9, help="begin no depth then"
    )
    chosen = parser.parse_args(arguments)
    changes = {
        name: int(value)
        for name, _, value in (each.partition("=") for each in chosen.settings)
    }
    begun_s = time.monotonic()
    result = explore(
        build_settings(changes, without=chosen.without),
        max_depth=chosen.depth,
        max_s=chosen.seconds,
    )
    print(render(result))
    print(f"{time.monotonic() - begun_s:.1f} s")


if __name__ == "__main__":
    main()
