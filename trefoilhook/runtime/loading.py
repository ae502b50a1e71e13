"""Reads the state of a shard that previous owners left in the store."""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import attrs

from trefoilhook.exceptions import StoreError
from trefoilhook.platform import WORKER_PREFIX, Item, KeyValueStore, Listing
from trefoilhook.runtime import keys

__all__ = ["ShardContents", "load_shard"]

_Answer = TypeVar("_Answer")

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed read, in ms."""


@attrs.frozen(kw_only=True)
class ShardContents:
    """State of a shard in the store.

    Parameters
    ----------
    workers : Listing
        Worker entries.
    progress, jobs : Listing
        Progress of jobs, and job records.
    roster : Item or None
        Workers on which a task may have been started.
    placed : Listing
        Recorded places of starts, and the groups of workers.
    snapshots : dict of str to Item
        Learned models by key, without those that are missing.
    """

    workers: Listing
    progress: Listing
    jobs: Listing
    roster: Item | None
    placed: Listing
    snapshots: dict[str, Item]


async def load_shard(
    store: KeyValueStore, *, snapshot_keys: Iterable[str]
) -> ShardContents:
    """Read a shard, repeating each read until the store answers it.

    Parameters
    ----------
    store : KeyValueStore
        Store of the shard.
    snapshot_keys : iterable of str
        Keys of the learned models.
    """
    return ShardContents(
        workers=await _list_items(store, WORKER_PREFIX),
        # Read before the jobs: the write that ends a job removes its progress, and the
        # job must not appear open without it.
        progress=await _list_items(store, keys.progress_prefix(keys.SHARD)),
        jobs=await _list_items(store, keys.job_prefix(keys.SHARD)),
        roster=await _get(store, keys.roster_key(keys.SHARD)),
        placed=await _list_items(store, keys.placed_prefix(keys.SHARD)),
        snapshots=await _read_snapshots(store, snapshot_keys),
    )


async def _repeat(
    store: KeyValueStore, read: Callable[[], Awaitable[_Answer]]
) -> _Answer:
    while True:
        try:
            return await read()
        except StoreError:
            await store.wait_for_retry(_RETRY_PAUSE_MS)


async def _list_items(store: KeyValueStore, prefix: str) -> Listing:
    return await _repeat(store, lambda: store.list_items(prefix))


async def _get(store: KeyValueStore, key: str) -> Item | None:
    return await _repeat(store, lambda: store.get(key))


async def _read_snapshots(
    store: KeyValueStore, snapshot_keys: Iterable[str]
) -> dict[str, Item]:
    items = [await _get(store, key) for key in snapshot_keys]
    return {item.key: item for item in items if item is not None}
