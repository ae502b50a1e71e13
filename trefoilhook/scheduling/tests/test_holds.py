"""Tasks held by a takeover, and the workers it waits for."""

import unittest

from trefoilhook.scheduling import OrderOutcome, Running, TaskId, list_awaited
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts


def _build_unsettled_shard() -> Shard:
    shard = Shard(settled=False)
    shard.submit(build_job(job_id="old"), is_new=False)
    return shard


class TakeoverHoldsTest(unittest.TestCase):
    """Number of held tasks and the time for which they are held."""

    def test_held_task_is_counted_until_it_may_start(self):
        # Guards against a takeover that does not report how many tasks it held.
        shard = _build_unsettled_shard()
        shard.step()
        self.assertEqual(shard.scheduler.holds.count, 1)
        shard.advance_time(2900.0)
        shard.poll_all()
        shard.settled = True
        self.assertEqual(len(list_starts(shard.plan())), 1)
        summary = shard.scheduler.holds.summarize(shard.now_ms + 1000.0)
        self.assertEqual(shard.scheduler.holds.count, 0)
        self.assertEqual((summary.tasks, summary.total_ms), (1, 3000.0))
        self.assertEqual(summary.longest_ms, 3000.0)

    def test_held_task_is_counted_while_it_is_held(self):
        shard = _build_unsettled_shard()
        shard.plan()
        summary = shard.scheduler.holds.summarize(shard.now_ms + 700.0)
        self.assertEqual((summary.tasks, summary.longest_ms), (1, 700.0))

    def test_task_of_a_new_job_is_not_held(self):
        shard = _build_unsettled_shard()
        shard.submit(build_job(job_id="new"))
        shard.plan()
        self.assertEqual(shard.scheduler.holds.count, 1)

    def test_task_found_running_is_not_counted(self):
        # Guards against counting all running tasks as held: a new owner holds every
        # task until the first answers show which ones are running.
        shard = _build_unsettled_shard()
        shard.plan()
        task = TaskId("old", 0, 0, 0)
        shard.workers["w0"].running[task, 1] = Running(
            task=task, attempt=1, checkpoint="", percent=0.0, load=0.0
        )
        shard.poll("w0")
        shard.plan()
        summary = shard.scheduler.holds.summarize(shard.now_ms)
        self.assertEqual((shard.scheduler.holds.count, summary.tasks), (0, 0))


class AwaitedWorkersTest(unittest.TestCase):
    """Workers that keep a shard from being settled."""

    def test_awaited_workers_are_the_unreported_ones(self):
        shard = Shard(workers=1)
        self.assertEqual(
            list_awaited(shard.scheduler, ("w0", "w1"), shard.now_ms), ["w1"]
        )

    def test_after_the_leases_only_listed_workers_are_awaited(self):
        # Guards against logging workers that are gone and whose leases have expired.
        shard = Shard(workers=2)
        for worker_id in ("w0", "w1"):
            shard.scheduler.workers[worker_id].has_reported_all = False
            shard.silence(worker_id, OrderOutcome.NO_ANSWER)
        shard.scheduler.mark_unlisted("w1")
        late_ms = shard.scheduler.limits.settled_at_ms
        roster = ("w0", "w1", "w2")
        self.assertEqual(
            list_awaited(shard.scheduler, roster, late_ms - 1.0), ["w0", "w1", "w2"]
        )
        self.assertEqual(list_awaited(shard.scheduler, roster, late_ms), ["w0"])
