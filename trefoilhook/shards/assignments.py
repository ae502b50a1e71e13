"""State of the shards that the shard table assigns to this instance."""

import math

import attrs

from trefoilhook.inner.messages_pb2 import ShardHandover
from trefoilhook.shards.core import ShardRow
from trefoilhook.shards.rights import ServingGrounds

__all__ = ["Assignment", "Owner", "OwnershipChange"]


@attrs.frozen(kw_only=True)
class Owner:
    """The owner of a shard according to the local mirror of the store.

    Parameters
    ----------
    instance_id : str
        The owner.
    epoch : int
        Epoch at which it owns the shard.
    """

    instance_id: str
    epoch: int


@attrs.frozen(kw_only=True)
class OwnershipChange:
    """Notification that this instance may now serve a shard, or no longer may.

    Parameters
    ----------
    shard_id : str
        The shard.
    epoch : int
        Epoch of the claim.
    is_owned : bool
        Whether the instance may now serve the shard.
    handover : ShardHandover or None
        Handover message of the previous owner; None if it sent none.
    grounds : ServingGrounds
        Why the instance may serve the shard.
    """

    shard_id: str
    epoch: int
    is_owned: bool
    handover: ShardHandover | None = None
    grounds: ServingGrounds = ServingGrounds.NO_PREVIOUS_OWNER


@attrs.define(kw_only=True)
class Assignment:
    """One shard that the table assigns to this instance.

    Parameters
    ----------
    row : ShardRow
        The shard's row.
    claimed_at_ms : float
        Monotonic time at which the row was first seen, in ms.
    grounds : ServingGrounds
        Why the instance may serve the shard, or that it must wait.
    active_since_wall_ms : float
        Wall time since which it may serve the shard, in ms since the Unix epoch.
    is_releasing : bool
        Whether the instance has stopped serving the shard to hand it over.
    sent_handover : ShardHandover or None
        Handover message that was built, applied again if the handover is cancelled.
    attested_owners : set of str
        Previous owners that, as a member attested, have stopped.
    """

    row: ShardRow
    claimed_at_ms: float
    grounds: ServingGrounds = ServingGrounds.WAIT
    active_since_wall_ms: float = math.inf
    is_releasing: bool = False
    sent_handover: ShardHandover | None = None
    attested_owners: set[str] = attrs.field(factory=set)

    @property
    def is_active(self) -> bool:
        """Whether the instance may serve the shard, apart from its lease."""
        return self.grounds is not ServingGrounds.WAIT and not self.is_releasing
