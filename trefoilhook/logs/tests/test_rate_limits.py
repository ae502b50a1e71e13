"""Lines are bounded a second, and what is over the bound is told as a count."""

import unittest

from trefoilhook.logs import Event
from trefoilhook.logs.core import LineBudget


class _Lines:
    """A budget on a time set by hand, with what it wrote."""

    def __init__(self) -> None:
        self.now_s = 10.0
        self.written: list[tuple[Event, dict]] = []
        self.budget = LineBudget(
            write=lambda *line: self.written.append(line), read_s=lambda: self.now_s
        )

    def take(self, event: Event, count: int) -> None:
        for number in range(count):
            self.budget.take(event, {"number": number})

    def count(self, event: Event) -> int:
        return sum(written is event for written, _ in self.written)

    def list_sums(self) -> list[dict]:
        return [told for event, told in self.written if event is Event.LINES_SUMMED]


class LineBudgetTest(unittest.TestCase):
    """What is written of a burst."""

    def test_burst_of_a_state_is_summed_up(self):
        lines = _Lines()
        lines.take(Event.LINK_DOWN, 250)
        self.assertEqual(lines.count(Event.LINK_DOWN), 100)
        lines.now_s += 1.0
        lines.take(Event.LINK_DOWN, 1)
        self.assertEqual(lines.list_sums(), [{"of": "LINK_DOWN", "count": 150}])

    def test_each_start_of_a_large_deployment_keeps_its_line(self):
        # A request fails, and the start of its task is one of 480 in that second. With
        # a hundred lines a second the logs told a count of starts, and not this one.
        lines = _Lines()
        lines.take(Event.TASK_STARTED, 480)
        lines.take(Event.TASK_ENDED, 480)
        lines.now_s += 1.0
        lines.take(Event.TASK_STARTED, 1)
        self.assertEqual(lines.count(Event.TASK_STARTED), 481)
        self.assertEqual(lines.count(Event.TASK_ENDED), 480)
        self.assertEqual(lines.list_sums(), [])

    def test_decisions_are_bounded_too(self):
        lines = _Lines()
        lines.take(Event.REQUEST_REFUSED, 5000)
        self.assertEqual(lines.count(Event.REQUEST_REFUSED), 1000)

    def test_count_is_told_though_the_event_never_comes_again(self):
        # The last burst before the process goes quiet: the count used to wait for the
        # same event, which never came.
        lines = _Lines()
        lines.take(Event.LINK_DOWN, 250)
        lines.now_s += 5.0
        lines.take(Event.STOPPING, 1)
        self.assertEqual(lines.list_sums(), [{"of": "LINK_DOWN", "count": 150}])
