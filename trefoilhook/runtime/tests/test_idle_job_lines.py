"""Tests of the log lines on batch jobs with nothing running."""

import unittest
from unittest import mock

import trio

from trefoilhook.logs import Event
from trefoilhook.runtime import maintenance
from trefoilhook.scheduling.tests.cases import Shard


class _SecondIntervalError(Exception):
    """Ends the loop after one interval."""


class IdleJobLinesTest(unittest.TestCase):
    """Lines of one interval."""

    def test_lines_are_bounded_and_count_the_others(self):
        # Guards against hundreds of lines a second after a takeover.
        shard = Shard()
        now_ms = shard.now_ms
        clock = mock.Mock(
            monotonic_ms=lambda: now_ms + 1000.0,
            sleep_ms=mock.AsyncMock(side_effect=[None, _SecondIntervalError]),
        )
        tracker = shard.scheduler.waits.idle_jobs
        for number in range(60):
            tracker.record(
                f"j{number}",
                queue="q",
                reason="owner new",
                idle_share=0.8,
                is_entitled=True,
                since_ms=now_ms - 2000.0,
                now_ms=now_ms,
            )
        for number in range(20):
            tracker.end(f"j{number}", placed_ms=now_ms, now_ms=now_ms)
        lines: list[tuple[Event, dict[str, object]]] = []

        def log_event(event: Event, **fields: object) -> None:
            lines.append((event, fields))

        loop = maintenance.Maintenance(
            store=None,
            clock=clock,
            ownership=mock.Mock(epoch=7),
            scheduler=shard.scheduler,
            committer=None,
            snapshots=(),
            status_ms=0.0,
        )

        with (
            mock.patch.object(maintenance, "log_event", log_event),
            self.assertRaises(_SecondIntervalError),
        ):
            trio.run(loop.log_idle_jobs)
        left_out = {
            event: {fields["unlogged_jobs"] for each, fields in lines if each is event}
            for event in (Event.JOB_IDLE, Event.JOB_IDLE_ENDED)
        }
        self.assertEqual(len(lines), 24)
        self.assertEqual(left_out, {Event.JOB_IDLE: {28}, Event.JOB_IDLE_ENDED: {8}})
        for _, fields in lines:
            self.assertEqual((fields["epoch"], fields["queue"]), (7, "q"))
