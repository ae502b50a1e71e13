"""Short soak of daemon processes with a fixed seed."""

import tempfile
import unittest
from pathlib import Path

import trio

from trefoilhook.soak import (
    FINDINGS_FOLDER,
    SoakSettings,
    describe_finding,
    run_soak,
    save_finding,
)

_SEED = 7
_DURATION_S = 10.0
_TIMEOUT_S = 120.0
"""Overall time limit, in s; the soak itself gives up after about 55 s."""


class SoakTest(unittest.TestCase):
    """Three processes, four workers, overlapping faults."""

    def test_invariants_hold(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = SoakSettings(
                seed=_SEED,
                duration_s=_DURATION_S,
                folder=Path(folder),
                instances=3,
                workers=4,
            )

            async def main():
                with trio.fail_after(_TIMEOUT_S):
                    return await run_soak(settings)

            report = trio.run(main)
            if report.violations:
                save_finding(settings, report, parent=FINDINGS_FOLDER)
            description = describe_finding(settings, report)
        self.assertEqual(report.violations, (), description)
        self.assertGreater(len(report.faults), 5)
        self.assertGreater(report.accepted, 10)
        self.assertGreaterEqual(report.runs, report.accepted)
