"""Generations of pages: their names, and the deletion of former ones."""

import contextlib

import trio

from trefoilhook.exceptions import StoreError
from trefoilhook.store import StoreClient, StoreEntry

__all__ = ["drop_former", "name_generation"]

_MOST_AT_ONCE = 8


def name_generation(*, epoch: int, number: int, nonce: str = "") -> str:
    """Return the name of a generation that an owner begins.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    number : int
        How many generations the owner began before.
    nonce : str, optional
        Keeps apart the attempts of an owner that was loaded again.
    """
    return f"{epoch}-{number}-{nonce}" if nonce else f"{epoch}-{number}"


async def drop_former(
    store: StoreClient, *, prefix: str, generation: str, epoch: int
) -> None:
    """Delete the pages of former generations, also what a dead owner left.

    What can't be deleted now is left to the next compaction.

    Guards against the deletion of a later owner's pages: an owner that was frozen
    before it listed the store finds generations that it doesn't know. Only those begun
    at its own epoch or before are former ones.

    Parameters
    ----------
    store : StoreClient
        Adapter to the platform's store.
    prefix : str
        Where the journal stands.
    generation : str
        The generation in use.
    epoch : int
        Epoch of the owner that deletes.

    Raises
    ------
    StoreError
        If the pages can't be listed.
    """
    limiter = trio.CapacityLimiter(_MOST_AT_ONCE)
    after_key = ""
    while True:
        found = await store.list_entries(f"{prefix}/", after_key=after_key)
        async with trio.open_nursery() as nursery:
            for entry in found.entries:
                name = entry.key.removeprefix(f"{prefix}/").partition("/")[0]
                if name != generation and _is_begun_by(name, epoch):
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


def _is_begun_by(name: str, epoch: int) -> bool:
    """Tell whether a name is that of a generation begun at an epoch or before."""
    begun_epoch, separator, _ = name.partition("-")
    return bool(separator) and int(begun_epoch) <= epoch
