"""Tests of the report on batch jobs with nothing running, on constructed logs."""

import unittest

from trefoilhook.interruptions import (
    IdleJobReport,
    build_idle_job_report,
    render_idle_jobs,
)
from trefoilhook.interruptions.tests.test_report import claim, line
from trefoilhook.story import read_lines


def idle(at_s: float, epoch: int, idle_s: float, instance: str = "a", **fields) -> str:
    """Return a line about a job with nothing running."""
    values = {
        "job": "j",
        "queue": "q",
        "idle_ms": round(idle_s * 1000.0),
        "longest_entitled_ms": round(idle_s * 1000.0),
        "reasons_ms": {"owner new": round(idle_s * 1000.0)},
        "idle_share": 0.75,
        **fields,
    }
    event = "JOB_IDLE_ENDED" if "outcome" in values else "JOB_IDLE"
    return line(at_s, event, instance, epoch=epoch, **values)


def build(*lines: str, min_s: float = 0.0) -> IdleJobReport:
    """Build the report from some lines."""
    return build_idle_job_report(read_lines(lines), min_s=min_s)


class IdleJobReportTest(unittest.TestCase):
    """What is told of one stretch."""

    def test_two_owners(self):
        # Guards against a stretch of 5 s that each owner tells as 2 s.
        report = build(
            claim(0.0, 1),
            idle(11.0, 1, 1.0),
            idle(12.0, 1, 2.0),
            line(12.2, "SHARD_RELEASED", epoch=1),
            claim(12.7, 2, "b"),
            idle(14.0, 2, 1.1, "b"),
            idle(15.5, 2, 2.1, "b", outcome="started", ended_ago_ms=500),
        )
        (found,) = report.stretches
        self.assertAlmostEqual(found.duration_s, 5.0, places=3)
        self.assertEqual([each.epoch for each in found.owners], [1, 2])
        self.assertAlmostEqual(found.ownerless_s, 0.5, places=3)
        self.assertAlmostEqual(found.unlogged_s, 0.4, places=3)
        self.assertAlmostEqual(found.entitled_s, 2.1, places=3)
        self.assertAlmostEqual(found.max_entitled_s, 5.0, places=3)
        self.assertEqual((found.main_reason, found.outcome), ("owner new", "started"))
        self.assertEqual((report.over_limit, report.may_be_over_limit), (0, 1))
        text = render_idle_jobs(report)
        self.assertIn("j  5.00 s with nothing running, entitled 2.10 s", text)
        self.assertIn("no owner: 0.50 s", text)

    def test_time_that_was_handed_on_counts_once(self):
        reasons = {"previous owner": 2000, "owner new": 1000}
        report = build(
            claim(0.0, 1),
            idle(12.0, 1, 2.0),
            claim(12.1, 2, "b"),
            idle(13.1, 2, 3.0, "b", reasons_ms=reasons, longest_entitled_ms=1000),
        )
        (found,) = report.stretches
        self.assertAlmostEqual(found.duration_s, 3.1, places=3)
        self.assertEqual(found.owners[1].reasons_s, {"owner new": 1.0})
        self.assertEqual(found.outcome, "still waiting")

    def test_a_start_ends_the_stretch(self):
        # Guards against two stretches told as one because no line tells of the end.
        report = build(
            claim(0.0, 1),
            idle(12.0, 1, 2.0),
            line(12.5, "TASK_STARTED", task="j.0.0.1", attempt=1, worker="w"),
            claim(13.0, 2, "b"),
            idle(15.0, 2, 1.0, "b", unlogged_jobs=7),
            idle(20.0, 2, 1.5, "b", outcome="not waiting", ended_ago_ms=0),
        )
        durations = [round(each.duration_s, 3) for each in report.stretches]
        self.assertEqual(durations, [2.5, 1.5, 1.0])
        self.assertEqual(report.unlogged_jobs, 7)

    def test_jobs_held_for_earlier_owners_are_told_apart(self):
        # Guards against runs on silent workers that are told as broken promises.
        reasons = {"not borne": 4000}
        report = build(
            claim(0.0, 1),
            idle(9.0, 1, 4.0),
            idle(9.0, 1, 4.0, job="k", reasons_ms=reasons),
        )
        self.assertEqual((report.over_limit, report.held_over_limit), (2, 1))

    def test_logs_without_such_lines_prove_nothing(self):
        # Guards against logs of older builds that seem to show that no job was idle.
        report = build(claim(0.0, 1))
        self.assertIn("nothing is known", render_idle_jobs(report))

    def test_jobs_that_ran_do_not_count_towards_the_rule(self):
        report = build(claim(0.0, 1), idle(9.0, 1, 4.0, outcome="found running"))
        self.assertEqual(len(report.stretches), 1)
        self.assertEqual((report.longest_s, report.over_limit), (0.0, 0))
