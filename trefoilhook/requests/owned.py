"""An executor owned here, and leave to send to it."""

import math

import attrs

from trefoilhook.requests.models import ExecutorLink, ExecutorTarget
from trefoilhook.requests.slots import ExecutorSlots

__all__ = ["Grant", "OwnedExecutor"]


@attrs.define(kw_only=True, eq=False)
class OwnedExecutor:
    """An executor whose slots are counted here.

    Parameters
    ----------
    target : ExecutorTarget
        The executor.
    shard_id : str
        Shard that it belongs to.
    epoch : int
        Epoch of the claim under which it is owned.
    slots : ExecutorSlots
        Count of its slots.
    link : ExecutorLink
        Connections to it.
    is_probing : bool
        Whether its health is being asked for.
    succeeded_at_ms : float
        When a request last succeeded, on the monotonic clock, in ms.
    """

    target: ExecutorTarget
    shard_id: str
    epoch: int
    slots: ExecutorSlots
    link: ExecutorLink
    is_probing: bool = False
    succeeded_at_ms: float = -math.inf


@attrs.frozen(kw_only=True)
class Grant:
    """Leave to send one request to an executor.

    Parameters
    ----------
    executor : OwnedExecutor
        The executor, with one of its slots taken.
    granted_ms : float
        When, on the monotonic clock, in ms.
    """

    executor: OwnedExecutor
    granted_at_ms: float
