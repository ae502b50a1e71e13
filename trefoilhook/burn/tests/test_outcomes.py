"""Classification of jobs from logs, and the report on them."""

import json
import unittest

from trefoilhook.burn import Alert, build_job_report, classify_jobs
from trefoilhook.burn.page import render_html, render_text
from trefoilhook.results import ResultCode
from trefoilhook.story import read_lines

_BEGAN_S = 1_750_000_000.0


def _line(at_s: float, event: str, job: str = "j1", instance: str = "a", **fields):
    value = {"t": _BEGAN_S + at_s, "instance": instance, "event_name": event}
    return json.dumps({**value, "job": job, **fields})


def _accept(at_s, job="j1", queue="q", objective_ms=1000, instance="a"):
    objective = {} if objective_ms is None else {"objective_ms": objective_ms}
    return _line(at_s, "JOB_ACCEPTED", job, instance, queue=queue, **objective)


def _finish(at_s, job="j1", queue="q", late_ms=-100, phase="completed", **fields):
    objective = {} if late_ms is None else {"objective_ms": 1000, "late_ms": late_ms}
    return _line(
        at_s, "JOB_FINISHED", job, queue=queue, phase=phase, **objective, **fields
    )


def _refuse(at_s, job="j1", instance="a"):
    return _line(at_s, "REQUEST_REFUSED", job, instance, queue="q", why="store away")


def _classify(*lines):
    return [outcome.code for outcome in classify_jobs(read_lines(lines))]


class ClassificationTest(unittest.TestCase):
    """Outcomes of single jobs."""

    def test_outcomes_table(self):
        ok, failed = ResultCode.OK, ResultCode.BACKEND_FAILED
        refused, lost = ResultCode.STORE_UNAVAILABLE, ResultCode.ANSWER_LOST
        table = (
            ("in time", [_accept(0), _finish(1)], [ok]),
            ("failed", [_accept(0), _finish(1, phase="failed")], [failed]),
            ("ended by its client", [_accept(0), _line(1, "JOB_CANCELLED")], []),
            ("cancelled", [_accept(0), _finish(1, phase="cancelled")], []),
            ("refused three times", [_refuse(n) for n in range(3)], [refused]),
            ("refused, then accepted", [_refuse(0), _accept(1), _finish(2)], [ok]),
            ("state not read", [_accept(0), _refuse(1), _finish(2)], [ok]),
            ("logged twice", [_accept(0), _finish(1), _finish(2, late_ms=500)], [ok]),
            ("unknown", [_line(0, "REQUEST_FAILED", queue="q", status=504)], [lost]),
            (
                "invalid request",
                [_line(0, "REQUEST_FAILED", queue="q", status=400)],
                [ResultCode.BAD_REQUEST],
            ),
            (
                "unfinished and overdue",
                [_accept(0), _line(9, "STARTED", job="other")],
                [ResultCode.QUEUE_DEADLINE],
            ),
            (
                "unfinished, not overdue",
                [_accept(0), _line(0.9, "STARTED", job="other")],
                [],
            ),
            (
                "long-running or repeating, without an objective",
                [_accept(0, objective_ms=None), _finish(9, late_ms=None)],
                [],
            ),
        )
        for name, lines, expected in table:
            with self.subTest(name):
                self.assertEqual(_classify(*lines), expected)

    def test_lines_of_other_formats_are_skipped(self):
        lines = ("no line", "{", '{"t":1}', " 0.5 node-1 " + _accept(0), _finish(1))
        self.assertEqual(_classify(*lines), [ResultCode.OK])


class ReportTest(unittest.TestCase):
    """The report on several processes."""

    def _report(self, *lines, target=0.9):
        return build_job_report(read_lines(lines), target=target)

    def test_queues_of_several_processes(self):
        # One process accepts a job, another finishes it, a third refuses others. Each
        # job counts once, in the ledger of the process that logged its outcome.
        lines = []
        for number in range(18):
            job = f"j{number}"
            lines.append(_accept(number, job, instance="b"))
            late_ms = 250 if number < 2 else -250
            lines.append(_finish(number + 1, job, late_ms=late_ms))
        lines += [_refuse(n, f"r{n}", instance="c") for n in range(2)]
        lines += [_accept(0, "x", queue="other"), _finish(1, "x", queue="other")]
        report = self._report(*reversed(lines))
        other, queue = report.services
        self.assertEqual((other.service, queue.service), ("other", "q"))
        self.assertEqual([w.good for w in queue.windows], [16] * 6)
        self.assertEqual([w.bad for w in queue.windows], [4] * 6)
        self.assertAlmostEqual(queue.windows[0].burn_rate, 2.0)
        self.assertAlmostEqual(queue.budget_left, -1.0)
        self.assertEqual(queue.alert, Alert.TICKET)
        self.assertEqual([s.instance_id for s in report.sources], ["a", "c"])
        self.assertAlmostEqual(queue.p50_ms, 750.0, delta=10.0)
        self.assertEqual(queue.latency_ms, 1000.0)

    def test_text_and_html(self):
        report = self._report(_accept(0), _finish(1))
        self.assertIn("jobs/q", render_text(report))
        self.assertIn("90.000% in 1000 ms", render_html(report))

    def test_empty_logs(self):
        self.assertEqual(self._report().services, ())
