"""Handover of the waits of tasks at the end of a planned ownership."""

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
    """Write for how long tasks have waited, while no other owner can exist.

    Parameters
    ----------
    store : KeyValueStore
        Store of the shard.
    ownership : Ownership
        Ownership that ends; its key is still in the store.
    snapshot : Snapshot
        The waits.
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
