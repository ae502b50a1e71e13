"""Tests of reading a shard from a store that fails now and then."""

import unittest

import trio
import trio.testing

from trefoilhook.exceptions import StoreUnavailableError
from trefoilhook.platform import Listing
from trefoilhook.runtime import keys
from trefoilhook.runtime.loading import load_shard

_SNAPSHOTS = ("a", "b", "c", "d")
_READ_MS = 300.0
_LIMIT_S = 30.0


class _Store:
    """A store of which each third read fails."""

    def __init__(self) -> None:
        self.reads: list[str] = []
        self.answered: list[str] = []

    async def _read(self, name: str) -> None:
        self.reads.append(name)
        await trio.sleep(_READ_MS / 1000.0)
        if len(self.reads) % 3 == 0:
            raise StoreUnavailableError("no answer")
        self.answered.append(name)

    async def list_items(self, prefix: str) -> Listing:
        await self._read(prefix)
        return Listing(items=(), as_of=1)

    async def get(self, key: str) -> None:
        await self._read(key)

    async def wait_for_retry(self, pause_ms: float) -> None:
        await trio.sleep(pause_ms / 1000.0)


class LoadShardTest(unittest.TestCase):
    """`load_shard`."""

    def test_failed_read_does_not_repeat_the_others(self):
        # Guards against a takeover that never ends, as one of its reads fails each
        # time and all are begun anew.
        store = _Store()

        async def main() -> bool:
            with trio.move_on_after(_LIMIT_S) as scope:
                await load_shard(store, snapshot_keys=_SNAPSHOTS)
            return not scope.cancelled_caught

        is_loaded = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertTrue(is_loaded)
        self.assertEqual(len(store.answered), len(set(store.answered)))
        progress = store.answered.index(keys.progress_prefix(keys.SHARD))
        jobs = store.answered.index(keys.job_prefix(keys.SHARD))
        self.assertLess(progress, jobs)


if __name__ == "__main__":
    unittest.main()
