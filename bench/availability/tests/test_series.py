"""Tests of the search, which also run a few of its series."""

import os
import subprocess
import sys
import unittest

from bench.availability.load import Load
from bench.availability.series import Action, Series, build_series
from bench.availability.shrinking import shrink


def search(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    """Run the search in a process of its own, as it replaces parts of the product."""
    return subprocess.run(
        [sys.executable, "-m", "bench.availability", *arguments],
        env={
            **os.environ,
            "LOGURU_AUTOINIT": "0",
            "PYTHONHASHSEED": "0",
            **environment,
        },
        capture_output=True,
        text=True,
        timeout=300.0,
    )


class SearchTest(unittest.TestCase):
    """The users' rule on service tasks, and that the search finds faults."""

    def check(self, seed: int, *, fault: str = "") -> str:
        """Simulate a series, and return the output if a fault is put in."""
        options = ("--fault", fault) if fault else ()
        ended = search("--seed", str(seed), "--count", "1", *options)
        self.assertEqual(ended.returncode, int(bool(fault)), ended.stdout)
        self.assertEqual(ended.stderr, "")
        return ended.stdout

    def test_service_tasks_do_not_wait_beside_capacity(self):
        # Guards against service tasks that wait for over 3 s beside capacity for two.
        for seed in (2, 7, 53):
            with self.subTest(seed=seed):
                self.check(seed)

    def test_fault_of_placement_is_found(self):
        # Guards against a search whose fleets have no room beside waiting tasks.
        self.assertIn("kept for urgent", self.check(2, fault="long holds"))

    def test_fault_of_takeovers_is_found(self):
        # Guards against a search whose owners never wait for workers that are gone.
        found = self.check(7, fault="no evidence at takeovers")
        self.assertIn("owner new", found)


class ShrinkTest(unittest.TestCase):
    """Reduction of series."""

    def test_only_what_breaks_the_rule_remains(self):
        def find_break(series: Series) -> float | None:
            kinds = [action.kind for action in series.actions]
            return 9000.0 if "kill owner" in kinds and series.load.burst else None

        actions = tuple(
            Action(at_ms=at_ms, kind=kind)
            for at_ms, kind in ((1e3, "drain workers"), (2e3, "kill owner"))
        )
        series = Series(
            seed=1,
            workers=6,
            instances=3,
            load=Load(fill=0.5, burst=0.1, batch=0.3),
            length_ms=60_000.0,
            actions=actions,
        )
        smallest = shrink(series, find_break)
        self.assertEqual(smallest.actions, actions[1:])
        self.assertEqual(smallest.load, Load(fill=0.5, burst=0.1))
        self.assertEqual(smallest.length_ms, 10_000.0)

    def test_series_depends_on_the_seed_alone(self):
        self.assertEqual(build_series(5), build_series(5))
        self.assertNotEqual(build_series(5), build_series(13))
