"""Refusing at once what can never run, with what would have to change."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from trefoilhook.placement.decisions import Impossible, ImpossibleReason
from trefoilhook.placement.health import fails_everywhere
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.resources import Resources
from trefoilhook.placement.shapes import TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["find_impossible"]

_BYTES_PER_GIB = 2**30


def find_impossible(
    state: "ShardState", task: TaskShape, policy: Policy
) -> Impossible | None:
    """Return why a task can never run, or nothing if it can.

    Notes
    -----
    Only whole workers are compared with the declared size, whatever they hold now. A
    shard without workers refuses nothing: it can't know what the fleet has.
    """
    if fails_everywhere(state, task.task_id, policy):
        failed_on = sorted(state.histories[task.task_id].failed_on)
        return Impossible(
            reason=ImpossibleReason.FAILS_EVERYWHERE,
            declared=_describe(task.resources),
            limit=", ".join(failed_on),
        )
    capacities = state.capacities
    if not capacities or any(task.resources.fits_in(size) for size in capacities):
        return None
    largest = _find_largest(capacities)
    return Impossible(
        reason=_name_excess(task.resources, largest),
        declared=_describe(task.resources),
        limit=_describe(largest),
    )


def _find_largest(sizes: Iterable[Resources]) -> Resources:
    listed = list(sizes)
    return Resources(
        cores=max(size.cores for size in listed),
        memory_bytes=max(size.memory_bytes for size in listed),
        accelerators=max(size.accelerators for size in listed),
    )


def _name_excess(wanted: Resources, largest: Resources) -> ImpossibleReason:
    if wanted.cores > largest.cores:
        return ImpossibleReason.TOO_MANY_CORES
    if wanted.memory_bytes > largest.memory_bytes:
        return ImpossibleReason.TOO_MUCH_MEMORY
    if wanted.accelerators > largest.accelerators:
        return ImpossibleReason.TOO_MANY_ACCELERATORS
    return ImpossibleReason.NO_SUCH_WORKER


def _describe(amount: Resources) -> str:
    memory_gib = amount.memory_bytes / _BYTES_PER_GIB
    return (
        f"{amount.cores:g} cores, {memory_gib:.1f} GiB, "
        f"{amount.accelerators} accelerators"
    )
