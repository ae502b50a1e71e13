"""Tests of what an owner saves for the next one."""

import unittest

import attrs
import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import StoreError, StoreUnavailableError
from trefoilhook.platform import Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.maintenance import Maintenance
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.snapshots import Snapshot, build_snapshots
from trefoilhook.scheduling import Configuration, Queue, decode_queues
from trefoilhook.scheduling.tests.cases import QUEUE, Shard, build_job

_ROUTES = 4200
"""Number of routes of the largest known configuration."""

_MAX_BYTES = 1000
"""Maximum size of the saved queues if one of them has changed, in bytes."""


@attrs.define(kw_only=True)
class _Store:
    """Store whose first commits fail."""

    failures: list[StoreError]
    commits: list[Transaction] = attrs.Factory(list)

    async def commit(self, transaction: Transaction) -> int:
        self.commits.append(transaction)
        if self.failures:
            raise self.failures.pop(0)
        return 1


def _build_configuration(version: int, queue: Queue) -> Configuration:
    others = (
        attrs.evolve(QUEUE, name=f"r{number}", prefix=f"/r{number}/")
        for number in range(_ROUTES)
    )
    return Configuration(version=version, queues=(queue, *others))


def _build_queues_snapshot(shard: Shard) -> Snapshot:
    snapshots = build_snapshots(shard.scheduler)
    (found,) = (s for s in snapshots if s.key == keys.queues_key(keys.SHARD))
    return found


class QueuesSnapshotTest(unittest.TestCase):
    """The queues that an owner saves."""

    def test_only_queues_that_no_job_record_holds_are_saved(self):
        # Guards against a value of nearly a megabyte at each change of a large
        # configuration, which a slow link can't carry in time, at a takeover neither.
        shard = Shard()
        shard.scheduler.set_configuration(_build_configuration(2, QUEUE))
        snapshot = _build_queues_snapshot(shard)
        self._submit(shard, "j")
        self.assertEqual(set(decode_queues(snapshot.encode()).by_name), set())
        version = snapshot.get_version()
        changed = attrs.evolve(QUEUE, priority=4)
        shard.scheduler.set_configuration(_build_configuration(3, changed))
        self.assertNotEqual(snapshot.get_version(), version)
        saved = snapshot.encode()
        self.assertEqual(decode_queues(saved).by_name, {QUEUE.name: changed})
        self.assertLess(len(saved), _MAX_BYTES)

    def test_queue_of_a_job_that_comes_later_is_saved(self):
        # Guards against a job of an outdated instance whose queue isn't handed on, as
        # the configuration hasn't changed since the last write.
        shard = Shard()
        changed = attrs.evolve(QUEUE, priority=4)
        shard.scheduler.set_configuration(_build_configuration(2, changed))
        snapshot = _build_queues_snapshot(shard)
        version = snapshot.get_version()
        self._submit(shard, "j")
        self.assertNotEqual(snapshot.get_version(), version)
        self.assertEqual(
            decode_queues(snapshot.encode()).by_name, {QUEUE.name: changed}
        )

    def _submit(self, shard: Shard, job_id: str) -> None:
        """Add a job that was accepted with the first values of its queue."""
        record = attrs.evolve(build_job(), job_id=job_id)
        shard.submit(record)
        shard.scheduler.jobs[job_id].accepted_queue = QUEUE


class SaveSnapshotsTest(unittest.TestCase):
    """Writes of snapshots that fail."""

    def test_failed_write_is_repeated(self):
        # Guards against queues that aren't handed on: they change with the
        # configuration only, so that the next change may come after a takeover.
        store = _Store(failures=[StoreUnavailableError("no answer")])
        ownership = Ownership(
            epoch=1, owner_revision=1, claimed_ms=0.0, lease=1, valid_until_ms=1e9
        )
        snapshot = Snapshot(
            key="k",
            get_version=lambda: 1,
            encode=lambda: b"v",
            restore=lambda data: None,
        )

        async def main() -> None:
            maintenance = Maintenance(
                store=store,
                clock=build_system_clock(),
                ownership=ownership,
                scheduler=None,
                committer=None,
                snapshots=(snapshot,),
                status_ms=1.0,
            )
            with trio.move_on_after(20.0):
                await maintenance.save_snapshots()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([c.puts[0].value for c in store.commits], [b"v", b"v"])


if __name__ == "__main__":
    unittest.main()
