"""Tests of long-running tasks that need another worker on a full fleet."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    OrderOutcome,
    Progress,
    StartOrder,
    Step,
    apply_poll_answer,
)
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=1, demand=Demand(cpu=3000, memory_mb=10), long_running=True, image="s"
)
_URGENT = Step(count=1, demand=Demand(cpu=1500, memory_mb=10), estimate_ms=500.0)
_URGENT_MS = 500.0
_MAX_WAIT_MS = 30_000.0


def simulate_wait(shard: Shard, job_id: str, running: list[StartOrder]) -> float | None:
    """Return how long a job waits while urgent tasks keep arriving, in ms.

    Returns None if it is not started within the time limit. ``running`` holds the
    urgent tasks that are already running.
    """
    began_ms = shard.now_ms
    ending = [
        (began_ms + _URGENT_MS / 2 * (number + 1), order)
        for number, order in enumerate(running)
    ]
    while shard.now_ms - began_ms < _MAX_WAIT_MS:
        shard.submit(
            build_job(_URGENT, job_id=f"a{shard.now_ms}", accepted_ms=shard.now_ms)
        )
        for order in list_starts(shard.step()):
            if order.task.job_id == job_id:
                return shard.now_ms - began_ms
            ending.append((shard.now_ms + _URGENT_MS, order))
        for due_ms, order in list(ending):
            if due_ms <= shard.now_ms:
                ending.remove((due_ms, order))
                shard.end(order, EndKind.DONE)
    return None


class DisplacedTaskTest(unittest.TestCase):
    """Long-running tasks that compete with a stream of urgent tasks."""

    def test_task_of_lost_worker_starts(self):
        # Guards against a service task that is not restarted while urgent tasks keep
        # arriving, because its worker is lost and no other has enough capacity at once.
        shard = Shard(workers=2, cpu=4000)
        shard.submit(build_job(_SERVICE, job_id="z"))
        order = shard.start_one()
        shard.workers[order.worker_id].update(order.task, order.attempt, percent=100.0)
        shard.submit(build_job(attrs.evolve(_URGENT, count=2), job_id="a"))
        running = list_starts(shard.step())
        shard.scheduler.drop_worker(order.worker_id)
        self.assertIsNotNone(simulate_wait(shard, "z", running))

    def test_task_starts_after_takeover_is_settled(self):
        # Guards against urgent jobs that occupy the capacity freed by a service task
        # before the new owner may start it, and keep it indefinitely.
        shard = Shard(workers=1, cpu=4000, epoch=2, settled=False)
        shard.submit(build_job(_SERVICE, job_id="z"), is_new=False, progress=Progress())
        shard.submit(build_job(attrs.evolve(_URGENT, count=2), job_id="a"))
        running = list_starts(shard.step())
        shard.settled = True
        self.assertIsNotNone(simulate_wait(shard, "z", running))

    def test_task_that_fits_starts_behind_many_infeasible_steps(self):
        # Guards against a service task that is not restarted although the capacity that
        # it freed is available, because infeasible urgent steps end the round.
        shard = Shard(workers=1, cpu=4000)
        shard.submit(build_job(_SERVICE, job_id="z"))
        order = shard.start_one()
        infeasible = attrs.evolve(_URGENT, demand=Demand(cpu=5000, memory_mb=10))
        for number in range(45):
            shard.submit(build_job(infeasible, job_id=f"a{number:02}"))
        shard.end(order, EndKind.FAILED)
        starts = list_starts(shard.step())
        self.assertEqual([start.task.job_id for start in starts], ["z"])

    def test_task_is_released_although_its_stop_is_repeated(self):
        # Guards against a task that is held forever by a start that was never executed,
        # because its stop is repeated, and answered, during each long poll.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.scheduler.exclude_worker("w0")
        for _ in range(3):
            sent_ms = shard.now_ms
            for _ in range(10):
                shard.advance_time(100.0)
                for repeated in shard.plan():
                    shard.answer(repeated, OrderOutcome.DONE)
            apply_poll_answer(
                shard.scheduler,
                "w0",
                shard.workers["w0"].answer_poll(shard.now_ms),
                sent_ms=sent_ms,
                now_ms=shard.now_ms,
            )
        self.assertEqual(shard.scheduler.workers["w0"].runs, {})


if __name__ == "__main__":
    unittest.main()
