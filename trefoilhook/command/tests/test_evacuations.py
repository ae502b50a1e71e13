"""Tests of ``evacuations`` on log files of several instances."""

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from trefoilhook.command import USAGE_EXIT_CODE, build_application

_BEGIN_S = 1_750_000_000.0


def build_line(instance: str, event: str, after_s: float = 0.0, **fields) -> str:
    """Build a log line about one failure domain."""
    line = {
        "t": _BEGIN_S + after_s,
        "instance": instance,
        "event_name": event,
        "failure_domain": "east",
    }
    return json.dumps({**line, **fields}) + "\n"


_BEGUN = build_line("a", "EVACUATION_BEGUN", revision=7)
_LEFT = build_line("a", "EVACUATION_LEFT", 2.0, runs=9, long_running=4, busy_workers=3)
_ENDED = build_line("a", "EVACUATION_ENDED", 8.0, after_ms=8000)


class EvacuationsCommandTest(unittest.TestCase):
    """The output and exit codes of the command."""

    def run_command(self, *texts: str, options: str = "") -> tuple[int, str]:
        """Run the command on one log file per text; return exit code and output."""
        with tempfile.TemporaryDirectory() as directory:
            logs = ""
            for number, text in enumerate(texts):
                file = Path(directory) / f"log-{number}"
                file.write_text(text, encoding="utf-8")
                logs += f" --log {file}"
            tester = ApplicationTester(build_application())
            code = tester.execute(f"evacuations {options}{logs}")
            return code, tester.io.fetch_output() + tester.io.fetch_error()

    def test_evacuation_in_force(self):
        begun_on_b = build_line("b", "EVACUATION_BEGUN", 0.4, revision=7)
        code, text = self.run_command(_BEGUN + _LEFT, begun_on_b)
        self.assertEqual(code, 0)
        self.assertEqual(
            text,
            "east: since 2025-06-15 15:06:40, in force, known to 2 instances, at "
            "2025-06-15 15:06:42 9 runs on 3 workers, 4 of them long-running\n",
        )

    def test_ended_evacuation(self):
        _, text = self.run_command(_BEGUN + _ENDED)
        self.assertEqual(
            text,
            "east: since 2025-06-15 15:06:40, until 2025-06-15 15:06:48, known to 1 "
            "instances\n",
        )

    def test_restarted_instance_adds_no_evacuation(self):
        again = build_line("a", "EVACUATION_BEGUN", 3.0, revision=7)
        _, text = self.run_command(_BEGUN + again)
        self.assertEqual(text.count("\n"), 1)

    def test_same_domain_evacuated_twice(self):
        again = build_line("a", "EVACUATION_BEGUN", 9.0, revision=12)
        _, text = self.run_command(_BEGUN + _ENDED + again)
        first, second = text.splitlines()
        self.assertIn("until", first)
        self.assertIn("in force", second)

    def test_json(self):
        code, text = self.run_command(_BEGUN + _LEFT + _ENDED, options="--json")
        (report,) = json.loads(text)
        self.assertEqual(code, 0)
        self.assertEqual((report["failure_domain"], report["runs"]), ("east", 9))
        self.assertEqual(report["ended_s"], _BEGIN_S + 8.0)

    def test_invalid_lines_and_counts(self):
        invalid_count = build_line("a", "EVACUATION_LEFT", 2.0, runs="many")
        code, text = self.run_command(
            "no json\n" + invalid_count + _BEGUN + invalid_count
        )
        self.assertEqual(code, 0)
        self.assertNotIn("runs", text)

    def test_log_without_evacuations(self):
        self.assertEqual(self.run_command("{}\n"), (1, ""))

    def test_missing_file(self):
        tester = ApplicationTester(build_application())
        self.assertEqual(
            tester.execute("evacuations --log none.jsonl"), USAGE_EXIT_CODE
        )


if __name__ == "__main__":
    unittest.main()
