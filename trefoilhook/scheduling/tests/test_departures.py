"""Tests of what the removal of a worker's entry proves."""

import unittest

import attrs

from trefoilhook.scheduling import Demand, TaskId, apply_report, has_left
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.tests.cases import Shard
from trefoilhook.takeover import Predecessors
from trefoilhook.takeover.tests.builders import build_groups

ENTRY_LIFE_MS = 4500.0
"""Time for which the entry of a dead worker remains in the store, in ms."""


class RemovalTest(unittest.TestCase):
    """A worker whose entry was written, and is removed some time later."""

    def setUp(self) -> None:
        self.shard = Shard()
        self.scheduler = self.shard.scheduler
        (self.worker, *_) = self.scheduler.workers.values()
        self.scheduler.entries.note_read(self.shard.now_ms)

    def write(self, *, draining: bool = True) -> None:
        """Write the entry, as its worker would."""
        report = attrs.evolve(
            self.worker.report, draining=draining, born_ms=self.worker.born_ms
        )
        apply_report(self.scheduler, report, self.shard.now_ms)
        self.worker.entry_written_ms = self.shard.now_ms

    def remove(self, *, after_ms: float = 1500.0) -> bool:
        """Remove the entry; return whether its worker counts as shut down."""
        self.shard.advance_time(after_ms)
        self.scheduler.mark_unlisted(self.worker.report.worker_id)
        return has_left(self.scheduler, self.worker, self.shard.now_ms)

    def restart_under_its_id(self) -> Worker:
        """Let the platform report the start of the worker's process."""
        self.worker.born_ms = 1
        return self.worker

    def test_worker_that_reported_until_its_removal_has_left(self):
        # Guards against tasks that wait for the leases on a worker which has shut down.
        self.write()
        self.assertTrue(self.remove())

    def test_worker_that_missed_its_reports_has_not_left(self):
        # Guards against a second run beside one on a worker that is cut off.
        self.write()
        self.assertFalse(self.remove(after_ms=ENTRY_LIFE_MS - 900.0))

    def test_worker_that_announced_nothing_has_not_left(self):
        # Guards against the same if a foreign writer removes the entry.
        self.write(draining=False)
        self.assertFalse(self.remove())

    def test_entry_read_from_a_listing_proves_nothing(self):
        # Guards against an entry that may have been written at any time before.
        self.write()
        self.worker.entry_written_ms = float("-inf")
        self.assertFalse(self.remove())

    def test_outage_of_the_store_proves_nothing(self):
        # Guards against entries that are removed early during an outage.
        self.write()
        self.scheduler.entries.note_failure()
        self.assertFalse(self.remove())

    def test_late_start_for_the_next_process_is_awaited(self):
        # Guards against a start of an earlier owner that the next process under the
        # worker's id executes.
        worker = self.restart_under_its_id()
        groups = build_groups(1, worker.incarnation, count=1)
        self.scheduler.predecessors = Predecessors(groups=[groups])
        self.write()
        self.assertFalse(self.remove())

    def test_released_start_without_an_answer_is_awaited(self):
        # Guards against the same for a start of this owner that has been given up.
        worker = self.restart_under_its_id()
        worker.unanswered_starts.append(
            Run(
                task=TaskId("j", 0, 0, 0),
                attempt=1,
                room=Demand(),
                phase=RunPhase.STARTING,
                started_ms=self.shard.now_ms,
            )
        )
        self.write()
        self.assertFalse(self.remove())

    def test_process_without_late_starts_has_left(self):
        # Guards against departures that are seen only where ids are never reused.
        self.restart_under_its_id()
        self.write()
        self.assertTrue(self.remove())
