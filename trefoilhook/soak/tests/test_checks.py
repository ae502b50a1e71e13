"""Each check of the soak finds what it is for, and nothing in a sound history."""

import unittest

from trefoilhook.soak.checks import check_runs
from trefoilhook.soak.fleet import DECOY
from trefoilhook.soak.ledger import Ledger, Submission, SubmissionOutcome, TaskDemand
from trefoilhook.standins.platform_worker import TaskRecord

_JOB = "00000000000000a1"
_CPU = 1000


def _run(step: int = 0, index: int = 0, **fields) -> TaskRecord:
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


def _ledger(**fields) -> Ledger:
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
    return Ledger(submissions={_JOB: submission})


_SOUND = [_run(), _run(step=1, started_ms=20.0, ended_ms=30.0)]
_ANOTHER_JOB = TaskRecord(
    task="00000000000000b2.0.0.0", attempt=1, token=1, started_ms=0.0, ended_ms=1.0
)


class CheckTest(unittest.TestCase):
    """Histories with one thing wrong."""

    def _check(self, runs: dict, **fields) -> list[str]:
        return check_runs(_ledger(**fields), runs, cpu=_CPU)

    def test_sound_history(self):
        self.assertEqual(self._check({"w": _SOUND}), [])

    def test_crashed_and_repeated(self):
        # A worker crashes, and the task runs again elsewhere; another ends without
        # anybody having noted it, as its worker was lost.
        crashed = _run(ended_ms=5.0, how="crashed", acknowledged=False)
        unnoted = _run(started_ms=5.0, ended_ms=7.0, acknowledged=False)
        again = [_run(started_ms=8.0, ended_ms=12.0), _SOUND[1]]
        found = self._check({"a": [crashed], "b": [unnoted], "c": again})
        self.assertEqual(found, [])

    def test_broken_histories(self):
        late = _run(attempt=2, started_ms=5.0, ended_ms=40.0, how="stopped")
        again = _run(attempt=2, started_ms=50.0, ended_ms=60.0)
        rejected = {"outcome": SubmissionOutcome.REJECTED, "state": ""}
        cases = (
            ("nobody sent it", {"w": [*_SOUND, _ANOTHER_JOB]}, {}),
            ("never would", {"w": _SOUND}, rejected),
            ("ran on the decoy", {"w": _SOUND[1:], DECOY: _SOUND[:1]}, {}),
            ("twice at a time", {"w": _SOUND, "v": [late]}, {}),
            ("again after it was done", {"w": _SOUND, "v": [again]}, {}),
            ("held 1200 of 1000", {"w": [*_SOUND, late]}, {}),
            ("before step 0 was done", {"w": [_SOUND[0], _run(step=1)]}, {}),
            ("told completed, and isn't", {"w": _SOUND[:1]}, {}),
            ("ended as 'running'", {"w": _SOUND}, {"state": "running"}),
        )
        for words, runs, fields in cases:
            with self.subTest(words=words):
                found = self._check(runs, **fields)
                self.assertTrue(any(words in line for line in found), found)

    def test_what_clients_saw_counts(self):
        ledger = _ledger()
        ledger.violations.append("a job is said to be unknown")
        found = check_runs(ledger, {"w": _SOUND}, cpu=_CPU)
        self.assertEqual(found, ledger.violations)
