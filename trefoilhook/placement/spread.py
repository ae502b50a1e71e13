"""How many services of a class each rack and failure domain holds."""

from collections import Counter

import attrs

from trefoilhook.placement.shapes import WorkerShape

__all__ = ["SpreadCounts", "SpreadKey", "count_service", "measure_crowding"]

_DOMAIN_PART = 0.7
_RACK_PART = 0.3


@attrs.frozen(kw_only=True, slots=True)
class SpreadKey:
    """A class of services at a place.

    Parameters
    ----------
    class_index : int
        Index of the class.
    place : str
        Failure domain, or failure domain and rack.
    """

    class_index: int
    place: str


@attrs.define(kw_only=True)
class SpreadCounts:
    """Services held, by class and place."""

    placed: Counter[SpreadKey] = attrs.field(factory=Counter)
    totals: Counter[int] = attrs.field(factory=Counter)


def _keys(class_index: int, worker: WorkerShape) -> tuple[SpreadKey, SpreadKey]:
    domain = SpreadKey(class_index=class_index, place=worker.failure_domain)
    rack = SpreadKey(
        class_index=class_index, place=f"{worker.failure_domain}/{worker.rack}"
    )
    return domain, rack


def count_service(
    counts: SpreadCounts, class_index: int, worker: WorkerShape, change: int
) -> None:
    """Add ``change`` to what a worker's rack and failure domain hold of a class."""
    for key in _keys(class_index, worker):
        counts.placed[key] += change
        if not counts.placed[key]:
            del counts.placed[key]
    counts.totals[class_index] += change


def measure_crowding(
    counts: SpreadCounts, class_index: int, worker: WorkerShape
) -> float:
    """Return what part of a class stands where a worker does, from 0 to 1."""
    total = counts.totals[class_index]
    if not total:
        return 0.0
    domain, rack = _keys(class_index, worker)
    weighted = _DOMAIN_PART * counts.placed[domain] + _RACK_PART * counts.placed[rack]
    return weighted / total
