"""Detection of tasks that can never run, with the requirement that cannot be met."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from trefoilhook.placement.decisions import Impossible, ImpossibleReason
from trefoilhook.placement.health import fails_everywhere
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.resources import Resources
from trefoilhook.placement.shapes import TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["check_feasibility"]

_BYTES_PER_GIB = 2**30


def check_feasibility(
    state: "ShardState", task: TaskShape, policy: Policy
) -> Impossible | None:
    """Return why a task can never run, or None if it can.

    Notes
    -----
    The declared resources are compared with the total capacity of each worker,
    regardless of current usage. A shard without workers refuses nothing, as the sizes
    of the workers are not known yet.
    """
    if fails_everywhere(state, task.task_id, policy):
        failed_on = sorted(state.histories[task.task_id].failed_on)
        return Impossible(
            reason=ImpossibleReason.FAILS_EVERYWHERE,
            declared=_format_resources(task.resources),
            limit=", ".join(failed_on),
        )
    capacities = state.capacities
    if not capacities or any(task.resources.fits_in(size) for size in capacities):
        return None
    largest = _find_largest(capacities)
    return Impossible(
        reason=_find_exceeded_limit(task.resources, largest),
        declared=_format_resources(task.resources),
        limit=_format_resources(largest),
    )


def _find_largest(sizes: Iterable[Resources]) -> Resources:
    listed = list(sizes)
    return Resources(
        cores=max(size.cores for size in listed),
        memory_bytes=max(size.memory_bytes for size in listed),
        accelerators=max(size.accelerators for size in listed),
    )


def _find_exceeded_limit(requested: Resources, largest: Resources) -> ImpossibleReason:
    if requested.cores > largest.cores:
        return ImpossibleReason.TOO_MANY_CORES
    if requested.memory_bytes > largest.memory_bytes:
        return ImpossibleReason.TOO_MUCH_MEMORY
    if requested.accelerators > largest.accelerators:
        return ImpossibleReason.TOO_MANY_ACCELERATORS
    return ImpossibleReason.NO_SUCH_WORKER


def _format_resources(amount: Resources) -> str:
    memory_gib = amount.memory_bytes / _BYTES_PER_GIB
    return (
        f"{amount.cores:g} cores, {memory_gib:.1f} GiB, "
        f"{amount.accelerators} accelerators"
    )
