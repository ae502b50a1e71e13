"""Which instance is left the shard: one that can carry its owner, if there is any."""

from trefoilhook.platform import InstanceSize

__all__ = ["compute_deference", "rate_instance"]

_OWNER_CORES = 1.6
"""Processor that an owner needs at its peak, in cores: that of 246 workers used 1.55 in
its busiest second, 0.7 on average."""

_OWNER_LINK_MBPS = 20.0
"""Link that an owner needs at its peak, in Mbit/s: twice what that of 246 workers sent
in its busiest second, 1.1 MB."""

_MARGIN = 0.05
"""Difference in fitness that is none: instances of one kind differ by rounding."""

_DEFERENCE_MS = 400.0
"""How long a vacant shard is left to fitter instances, in ms: instances start within
300 ms of each other, and a claim takes two calls of some 5 ms to the store."""


def rate_instance(size: InstanceSize) -> float:
    """Return which share of an owner's needs an instance can meet, 1 at most."""
    return min(1.0, size.cores / _OWNER_CORES, size.link_mbps / _OWNER_LINK_MBPS)


def compute_deference(fitness: float, best: float) -> float:
    """Return how long an instance leaves a vacant shard to fitter ones, in ms.

    Guards against an owner that is too small while a larger instance idles: it hears
    sound workers late or not at all, and what runs on them lapses. A shard whose fitter
    instances are all gone waits in vain, but no longer than this.

    Parameters
    ----------
    fitness : float
        Of the instance that asks.
    best : float
        Fitness of the fittest owner so far.
    """
    return _DEFERENCE_MS if best - fitness > _MARGIN else 0.0
