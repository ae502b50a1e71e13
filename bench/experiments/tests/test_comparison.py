"""Paired comparison of versions."""

import unittest

from bench.experiments.comparison import compare, compute_interval
from bench.experiments.runs import Outcome


def _build_outcome(
    version: str, day: str, seed: int, worth: float, **fields
) -> Outcome:
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
    """Means, minima and paired differences."""

    def test_difference_is_paired_by_run(self):
        # Days differ by more than versions do. If one version has run on more days, the
        # difference of the means reflects the days and not the versions.
        rows = compare(
            [
                _build_outcome("a", "easy", 1, 0.9),
                _build_outcome("a", "hard", 1, 0.3),
                _build_outcome("b", "easy", 1, 0.92),
            ],
            base="a",
        )
        found = {(row.group, row.version): row for row in rows}
        b = found["all", "b"]
        self.assertAlmostEqual(b.mean, 0.92)
        self.assertAlmostEqual(b.difference, 0.02)
        self.assertIsNone(b.low)
        self.assertAlmostEqual(found["all", "a"].worst, 0.3)

    def test_runs_with_rule_violations_are_counted(self):
        rows = compare(
            [
                _build_outcome("a", "x", 1, 0.5, broken={"LOST": 2}),
                _build_outcome("a", "x", 2, 0.5),
            ],
            base="a",
        )
        self.assertEqual({row.broken for row in rows}, {1})

    def test_version_without_common_runs_has_no_difference(self):
        rows = compare(
            [_build_outcome("a", "x", 1, 0.5), _build_outcome("b", "x", 2, 0.6)],
            base="a",
        )
        self.assertTrue(all(r.difference is None for r in rows if r.version == "b"))

    def test_interval_contains_mean_and_narrows_with_runs(self):
        few = compute_interval([0.0, 0.02, 0.04, 0.06])
        many = compute_interval([0.0, 0.02, 0.04, 0.06] * 10)
        self.assertLess(few[0], 0.03)
        self.assertGreater(few[1], 0.03)
        self.assertLess(many[1] - many[0], few[1] - few[0])
