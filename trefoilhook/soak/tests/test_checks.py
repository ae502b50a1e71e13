"""Each check of the soak finds what it is for, and nothing in a sound history."""

import math
import unittest

import attrs

from trefoilhook.soak.checks import check_runs
from trefoilhook.soak.fleet import DECOY, EvacuationRecord
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

    def _crash(self, count: int) -> list[TaskRecord]:
        """Return runs of a task that crashed as many workers."""
        return [
            _run(
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
                found = self._check({"w": self._crash(count)}, **fields)
                self.assertEqual(len(found), int(bool(words)))
                self.assertIn(words, "".join(found))

    def test_bystander_that_was_given_up(self):
        found = self._check({"w": self._crash(3)}, state="failed")
        self.assertTrue(any("could be done" in line for line in found), found)

    def test_crashing_task_that_is_never_given_up(self):
        found = self._check({"w": self._crash(3)}, crash_ms=20.0, state="running")
        self.assertEqual(len(found), 1)

    def test_worker_that_has_shrunk(self):
        second = _run(step=1, started_ms=20.0, ended_ms=30.0)
        early = _run(ended_ms=6000.0)
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
                    _ledger(), {"w": records}, cpu=4000, sizes={"w": history}
                )
                broken = [line for line in found if "which then held" in line]
                self.assertEqual(bool(broken), is_broken)

    def test_what_clients_saw_counts(self):
        ledger = _ledger()
        ledger.violations.append("a job is said to be unknown")
        found = check_runs(ledger, {"w": _SOUND}, cpu=_CPU)
        self.assertEqual(found, ledger.violations)


class EvacuationTest(unittest.TestCase):
    """Tasks started in a failure domain under evacuation."""

    def _check(self, started_ms: float, *, ended_ms: float = math.inf) -> list[str]:
        evacuation = EvacuationRecord(
            failure_domain="z0", began_ms=1000.0, ended_ms=ended_ms
        )
        run = _run(started_ms=started_ms, ended_ms=started_ms + 10.0)
        return check_runs(
            _ledger(state="cancelled", cancel_sent=True),
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
