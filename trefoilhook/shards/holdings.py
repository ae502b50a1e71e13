"""What an instance knows of the shards that the table gives to it."""

import math

import attrs

from trefoilhook.inner.messages_pb2 import ShardHandover
from trefoilhook.shards.core import ShardRow
from trefoilhook.shards.rights import Rights

__all__ = ["Holding", "Owner", "OwnershipChange"]


@attrs.frozen(kw_only=True)
class Owner:
    """Who owns a shard, as the mirror of the store says.

    Parameters
    ----------
    instance_id : str
        The owner.
    epoch : int
        Epoch of its claim.
    """

    instance_id: str
    epoch: int


@attrs.frozen(kw_only=True)
class OwnershipChange:
    """An instance may act for a shard from now on, or no longer.

    Parameters
    ----------
    shard_id : str
        The shard.
    epoch : int
        Epoch of the claim.
    is_owned : bool
        Whether the instance may act now.
    handover : ShardHandover or None
        What the previous owner passed on; None when it could not be asked.
    rights : Rights
        Why the instance may act.
    """

    shard_id: str
    epoch: int
    is_owned: bool
    handover: ShardHandover | None = None
    rights: Rights = Rights.NO_PREVIOUS_OWNER


@attrs.define(kw_only=True)
class Holding:
    """One shard that the table gives to this instance.

    Parameters
    ----------
    row : ShardRow
        Its row.
    claimed_at_ms : float
        Monotonic time at which the row was first seen, in ms.
    rights : Rights
        Why the instance may act, or that it must wait.
    since_wall_ms : float
        Wall time from which it may act, in ms since the Unix epoch.
    is_releasing : bool
        It has stopped acting and is about to hand the shard over.
    released : ShardHandover or None
        What was passed on, to be taken back if the shard stays after all.
    attested : set of str
        Former owners of whom a member attested that they have stopped.
    """

    row: ShardRow
    claimed_at_ms: float
    rights: Rights = Rights.WAIT
    since_wall_ms: float = math.inf
    is_releasing: bool = False
    released: ShardHandover | None = None
    attested: set[str] = attrs.field(factory=set)

    @property
    def is_active(self) -> bool:
        """Whether the instance may act, as far as the table goes."""
        return self.rights is not Rights.WAIT and not self.is_releasing
