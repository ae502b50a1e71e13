"""Execution of runs with a shell script in place of the simulator."""

import pathlib
import stat
import tempfile
import unittest

from bench.experiments.runner import Simulator, read_outcomes, run_all
from bench.experiments.runs import Run

REPORT = (
    '{"G": 0.5, "served": 0.9, "unserved": 0.1, "parts": [["whole day", 0.4, 0.9]],'
    ' "classes": [{"name": "c", "worth": 0.9, "in_aim": 7, "late": 2, "refused": 0,'
    ' "failed": 1}], "breaks": {"LOST": 2}, "hints":'
    ' ["7 orders; tasks were over their target, or paced down, for 1,234 s in all"]}'
)
PROGRAM = f"""#!/bin/sh
echo "$@" >> calls
case "$3" in
bad) echo "no such day" >&2; exit 3;;
esac
while [ "$1" != --report ]; do shift; done
echo '{REPORT}' > "$2"
"""


class RunnerTest(unittest.TestCase):
    """Missing runs are executed and their outcomes stored."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.program = self.root / "program"
        self.program.write_text(PROGRAM)
        self.program.chmod(self.program.stat().st_mode | stat.S_IXUSR)
        self.lines: list[str] = []

    def run_days(self, *days: str, seed: int | None = 1):
        runs = [
            Run(
                version="v",
                checkout=self.root,
                deployment="d",
                site=self.root / "d.toml",
                day=day,
                seed=seed,
            )
            for day in days
        ]
        return run_all(
            runs,
            simulator=Simulator(program=self.program, reason="a test"),
            path=self.root / "outcomes.jsonl",
            processes=2,
            report_progress=self.lines.append,
        )

    def test_report_is_saved(self):
        (outcome,) = self.run_days("quiet")
        self.assertEqual(outcome.worth, 0.5)
        self.assertEqual(outcome.broken, {"LOST": 2})
        self.assertEqual(outcome.over_limit_s, 1234.0)
        self.assertEqual(outcome.ends["c"]["late"], 2)
        self.assertEqual(read_outcomes(self.root / "outcomes.jsonl"), [outcome])

    def test_completed_runs_are_not_repeated(self):
        self.run_days("quiet", "busy")
        self.run_days("quiet", "busy", "late")
        calls = (self.root / "calls").read_text().splitlines()
        self.assertEqual(len(calls), 3)

    def test_run_without_report_is_logged_and_skipped(self):
        outcomes = self.run_days("bad", "quiet")
        self.assertEqual([outcome.day for outcome in outcomes], ["quiet"])
        self.assertTrue(any("no such day" in line for line in self.lines))

    def test_seed_option_is_passed_only_when_given(self):
        self.run_days("quiet", seed=None)
        self.assertNotIn("--seed", (self.root / "calls").read_text())
