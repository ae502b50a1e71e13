"""Lines on tasks that have waited for a worker for over a second."""

import unittest

from trefoilhook.scheduling import Demand, EndKind, Step, list_long_waits
from trefoilhook.scheduling.tests.cases import Shard, build_job
from trefoilhook.scheduling.waits import WaitReason

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


class AmpleCapacityTest(unittest.TestCase):
    """What is logged about service tasks that wait beside capacity for them."""

    def setUp(self):
        self.shard = Shard()
        self.shard.submit(build_job(SERVICE))
        self.tasks = self.shard.scheduler.jobs["j"].tasks.values()
        for task in self.tasks:
            task.shared.held_until_ms = 1e9

    def _pass_time(self, rounds: int) -> None:
        for _ in range(rounds):
            self.shard.advance_time(200.0)
            self.shard.poll_all()
            self.shard.plan()

    def test_time_beside_capacity_and_reasons(self):
        # Guards against a wait whose line does not tell that there is capacity, or what
        # else the step waited for before.
        self.shard.plan()
        self._pass_time(6)
        (wait,) = _list_waits(self.shard)
        self.assertEqual((wait.ample_ms, wait.overdue), (1200, False))
        self.assertEqual(wait.reasons_ms, {"kept apart": 1200})
        for worker in self.shard.scheduler.workers.values():
            worker.usable = False
        for task in self.tasks:
            task.shared.held_until_ms = 0.0
        self._pass_time(6)
        (wait,) = _list_waits(self.shard)
        self.assertEqual(wait.ample_ms, 0)
        self.assertEqual(wait.reasons_ms, {"kept apart": 1400, "no worker": 1000})

    def test_start_of_an_overdue_task(self):
        # Guards against a start that does not tell that its task was held too long.
        self.shard.plan()
        self._pass_time(11)
        (wait,) = _list_waits(self.shard)
        self.assertTrue(wait.overdue)
        for task in self.tasks:
            task.shared.held_until_ms = 0.0
        self._pass_time(1)
        for task in self.tasks:
            (attempt,) = task.attempts
            run = attempt.run
            self.assertEqual((run.was_overdue, run.ample_ms), (True, 2400.0))
            self.assertEqual(run.wait_reasons, ((WaitReason.ISOLATED, 2200.0),))
