"""Tests of the lines logged at the start and at the end of an outage."""

import unittest

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.logs import CallFailure, Event, OutageLog

NO_ANSWER = CallFailure.NO_ANSWER
UNAVAILABLE = CallFailure.UNAVAILABLE


class _Log:
    """A dependency log on manual time, and the lines that it wrote."""

    def __init__(self, **fields) -> None:
        self.time = ManualTime()
        self.lines: list[tuple[str, dict]] = []
        self.log = OutageLog(
            clock=build_manual_clock(self.time),
            started_event=Event.STORE_DOWN,
            ended_event=Event.STORE_BACK,
            write=lambda event, **logged: self.lines.append((event.name, logged)),
            **fields,
        )

    def play(self, *steps) -> None:
        """Record the result of each step at its time; a reason of None is an answer."""
        for at_ms, call, why, sent_ms in steps:
            self.time.now_ms = at_ms
            if why is None:
                self.log.record_answer(sent_ms=sent_ms)
            else:
                self.log.record_failure(call, why, sent_ms=sent_ms)

    @property
    def names(self) -> list[str]:
        return [name for name, _ in self.lines]


class OutageLogTest(unittest.TestCase):
    """Lines written for sequences of answers and failures."""

    def test_lines_table(self):
        down, back = "STORE_DOWN", "STORE_BACK"
        table = (
            ("answers only", [(0, "get", None, 0), (9, "get", None, 9)], []),
            ("one failure", [(5, "get", NO_ANSWER, 0)], [down]),
            (
                "many failures of several callers",
                [(n, f"c{n % 7}", NO_ANSWER, n) for n in range(5000)],
                [down],
            ),
            (
                "lost and back",
                [
                    (5, "get", NO_ANSWER, 0),
                    (6, "watch", NO_ANSWER, 0),
                    (9, "get", None, 8),
                ],
                [down, back],
            ),
            (
                "turned away, then silent: one outage",
                [
                    (5, "get", UNAVAILABLE, 4),
                    (900, "get", NO_ANSWER, 6),
                    (990, "get", None, 9),
                ],
                [down, back],
            ),
            (
                "sent while it was away, and timed out after it was back",
                [(5, "a", NO_ANSWER, 4), (9, "b", None, 8), (2000, "c", NO_ANSWER, 6)],
                [down, back],
            ),
            (
                "a watch from before it was away is answered meanwhile",
                [
                    (5, "a", UNAVAILABLE, 4),
                    (9, "watch", None, 1),
                    (2000, "c", UNAVAILABLE, 1900),
                ],
                [down],
            ),
            (
                "lost once more later",
                [
                    (5, "a", NO_ANSWER, 4),
                    (9, "b", None, 8),
                    (2000, "c", NO_ANSWER, 1000),
                ],
                [down, back, down],
            ),
        )
        for name, steps, expected in table:
            with self.subTest(name):
                log = _Log()
                log.play(*steps)
                self.assertEqual(log.names, expected)

    def test_logged_fields(self):
        log = _Log(subject={"worker": "w1"})
        log.play(
            (1000, "get", None, 990),
            (3000, "watch", NO_ANSWER, 2000),
            (3100, "commit", UNAVAILABLE, 3050),
            (3200, "watch", NO_ANSWER, 3000),
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
        # The store fails every other call, a hundred times a second. Two lines for each
        # failure would displace the decisions from the log lines that are retained.
        log = _Log()
        for at_ms in range(0, 10_000, 10):
            log.play(
                (at_ms, "get", NO_ANSWER, at_ms), (at_ms + 5, "get", None, at_ms + 5)
            )
        self.assertLessEqual(len(log.lines), 20)
        lost = [fields for name, fields in log.lines if name == "STORE_DOWN"]
        count = len(lost) + sum(fields.get("short_losses", 0) for fields in lost)
        self.assertEqual(count, 901)

    def test_lasting_outage_is_logged_soon_after_a_short_one(self):
        # The dependency is back briefly, then lost for long: the second outage is
        # logged with the first call that fails at least a second after the first line.
        log = _Log()
        log.play((0, "get", NO_ANSWER, 0), (100, "get", None, 90))
        log.play(*((at, "get", NO_ANSWER, at) for at in range(200, 3000, 200)))
        self.assertEqual(log.names, ["STORE_DOWN", "STORE_BACK", "STORE_DOWN"])
        self.assertEqual(log.lines[-1][1]["silent_ms"], 900)

    def test_late_failures_are_logged_with_the_next_outage(self):
        log = _Log()
        log.play((5, "a", NO_ANSWER, 4), (9, "b", None, 8), (99, "c", NO_ANSWER, 6))
        log.play((5000, "a", NO_ANSWER, 4000))
        self.assertEqual(log.lines[-1][1]["late_failures"], 1)
