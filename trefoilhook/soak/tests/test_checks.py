"""Tests that each check detects its violation, and accepts valid histories."""

import math
import unittest

import attrs

from trefoilhook.soak.checks import check_runs
from trefoilhook.soak.fleet import DECOY, EvacuationRecord
from trefoilhook.soak.submissions import (
    Submission,
    SubmissionLog,
    SubmissionOutcome,
    TaskDemand,
)
from trefoilhook.standins.platform_worker import TaskRecord

_JOB = "00000000000000a1"
_CPU = 1000


def _build_run(step: int = 0, index: int = 0, **fields) -> TaskRecord:
    values = {
        "attempt": 1,
        "token": 1,
        "started_ms": 0.0,
        "ended_ms": 10.0,
        "how": "done",
        "acknowledged": True,
        **fields,
    }
    return TaskRecord(task=f"{_JOB}.0.{step}.{index}", **values)


def _build_log(**fields) -> SubmissionLog:
    submission = Submission(
        job_id=_JOB,
        steps=(TaskDemand(cpu=600, count=1), TaskDemand(cpu=600, count=1)),
        **{
            "outcome": SubmissionOutcome.ACCEPTED,
            "accepted_ms": 0.0,
            "state": "completed",
            **fields,
        },
    )
    return SubmissionLog(submissions={_JOB: submission})


_VALID_RUNS = [_build_run(), _build_run(step=1, started_ms=20.0, ended_ms=30.0)]
_ANOTHER_JOB = TaskRecord(
    task="00000000000000b2.0.0.0", attempt=1, token=1, started_ms=0.0, ended_ms=1.0
)


class CheckTest(unittest.TestCase):
    """Valid histories, and histories with a single violation."""

    def _check(self, runs: dict, **fields) -> list[str]:
        return check_runs(_build_log(**fields), runs, cpu=_CPU)

    def test_valid_history(self):
        self.assertEqual(self._check({"w": _VALID_RUNS}), [])

    def test_repeated_runs_without_acknowledgement(self):
        # One run ends with a crash of its worker; the end of the second is never
        # acknowledged, as its worker was lost. Both may be repeated.
        crashed = _build_run(ended_ms=5.0, how="crashed", acknowledged=False)
        unacknowledged = _build_run(started_ms=5.0, ended_ms=7.0, acknowledged=False)
        again = [_build_run(started_ms=8.0, ended_ms=12.0), _VALID_RUNS[1]]
        found = self._check({"a": [crashed], "b": [unacknowledged], "c": again})
        self.assertEqual(found, [])

    def test_broken_histories(self):
        late = _build_run(attempt=2, started_ms=5.0, ended_ms=40.0, how="stopped")
        again = _build_run(attempt=2, started_ms=50.0, ended_ms=60.0)
        rejected = {"outcome": SubmissionOutcome.REJECTED, "state": ""}
        cases = (
            ("nobody sent it", {"w": [*_VALID_RUNS, _ANOTHER_JOB]}, {}),
            ("never would", {"w": _VALID_RUNS}, rejected),
            ("ran on the decoy", {"w": _VALID_RUNS[1:], DECOY: _VALID_RUNS[:1]}, {}),
            ("twice at a time", {"w": _VALID_RUNS, "v": [late]}, {}),
            ("again after it was done", {"w": _VALID_RUNS, "v": [again]}, {}),
            ("held 1200 of 1000", {"w": [*_VALID_RUNS, late]}, {}),
            ("before step 0 was done", {"w": [_VALID_RUNS[0], _build_run(step=1)]}, {}),
            ("told completed, and isn't", {"w": _VALID_RUNS[:1]}, {}),
            ("ended as 'running'", {"w": _VALID_RUNS}, {"state": "running"}),
        )
        for words, runs, fields in cases:
            with self.subTest(words=words):
                found = self._check(runs, **fields)
                self.assertTrue(any(words in line for line in found), found)

    def _build_crashed_runs(self, count: int) -> list[TaskRecord]:
        """Return runs of a task that crashed the given number of workers."""
        return [
            _build_run(
                attempt=number + 1,
                started_ms=100.0 * number,
                ended_ms=100.0 * number + 20.0,
                how="crashed",
                acknowledged=False,
            )
            for number in range(count)
        ]

    def test_crashing_task(self):
        fields = {"crash_ms": 20.0, "state": "failed"}
        for count, words in (
            (1, "was given up after 1 crashes"),
            (2, ""),
            (5, ""),
            (6, "started 3 times more after 3 workers"),
        ):
            with self.subTest(count=count):
                found = self._check({"w": self._build_crashed_runs(count)}, **fields)
                self.assertEqual(len(found), int(bool(words)))
                self.assertIn(words, "".join(found))

    def test_failed_job_without_crashing_task(self):
        found = self._check({"w": self._build_crashed_runs(3)}, state="failed")
        self.assertTrue(any("could be done" in line for line in found), found)

    def test_crashing_job_that_never_fails(self):
        found = self._check(
            {"w": self._build_crashed_runs(3)}, crash_ms=20.0, state="running"
        )
        self.assertEqual(len(found), 1)

    def test_reduced_capacity(self):
        second = _build_run(step=1, started_ms=20.0, ended_ms=30.0)
        early = _build_run(ended_ms=6000.0)
        late = attrs.evolve(second, started_ms=5000.0, ended_ms=6000.0)
        table = (
            ([early, second], [(0.0, 2000), (10.0, 1000)], False),
            ([early, late], [(0.0, 2000), (10.0, 1000)], True),
            ([early, late], [(0.0, 2000), (10.0, 1000), (4900.0, 2000)], False),
            ([early, late], [(0.0, 2000)], False),
        )
        for records, history, is_broken in table:
            with self.subTest(history=history, started_ms=records[1].started_ms):
                found = check_runs(
                    _build_log(),
                    {"w": records},
                    cpu=4000,
                    capacity_history={"w": history},
                )
                broken = [line for line in found if "which then held" in line]
                self.assertEqual(bool(broken), is_broken)

    def test_client_violations_are_reported(self):
        submission_log = _build_log()
        submission_log.violations.append("a job is said to be unknown")
        found = check_runs(submission_log, {"w": _VALID_RUNS}, cpu=_CPU)
        self.assertEqual(found, submission_log.violations)


class EvacuationTest(unittest.TestCase):
    """Tasks started in a failure domain under evacuation."""

    def _check(self, started_ms: float, *, ended_ms: float = math.inf) -> list[str]:
        evacuation = EvacuationRecord(
            failure_domain="z0", began_ms=1000.0, ended_ms=ended_ms
        )
        run = _build_run(started_ms=started_ms, ended_ms=started_ms + 10.0)
        return check_runs(
            _build_log(state="cancelled", cancel_sent=True),
            {"w": [run]},
            cpu=_CPU,
            failure_domains={"w": "z0"},
            evacuations=[evacuation],
        )

    def test_start_after_the_deadline_is_a_violation(self):
        self.assertEqual(self._check(5900.0), [])
        self.assertEqual(len(self._check(6100.0)), 1)

    def test_start_after_the_end_is_allowed(self):
        self.assertEqual(self._check(9000.0, ended_ms=8000.0), [])
        self.assertEqual(len(self._check(7900.0, ended_ms=8000.0)), 1)
