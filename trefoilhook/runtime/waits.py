"""Storage of waiting times at the end of an ownership, for the next owner."""

from trefoilhook.exceptions import StoreError
from trefoilhook.logs import Event, describe_failure, log_event
from trefoilhook.platform import KeyValueStore, Precondition, Put, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.snapshots import Snapshot

__all__ = ["save_waits"]


async def save_waits(
    store: KeyValueStore, ownership: Ownership, snapshot: Snapshot
) -> None:
    """Write the waiting times, provided that the shard still has this owner.

    Parameters
    ----------
    store : KeyValueStore
        Store of the shard.
    ownership : Ownership
        Ownership that is about to end; its key must still be in the store.
    snapshot : Snapshot
        Snapshot of the waiting times.
    """
    owner = keys.owner_key(keys.SHARD)
    expected = Precondition(key=owner, revision=ownership.owner_revision)
    put = Put(key=snapshot.key, value=snapshot.encode())
    try:
        await store.commit(Transaction(preconditions=(expected,), puts=(put,)))
    except StoreError as error:
        log_event(
            Event.WAITS_NOT_SAVED, epoch=ownership.epoch, **describe_failure(error)
        )
