"""Tests of the lines about invalid entries."""

import unittest

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.logs import Event
from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.rejections import Rejections

_KEY = "servers/w"


class RejectionsTest(unittest.TestCase):
    """Lines about one key on manual time."""

    def setUp(self):
        self.time = ManualTime()
        self.metrics = ProcessMetrics()
        self.rejections = Rejections(
            clock=build_manual_clock(self.time), metrics=self.metrics
        )

    def _report(self, key: str = _KEY) -> None:
        self.rejections.report(Event.REPORT_INVALID, key, "a field")

    def _accept(self) -> None:
        self.rejections.accept(Event.REPORT_INVALID, _KEY)

    def test_alternating_entry_does_not_flood_the_log(self):
        # Guards against two writers of one key, one of them odd, that fill the log with
        # hundreds of lines a second.
        with capture_lines() as lines:
            for number in range(6000):
                self.time.now_ms = number * 5.0
                self._report()
                self._accept()
        # 30 s with five lines in each 10 s.
        self.assertEqual(len(lines), 15)
        self.assertEqual(self.metrics.counters["rejected", "report_invalid"], 6000)

    def test_entry_that_stays_invalid_after_alternating_is_logged(self):
        # Guards against an entry whose last outage is never logged because those before
        # it have used up its lines.
        with capture_lines() as lines:
            for _ in range(20):
                self._accept()
                self._report()
            self.assertEqual(len(lines), 5)
            self.time.now_ms += 11_000.0
            for _ in range(20):
                self._report()
        self.assertEqual(len(lines), 6)

    def test_other_keys_are_logged(self):
        with capture_lines() as lines:
            for number in range(50):
                self._report(f"servers/{number}")
        self.assertEqual(len(lines), 50)
