"""Tests of sets in the order of insertion."""

import unittest

from trefoilhook.scheduling.ordered_set import OrderedSet


class OrderedSetTest(unittest.TestCase):
    """A set that is iterated in the order of insertion."""

    def test_order_of_insertion(self):
        items = [object() for _ in range(100)]
        self.assertEqual(list(OrderedSet(items)), items)

    def test_item_that_is_added_again_keeps_its_position(self):
        items = OrderedSet("ab")
        items.add("a")
        self.assertEqual(list(items), ["a", "b"])

    def test_item_that_is_removed_and_added_comes_last(self):
        items = OrderedSet("ab")
        items.discard("a")
        items.discard("c")
        items.add("a")
        self.assertEqual(list(items), ["b", "a"])

    def test_compares_like_a_set(self):
        items = OrderedSet("ab")
        self.assertEqual(items, {"b", "a"})
        self.assertLess(items, {"a", "b", "c"})
        self.assertIn("a", items)
        self.assertNotIn("c", items)
