"""The listed workers, split by the shard that each belongs to."""

from collections.abc import Sequence

import attrs

from trefoilhook.instances import WorkerRecord
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import ShardKind, find_shard

__all__ = ["WorkerSplit"]


@attrs.define(kw_only=True)
class WorkerSplit:
    """Remembers how the latest listing splits.

    Parameters
    ----------
    shards : ShardSettings
        Numbers of shards.

    Notes
    -----
    Guards against a step of a shard that takes longer than the pause between two: each
    step asks for the shard's workers, and hashing the rack of every worker that is
    listed takes tens of milliseconds with some ten thousands. The list is read anew
    once a second and stays the same object in between, so it is split once.
    """

    shards: ShardSettings
    _listed: Sequence[WorkerRecord] = ()
    _by_shard: dict[str, tuple[WorkerRecord, ...]] = attrs.field(factory=dict)

    def select(
        self, listed: Sequence[WorkerRecord], shard_id: str
    ) -> tuple[WorkerRecord, ...]:
        """Return the listed workers of one shard, in the order of the list."""
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
                shard_ids[rack] = find_shard(
                    ShardKind.WORKER, rack.encode(), self.shards
                )
            found.setdefault(shard_ids[rack], []).append(record)
        return {shard_id: tuple(records) for shard_id, records in found.items()}
