"""Tests of claims to a vacant shard by an instance that is less fit than its owner."""

import json
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import HistoryLostError, StoreUnavailableError
from trefoilhook.platform import Changes, Item, Listing, Transaction
from trefoilhook.runtime import keys
from trefoilhook.runtime.fitness import compute_claim_delay
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.ownership import Ownership, ShardElection
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.vacancy import Vacancy

_FITNESS = 0.3

_CALL_MS = 5.0
"""Time that a call takes, in ms."""

_MAX_VACANT_MS = compute_claim_delay(_FITNESS, 1.0) + 300.0
"""Maximum time until a vacant shard is claimed while reads are answered, in ms: the
delay in favour of fitter instances, one pause after a failed call and some calls."""

_LIMIT_MS = 20_000.0


def _build_epoch(epoch: int) -> Item:
    """Build the epoch key of an owner that met all resource needs."""
    value = json.dumps({"epoch": epoch, "fitness": 1.0, "recorded_since": 1})
    return Item(
        key=keys.epoch_key(keys.SHARD),
        value=value.encode(),
        revision=10 * epoch,
        created=10,
    )


class _Store:
    """A store that answers reads and writes, with a fault of its watches.

    A fitter instance has owned the shard.
    """

    recovered_ms = 0.0
    failures = 0

    def __init__(self, watch: Callable[[float], Awaitable[None]]) -> None:
        self._watch = watch

    async def list_items(self, prefix: str) -> Listing:
        await trio.sleep(_CALL_MS / 1000.0)
        return Listing(items=(_build_epoch(7),), as_of=100)

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Changes:
        await self._watch(wait_ms)
        return Changes(changes=(), as_of=after)

    async def wait_for_retry(self, pause_ms: float) -> None:
        await trio.sleep(pause_ms / 1000.0)

    async def grant_lease(self, ttl_ms: int) -> int:
        await trio.sleep(_CALL_MS / 1000.0)
        return 1

    async def renew_lease(self, lease: int) -> None:
        await trio.sleep(_CALL_MS / 1000.0)

    async def revoke_lease(self, lease: int) -> None:
        await trio.sleep(_CALL_MS / 1000.0)

    async def commit(self, transaction: Transaction) -> int:
        await trio.sleep(_CALL_MS / 1000.0)
        return 101

    def set_frequent_probing(self, is_frequent: bool) -> None:
        pass


async def _lose_history(wait_ms: float) -> None:
    await trio.sleep(_CALL_MS / 1000.0)
    raise HistoryLostError("compacted")


async def _break_off(wait_ms: float) -> None:
    await trio.sleep(_CALL_MS / 1000.0)
    raise StoreUnavailableError("no answer")


async def _answer(wait_ms: float) -> None:
    await trio.sleep(wait_ms / 1000.0)


def _measure_claim(store: _Store) -> float:
    """Return the time at which the less fit instance claims the shard, in ms."""
    claims: list[float] = []

    async def main() -> None:
        clock = build_system_clock()
        started_s = trio.current_time()

        async def note_claim(ownership: Ownership) -> None:
            claims.append((trio.current_time() - started_s) * 1000.0)
            election.resign()

        metrics = ProcessMetrics()
        election = ShardElection(
            store=store,
            clock=clock,
            name="i0",
            run_owner=note_claim,
            may_claim=lambda: True,
            rejections=Rejections(clock=clock, metrics=metrics),
            metrics=metrics,
            fitness=_FITNESS,
        )
        with trio.move_on_after(_LIMIT_MS / 1000.0):
            await election.run()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return claims[0] if claims else float("inf")


class VacantShardTest(unittest.TestCase):
    """Time for which a shard without an owner stays unclaimed."""

    def test_watch_that_is_answered(self):
        self.assertLess(_measure_claim(_Store(_answer)), _MAX_VACANT_MS)

    def test_failed_watches_do_not_extend_the_delay(self):
        # Guards against a shard that has no owner while watches fail and reads work.
        for watch in (_lose_history, _break_off):
            with self.subTest(watch.__name__):
                self.assertLess(_measure_claim(_Store(watch)), _MAX_VACANT_MS)

    def test_vacancy_of_an_earlier_owner_does_not_count(self):
        # Guards against an instance that claims before fitter ones, as it takes the
        # time before the last owner's claim for a part of the vacancy.
        vacancy = Vacancy()
        earlier, later = _build_epoch(7), _build_epoch(8)
        note = partial(vacancy.note_listing, recovered_ms=0.0)
        note(owner=None, epoch=earlier, now_ms=1000.0)
        note(owner=None, epoch=earlier, now_ms=1300.0)
        self.assertEqual(vacancy.since_ms, 1000.0)
        note(owner=None, epoch=later, now_ms=1600.0)
        self.assertEqual(vacancy.since_ms, 1600.0)
        note(owner=later, epoch=later, now_ms=1700.0)
        note(owner=None, epoch=later, now_ms=1900.0)
        self.assertEqual(vacancy.since_ms, 1900.0)

    def test_outage_does_not_count(self):
        # Guards against an instance that claims before fitter ones, which have just
        # reached the store again.
        vacancy = Vacancy()
        epoch = _build_epoch(7)
        vacancy.note_listing(owner=None, epoch=epoch, now_ms=1000.0, recovered_ms=0.0)
        vacancy.note_listing(
            owner=None, epoch=epoch, now_ms=5000.0, recovered_ms=4900.0
        )
        self.assertEqual(vacancy.since_ms, 4900.0)


if __name__ == "__main__":
    unittest.main()
