"""Selection of the executor, and thus of the owner, for a request."""

import random
from collections.abc import Sequence

import attrs

from trefoilhook.requests.admission import ServiceLoad

__all__ = ["Candidate", "PeerLoads", "ReportedLoad", "Route", "choose_route"]


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """Load of an executor as last reported by its owner.

    Parameters
    ----------
    sender_id : str
        Instance that sent the report.
    received_ms : float
        Time of receipt on the local monotonic clock, in ms.
    slots : int
        Number of slots of the executor.
    in_use : int
        Number of slots in use.
    queued : int
        The executor's share of the requests queued at the owner.
    is_usable : bool
        Whether the owner would send requests to the executor.
    """

    sender_id: str
    received_ms: float
    slots: int
    in_use: int
    queued: int
    is_usable: bool


@attrs.frozen(kw_only=True)
class Candidate:
    """An executor owned by another instance.

    Parameters
    ----------
    executor_id : str
        ID of the executor.
    owner_id : str
        Instance that owns it.
    free : int
        Estimated number of free slots.
    queued_per_slot : float
        Estimated number of queued requests per slot.
    is_same_domain : bool
        Whether it is in the failure domain of this instance.
    is_known : bool
        Whether its owner recently reported it as usable.
    """

    executor_id: str
    owner_id: str
    free: int
    queued_per_slot: float
    is_same_domain: bool
    is_known: bool = True


@attrs.frozen(kw_only=True)
class Route:
    """Destination of a request.

    Parameters
    ----------
    owner_id : str
        Instance that owns the executor; empty for this instance.
    executor_id : str
        ID of the selected executor; empty if this instance is the owner.
    """

    owner_id: str = ""
    executor_id: str = ""


@attrs.define(kw_only=True, eq=False)
class PeerLoads:
    """Latest load summaries of the executors owned by other instances.

    Parameters
    ----------
    max_age_ms : float
        Age beyond which a summary is ignored, in ms.

    Notes
    -----
    Requests sent by this instance are added to the summary that was current when they
    were sent, so that requests within one interval do not all select the same executor.
    """

    max_age_ms: float
    _loads: dict[str, ReportedLoad] = attrs.field(factory=dict, init=False)
    _sent: dict[str, int] = attrs.field(factory=dict, init=False)

    def replace(self, loads: dict[str, ReportedLoad], *, sender_id: str) -> None:
        """Replace the previous summary of a peer."""
        for executor_id, load in list(self._loads.items()):
            if load.sender_id == sender_id:
                del self._loads[executor_id]
                self._sent.pop(executor_id, None)
        self._loads.update(loads)

    def find(
        self, executor_id: str, *, owner_id: str, now_ms: float
    ) -> ReportedLoad | None:
        """Return the load that the owner of an executor reported, unless outdated."""
        load = self._loads.get(executor_id)
        if load is None or load.sender_id != owner_id:
            return None
        if now_ms - load.received_ms > self.max_age_ms:
            return None
        return load

    def count_sent(self, executor_id: str) -> int:
        """Return the number of requests sent since the latest summary."""
        return self._sent.get(executor_id, 0)

    def record_sent(self, executor_id: str) -> ReportedLoad | None:
        """Count a sent request and return the load report that it was added to."""
        self._sent[executor_id] = self.count_sent(executor_id) + 1
        return self._loads.get(executor_id)

    def record_ended(self, executor_id: str, load: ReportedLoad | None) -> None:
        """Remove a finished request from the load report that it was added to.

        Owners send no new summary while nothing changes. Without this correction,
        short requests would accumulate and make an idle executor appear full.
        """
        if self._loads.get(executor_id) is load and self.count_sent(executor_id):
            self._sent[executor_id] -= 1


def _sample_two(
    candidates: Sequence[Candidate], generator: random.Random
) -> Sequence[Candidate]:
    if len(candidates) <= 2:
        return candidates
    return generator.sample(candidates, 2)


def choose_route(
    *,
    own: ServiceLoad | None,
    candidates: Sequence[Candidate],
    generator: random.Random,
) -> Route | None:
    """Select the destination of a request.

    Executors of this instance with a free slot are preferred, as they need no network
    hop. Next comes the one with more free slots of two random candidates, from the
    same failure domain if one there has a free slot. If no slot is free, the shortest
    of the sampled queues is selected. Queue lengths are compared per slot, because
    owners have different numbers of executors. Executors without a current load report
    are used last.

    Parameters
    ----------
    own : ServiceLoad or None
        Load of the executors of this instance; None to exclude them.
    candidates : sequence of Candidate
        Executors owned by other instances.
    generator : random.Random
        Random number generator used for sampling.

    Returns
    -------
    Route or None
        The destination; None if there is no executor.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
       IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    if own is not None and own.free > 0:
        return Route()
    free = [each for each in candidates if each.free > 0]
    same_domain = [each for each in free if each.is_same_domain]
    sampled = _sample_two(same_domain or free, generator)
    if sampled:
        freest = max(sampled, key=lambda each: each.free)
        return Route(owner_id=freest.owner_id, executor_id=freest.executor_id)
    known = [each for each in candidates if each.is_known]
    sampled = _sample_two(known or candidates, generator)
    best = min(sampled, key=lambda each: each.queued_per_slot, default=None)
    if own is not None and own.usable > 0:
        if best is None or not best.is_known:
            return Route()
        if own.queued / own.usable <= best.queued_per_slot:
            return Route()
    if best is None:
        return Route() if own is not None else None
    return Route(owner_id=best.owner_id, executor_id=best.executor_id)
