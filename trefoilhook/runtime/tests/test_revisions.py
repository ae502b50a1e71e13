"""Times of changes, from the revisions of the store's answers."""

import math
import unittest

from trefoilhook.runtime.revisions import RevisionLog


class RevisionLogTest(unittest.TestCase):
    """Bounds of the time of a change."""

    def setUp(self) -> None:
        self.log = RevisionLog()
        self.log.note(sent_ms=100.0, received_ms=1100.0, as_of=10)
        self.log.note(sent_ms=1100.0, received_ms=2100.0, as_of=14)
        self.log.note(sent_ms=2100.0, received_ms=3100.0, as_of=14)

    def find(self, revision: int) -> tuple[float, float]:
        """Return both bounds of a change."""
        return (
            self.log.find_earliest_ms(revision),
            self.log.find_latest_ms(revision),
        )

    def test_change_between_two_answers(self):
        # Guards against a change dated by the answer instead of its request.
        self.assertEqual(self.find(12), (100.0, 2100.0))

    def test_change_that_is_the_last_of_an_answer(self):
        # Guards against a bound that is off by one revision.
        self.assertEqual(self.find(14), (100.0, 2100.0))
        self.assertEqual(self.find(10), (-math.inf, 1100.0))

    def test_change_after_all_answers(self):
        # Guards against a change dated before it was made.
        self.assertEqual(self.find(15), (2100.0, math.inf))

    def test_answer_that_may_end_before_the_latest_revision(self):
        # Guards against a late bound from an answer that ends at its last change.
        self.log.note(sent_ms=3100.0, received_ms=3200.0, as_of=15, is_current=False)
        self.assertEqual(self.find(16), (2100.0, math.inf))
        self.assertEqual(self.find(15), (2100.0, 3200.0))

    def test_failure_ends_what_is_known(self):
        # Guards against bounds across a time in which the store did not answer.
        self.assertEqual(self.log.oldest_revision, 10)
        self.log.reset()
        self.assertEqual(self.find(12), (-math.inf, math.inf))
        self.assertIsNone(self.log.oldest_revision)

    def test_revisions_of_another_store(self):
        # Guards against bounds from two counters.
        self.log.note(sent_ms=3100.0, received_ms=3200.0, as_of=3)
        self.assertEqual(self.find(12), (3100.0, math.inf))
        self.assertEqual(self.find(2), (-math.inf, 3200.0))

    def test_number_of_answers_is_bounded(self):
        # Guards against memory that grows with each watch.
        for number in range(200):
            sent_ms = 4000.0 + number
            self.log.note(sent_ms=sent_ms, received_ms=sent_ms, as_of=20 + number)
        self.assertEqual(self.find(12), (-math.inf, 4136.0))
