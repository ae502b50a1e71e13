"""Choice of the executor, and of the owner that a request is handed to."""

import random
from collections.abc import Sequence

import attrs

from trefoilhook.requests.admission import ServiceLoad

__all__ = ["Candidate", "PeerLoads", "ReportedLoad", "Route", "choose_route"]


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """What an owner last told of one of its executors.

    Parameters
    ----------
    sender_id : str
        The instance that told.
    received_ms : float
        When, on the own monotonic clock, in ms.
    slots : int
        Slots of the executor.
    in_use : int
        Slots in use.
    queued : int
        The executor's share of the requests that wait at that owner.
    is_usable : bool
        Whether the owner would send to the executor.
    """

    sender_id: str
    received_ms: float
    slots: int
    in_use: int
    queued: int
    is_usable: bool


@attrs.frozen(kw_only=True)
class Candidate:
    """An executor of another owner.

    Parameters
    ----------
    executor_id : str
        The executor.
    owner_id : str
        Instance that owns it.
    free : int
        Slots that are free as far as known here.
    wait : float
        Requests that wait for each of its slots as far as known here.
    is_near : bool
        Whether it stands in this instance's failure domain.
    is_known : bool
        Whether its owner told of it lately, and would send to it.
    """

    executor_id: str
    owner_id: str
    free: int
    queued_per_slot: float
    is_same_domain: bool
    is_known: bool = True


@attrs.frozen(kw_only=True)
class Route:
    """Where a request goes.

    Parameters
    ----------
    owner_id : str
        Instance whose executor runs it; empty for this one.
    executor_id : str
        The executor that was chosen; empty when the owner is this instance.
    """

    owner_id: str = ""
    executor_id: str = ""


@attrs.define(kw_only=True, eq=False)
class PeerLoads:
    """The newest summaries of other owners' executors.

    Parameters
    ----------
    max_age_ms : float
        Age from which a summary is not used, in ms.

    Notes
    -----
    Requests sent from here are added to the summary that was current when they left,
    so that many requests within one interval don't all choose the same executor.
    """

    max_age_ms: float
    _loads: dict[str, ReportedLoad] = attrs.field(factory=dict, init=False)
    _sent: dict[str, int] = attrs.field(factory=dict, init=False)

    def replace(self, loads: dict[str, ReportedLoad], *, sender_id: str) -> None:
        """Replace what a peer told before."""
        for executor_id, load in list(self._loads.items()):
            if load.sender_id == sender_id:
                del self._loads[executor_id]
                self._sent.pop(executor_id, None)
        self._loads.update(loads)

    def find(
        self, executor_id: str, *, owner_id: str, now_ms: float
    ) -> ReportedLoad | None:
        """Return what the owner told of an executor, if that is new enough."""
        load = self._loads.get(executor_id)
        if load is None or load.sender_id != owner_id:
            return None
        if now_ms - load.received_ms > self.max_age_ms:
            return None
        return load

    def count_sent(self, executor_id: str) -> int:
        """Return the requests sent from here since the newest summary."""
        return self._sent.get(executor_id, 0)

    def record_sent(self, executor_id: str) -> ReportedLoad | None:
        """Count a request sent from here; return the summary it was added to."""
        self._sent[executor_id] = self.count_sent(executor_id) + 1
        return self._loads.get(executor_id)

    def record_ended(self, executor_id: str, load: ReportedLoad | None) -> None:
        """Take a request off the summary that it was added to.

        Guards against an idle executor that looks full: while its load does not
        change, its owner sends nothing, and short requests would pile up here.
        """
        if self._loads.get(executor_id) is load and self.count_sent(executor_id):
            self._sent[executor_id] -= 1


def _choose_two(
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
    """Choose where a request goes.

    Own executors with a free slot go first, for they cost no hop. Then the freer of
    two others drawn at random, from the own failure domain while one there has a free
    slot. With no slot free anywhere, the shortest of the queues seen, each measured
    by its slots: owners have unequal numbers of executors. An executor of which
    nothing is known comes last.

    Parameters
    ----------
    own : LoadView or None
        What the own executors can take; None to leave them out.
    candidates : sequence of Candidate
        Other owners' executors.
    generator : random.Random
        Source of the draws.

    Returns
    -------
    Route or None
        None when there is no executor.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
       IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    if own is not None and own.free > 0:
        return Route()
    free = [each for each in candidates if each.free > 0]
    same_domain = [each for each in free if each.is_same_domain]
    drawn = _choose_two(same_domain or free, generator)
    if drawn:
        freest = max(drawn, key=lambda each: each.free)
        return Route(owner_id=freest.owner_id, executor_id=freest.executor_id)
    known = [each for each in candidates if each.is_known]
    drawn = _choose_two(known or candidates, generator)
    best = min(drawn, key=lambda each: each.queued_per_slot, default=None)
    if own is not None and own.usable > 0:
        if best is None or not best.is_known:
            return Route()
        if own.queued / own.usable <= best.queued_per_slot:
            return Route()
    if best is None:
        return Route() if own is not None else None
    return Route(owner_id=best.owner_id, executor_id=best.executor_id)
