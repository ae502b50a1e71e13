"""Tests of the evidence in the message of a failed test with daemon processes."""

import json
import tempfile
import unittest
from pathlib import Path

import attrs
import trio

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.daemon.tests.evidence import Evidence, Exchange
from trefoilhook.daemon.tests.processes import Load, ProcessCluster, run_processes
from trefoilhook.results import ResultCode
from trefoilhook.standins.executor import RunRecord


def _encode_event(name: str, *, at_ms: float, **fields: str) -> str:
    extra = {"event": 1, "event_name": name, **fields}
    record = {"time": {"timestamp": at_ms / 1000.0}, "extra": extra}
    return f"{json.dumps({'text': '', 'record': record})}\n"


class EvidenceTest(unittest.TestCase):
    """Description of a run."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.time = ManualTime()
        self.clock = build_manual_clock(self.time)
        self.evidence = Evidence(clock=self.clock, folder=self.folder)

    def _add_exchange(self, request_id: str, code: ResultCode | None) -> None:
        started_ms = self.clock.wall_ms()
        self.time.advance(1_500.0)
        self.evidence.exchanges.append(
            Exchange(
                started_ms=started_ms,
                ended_ms=self.clock.wall_ms(),
                entry_id="d-0",
                request_id=request_id,
                code=code,
                answered_by="d-1",
            )
        )

    def test_failed_request_is_shown_with_its_runs(self):
        # Only the executors' records show whether a request that timed out was delayed
        # before its run or after it.
        self._add_exchange("early", ResultCode.OK)
        self._add_exchange("late", ResultCode.DEADLINE_AFTER_SEND)
        self._add_exchange("refused", None)
        run = RunRecord(
            request_id="late", body=b"", started_ms=self.clock.wall_ms() - 2_000.0
        )
        text = self.evidence.describe({"seat-sale-1": (run,)})
        self.assertIn("'OK': 1", text)
        self.assertIn("'no answer': 1", text)
        self.assertIn(
            "1.50 late through d-0: DEADLINE_AFTER_SEND after 1500 ms from d-1, -; "
            "run by seat-sale-1 at 2.50",
            text,
        )
        self.assertNotIn("early", text)

    def test_events_and_signals_are_in_order_of_time(self):
        started_ms = self.clock.wall_ms()
        (self.folder / "d-1.log").write_text(
            _encode_event("LINK_DOWN", at_ms=started_ms + 30.0, peer="d-0")
            + _encode_event("REQUEST_FAILED", at_ms=started_ms + 40.0)
            + "Traceback\n"
        )
        (self.folder / "d-0.log").write_text(
            _encode_event("STOPPING", at_ms=started_ms + 20.0)
        )
        self.time.advance(10.0)
        self.evidence.record_signal("d-0", 15)
        self.time.advance(90.0)
        lines = self.evidence.describe({}).splitlines()
        self.assertEqual(
            lines[2:],
            [
                "0.01 signal 15 to d-0",
                "0.02 d-0 STOPPING {}",
                "0.03 d-1 LINK_DOWN {'peer': 'd-0'}",
                "0.10 d-1 Traceback",
            ],
        )

    def test_long_lists_are_truncated(self):
        for number in range(200):
            self._add_exchange(f"request-{number}", ResultCode.ANSWER_LOST)
        lines = self.evidence.describe({}).splitlines()
        self.assertIn("50 more lines", lines)
        self.assertLess(len(lines), 200)

    def test_delays_of_the_process_are_shown(self):
        # Under load, the stand-ins may answer late because their process is delayed.
        late_ms = [10.0, 400.0]

        async def run() -> None:
            with trio.CancelScope() as scope:

                async def sleep_late(duration_ms: float) -> None:
                    if not late_ms:
                        scope.cancel()
                        await trio.lowlevel.checkpoint()
                    self.time.advance(duration_ms + late_ms.pop(0))

                self.evidence.clock = attrs.evolve(self.clock, sleep_ms=sleep_late)
                await self.evidence.watch_delays()

        trio.run(run)
        self.assertEqual(
            self.evidence.describe({}).splitlines()[2:],
            ["0.51 the test's process was 400 ms late"],
        )


class FailedRunTest(unittest.TestCase):
    """A failure of a scenario with daemon processes."""

    def test_evidence_is_in_the_message(self):
        # The logs are removed after the test, and the failure may not recur.
        async def scenario(cluster: ProcessCluster) -> None:
            sales = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sales.run, cluster.daemons[0])
                while not sales.answers:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            self.fail("a check fails")

        with self.assertRaises(ExceptionGroup) as caught:
            run_processes(scenario, daemons=1)
        (note,) = caught.exception.__notes__
        self.assertIn("d-0 STARTED", note)
        self.assertRegex(note, "callers: {'OK'")
