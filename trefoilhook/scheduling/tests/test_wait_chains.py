"""Tests of the total duration of successive waits of a service task."""

import unittest

from trefoilhook.scheduling.tests.test_takeovers import (
    EXPIRY_MS,
    SERVICE,
    Successor,
    build_predecessors,
)

_MAX_SUSPECT_WAIT_MS = 1300.0
"""Maximum delay of a suspected service task after the leases on its worker expire,
including the adjacent rounds, in ms."""

_EARLIER_LOSSES = 2


class SuspectAtTakeoverTest(unittest.TestCase):
    """A suspected service task whose worker is lost just before a takeover."""

    def measure_wait(self) -> float:
        """Return the time from the takeover to the start, in ms, at most 20 s."""
        predecessors = build_predecessors("w0", "w1", place="w0")
        shard = Successor(predecessors, silent="w0", step=SERVICE)
        (task,) = shard.scheduler.jobs["j"].tasks.values()
        suspicion = shard.scheduler.suspects.get_or_add(task)
        for attempt in range(1, 1 + _EARLIER_LOSSES):
            suspicion.record_loss(attempt, "gone", 60.0, proved=False)
        suspicion.record_attempt(7, "w0")
        shard.scheduler.suspects.recorded = [task]
        shard.scheduler.mark_unlisted("w0")
        shard.scheduler.workers.pop("w0")
        began_ms = shard.now_ms
        while not shard.count_starts(after_ms=100.0):
            shard.save()
            shard.settled = not shard.scheduler.predecessors.awaited
            if shard.now_ms > began_ms + 20_000.0:
                break
        return shard.now_ms - began_ms

    def test_delay_is_applied_once_after_lease_expiry(self):
        # Guards against excessive downtime of a service task when the waits for leases,
        # its delay and its isolation add up.
        wait_ms = self.measure_wait()
        self.assertGreater(wait_ms, EXPIRY_MS)
        self.assertLessEqual(wait_ms, EXPIRY_MS + _MAX_SUSPECT_WAIT_MS)


if __name__ == "__main__":
    unittest.main()
