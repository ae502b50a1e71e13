"""Reading of all that earlier owners of a shard left in the store."""

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import StoreError
from trefoilhook.platform import WORKER_PREFIX, Item, KeyValueStore, Listing
from trefoilhook.runtime import keys

__all__ = ["ShardContents", "load_shard"]

_RETRY_PAUSE_MS = 200.0
"""Pause after a try to read the shard that failed, in ms."""


@attrs.frozen(kw_only=True)
class ShardContents:
    """What the store holds of a shard.

    Parameters
    ----------
    workers : Listing
        Entries of the workers.
    progress, jobs : Listing
        Progress of jobs, and their records.
    roster, learned : Item or None
        Workers on which a task may have been started, and what was learned.
    """

    workers: Listing
    progress: Listing
    jobs: Listing
    roster: Item | None
    learned: Item | None


async def load_shard(store: KeyValueStore, clock: Clock) -> ShardContents:
    """Read a shard, trying until it is read."""
    while True:
        try:
            return ShardContents(
                workers=await store.list_items(WORKER_PREFIX),
                # Before the jobs: a job whose end is written in between is then seen
                # ended, never open without what was done of it.
                progress=await store.list_items(keys.progress_prefix(keys.SHARD)),
                jobs=await store.list_items(keys.job_prefix(keys.SHARD)),
                roster=await store.get(keys.roster_key(keys.SHARD)),
                learned=await store.get(keys.learned_key(keys.SHARD)),
            )
        except StoreError:
            await clock.sleep_ms(_RETRY_PAUSE_MS)
