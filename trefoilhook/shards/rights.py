"""When the claimant of a shard may begin to serve it.

A previous owner that is cut off from the store may continue to serve for a while on
its peers' promises. The claimant must know that the previous owner has stopped before
it serves the shard itself.
"""

import enum

import attrs

__all__ = ["Evidence", "ServingGrounds", "evaluate_evidence"]


class ServingGrounds(enum.Enum):
    """Why a claimant may serve a shard, or that it must wait."""

    NO_PREVIOUS_OWNER = "nobody owned it, or its owner handed it over"
    IN_VIEW = "the previous owner needed a promise that was not given"
    PROVED_DEAD = "the previous owner's process is gone"
    ATTESTED = "a member in the previous owner's view gave no promise"
    OUTAGE_LIMIT = "the previous owner's longest outage time is over"
    WAIT = "the previous owner may still act"


@attrs.frozen(kw_only=True)
class Evidence:
    """What a claimant knows about one previous owner.

    Parameters
    ----------
    is_in_view : bool
        A heartbeat of the previous owner shows that it had read the claimant's member
        record, and no promise of the claimant to it is in force.
    is_proved_dead : bool
        Its address refuses connections or another process answers there, or an
        operator has declared it gone.
    is_attested : bool
        Another member reported that the previous owner had read its record and that it
        has no promise to the previous owner in force.
    waited_ms : float
        Time since the claim, in ms.
    """

    is_in_view: bool
    is_proved_dead: bool
    is_attested: bool
    waited_ms: float


def evaluate_evidence(evidence: Evidence, *, outage_limit_ms: float) -> ServingGrounds:
    """Decide whether the claimant may serve the shard, and why.

    Parameters
    ----------
    evidence : Evidence
        What the claimant knows about the previous owner.
    outage_limit_ms : float
        Longest time an owner serves after its lease has expired, in ms. Claims are made
        after the expiry, so waiting this long from the claim is always sufficient.
    """
    if evidence.is_in_view:
        return ServingGrounds.IN_VIEW
    if evidence.is_proved_dead:
        return ServingGrounds.PROVED_DEAD
    if evidence.is_attested:
        return ServingGrounds.ATTESTED
    if evidence.waited_ms >= outage_limit_ms:
        return ServingGrounds.OUTAGE_LIMIT
    return ServingGrounds.WAIT
