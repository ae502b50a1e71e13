"""Reads the state of a shard that previous owners left in the store."""

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.platform import WORKER_PREFIX, Item, KeyValueStore, Listing
from trefoilhook.runtime import keys

__all__ = ["ShardContents", "load_shard"]

_RETRY_PAUSE_MS = 200.0
"""Pause after a failed attempt to read the shard, in ms."""


@attrs.frozen(kw_only=True)
class ShardContents:
    """State of a shard in the store.

    Parameters
    ----------
    workers : Listing
        Worker entries.
    progress, jobs : Listing
        Progress of jobs, and job records.
    roster, interference : Item or None
        Workers on which a task may have been started, and interference estimates.
    """

    workers: Listing
    progress: Listing
    jobs: Listing
    roster: Item | None
    interference: Item | None


async def load_shard(store: KeyValueStore, clock: Clock) -> ShardContents:
    """Read a shard, retrying until the store answers."""
    while True:
        try:
            return ShardContents(
                workers=await store.list_items(WORKER_PREFIX),
                # Read before the jobs: the write that ends a job removes its progress,
                # and the job must not appear open without it.
                progress=await store.list_items(keys.progress_prefix(keys.SHARD)),
                jobs=await store.list_items(keys.job_prefix(keys.SHARD)),
                roster=await store.get(keys.roster_key(keys.SHARD)),
                interference=await store.get(keys.interference_key(keys.SHARD)),
            )
        except StoreError:
            await clock.sleep_ms(_RETRY_PAUSE_MS)
