"""Tests of bounded waits that follow each other over the same service task."""

import unittest

from trefoilhook.scheduling.tests.test_takeovers import (
    EXPIRY_MS,
    SERVICE,
    Successor,
    build_predecessors,
)

_MAX_SUSPECT_WAIT_MS = 1300.0
"""Delay of a suspected service task after the proof that its run has ended, with the
rounds before and after it, in ms."""

_EARLIER_LOSSES = 2


class SuspectAtTakeoverTest(unittest.TestCase):
    """A suspected service task on a worker that vanishes just before its owner."""

    def measure_wait(self) -> float:
        """Return the time from the takeover to the start, in ms; 20 s at most."""
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

    def test_delay_of_the_suspect_follows_the_leases_once(self):
        # Guards against a service task that is away for longer than users accept, as
        # the waits for its leases, its delay and its isolation add up.
        wait_ms = self.measure_wait()
        self.assertGreater(wait_ms, EXPIRY_MS)
        self.assertLessEqual(wait_ms, EXPIRY_MS + _MAX_SUSPECT_WAIT_MS)


if __name__ == "__main__":
    unittest.main()
