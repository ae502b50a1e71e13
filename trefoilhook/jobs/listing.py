"""Partitioning of the listed workers by shard."""

from collections.abc import Sequence

import attrs

from trefoilhook.instances import WorkerRecord
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import ShardKind, hash_to_shard

__all__ = ["WorkerPartition"]


@attrs.define(kw_only=True)
class WorkerPartition:
    """Partitions the worker list by shard and caches the latest partition.

    Parameters
    ----------
    shards : ShardSettings
        Numbers of request and worker shards.

    Notes
    -----
    Every step of a shard needs the workers of the shard. Hashing the rack of every
    listed worker takes tens of milliseconds for tens of thousands of workers, longer
    than the pause between two steps. The list is refreshed once per second and remains
    the same object in between, so it is partitioned once per refresh.
    """

    shards: ShardSettings
    _listed: Sequence[WorkerRecord] = ()
    _by_shard: dict[str, tuple[WorkerRecord, ...]] = attrs.field(factory=dict)

    def select(
        self, listed: Sequence[WorkerRecord], shard_id: str
    ) -> tuple[WorkerRecord, ...]:
        """Return the listed workers of a shard, in list order."""
        if listed is not self._listed:
            self._listed, self._by_shard = listed, self._split(listed)
        return self._by_shard.get(shard_id, ())

    def _split(
        self, listed: Sequence[WorkerRecord]
    ) -> dict[str, tuple[WorkerRecord, ...]]:
        found: dict[str, list[WorkerRecord]] = {}
        shard_ids: dict[str, str] = {}
        for record in listed:
            rack = record.rack
            if rack not in shard_ids:
                shard_ids[rack] = hash_to_shard(
                    ShardKind.WORKER, rack.encode(), self.shards
                )
            found.setdefault(shard_ids[rack], []).append(record)
        return {shard_id: tuple(records) for shard_id, records in found.items()}
