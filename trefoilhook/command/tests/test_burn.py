"""Tests of ``burn`` on log files of several processes."""

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from trefoilhook.command import USAGE_EXIT_CODE, build_application


def _line(instance: str, event: str, **fields) -> str:
    value = {"t": 1_750_000_000.0, "instance": instance, "event_name": event}
    return json.dumps({**value, "job": "j1", "queue": "seats", **fields}) + "\n"


_ACCEPTED = _line("a", "JOB_ACCEPTED", objective_ms=900)
_FINISHED = _line("b", "JOB_FINISHED", phase="completed", objective_ms=900, late_ms=-1)


class BurnCommandTest(unittest.TestCase):
    """Output and exit codes of the command."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.logs = ""
        for name, text in (("a", _ACCEPTED), ("b", _FINISHED)):
            file = self.directory / name
            file.write_text(text, encoding="utf-8")
            self.logs += f" --log {file}"

    def _run(self, arguments: str) -> tuple[int, str]:
        tester = ApplicationTester(build_application())
        code = tester.execute(f"burn {arguments}")
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_text(self):
        code, text = self._run(self.logs)
        self.assertEqual(code, 0)
        self.assertIn("jobs/seats", text)
        self.assertIn("1 instances counted", text)

    def test_json(self):
        code, text = self._run(f"{self.logs} --json --target 0.5")
        self.assertEqual(code, 0)
        (row,) = json.loads(text)["services"]
        self.assertEqual((row["service"], row["target"]), ("seats", 0.5))
        self.assertEqual(row["windows"][0]["good"], 1)

    def test_page(self):
        page = self.directory / "burn.html"
        code, _ = self._run(f"{self.logs} --html {page}")
        self.assertEqual(code, 0)
        self.assertIn("jobs/seats", page.read_text(encoding="utf-8"))

    def test_exit_codes(self):
        empty = self.directory / "empty"
        empty.touch()
        table = (
            (f"--log {empty}", 1),
            (f"--log {self.directory / 'none'}", USAGE_EXIT_CODE),
            (f"{self.logs} --target 1", USAGE_EXIT_CODE),
            (f"{self.logs} --target much", USAGE_EXIT_CODE),
        )
        for arguments, expected in table:
            with self.subTest(arguments):
                self.assertEqual(self._run(arguments)[0], expected)
