"""A dependency that is lost takes a line, and one when it is back."""

import unittest

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.logs import CallFailure, DependencyLog, Event

SILENT = CallFailure.NO_ANSWER
AWAY = CallFailure.TURNED_AWAY


class _Log:
    """A dependency's log on a time set by hand, with the lines that it wrote."""

    def __init__(self, **fields) -> None:
        self.time = ManualTime()
        self.lines: list[tuple[str, dict]] = []
        self.log = DependencyLog(
            clock=build_manual_clock(self.time),
            lost=Event.STORE_DOWN,
            regained=Event.STORE_BACK,
            write=lambda event, **told: self.lines.append((event.name, told)),
            **fields,
        )

    def play(self, *steps) -> None:
        """Advance to each step's time; None is an answer, the rest are failures."""
        for at_ms, call, why, sent_ms in steps:
            self.time.now_ms = at_ms
            if why is None:
                self.log.record_answer(sent_ms=sent_ms)
            else:
                self.log.record_failure(call, why, sent_ms=sent_ms)

    @property
    def names(self) -> list[str]:
        return [name for name, _ in self.lines]


class DependencyLogTest(unittest.TestCase):
    """Which calls make a line."""

    def test_lines_table(self):
        down, back = "STORE_DOWN", "STORE_BACK"
        table = (
            ("answers only", [(0, "get", None, 0), (9, "get", None, 9)], []),
            ("one failure", [(5, "get", SILENT, 0)], [down]),
            (
                "many failures of several callers",
                [(n, f"c{n % 7}", SILENT, n) for n in range(5000)],
                [down],
            ),
            (
                "lost and back",
                [(5, "get", SILENT, 0), (6, "watch", SILENT, 0), (9, "get", None, 8)],
                [down, back],
            ),
            (
                "turned away, then silent: one outage",
                [(5, "get", AWAY, 4), (900, "get", SILENT, 6), (990, "get", None, 9)],
                [down, back],
            ),
            (
                "sent while it was away, and timed out after it was back",
                [(5, "a", SILENT, 4), (9, "b", None, 8), (2000, "c", SILENT, 6)],
                [down, back],
            ),
            (
                "a watch from before it was away is answered meanwhile",
                [(5, "a", AWAY, 4), (9, "watch", None, 1), (2000, "c", AWAY, 1900)],
                [down],
            ),
            (
                "lost once more later",
                [(5, "a", SILENT, 4), (9, "b", None, 8), (2000, "c", SILENT, 1000)],
                [down, back, down],
            ),
        )
        for name, steps, expected in table:
            with self.subTest(name):
                log = _Log()
                log.play(*steps)
                self.assertEqual(log.names, expected)

    def test_what_is_told(self):
        log = _Log(subject={"worker": "w1"})
        log.play(
            (1000, "get", None, 990),
            (3000, "watch", SILENT, 2000),
            (3100, "commit", AWAY, 3050),
            (3200, "watch", SILENT, 3000),
            (7000, "get", None, 6990),
        )
        (_, lost), (_, back) = log.lines
        self.assertEqual(
            lost,
            {"worker": "w1", "call": "watch", "why": "no answer", "silent_ms": 2000},
        )
        self.assertEqual(
            back,
            {
                "worker": "w1",
                "lost_ms": 4000,
                "silent_ms": 6000,
                "failed": 3,
                "why": {"no answer": 2, "turned away": 1},
                "calls": {"watch": 2, "commit": 1},
            },
        )

    def test_every_other_call_fails_for_ten_seconds(self):
        # The store loses every other answer, a hundred times a second. A pair of lines
        # each time would push whatever decides out of the lines that are kept.
        log = _Log()
        for at_ms in range(0, 10_000, 10):
            log.play((at_ms, "get", SILENT, at_ms), (at_ms + 5, "get", None, at_ms + 5))
        self.assertLessEqual(len(log.lines), 20)
        lost = [told for name, told in log.lines if name == "STORE_DOWN"]
        told = len(lost) + sum(told.get("short_losses", 0) for told in lost)
        self.assertEqual(told, 901)

    def test_loss_that_lasts_is_told_though_a_short_one_was_just_told(self):
        # Back for a moment, then away for good: the second loss is told with the first
        # call that fails a second after the first line.
        log = _Log()
        log.play((0, "get", SILENT, 0), (100, "get", None, 90))
        log.play(*((at, "get", SILENT, at) for at in range(200, 3000, 200)))
        self.assertEqual(log.names, ["STORE_DOWN", "STORE_BACK", "STORE_DOWN"])
        self.assertEqual(log.lines[-1][1]["silent_ms"], 900)

    def test_late_failures_are_told_with_the_next_loss(self):
        log = _Log()
        log.play((5, "a", SILENT, 4), (9, "b", None, 8), (99, "c", SILENT, 6))
        log.play((5000, "a", SILENT, 4000))
        self.assertEqual(log.lines[-1][1]["late_failures"], 1)
