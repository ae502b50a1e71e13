"""Naming of page generations and deletion of old ones."""

import contextlib

import trio

from trefoilhook.exceptions import StoreError
from trefoilhook.store import StoreClient, StoreEntry

__all__ = ["delete_old_generations", "name_generation"]

_MAX_CONCURRENT_DELETES = 8


def name_generation(*, epoch: int, number: int, nonce: str = "") -> str:
    """Return the name of a new generation.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that creates it.
    number : int
        Number of generations the owner has created before.
    nonce : str, optional
        Distinguishes generations created by an owner before and after a reload.
    """
    return f"{epoch}-{number}-{nonce}" if nonce else f"{epoch}-{number}"


async def delete_old_generations(
    store: StoreClient, *, prefix: str, generation: str, epoch: int
) -> None:
    """Delete the pages of old generations, including those left by failed owners.

    Pages that cannot be deleted are left to the next compaction.

    Only generations created at the owner's epoch or earlier are deleted. An owner that
    was suspended before listing the store may see generations created by a later owner,
    which must be kept.

    Parameters
    ----------
    store : StoreClient
        Client for the platform's store.
    prefix : str
        Key prefix of the journal.
    generation : str
        Current generation, which is kept.
    epoch : int
        Epoch of the calling owner.

    Raises
    ------
    StoreError
        If the pages cannot be listed.
    """
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_DELETES)
    after_key = ""
    while True:
        found = await store.list_entries(f"{prefix}/", after_key=after_key)
        async with trio.open_nursery() as nursery:
            for entry in found.entries:
                name = entry.key.removeprefix(f"{prefix}/").partition("/")[0]
                if name != generation and _is_created_by(name, epoch):
                    nursery.start_soon(_delete, store, entry, limiter)
        if found.next_key is None:
            return
        after_key = found.next_key


async def _delete(
    store: StoreClient, entry: StoreEntry, limiter: trio.CapacityLimiter
) -> None:
    async with limiter:
        with contextlib.suppress(StoreError):
            await store.swap(entry.key, None, expected_revision=entry.revision)


def _is_created_by(name: str, epoch: int) -> bool:
    """Return whether a generation was created at an epoch or earlier."""
    begun_epoch, separator, _ = name.partition("-")
    return bool(separator) and int(begun_epoch) <= epoch
