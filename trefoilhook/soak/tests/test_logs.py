"""Tests of the search for contained exceptions in the logs of a soak run."""

import tempfile
import unittest
from pathlib import Path

from trefoilhook.logs import Event
from trefoilhook.logs.lines import format_line
from trefoilhook.soak.logs import LOG_FILE, read_failures


class FailureLinesTest(unittest.TestCase):
    """Which lines count as violations."""

    def test_contained_failure_is_found(self):
        # Guards against a soak that passes because the fault was contained.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / LOG_FILE
            lines = (
                format_line(event, {"job": "j"}, instance="i0")
                for event in (Event.STARTED, Event.PLAN_FAILED, Event.OWNER_FAILED)
            )
            path.write_text("\n".join(lines), encoding="utf-8")
            found = list(read_failures(path))
        self.assertEqual(len(found), 2)
        self.assertIn("PLAN_FAILED", found[0])
