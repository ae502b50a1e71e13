"""Tests of the rate limit per event: excess lines are counted, and the count logged."""

import unittest

from trefoilhook.logs import Event
from trefoilhook.logs.core import EventRateLimiter


class _Lines:
    """A rate limiter on manual time, and the lines that it wrote."""

    def __init__(self) -> None:
        self.now_s = 10.0
        self.written: list[tuple[Event, dict]] = []
        self.limiter = EventRateLimiter(
            write=lambda *entry: self.written.append(entry),
            monotonic_s=lambda: self.now_s,
        )

    def log(self, event: Event, count: int) -> None:
        for number in range(count):
            self.limiter.log(event, {"number": number})

    def count(self, event: Event) -> int:
        return sum(written is event for written, _ in self.written)

    def list_counts(self) -> list[dict]:
        return [fields for event, fields in self.written if event is Event.LINES_SUMMED]


class EventRateLimiterTest(unittest.TestCase):
    """Lines written during and after a burst."""

    def test_burst_of_a_state_is_counted(self):
        lines = _Lines()
        lines.log(Event.LINK_DOWN, 250)
        self.assertEqual(lines.count(Event.LINK_DOWN), 100)
        lines.now_s += 1.0
        lines.log(Event.LINK_DOWN, 1)
        self.assertEqual(lines.list_counts(), [{"of": "LINK_DOWN", "count": 150}])

    def test_each_start_of_a_large_deployment_keeps_its_line(self):
        # Guards against the loss of one task's start line among 480 in a second: under
        # the limit of 100 lines for states only a count of starts would be logged.
        lines = _Lines()
        lines.log(Event.TASK_STARTED, 480)
        lines.log(Event.TASK_ENDED, 480)
        lines.now_s += 1.0
        lines.log(Event.TASK_STARTED, 1)
        self.assertEqual(lines.count(Event.TASK_STARTED), 481)
        self.assertEqual(lines.count(Event.TASK_ENDED), 480)
        self.assertEqual(lines.list_counts(), [])

    def test_decisions_are_bounded_too(self):
        lines = _Lines()
        lines.log(Event.REQUEST_REFUSED, 5000)
        self.assertEqual(lines.count(Event.REQUEST_REFUSED), 1000)

    def test_count_is_logged_when_the_event_does_not_recur(self):
        # Guards against a count that is never logged, as it waits for the same event to
        # occur again after the last burst.
        lines = _Lines()
        lines.log(Event.LINK_DOWN, 250)
        lines.now_s += 5.0
        lines.log(Event.STOPPING, 1)
        self.assertEqual(lines.list_counts(), [{"of": "LINK_DOWN", "count": 150}])
