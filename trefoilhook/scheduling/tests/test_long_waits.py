"""Lines on tasks that have waited for a worker for over a second."""

import unittest

from trefoilhook.scheduling import Demand, EndKind, Step, list_long_waits
from trefoilhook.scheduling.tests.cases import Shard, build_job

SERVICE = Step(
    count=2, demand=Demand(cpu=1000, memory_mb=100), estimate_ms=0.0, long_running=True
)


def _list_waits(shard: Shard) -> list:
    return list(
        list_long_waits(shard.scheduler, min_wait_ms=1000.0, now_ms=shard.now_ms)
    )


class LongWaitTest(unittest.TestCase):
    """What is logged about tasks that wait."""

    def test_held_task_names_the_takeover(self):
        # Guards against a wait at a takeover that no line explains.
        shard = Shard(settled=False)
        shard.submit(build_job(SERVICE, job_id="old"), is_new=False)
        shard.plan()
        shard.advance_time(1200.0)
        shard.plan()
        (wait,) = _list_waits(shard)
        self.assertEqual((wait.task, wait.tasks), ("old.0.0.0", 2))
        self.assertEqual((wait.waited_ms, wait.waits_for), (1200, "owner new"))
        self.assertEqual((wait.last_attempt, wait.last_worker), (0, ""))

    def test_lost_run_is_named(self):
        # Guards against a wait whose line does not tell what became of the last run.
        shard = Shard(workers=1)
        shard.submit(build_job(SERVICE))
        shard.step()
        orders = shard.workers["w0"].starts
        shard.end(orders[0], EndKind.FAILED)
        shard.scheduler.mark_unlisted("w0")
        shard.plan()
        shard.advance_time(1500.0)
        shard.plan()
        (wait,) = _list_waits(shard)
        self.assertEqual((wait.last_worker, wait.last_end), ("w0", "failed"))
        self.assertEqual(wait.last_attempt, orders[0].attempt)
        self.assertEqual((wait.worker_state, wait.long_running), ("answers", True))

    def test_short_wait_is_not_logged(self):
        shard = Shard(settled=False)
        shard.submit(build_job(SERVICE, job_id="old"), is_new=False)
        shard.plan()
        shard.advance_time(900.0)
        self.assertEqual(_list_waits(shard), [])
