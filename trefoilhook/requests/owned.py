"""Executors owned by this instance and grants of their slots."""

import math

import attrs

from trefoilhook.requests.models import ExecutorLink, ExecutorTarget
from trefoilhook.requests.slots import ExecutorSlots

__all__ = ["Grant", "OwnedExecutor"]


@attrs.define(kw_only=True, eq=False)
class OwnedExecutor:
    """An executor owned by this instance.

    Parameters
    ----------
    target : ExecutorTarget
        Latest record of the executor.
    shard_id : str
        Shard of the executor.
    epoch : int
        Epoch under which this instance owns the shard.
    slots : ExecutorSlots
        Slot accounting.
    link : ExecutorLink
        Connections to the executor.
    is_probing : bool
        Whether a health probe is in progress.
    succeeded_at_ms : float
        Monotonic time of the last successful request, in ms.
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
    """Grant of one slot of an executor.

    Parameters
    ----------
    executor : OwnedExecutor
        The executor.
    granted_at_ms : float
        Monotonic time of the grant, in ms.
    """

    executor: OwnedExecutor
    granted_at_ms: float
