"""What a new owner reads of its predecessors, including unreadable records."""

import unittest

import attrs

from trefoilhook.platform import Item
from trefoilhook.runtime import keys
from trefoilhook.runtime.ownership import Ownership
from trefoilhook.runtime.predecessors import read_inheritance
from trefoilhook.takeover import (
    Head,
    Member,
    Place,
    WorkerGroups,
    encode_head,
    encode_places,
)

PLACE = Place(task="j.0.0.0", attempt=3_000_001, worker="w0")


def build_item(key: str, value: bytes) -> Item:
    """Build an item at revision 9."""
    return Item(key=key, value=value, revision=9, created=9)


def build_head(
    *, epoch: int = 3, unrecorded_epoch: int | None = None, limit_ms: int | None = None
) -> Item:
    """Build the groups written by an epoch, with one worker."""
    groups = WorkerGroups(
        epoch=epoch, count=1, members={0: Member(name="w0", address="h:1")}
    )
    head = Head(
        groups=groups,
        unrecorded_epoch=unrecorded_epoch,
        lease_limits={} if limit_ms is None else {"w0": limit_ms},
    )
    return build_item(keys.groups_key(keys.SHARD), encode_head(head))


def build_page(value: bytes | None = None, *, name: str = "3/0") -> Item:
    """Build a page with one place, or with another value."""
    if value is None:
        value = encode_places([PLACE], epoch=3)
    return build_item(keys.page_prefix(keys.SHARD) + name, value)


class ReadInheritanceTest(unittest.TestCase):
    """Starts of earlier owners that a new owner must expect."""

    def read(self, *items: Item, recorded_since: int = 1, **options):
        """Read the records as epoch 5."""
        self.rejected: list[str] = []
        return read_inheritance(
            items,
            roster=("w0", "w1"),
            epoch=5,
            recorded_since=recorded_since,
            reject=lambda item, error: self.rejected.append(item.key),
            **options,
        )

    def test_complete_records(self):
        found = self.read(build_head(), build_page())
        self.assertIsNone(found.predecessors.unrecorded_epoch)
        self.assertEqual(found.predecessors.awaited, {"w0"})
        self.assertEqual(found.ledger.list_places(), [PLACE])
        self.assertEqual((found.head_revision, self.rejected), (9, []))

    def test_nothing_was_ever_started(self):
        found = self.read()
        self.assertEqual(found.predecessors.awaited, set())

    def check_superseded(self, worker: str, *, age: str, expected: list[str]) -> None:
        """Check for whom a service task waits that was started a second time."""
        member = Member(name=worker, address="h:1")
        groups = WorkerGroups(
            epoch=4, count=1, members={0: member}, has_all_places=True
        )
        head = build_item(keys.groups_key(keys.SHARD), encode_head(Head(groups=groups)))
        first = attrs.evolve(PLACE, worker=worker)
        second = attrs.evolve(PLACE, attempt=3_000_002, worker="w9")
        pages = [
            build_page(encode_places([first], epoch=3)),
            build_page(encode_places([second], epoch=3), name="3/1"),
        ]
        found = self.read(head, *pages, is_past=lambda revision: age == "past")
        awaited = found.predecessors.list_awaited(PLACE.task, "j", never_ends=True)
        self.assertEqual(awaited, expected)

    def test_place_of_an_attempt_before_the_last_one(self):
        # Guards against a service task held for a worker that it left.
        self.check_superseded("w0", age="recent", expected=[])
        self.check_superseded("w0@5", age="past", expected=[])

    def test_late_start_for_the_next_process(self):
        # Guards against a second run beside an earlier attempt that the next process
        # under the worker's id executes.
        self.check_superseded("w0@5", age="recent", expected=["w0@5"])

    def test_limit_of_the_last_owner(self):
        found = self.read(build_head(epoch=4, limit_ms=700))
        self.assertEqual(found.lease_limits, {"w0": 700})

    def test_limit_of_an_earlier_owner(self):
        # Guards against a limit that the owner in between, of an earlier build, has not
        # kept.
        found = self.read(build_head(epoch=3, limit_ms=700))
        self.assertEqual(found.lease_limits, {})

    def test_owner_without_records_after_the_last_head(self):
        # Guards against relying on a head that an earlier build did not update.
        found = self.read(build_head(epoch=3), recorded_since=5)
        self.assertEqual(found.predecessors.unrecorded_epoch, 4)
        self.assertEqual(found.predecessors.awaited, {"w0", "w1"})

    def test_owner_without_records_that_is_not_accounted_for(self):
        found = self.read(build_head(epoch=3, unrecorded_epoch=2), recorded_since=3)
        self.assertEqual(found.predecessors.unrecorded_epoch, 2)
        self.assertEqual(found.predecessors.get_last_epoch("w1", epoch=5), 2)
        self.assertEqual(found.predecessors.get_last_epoch("w0", epoch=5), 3)

    def test_unreadable_records_are_unknown(self):
        # Guards against reading a damaged record as if nothing had been started.
        cases = (
            (build_item(keys.groups_key(keys.SHARD), b"{}"), build_page()),
            (build_head(), build_page(b"[]")),
            (build_head(), build_page(b'{"format":2}')),
            (build_head(), build_page(name="x/0")),
        )
        for items in cases:
            with self.subTest(items=items):
                found = self.read(*items)
                self.assertEqual(found.predecessors.unrecorded_epoch, 4)
                self.assertTrue({"w0", "w1"} <= found.predecessors.awaited)
                self.assertEqual(len(self.rejected), 1)
                self.assertEqual(found.head_revision, 9)

    def test_places_of_released_workers_are_ignored(self):
        # Guards against a wait for a worker that an earlier owner has accounted for.
        place = Place(task="j.0.0.1", attempt=1, worker="gone")
        page = build_page(encode_places([place, PLACE], epoch=3))
        found = self.read(build_head(), page)
        self.assertEqual(found.ledger.list_places(), [PLACE])
        self.assertEqual(found.predecessors.awaited, {"w0"})


class EndOfEpochTest(unittest.TestCase):
    """Time at which an earlier epoch is known to have ended."""

    def test_earliest_sighting_of_a_later_epoch_counts(self):
        # Guards against takeovers that each begin the wait for leases anew.
        ownership = Ownership(
            epoch=5,
            owner_revision=1,
            claimed_ms=900.0,
            lease=1,
            valid_until_ms=2900.0,
            sightings={2: 100.0, 3: 300.0, 4: 600.0},
        )
        self.assertEqual(ownership.find_end(1), 100.0)
        self.assertEqual(ownership.find_end(2), 300.0)
        self.assertEqual(ownership.find_end(4), 900.0)
