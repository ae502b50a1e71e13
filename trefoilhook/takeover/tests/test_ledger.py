"""Tests of the places of the current owner's starts."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from trefoilhook.takeover import Place, PlaceLedger
from trefoilhook.takeover.ledger import PageName
from trefoilhook.takeover.tests.builders import build_place, record


def _always() -> bool:
    return True


class RequestTest(unittest.TestCase):
    """When a place is recorded."""

    def setUp(self) -> None:
        self.ledger = PlaceLedger(epoch=3)

    def test_place_is_recorded_once_its_write_is_confirmed(self) -> None:
        """Guards against an order that no successor knows."""
        place = build_place("j.0.0")
        self.assertFalse(self.ledger.request(place))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual((write.name, write.places), ((3, 0), (place,)))
        self.assertFalse(self.ledger.request(place))
        self.assertFalse(self.ledger.is_recorded("j.0.0", 1))
        self.assertIsNone(self.ledger.find_worker("j.0.0", 1))
        self.ledger.confirm()
        self.assertTrue(self.ledger.request(place))
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        self.assertEqual(self.ledger.find_worker("j.0.0", 1), "a")
        self.assertEqual(self.ledger.list_places(), [place])

    def test_other_attempt_is_not_recorded(self) -> None:
        """Guards against an order on another worker than the one recorded."""
        record(self.ledger, build_place("j.0.0", 1))
        self.assertFalse(self.ledger.is_recorded("j.0.0", 2))
        self.assertFalse(self.ledger.request(build_place("j.0.0", 2, "b")))
        self.assertIsNone(self.ledger.find_worker("j.0.0", 2))

    def test_nothing_to_write(self) -> None:
        """Guards against writes when nothing starts."""
        self.assertIsNone(self.ledger.build_write(0.0, max_removals=29))
        record(self.ledger, build_place("j.0.0"))
        self.assertIsNone(self.ledger.build_write(0.0, max_removals=29))
        self.ledger.confirm()
        self.assertEqual(self.ledger.page_count, 1)

    def test_request_during_its_write_is_not_written_twice(self) -> None:
        """Guards against a page more for each round in which a start waits."""
        self.ledger.request(build_place("j.0.0"))
        self.ledger.build_write(0.0, max_removals=29)
        self.ledger.request(build_place("j.0.0"))
        self.ledger.confirm()
        self.assertFalse(self.ledger.has_pending)
        self.assertIsNone(self.ledger.build_write(0.0, max_removals=29))

    def test_request_during_another_write_has_the_next_one(self) -> None:
        """Guards against a place confirmed by a write that doesn't name it."""
        self.ledger.request(build_place("j.0.0"))
        self.ledger.build_write(0.0, max_removals=29)
        self.ledger.request(build_place("j.0.1"))
        self.ledger.confirm()
        self.assertFalse(self.ledger.is_recorded("j.0.1", 1))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual((write.name, write.places), ((3, 1), (build_place("j.0.1"),)))

    def test_pages_are_bounded(self) -> None:
        """Guards against a value that the store refuses."""
        places = [build_place(f"j.0.{index}") for index in range(1001)]
        record(self.ledger, *places)
        self.assertEqual(self.ledger.recorded_count, 1000)
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.places, (places[-1],))


class UnansweredTest(unittest.TestCase):
    """Writes without an answer."""

    def setUp(self) -> None:
        self.ledger = PlaceLedger(epoch=3)
        self.ledger.request(build_place("j.0.0"))
        self.write = self.ledger.build_write(100.0, max_removals=29)

    def test_repeated_as_it_was(self) -> None:
        """Guards against a name in the store with other places than confirmed."""
        self.ledger.request(build_place("j.0.1"))
        self.ledger.retire("j.0.0", 1, _always)
        self.assertEqual(self.ledger.build_write(200.0, max_removals=0), self.write)

    def test_renamed(self) -> None:
        """Guards against overwriting the page that stands at the name."""
        self.ledger.rename_write()
        second = self.ledger.build_write(200.0, max_removals=29)
        assert self.write is not None and second is not None
        self.assertEqual((second.name, second.places), ((3, 1), self.write.places))
        self.ledger.confirm()
        self.ledger.request(build_place("j.0.1"))
        third = self.ledger.build_write(300.0, max_removals=29)
        assert third is not None
        self.assertEqual(third.name, (3, 2))

    def test_stall(self) -> None:
        """Guards against starts that wait for a store that is away."""
        self.assertFalse(self.ledger.is_stalled(500.0))
        self.ledger.build_write(400.0, max_removals=29)
        self.ledger.rename_write()
        self.assertTrue(self.ledger.is_stalled(500.1))
        self.ledger.confirm()
        self.assertFalse(self.ledger.is_stalled(10_000.0))

    def test_later_write_has_a_time_of_its_own(self) -> None:
        """Guards against starts outside of records after a pause without starts."""
        self.ledger.confirm()
        self.ledger.request(build_place("j.0.1"))
        self.assertFalse(self.ledger.is_stalled(10_000.0))
        self.ledger.build_write(10_000.0, max_removals=29)
        self.assertFalse(self.ledger.is_stalled(10_400.0))


class RetirementTest(unittest.TestCase):
    """When a place goes."""

    def setUp(self) -> None:
        self.ledger = PlaceLedger(epoch=3)

    def test_place_stays_until_its_end_is_saved(self) -> None:
        """Guards against a second run of a task whose end was not saved yet."""
        is_saved = False
        record(self.ledger, build_place("j.0.0"))
        self.ledger.retire("j.0.0", 1, lambda: is_saved)
        record(self.ledger, build_place("j.0.1"))
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        is_saved = True
        self.ledger.request(build_place("j.0.2"))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertFalse(self.ledger.is_recorded("j.0.0", 1))
        self.assertEqual(write.removals, ((3, 0),))

    def test_place_in_flight_goes_after_its_write(self) -> None:
        """Guards against places that are never released, and are lost to the count."""
        self.ledger.request(build_place("j.0.0"))
        self.ledger.build_write(0.0, max_removals=29)
        self.ledger.retire("j.0.0", 1, _always)
        self.ledger.confirm()
        self.assertEqual((self.ledger.recorded_count, self.ledger.page_count), (0, 1))
        self.ledger.request(build_place("j.0.1"))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.removals, ((3, 0),))
        self.ledger.confirm()
        self.assertEqual(self.ledger.page_count, 1)

    def test_place_not_written_yet_is_withdrawn(self) -> None:
        """Guards against pages for starts that were withdrawn."""
        self.ledger.request(build_place("j.0.0"))
        self.ledger.retire("j.0.0", 1, _always)
        self.assertFalse(self.ledger.has_pending)
        self.assertIsNone(self.ledger.build_write(0.0, max_removals=29))

    def test_released_place_is_kept_again(self) -> None:
        """Guards against a start that is held again, and that no successor knows."""
        record(self.ledger, build_place("j.0.0"))
        self.ledger.retire("j.0.0", 1, _always)
        self.ledger.restore(build_place("j.0.0"))
        record(self.ledger, build_place("j.0.1"))
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        self.assertEqual(self.ledger.page_count, 2)

    def test_removed_place_is_requested_again(self) -> None:
        """Guards against the same once its page may have gone."""
        record(self.ledger, build_place("j.0.0"))
        self.ledger.retire("j.0.0", 1, _always)
        record(self.ledger, build_place("j.0.1"))
        self.assertFalse(self.ledger.is_recorded("j.0.0", 1))
        self.ledger.restore(build_place("j.0.0"))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.places, (build_place("j.0.0"),))

    def test_place_released_in_flight_is_kept_again(self) -> None:
        """Guards against the same while its write is under way."""
        self.ledger.request(build_place("j.0.0"))
        self.ledger.build_write(0.0, max_removals=29)
        self.ledger.retire("j.0.0", 1, _always)
        self.ledger.restore(build_place("j.0.0"))
        self.ledger.confirm()
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        self.assertFalse(self.ledger.has_pending)

    def test_sparse_page_is_copied(self) -> None:
        """Guards against long tasks that keep the pages of all short ones."""
        places = [build_place(f"j.0.{index}") for index in range(5)]
        record(self.ledger, *places)
        for place in places[1:]:
            self.ledger.retire(place.task, 1, _always)
        self.ledger.request(build_place("j.1.0"))
        write = self.ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.places, (build_place("j.1.0"), places[0]))
        self.assertEqual(write.removals, ((3, 0),))
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        self.ledger.confirm()
        self.assertTrue(self.ledger.is_recorded("j.0.0", 1))
        self.assertEqual((self.ledger.recorded_count, self.ledger.page_count), (2, 1))

    def test_page_with_a_quarter_left_is_kept(self) -> None:
        """Guards against copies that cost more than they save."""
        places = [build_place(f"j.0.{index}") for index in range(4)]
        record(self.ledger, *places)
        for place in places[1:]:
            self.ledger.retire(place.task, 1, _always)
        record(self.ledger, build_place("j.1.0"))
        self.assertEqual(self.ledger.page_count, 2)

    def test_place_that_ends_while_it_is_copied(self) -> None:
        """Guards against a place that stands for ever in the copy of its page."""
        places = [build_place(f"j.0.{index}") for index in range(5)]
        record(self.ledger, *places)
        for place in places[1:]:
            self.ledger.retire(place.task, 1, _always)
        self.ledger.request(build_place("j.1.0"))
        self.ledger.build_write(0.0, max_removals=29)
        self.ledger.retire("j.0.0", 1, _always)
        self.ledger.confirm()
        self.assertFalse(self.ledger.is_recorded("j.0.0", 1))
        self.assertEqual(self.ledger.list_places(), [build_place("j.1.0")])

    def test_removals_are_bounded(self) -> None:
        """Guards against a transaction of more entries than the store takes."""
        for index in range(5):
            record(self.ledger, build_place(f"j.0.{index}"))
        for index in range(5):
            self.ledger.retire(f"j.0.{index}", 1, _always)
        self.ledger.request(build_place("j.1.0"))
        write = self.ledger.build_write(0.0, max_removals=2)
        assert write is not None
        self.assertEqual(write.removals, ((3, 0), (3, 1)))
        self.ledger.confirm()
        self.assertEqual(self.ledger.page_count, 4)

    def test_page_that_is_not_removed_is_not_copied(self) -> None:
        """Guards against copies of pages for which a write has no room."""
        for page in range(2):
            places = [build_place(f"j.{page}.{index}") for index in range(5)]
            record(self.ledger, *places)
        for page in range(2):
            for index in range(1, 5):
                self.ledger.retire(f"j.{page}.{index}", 1, _always)
        self.ledger.request(build_place("j.2.0"))
        write = self.ledger.build_write(0.0, max_removals=1)
        assert write is not None
        self.assertEqual(write.removals, ((3, 0),))
        self.assertEqual(write.places, (build_place("j.2.0"), build_place("j.0.0")))


class LoadTest(unittest.TestCase):
    """Pages of previous owners."""

    def test_loaded_places_are_recorded(self) -> None:
        """Guards against adopted runs whose places are written again."""
        ledger = PlaceLedger(epoch=3)
        ledger.load((2, 7), [build_place("j.0.0")])
        self.assertTrue(ledger.request(build_place("j.0.0")))
        self.assertFalse(ledger.has_pending)

    def test_numbers_begin_anew_in_each_epoch(self) -> None:
        """Guards against names that are used for two pages."""
        ledger = PlaceLedger(epoch=3)
        ledger.load((2, 0), [build_place("j.0.0")])
        ledger.request(build_place("j.0.1"))
        write = ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.name, (3, 0))

    def test_empty_page_is_removed(self) -> None:
        """Guards against pages of previous owners that nobody removes."""
        ledger = PlaceLedger(epoch=3)
        ledger.load((2, 0), [])
        ledger.request(build_place("j.0.1"))
        write = ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.removals, ((2, 0),))

    def test_later_page_of_a_place_is_kept(self) -> None:
        """Guards against the removal of a copy for which the source was taken."""
        ledger = PlaceLedger(epoch=3)
        ledger.load((2, 0), [build_place("j.0.0")])
        ledger.load((2, 1), [build_place("j.0.0")])
        self.assertEqual(ledger.recorded_count, 1)
        ledger.request(build_place("j.0.1"))
        write = ledger.build_write(0.0, max_removals=29)
        assert write is not None
        self.assertEqual(write.removals, ((2, 0),))


class LedgerMachine(RuleBasedStateMachine):
    """A ledger and a store that follow each other through any sequence of steps."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = PlaceLedger(epoch=1)
        self.store: dict[PageName, tuple[Place, ...]] = {}
        self.attempts = 0
        self.needed: dict[int, Place] = {}
        self.over: set[int] = set()
        self.saved: set[int] = set()
        self.recorded: set[int] = set()

    @rule()
    def start(self) -> None:
        """Request the place of another attempt."""
        self.attempts += 1
        place = build_place(f"j.0.{self.attempts}", self.attempts)
        self.needed[self.attempts] = place
        self.ledger.request(place)

    @rule(number=st.integers(min_value=1, max_value=30))
    def end(self, number: int) -> None:
        """End an attempt; its end is not saved yet."""
        if number in self.needed and number not in self.over:
            self.over.add(number)
            self.ledger.retire(f"j.0.{number}", number, lambda: number in self.saved)

    @rule(number=st.integers(min_value=1, max_value=30))
    def save(self, number: int) -> None:
        """Save the end of an attempt."""
        if number in self.over:
            self.saved.add(number)
            self.needed.pop(number, None)

    @rule(is_answered=st.booleans(), max_removals=st.integers(0, 3))
    def write(self, is_answered: bool, max_removals: int) -> None:
        """Carry out a write, with or without an answer."""
        write = self.ledger.build_write(0.0, max_removals=max_removals)
        if write is None:
            return
        assert self.store.setdefault(write.name, write.places) == write.places
        for name in write.removals:
            self.store.pop(name, None)
        if is_answered:
            self.ledger.confirm()
            self.recorded |= {place.attempt for place in write.places}

    @precondition(lambda self: self.ledger.has_pending)
    @rule()
    def request_again(self) -> None:
        """Request all places again, as each round of starts does."""
        for number, place in self.needed.items():
            if number not in self.over:
                self.ledger.request(place)

    @invariant()
    def keep_what_is_needed(self) -> None:
        """Compare the store with the attempts that a successor must know."""
        stored = {place.attempt for places in self.store.values() for place in places}
        for number in self.recorded & self.needed.keys():
            assert number in stored
            assert self.ledger.is_recorded(f"j.0.{number}", number)
        for place in self.ledger.list_places():
            assert place.attempt in stored


class HistoriesTest(unittest.TestCase):
    """Any sequence of starts, ends, saves and writes."""

    def test_needed_places_stay_in_the_store(self) -> None:
        """Guards against a removal or copy that loses the place of a run."""
        machine = LedgerMachine.TestCase()
        machine.settings = settings(max_examples=60, deadline=None)
        machine.runTest()
