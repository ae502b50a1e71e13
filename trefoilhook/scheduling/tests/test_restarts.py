"""Tests of the reports on long-running tasks that wait to be restarted."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    Progress,
    Step,
    TaskId,
    find_longest_wait,
    list_restarts,
    measure_backlogs,
    measure_wait,
)
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=2,
    demand=Demand(cpu=2000, memory_mb=10),
    estimate_ms=500.0,
    long_running=True,
    image="w",
)


class RestartBacklogTest(unittest.TestCase):
    """Backlog of a queue with long-running tasks that ran before."""

    def measure(self, shard: Shard) -> dict:
        """Return the only backlog."""
        (backlog,) = measure_backlogs(
            shard.scheduler,
            shard.scheduler.waiting,
            now_ms=shard.now_ms,
            wall_ms=shard.now_ms,
        )
        return attrs.asdict(backlog)

    def test_longest_wait_is_described(self):
        # Guards against a backlog that describes only the oldest waiting job and omits
        # a service task that failed and is not restarted.
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(_SERVICE, count=9), job_id="a"))
        running = list_starts(shard.step())
        shard.scheduler.exclude_worker("w0")
        for number, order in enumerate(running):
            shard.end(order, EndKind.FAILED if number else EndKind.STOPPED)
            shard.step()
            shard.advance_time(890.0)
        expected = {
            "tasks": 9,
            "restarts": 2,
            "restart_task": str(running[0].task),
            "restart_wait_ms": 1990,
            "restart_waits_for": "no worker",
            "restart_cpu": 2000,
            "restart_mb": 10,
            "restart_worker": "w0",
            "restart_end": "stopped",
        }
        backlog = self.measure(shard)
        self.assertEqual({**backlog, **expected}, backlog)

    def test_new_tasks_are_not_restarts(self):
        shard = Shard(workers=0)
        shard.submit(build_job(_SERVICE))
        shard.step()
        backlog = self.measure(shard)
        self.assertEqual((backlog["tasks"], backlog["restarts"]), (2, 0))
        self.assertEqual(backlog["restart_task"], "")

    def test_ended_batch_tasks_are_not_restarts(self):
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(attrs.evolve(_SERVICE, long_running=False)))
        first, _ = list_starts(shard.step())
        shard.end(first, EndKind.FAILED)
        self.assertEqual(self.measure(shard)["restarts"], 0)

    def test_tasks_of_previous_owner_are_restarts(self):
        # Guards against omitting tasks that may have run under the previous owner.
        shard = Shard(workers=0, epoch=2)
        shard.submit(build_job(_SERVICE), is_new=False, progress=Progress())
        shard.submit(build_job(_SERVICE, job_id="k"), is_new=False)
        shard.step()
        backlog = self.measure(shard)
        self.assertEqual((backlog["tasks"], backlog["restarts"]), (4, 2))
        self.assertEqual((backlog["restart_worker"], backlog["restart_end"]), ("", ""))

    def test_end_under_previous_owner_is_described(self):
        # Guards against ignoring an end that precedes the takeover and that the worker
        # still lists.
        earlier = Shard(workers=1)
        earlier.submit(build_job(attrs.evolve(_SERVICE, count=1)))
        order = earlier.start_one()
        earlier.workers["w0"].end(order.task, order.attempt, EndKind.FAILED)
        later = Shard(workers=0, epoch=2)
        later.workers = earlier.workers
        job = build_job(attrs.evolve(_SERVICE, count=1))
        later.submit(job, is_new=False, progress=Progress())
        later.add_worker("w0")
        backlog = self.measure(later)
        self.assertEqual(
            (backlog["restart_worker"], backlog["restart_end"]), ("w0", "failed")
        )


class RestartWaitTest(unittest.TestCase):
    """Waits of long-running tasks that ran before."""

    def test_wait_of_adopted_task_is_over(self):
        # Guards against a wait that includes the run time of an adopted attempt: the
        # task waits until the new owner finds the attempt running, and its next wait
        # begins when that attempt fails an hour later.
        earlier = Shard(workers=1)
        earlier.submit(build_job(attrs.evolve(_SERVICE, count=1)))
        order = earlier.start_one()
        shard = Shard(workers=0, epoch=2, settled=False)
        shard.workers = earlier.workers
        job = build_job(attrs.evolve(_SERVICE, count=1))
        shard.submit(job, is_new=False, progress=Progress())
        shard.plan()
        shard.add_worker("w0")
        shard.advance_time(3_600_000.0)
        shard.end(order, EndKind.FAILED)
        shard.scheduler.exclude_worker("w0")
        shard.plan()
        shard.advance_time(700.0)
        longest = find_longest_wait(
            list_restarts(shard.scheduler.waiting), shard.now_ms
        )
        self.assertEqual(longest.task, TaskId("j", 0, 0, 0))
        self.assertEqual(measure_wait(longest, shard.now_ms), 700.0)

    def test_longest_wait_of_no_tasks(self):
        self.assertIsNone(find_longest_wait([], 0.0))


if __name__ == "__main__":
    unittest.main()
