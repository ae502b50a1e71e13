"""Generations of pages: their names, and the deletion of former ones."""

from trefoilhook.store import StoreClient

__all__ = ["drop_former", "name_generation"]


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
        If some pages could not be deleted; the next compaction deletes them.
    """
    after_key = ""
    while True:
        found = await store.list_entries(f"{prefix}/", after_key=after_key)
        for entry in found.entries:
            name = entry.key.removeprefix(f"{prefix}/").partition("/")[0]
            if name != generation and _is_begun_by(name, epoch):
                await store.swap(entry.key, None, expected_revision=entry.revision)
        if found.next_key is None:
            return
        after_key = found.next_key


def _is_begun_by(name: str, epoch: int) -> bool:
    """Tell whether a name is that of a generation begun at an epoch or before."""
    begun_epoch, separator, _ = name.partition("-")
    return bool(separator) and int(begun_epoch) <= epoch
