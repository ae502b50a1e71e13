"""When a claimer may act for a shard that it took from an owner it has not met.

An owner cut off from the store may go on for a while on its peers' promises. A claimer
must know that it has stopped.
"""

import enum

import attrs

__all__ = ["Evidence", "Rights", "judge_rights"]


class Rights(enum.Enum):
    """Why a claimer may act, or that it must wait."""

    NO_PREVIOUS_OWNER = "nobody owned it, or its owner handed it over"
    IN_VIEW = "the previous owner needed a promise that was not given"
    PROVED_DEAD = "the previous owner's process is gone"
    ATTESTED = "a member in the previous owner's view gave no promise"
    OUTAGE_LIMIT = "the previous owner's longest outage time is over"
    WAIT = "the previous owner may still act"


@attrs.frozen(kw_only=True)
class Evidence:
    """What a claimer knows of one previous owner.

    Parameters
    ----------
    is_in_view : bool
        The previous owner's heartbeat said that it had read the claimer's record, and
        the claimer has given it no promise that is in force.
    is_proved_dead : bool
        Its address refuses connections, or another process answers there.
    is_attested : bool
        Another member said that it is in the previous owner's view, unpromised.
    waited_ms : float
        Time since the claim, in ms.
    """

    is_in_view: bool
    is_proved_dead: bool
    is_attested: bool
    waited_ms: float


def judge_rights(evidence: Evidence, *, outage_limit_ms: float) -> Rights:
    """Judge whether the claimer may act, and why.

    Parameters
    ----------
    evidence : Evidence
        What it knows.
    outage_limit_ms : float
        Longest time an owner goes on past its lapsed lease, in ms. A claim is made
        after the lapse, so waiting this long from the claim is always enough.
    """
    if evidence.is_in_view:
        return Rights.IN_VIEW
    if evidence.is_proved_dead:
        return Rights.PROVED_DEAD
    if evidence.is_attested:
        return Rights.ATTESTED
    if evidence.waited_ms >= outage_limit_ms:
        return Rights.OUTAGE_LIMIT
    return Rights.WAIT
