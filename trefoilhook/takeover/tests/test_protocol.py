"""Search of all short histories of owners, workers and a store at takeovers."""

import unittest

from trefoilhook.takeover.tests.checker import explore
from trefoilhook.takeover.tests.world import Settings

QUIET = {"fails": 0, "births": 0, "unlistings": 0, "lost_answers": 0, "late_writes": 0}
"""No fault but the loss of owners, orders and leases."""

NEEDED: tuple[tuple[str, dict[str, object]], ...] = (
    ("renewals", {"never_ends": True, "second": False}),
    ("unrecorded released", {"is_first_old": True, "second": False}),
    ("late ends", {"is_first_old": True, "second": False}),
    (
        "sent head",
        {"owners": 2, "second": False, "unlistings": 1, "late_writes": 1},
    ),
)
"""Guards, and worlds in which their loss shows."""


class ProtocolTest(unittest.TestCase):
    """What the protocol promises, and which guards it takes."""

    def test_each_guard_is_needed(self) -> None:
        """A history with a fault is found for each guard that is taken out."""
        for guard, changes in NEEDED:
            with self.subTest(guard):
                settings = Settings(without=frozenset({guard}), **{**QUIET, **changes})
                self.assertTrue(explore(settings, max_depth=10).story)

    def test_no_short_history_breaks_a_promise(self) -> None:
        """Nothing runs twice or again after its end, and nothing waits in vain."""
        result = explore(Settings(owners=2, lost_answers=0), max_depth=5)
        self.assertEqual(result.story, ())
