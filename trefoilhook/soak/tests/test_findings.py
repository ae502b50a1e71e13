"""What is kept of a soak that broke a promise."""

import tempfile
import unittest
from pathlib import Path

from trefoilhook.soak import SoakReport, SoakSettings, describe_finding, keep_finding
from trefoilhook.soak.faults import InjectedFault
from trefoilhook.soak.history import write_history
from trefoilhook.soak.ledger import Ledger, Submission, TaskDemand
from trefoilhook.standins.platform_worker import TaskRecord

_JOB = "00000000000000a1"
_OTHER = "00000000000000b2"


def _report(*violations: str) -> SoakReport:
    return SoakReport(
        violations=violations,
        faults=(InjectedFault(name="kill_all", at_ms=1200.0),),
        submitted=2,
        accepted=2,
        runs=2,
    )


class FindingTest(unittest.TestCase):
    """A soak broke a promise once, beside a busy machine, and never again.

    Its logs had gone with their folder, so that nothing was left to trace it by.
    """

    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        root = Path(scratch.name)
        self.into = root / "kept"
        folder = root / "play"
        (folder / "i0").mkdir(parents=True)
        (folder / "i0" / "log.jsonl").write_text(
            f'{{"task":"{_JOB}.0.0.0"}}\n{{"task":"{_OTHER}.0.0.0"}}\n'
        )
        ledger = Ledger()
        for job_id in (_JOB, _OTHER):
            ledger.submissions[job_id] = Submission(
                job_id=job_id, steps=(TaskDemand(cpu=1, count=1),)
            )
        run = TaskRecord(task=f"{_JOB}.0.0.0", attempt=1, token=1, started_ms=5.0)
        write_history(folder, ledger, {"w0-1": [run]})
        self.settings = SoakSettings(seed=7, duration_s=1.0, folder=folder)

    def test_description_has_what_is_known_of_the_broken_job(self):
        report = _report(
            f"{_JOB}.0.0.0 ran twice at a time: attempt 1 from 5, 2 from 6"
        )
        text = describe_finding(self.settings, report)
        self.assertIn("seed 7", text)
        self.assertIn("at 1200 ms: kill_all", text)
        self.assertIn("i0/log.jsonl", text)
        self.assertIn("w0-1", text)
        self.assertNotIn(_OTHER, text)

    def test_every_finding_is_kept(self):
        report = _report("not all settled after the last fault")
        first = keep_finding(self.settings, report, into=self.into)
        second = keep_finding(self.settings, report, into=self.into)
        self.assertNotEqual(first, second)
        for kept in (first, second):
            self.assertTrue((kept / "i0" / "log.jsonl").exists())
            self.assertTrue((kept / "history.jsonl").exists())
            self.assertIn("not all settled", (kept / "violations.txt").read_text())
