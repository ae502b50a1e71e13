"""Tests of ``interruptions`` on log files of several instances."""

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from trefoilhook.command import USAGE_EXIT_CODE, build_application


def build_line(at_s: float, event: str, **fields) -> str:
    """Build a log line."""
    value = {"t": 1.75e9 + at_s, "instance": "a", "event_name": event, **fields}
    return json.dumps(value) + "\n"


_RUN = {"task": "j.0.0.1", "worker": "w1"}
_ENDED = (
    build_line(0.0, "SERVICE_SHORT", job="j")
    + build_line(1.0, "TASK_STARTED", attempt=1, **_RUN)
    + build_line(5.0, "TASK_ENDED", attempt=1, how="failed", **_RUN)
)
_STARTED = build_line(8.0, "TASK_STARTED", attempt=2, **_RUN)


class InterruptionsCommandTest(unittest.TestCase):
    """The output and exit codes of the command."""

    def run_command(self, options: str = "") -> tuple[int, str]:
        """Run the command on two log files; return exit code and output."""
        with tempfile.TemporaryDirectory() as directory:
            logs = ""
            for number, text in enumerate((_STARTED, "cut {\n" + _ENDED)):
                file = Path(directory) / f"log-{number}"
                file.write_text(text, encoding="utf-8")
                logs += f" --log {file}"
            tester = ApplicationTester(build_application())
            code = tester.execute(f"interruptions {options}{logs}")
            return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_logs_of_several_instances_are_merged(self):
        code, text = self.run_command()
        self.assertEqual(code, 0)
        self.assertIn("1 interruptions of service tasks, longest 3.00 s", text)
        self.assertIn("skipped lines: cut or not JSON 1", text)

    def test_json(self):
        code, text = self.run_command("--json")
        (found,) = json.loads(text)["interruptions"]
        self.assertEqual((code, found["duration_s"]), (0, 3.0))

    def test_no_interruption_as_long_as_the_minimum(self):
        code, text = self.run_command("--min 3.5")
        self.assertEqual(code, 1)
        self.assertIn("0 interruptions", text)

    def test_invalid_minimum(self):
        for value in ("x", "nan", "inf", "=-1"):
            with self.subTest(value):
                separator = "" if value.startswith("=") else " "
                code, text = self.run_command(f"--min{separator}{value}")
                self.assertEqual(code, USAGE_EXIT_CODE)
                self.assertIn("must be a number of seconds", text)

    def test_missing_file(self):
        tester = ApplicationTester(build_application())
        self.assertEqual(
            tester.execute("interruptions --log none.jsonl"), USAGE_EXIT_CODE
        )


if __name__ == "__main__":
    unittest.main()
