"""Tests of the checkpoints from which the members of a gang resume."""

import unittest

import attrs

from trefoilhook.scheduling import EndKind, Progress, StartOrder
from trefoilhook.scheduling.tests.cases import SMALL, Shard, build_job, list_starts

GANG = attrs.evolve(SMALL, count=3, gang=True, checkpointing=True)


class GangCheckpointTest(unittest.TestCase):
    """All members of one run carry the same checkpoint."""

    def _start(self) -> tuple[Shard, list[StartOrder]]:
        shard = Shard(workers=4, cpu=1000)
        shard.submit(build_job(GANG))
        return shard, list_starts(shard.step())

    def _report(self, shard: Shard, order: StartOrder, checkpoint: str) -> None:
        shard.workers[order.worker_id].update(
            order.task, order.attempt, checkpoint=checkpoint
        )
        shard.advance_time(10.0)
        shard.poll(order.worker_id)

    def _restart(self, shard: Shard) -> set[str]:
        """Return the checkpoints of the next run."""
        starts = list_starts(shard.step())
        self.assertEqual(len(starts), GANG.count)
        self.assertEqual(len({order.attempt for order in starts}), 1)
        return {order.checkpoint for order in starts}

    def test_lost_member_does_not_split_the_run(self):
        # Guards against a gang that ends `alone` for good after one worker crashed.
        shard, (first, second, third) = self._start()
        for order in (first, second, third):
            self._report(shard, order, "c2000")
        for order in (first, second):
            shard.end(order, EndKind.PEER_ENDED, "c2500")
        shard.scheduler.drop_worker(third.worker_id)
        self.assertEqual(self._restart(shard), {"c2500"})

    def test_value_of_a_running_member_is_shared(self):
        # Guards against the loss of work that only a running member has reported.
        shard, (first, second, third) = self._start()
        self._report(shard, first, "c500")
        for order in (second, third):
            shard.end(order, EndKind.PEER_ENDED)
        shard.end(first, EndKind.PEER_ENDED)
        self.assertEqual(self._restart(shard), {"c500"})

    def test_late_report_does_not_lower_the_value(self):
        # Guards against a value that goes back to one that was reported before.
        shard, (first, second, third) = self._start()
        self._report(shard, first, "c500")
        self._report(shard, second, "c1000")
        self._report(shard, third, "c500")
        for order in (first, second, third):
            shard.end(order, EndKind.PEER_ENDED, "c500")
        self.assertEqual(self._restart(shard), {"c1000"})

    def test_values_of_an_earlier_build_are_not_mixed(self):
        # Guards against progress that was stored with a value for each member.
        progress = Progress(checkpoints={(0, 0, 1): "c1500", (0, 0, 2): "c1000"})
        shard = Shard(workers=4, cpu=1000)
        shard.submit(build_job(GANG), is_new=False, progress=progress)
        self.assertEqual(len(self._restart(shard)), 1)

    def test_occurrences_and_steps_are_separate(self):
        # Guards against a gang that resumes from the work of another one.
        later = attrs.evolve(GANG, after=(0,))
        shard = Shard(workers=4, cpu=1000)
        shard.submit(build_job(GANG, later))
        for order in list_starts(shard.step()):
            self._report(shard, order, "c500")
            shard.end(order, EndKind.DONE)
        self.assertEqual(self._restart(shard), {""})
