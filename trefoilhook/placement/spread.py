"""Number of services of each class per rack and failure domain."""

from collections import Counter

import attrs

from trefoilhook.placement.shapes import WorkerShape

__all__ = ["SpreadCounts", "SpreadKey", "compute_concentration", "count_service"]

_DOMAIN_WEIGHT = 0.7
_RACK_WEIGHT = 0.3


@attrs.frozen(kw_only=True, slots=True)
class SpreadKey:
    """A service class at a location.

    Parameters
    ----------
    class_index : int
        Index of the class.
    location : str
        Failure domain, or failure domain and rack.
    """

    class_index: int
    location: str


@attrs.define(kw_only=True)
class SpreadCounts:
    """Number of services, by class and location."""

    placed: Counter[SpreadKey] = attrs.field(factory=Counter)
    totals: Counter[int] = attrs.field(factory=Counter)


def _build_keys(class_index: int, worker: WorkerShape) -> tuple[SpreadKey, SpreadKey]:
    domain = SpreadKey(class_index=class_index, location=worker.failure_domain)
    rack = SpreadKey(
        class_index=class_index, location=f"{worker.failure_domain}/{worker.rack}"
    )
    return domain, rack


def count_service(
    counts: SpreadCounts, class_index: int, worker: WorkerShape, change: int
) -> None:
    """Add ``change`` to a class's counts for a worker's rack and failure domain."""
    for key in _build_keys(class_index, worker):
        counts.placed[key] += change
        if not counts.placed[key]:
            del counts.placed[key]
    counts.totals[class_index] += change


def compute_concentration(
    counts: SpreadCounts, class_index: int, worker: WorkerShape
) -> float:
    """Return the weighted share of a class at a worker's location, from 0 to 1."""
    total = counts.totals[class_index]
    if not total:
        return 0.0
    domain, rack = _build_keys(class_index, worker)
    weighted = (
        _DOMAIN_WEIGHT * counts.placed[domain] + _RACK_WEIGHT * counts.placed[rack]
    )
    return weighted / total
