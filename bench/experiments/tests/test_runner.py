"""Playing into a file, with a small program in place of the one that plays days."""

import pathlib
import stat
import tempfile
import unittest

from bench.experiments.plays import Play
from bench.experiments.runner import Player, play_all, read_outcomes

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
    """What is played, and what is kept."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.program = self.root / "program"
        self.program.write_text(PROGRAM)
        self.program.chmod(self.program.stat().st_mode | stat.S_IXUSR)
        self.lines: list[str] = []

    def play(self, *days: str, seed: int | None = 1):
        plays = [
            Play(
                version="v",
                checkout=self.root,
                deployment="d",
                site=self.root / "d.toml",
                day=day,
                seed=seed,
            )
            for day in days
        ]
        return play_all(
            plays,
            player=Player(program=self.program, why="a test"),
            path=self.root / "outcomes.jsonl",
            processes=2,
            tell=self.lines.append,
        )

    def test_report_is_kept(self):
        (outcome,) = self.play("quiet")
        self.assertEqual(outcome.worth, 0.5)
        self.assertEqual(outcome.broken, {"LOST": 2})
        self.assertEqual(outcome.over_limit_s, 1234.0)
        self.assertEqual(outcome.ends["c"]["late"], 2)
        self.assertEqual(read_outcomes(self.root / "outcomes.jsonl"), [outcome])

    def test_what_was_played_is_not_played_again(self):
        self.play("quiet", "busy")
        self.play("quiet", "busy", "late")
        calls = (self.root / "calls").read_text().splitlines()
        self.assertEqual(len(calls), 3)

    def test_play_without_a_report_is_told_and_left_out(self):
        outcomes = self.play("bad", "quiet")
        self.assertEqual([outcome.day for outcome in outcomes], ["quiet"])
        self.assertTrue(any("no such day" in line for line in self.lines))

    def test_day_is_played_with_its_own_seed_unless_one_is_given(self):
        self.play("quiet", seed=None)
        self.assertNotIn("--seed", (self.root / "calls").read_text())
