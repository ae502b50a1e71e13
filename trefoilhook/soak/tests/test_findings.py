"""Tests of the files kept for soak runs that violated an invariant."""

import tempfile
import unittest
from pathlib import Path

from trefoilhook.soak import SoakReport, SoakSettings, describe_finding, save_finding
from trefoilhook.soak.faults import InjectedFault
from trefoilhook.soak.history import write_history
from trefoilhook.soak.submissions import Submission, SubmissionLog, TaskDemand
from trefoilhook.standins.platform_worker import TaskRecord

_JOB = "00000000000000a1"
_OTHER = "00000000000000b2"


def _build_report(*violations: str) -> SoakReport:
    return SoakReport(
        violations=violations,
        faults=(InjectedFault(name="kill_all", at_ms=1200.0),),
        submitted=2,
        accepted=2,
        runs=2,
    )


class FindingTest(unittest.TestCase):
    """The logs of a failed soak must outlive its temporary folder.

    A violation seen once on a busy machine did not recur, and could not be traced since
    its logs had been deleted.
    """

    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        root = Path(scratch.name)
        self.parent = root / "kept"
        folder = root / "play"
        (folder / "i0").mkdir(parents=True)
        (folder / "i0" / "log.jsonl").write_text(
            f'{{"task":"{_JOB}.0.0.0"}}\n{{"task":"{_OTHER}.0.0.0"}}\n'
        )
        submission_log = SubmissionLog()
        for job_id in (_JOB, _OTHER):
            submission_log.submissions[job_id] = Submission(
                job_id=job_id, steps=(TaskDemand(cpu=1, count=1),)
            )
        run = TaskRecord(task=f"{_JOB}.0.0.0", attempt=1, token=1, started_ms=5.0)
        write_history(folder, submission_log, {"w0-1": [run]})
        self.settings = SoakSettings(seed=7, duration_s=1.0, folder=folder)

    def test_description_has_history_of_affected_job(self):
        report = _build_report(
            f"{_JOB}.0.0.0 ran twice at a time: attempt 1 from 5, 2 from 6"
        )
        text = describe_finding(self.settings, report)
        self.assertIn("seed 7", text)
        self.assertIn("at 1200 ms: kill_all", text)
        self.assertIn("i0/log.jsonl", text)
        self.assertIn("w0-1", text)
        self.assertNotIn(_OTHER, text)

    def test_every_finding_is_kept(self):
        report = _build_report("not all settled after the last fault")
        first = save_finding(self.settings, report, parent=self.parent)
        second = save_finding(self.settings, report, parent=self.parent)
        self.assertNotEqual(first, second)
        for kept in (first, second):
            self.assertTrue((kept / "i0" / "log.jsonl").exists())
            self.assertTrue((kept / "history.jsonl").exists())
            self.assertIn("not all settled", (kept / "violations.txt").read_text())
