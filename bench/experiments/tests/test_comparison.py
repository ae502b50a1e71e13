"""Comparison of versions, play by play."""

import unittest

from bench.experiments.comparison import compare, find_interval
from bench.experiments.plays import Outcome


def _outcome(version: str, day: str, seed: int, worth: float, **fields) -> Outcome:
    return Outcome(
        version=version,
        deployment="d",
        day=day,
        seed=seed,
        varied=False,
        worth=worth,
        served=0.9,
        failed=fields.pop("failed", 0.1),
        parts={},
        classes={},
        broken=fields.pop("broken", {}),
    )


class ComparisonTest(unittest.TestCase):
    """Means, worst plays and paired differences."""

    def test_difference_is_taken_play_by_play(self):
        # Days differ by more than versions do. Where one version has been played on
        # more days, the difference of the means tells of the days.
        rows = compare(
            [
                _outcome("a", "easy", 1, 0.9),
                _outcome("a", "hard", 1, 0.3),
                _outcome("b", "easy", 1, 0.92),
            ],
            base="a",
        )
        found = {(row.group, row.version): row for row in rows}
        b = found["all", "b"]
        self.assertAlmostEqual(b.mean, 0.92)
        self.assertAlmostEqual(b.difference, 0.02)
        self.assertIsNone(b.low)
        self.assertAlmostEqual(found["all", "a"].worst, 0.3)

    def test_plays_with_a_broken_rule_are_counted(self):
        rows = compare(
            [
                _outcome("a", "x", 1, 0.5, broken={"LOST": 2}),
                _outcome("a", "x", 2, 0.5),
            ],
            base="a",
        )
        self.assertEqual({row.broken for row in rows}, {1})

    def test_version_without_a_common_play_has_no_difference(self):
        rows = compare(
            [_outcome("a", "x", 1, 0.5), _outcome("b", "x", 2, 0.6)], base="a"
        )
        self.assertTrue(all(r.difference is None for r in rows if r.version == "b"))

    def test_interval_holds_the_mean_and_narrows_with_plays(self):
        few = find_interval([0.0, 0.02, 0.04, 0.06])
        many = find_interval([0.0, 0.02, 0.04, 0.06] * 10)
        self.assertLess(few[0], 0.03)
        self.assertGreater(few[1], 0.03)
        self.assertLess(many[1] - many[0], few[1] - few[0])
