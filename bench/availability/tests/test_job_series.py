"""Tests of the search for batch jobs with nothing running, with some of its series."""

import hashlib
import random
import re
import unittest

from bench.availability.fleet import SILENCES
from bench.availability.job_series import (
    FIRST_NEWER_SEED,
    JOB_KINDS,
    JobSeries,
    build_job_series,
)
from bench.availability.tests.test_series import search


def _read_digest(output: str) -> str:
    found = re.search(r"runs \((\w+)\)", output)
    return found[1] if found else output


def _digest(series: JobSeries) -> str:
    load = series.load
    actions = [
        (each.at_ms, each.kind, each.share, each.duration_ms) for each in series.actions
    ]
    shares = (load.filler_share, load.wide_share, load.apart_share, load.culprit_share)
    values = (load.fill, load.cost, load.jobs, load.jobs_per_s, load.task_ms, shares)
    return repr((series.workers, series.traffic_ms, series.length_ms, actions, values))


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
        for seed in (5, 7, 20, 1012, 395, 425):
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
        self.assertIn("kept apart", self.check(395, fault="long delays of suspects"))

    def test_fault_of_silent_runs_is_found(self):
        # Guards against a search whose silent workers hold no job's only runs.
        self.assertIn("JobViolation", self.check(1012, fault="silent runs"))

    def test_fault_of_late_clocks_is_found(self):
        # Guards against a search that excuses idleness before the release of a run.
        self.assertIn("JobViolation", self.check(1012, fault="clocks from the release"))

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

    def test_older_seeds_keep_their_series(self):
        # Guards against newer kinds that change what the seeds in use play.
        digest = hashlib.sha256()
        for seed in range(461):
            digest.update(_digest(build_job_series(seed)).encode())
        self.assertEqual(digest.hexdigest()[:12], "a3736515d6d9")

    def test_all_kinds_are_played(self):
        newer = range(FIRST_NEWER_SEED, FIRST_NEWER_SEED + 60)
        kinds = {
            action.kind
            for seed in (*range(60), *newer)
            for action in build_job_series(seed).actions
        }
        self.assertLessEqual({*JOB_KINDS, "cut workers from owner"}, kinds)

    def test_newer_series_hide_runs_from_the_owner(self):
        # Guards against cuts and dark workers that end before the jobs are judged.
        aims: set[str] = set()
        for seed in range(FIRST_NEWER_SEED, FIRST_NEWER_SEED + 60, 2):
            series = build_job_series(seed)
            kinds = [action.kind for action in series.actions]
            lasting = [
                action
                for action in series.actions
                if action.at_ms + action.duration_ms >= series.length_ms
            ]
            if "restart cut workers" in kinds:
                [cut] = lasting
                self.assertLess(cut.at_ms, series.traffic_ms)
                aims.add(cut.kind)
            elif "darken workers" in kinds:
                [dark] = lasting
                after_ms = dark.at_ms - series.traffic_ms
                self.assertTrue(3000.0 <= after_ms <= 6000.0, after_ms)
                aims.add(dark.kind)
            else:
                self.assertEqual(series.load.culprits, (SILENCES,))
                self.assertGreater(series.load.culprit_share, 0.0)
                aims.add(SILENCES)
        self.assertEqual(
            aims,
            {
                "cut workers from owner",
                "cut workers from instances",
                "darken workers",
                SILENCES,
            },
        )
