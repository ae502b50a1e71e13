"""Tests of the search for batch jobs with nothing running, with some of its series."""

import random
import re
import unittest

from bench.availability.job_series import JOB_KINDS, build_job_series
from bench.availability.tests.test_series import search


def _read_digest(output: str) -> str:
    found = re.search(r"runs \((\w+)\)", output)
    return found[1] if found else output


class JobSearchTest(unittest.TestCase):
    """The users' rule on batch jobs, and that the search finds faults."""

    def check(self, seed: int, *, fault: str = "") -> str:
        """Simulate a series, and return the output if a fault is put in."""
        options = ("--fault", fault) if fault else ()
        ended = search("--jobs", "--seed", str(seed), "--count", "1", *options)
        self.assertEqual(ended.returncode, int(bool(fault)), ended.stdout)
        self.assertEqual(ended.stderr, "")
        return ended.stdout

    def test_jobs_have_runs_beside_capacity(self):
        # Guards against jobs with nothing running for 3 s on a mostly idle fleet.
        for seed in (5, 7, 20):
            with self.subTest(seed=seed):
                self.check(seed)

    def test_fault_of_the_relief_of_starved_jobs_is_found(self):
        # Guards against a search whose services tolerate all fillers.
        self.assertIn("not borne", self.check(15, fault="late relief"))

    def test_fault_of_common_causes_is_found(self):
        # Guards against waves that hit other tasks each time.
        self.assertIn("kept apart", self.check(5, fault="no common causes"))

    def test_fault_of_suspects_is_found(self):
        # Guards against losses too long after the starts to raise a suspicion.
        self.assertIn("kept apart", self.check(20, fault="long delays of suspects"))

    def test_fault_of_culprits_is_found(self):
        # Guards against series that end before a culprit's starts are used up.
        self.assertIn("silences: ", self.check(55, fault="unbounded culprits"))


class JobSeriesTest(unittest.TestCase):
    """Series of a seed."""

    def test_series_depends_on_the_seed_alone(self):
        for seed in (1, 5, 10, 15):
            with self.subTest(seed=seed):
                state = random.getstate()
                self.assertEqual(build_job_series(seed), build_job_series(seed))
                self.assertEqual(random.getstate(), state)

    def test_simulation_depends_on_the_seed_alone(self):
        # Guards against an order of tasks or jobs that depends on hashes or addresses.
        environments = (
            {"PYTHONHASHSEED": "1"},
            {"PYTHONHASHSEED": "2", "PYTHONMALLOC": "malloc"},
        )
        digests = {
            _read_digest(
                search("--jobs", "--seed", "20", "--count", "1", **each).stdout
            )
            for each in environments
        }
        self.assertEqual(len(digests), 1)

    def test_all_kinds_are_played(self):
        kinds = {
            action.kind
            for seed in range(60)
            for action in build_job_series(seed).actions
        }
        self.assertLessEqual(set(JOB_KINDS), kinds)
