"""Tests of ``idle-jobs`` on a log file."""

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from trefoilhook.command import build_application
from trefoilhook.command.tests.test_interruptions import build_line

_IDLE = {"job": "j", "queue": "q", "epoch": 1, "idle_ms": 2000}


class IdleJobsCommandTest(unittest.TestCase):
    """The output and exit codes of the command."""

    def run_command(self, options: str = "") -> tuple[int, str]:
        """Run the command on a log file; return exit code and output."""
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory) / "log"
            file.write_text(build_line(9.0, "JOB_IDLE", **_IDLE), encoding="utf-8")
            tester = ApplicationTester(build_application())
            code = tester.execute(f"idle-jobs {options} --log {file}")
            return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_text_and_json(self):
        code, text = self.run_command()
        self.assertEqual(code, 0)
        self.assertIn("1 stretches of batch jobs with nothing running", text)
        code, text = self.run_command("--json")
        (found,) = json.loads(text)["stretches"]
        self.assertEqual((code, found["duration_s"]), (0, 2.0))

    def test_minimum(self):
        code, text = self.run_command("--min 2.5")
        self.assertEqual((code, text.partition(" ")[0]), (1, "0"))
