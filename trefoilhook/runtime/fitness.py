"""Preference for instances with enough resources to own the shard."""

from trefoilhook.platform import InstanceSize

__all__ = ["compute_claim_delay", "compute_fitness"]

_OWNER_CORES = 1.6
"""Peak processor use of an owner, in cores. An owner of 246 workers uses 1.55 cores in
its busiest second and 0.7 on average."""

_OWNER_LINK_MBPS = 20.0
"""Peak bandwidth of an owner, in Mbit/s: twice the 1.1 MB that an owner of 246 workers
sends in its busiest second."""

_MARGIN = 0.05
"""Largest difference at which two instances count as equally fit. Instances of one type
differ by rounding."""

_CLAIM_DELAY_MS = 400.0
"""Delay of a claim in favour of fitter instances, in ms. Instances start within 300 ms
of each other, and a claim takes two calls to the store of about 5 ms each."""


def compute_fitness(size: InstanceSize) -> float:
    """Return the fraction of an owner's resource needs that an instance meets.

    The scarcest resource decides; the maximum is 1.
    """
    return min(1.0, size.cores / _OWNER_CORES, size.link_mbps / _OWNER_LINK_MBPS)


def compute_claim_delay(fitness: float, best: float) -> float:
    """Return how long an instance delays its claim to a vacant shard, in ms.

    An owner that is too small processes the answers of healthy workers late or not at
    all, so that their task leases expire. The delay lets a larger idle instance claim
    first; if there is none, it is the only cost.

    Parameters
    ----------
    fitness : float
        Fitness of the claiming instance.
    best : float
        Fitness of the fittest owner so far.
    """
    return _CLAIM_DELAY_MS if best - fitness > _MARGIN else 0.0
