"""Tests of the time of the event loop by kind of work."""

import gc
import unittest
from unittest import mock

import trio

from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.logs import Event
from trefoilhook.runtime import looptime
from trefoilhook.runtime.looptime import LoopTime, Work
from trefoilhook.runtime.metrics import ProcessMetrics


def _build(manual: ManualTime) -> tuple[LoopTime, ProcessMetrics]:
    metrics = ProcessMetrics()
    loop_time = LoopTime(
        clock=build_manual_clock(manual),
        metrics=metrics,
        read_lag_ms=lambda: 7.0,
        read_processor_s=lambda: manual.now_ms / 2000.0,
    )
    return loop_time, metrics


class LoopTimeTest(unittest.TestCase):
    """Time of tasks, of parts of a task, and of the loop itself."""

    def test_time_is_that_of_the_task_that_ran(self):
        # Guards against time of one kind of work that is reported as another's.
        manual = ManualTime()
        loop_time, _ = _build(manual)

        async def work(*durations_ms: float) -> None:
            for duration_ms in durations_ms:
                manual.advance(duration_ms)
                await trio.lowlevel.checkpoint()

        async def run() -> None:
            with loop_time.measure():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(work, 5.0, 6.0, name=Work.ROSTER)
                    nursery.start_soon(work, 30.0, name=Work.POLL)
                    nursery.start_soon(work, 2.0)

        trio.run(run)
        self.assertEqual(loop_time._spent[Work.ROSTER], 11.0)
        self.assertEqual(loop_time._spent[Work.POLL], 30.0)
        self.assertEqual(loop_time._spent[Work.OTHER], 2.0)

    def test_wait_for_events_is_not_counted(self):
        # Guards against an idle owner that seems to be busy.
        manual = ManualTime()
        loop_time, _ = _build(manual)
        loop_time.before_io_wait(1.0)
        manual.advance(500.0)
        loop_time.after_io_wait(1.0)
        manual.advance(3.0)
        loop_time.switch(Work.PLAN)
        self.assertEqual(loop_time._spent.total(), 3.0)

    def test_report_resets_and_counts(self):
        # Guards against totals that are counted twice, or that grow without a bound.
        manual = ManualTime()
        loop_time, metrics = _build(manual)
        lines: list[dict[str, object]] = []

        def log_event(event: Event, **fields: object) -> None:
            self.assertIs(event, Event.LOOP_TIMES)
            lines.append(fields)
            if len(lines) == 2:
                raise trio.TooSlowError

        manual.advance(40.0)
        loop_time.switch(Work.PACE)
        with (
            mock.patch.object(looptime, "log_event", log_event),
            self.assertRaises(trio.TooSlowError),
        ):
            trio.run(loop_time.report)
        self.assertEqual(lines[0]["spent_ms"], {"paces": 40})
        self.assertEqual(lines[0]["period_ms"], 2000)
        self.assertEqual(lines[0]["processor_ms"], 1000)
        self.assertEqual(lines[1]["spent_ms"], {})
        self.assertEqual(metrics.counters["loop_ms", "paces"], 40)
        self.assertEqual(metrics.counters["loop_steps", "paces"], 1)

    def test_garbage_collection_is_measured_only_in_the_context(self):
        # Guards against a callback that outlives the ownership.
        loop_time, _ = _build(ManualTime())

        async def run() -> None:
            before = len(gc.callbacks)
            with loop_time.measure():
                self.assertEqual(len(gc.callbacks), before + 1)
            self.assertEqual(len(gc.callbacks), before)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
