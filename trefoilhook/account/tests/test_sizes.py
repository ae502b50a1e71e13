"""Tests of the outcomes of jobs by size."""

import unittest

from trefoilhook.account.page import render_text
from trefoilhook.account.report import build_loss_report
from trefoilhook.account.tests.test_account import OBJECTIVE_MS, line
from trefoilhook.story import read_lines


def _list_lines() -> list[str]:
    """Return the lines of ten jobs, the largest of which is overtaken and too late."""
    lines = []
    for number in range(10):
        job = f"{number}"
        lines.append(
            line(
                0.0,
                "JOB_ACCEPTED",
                job=job,
                queue="q",
                objective_ms=OBJECTIVE_MS,
                work_ms=100 * (number + 1),
            )
        )
        if number < 8:
            late_ms = -100.0 if number else 500.0
            lines.append(
                line(
                    1.0,
                    "JOB_FINISHED",
                    job=job,
                    queue="q",
                    phase="completed" if number != 7 else "failed",
                    objective_ms=OBJECTIVE_MS,
                    late_ms=late_ms,
                )
            )
    lines.append(
        line(
            4.0,
            "JOB_LATE",
            job="9",
            queue="q",
            waited_ms=3000,
            overtaken=20,
            overtaken_by_smaller=18,
        )
    )
    lines.append(
        line(4.0, "REQUEST_REFUSED", job="10", queue="q", work_ms=850, why="store away")
    )
    lines.append(line(6.0, "STOPPED"))
    return lines


class SizesTest(unittest.TestCase):
    """Eleven jobs: one refused, one failed, two that never end."""

    def setUp(self):
        self.report = build_loss_report(read_lines(_list_lines()), bin_s=10.0)

    def test_outcomes_are_counted_by_size(self):
        counts = [
            (
                each.jobs,
                each.in_time,
                each.late,
                each.too_late,
                each.failed,
                each.refused,
            )
            for each in self.report.sizes
        ]
        self.assertEqual(
            counts, [(7, 6, 1, 0, 0, 0), (2, 0, 0, 0, 1, 1), (2, 0, 0, 2, 0, 0)]
        )

    def test_waits_are_means_over_all_jobs_of_a_size(self):
        largest = self.report.sizes[-1]
        self.assertEqual(
            (largest.waited_s, largest.overtaken, largest.overtaken_by_smaller),
            (1.5, 10.0, 9.0),
        )

    def test_sizes_are_in_the_text(self):
        self.assertIn("largest tenth", render_text(self.report))

    def test_jobs_without_a_logged_size_are_left_out(self):
        lines = [each for each in _list_lines() if "work_ms" not in each]
        report = build_loss_report(read_lines(lines), bin_s=10.0)
        self.assertEqual(report.sizes, ())
