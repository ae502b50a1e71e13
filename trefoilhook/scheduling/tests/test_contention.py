"""Tests of urgent tasks on workers whose spare processor time is used by fillers.

Urgent tasks start within milliseconds. Unless the fillers are throttled at the same
time, they continue to use the processors that the urgent tasks have reserved, and the
tails of all service tasks on the worker reach ten times their limits. The interference
weights do not show this, as no filler disturbs a service task by itself.
"""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, PaceOrder, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_CPU = 16_000
_SERVICE = Step(
    count=2,
    demand=Demand(cpu=4000),
    long_running=True,
    latency_limit_ms=18.0,
    image="s",
)
_FILLER = Step(
    count=4,
    demand=Demand(cpu=2000),
    filler=True,
    checkpointing=True,
    image="f",
    estimate_ms=2000.0,
)


class ContentionTest(unittest.TestCase):
    """A worker with 16 cores: service tasks reserve 8 and use 4, fillers use 8."""

    def setUp(self):
        self.shard = Shard(workers=1, cpu=_CPU)
        for _ in range(40):
            self.shard.scheduler.interference.learn_change(
                "s",
                before={},
                after={"f": 0.3},
                slack_before=2.5,
                slack_after=2.45,
            )
        self.shard.submit(build_job(_SERVICE, job_id="service"))
        self._confirm_services(list_starts(self.shard.step()))
        self.shard.submit(build_job(_FILLER, job_id="batch"))
        self.fillers = list_starts(self.shard.step())
        self._work(1500.0)

    def _confirm_services(self, orders) -> None:
        for order in orders:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, percent=100.0, load=8.0)

    def _work(self, duration_ms: float) -> list:
        """Simulate fillers at full use and return all orders."""
        for order in self.fillers:
            worker = self.shard.workers[order.worker_id]
            if (order.task, order.attempt) in worker.running:
                worker.update(order.task, order.attempt, load=2000.0, percent=10.0)
        orders = []
        for _ in range(round(duration_ms / 100.0)):
            orders += self.shard.step()
        return orders

    def _submit_urgent(self, cpu: int) -> None:
        step = Step(count=1, demand=Demand(cpu=cpu), estimate_ms=640.0)
        self.shard.submit(build_job(step, job_id="urgent"))

    def test_fillers_run_at_full_speed_with_spare_cpu(self):
        self.assertEqual(len(self.fillers), 4)
        paces = [o for o in self._work(2000.0) if isinstance(o, PaceOrder)]
        self.assertEqual(paces, [])

    def test_fillers_are_throttled_in_plan_that_starts_urgent_task(self):
        self._submit_urgent(6000)
        orders = self.shard.step()
        self.assertEqual(len(list_starts(orders)), 1)
        paces = {o.task: o.percent for o in orders if isinstance(o, PaceOrder)}
        self.assertEqual(set(paces), {order.task for order in self.fillers})
        used = sum(0.86 * 2000 * percent / 100 for percent in paces.values())
        self.assertLessEqual(4000 + 6000 + used, 0.95 * _CPU)
        self.assertGreater(used, 2000)

    def test_fillers_are_throttled_without_poll_in_between(self):
        # Polls are 500 ms apart; the tails would have risen tenfold by then.
        self.shard.plan()
        self._submit_urgent(6000)
        paces = [o for o in self.shard.plan() if isinstance(o, PaceOrder)]
        self.assertEqual(len(paces), 4)

    def test_next_urgent_task_throttles_further_immediately(self):
        self._submit_urgent(5500)
        first = [o for o in self.shard.step() if isinstance(o, PaceOrder)]
        self.shard.advance_time(100.0)
        step = Step(count=1, demand=Demand(cpu=2500), estimate_ms=640.0)
        self.shard.submit(build_job(step, job_id="more"))
        second = [o for o in self.shard.plan() if isinstance(o, PaceOrder)]
        self.assertEqual(len(second), 4)
        self.assertLess(second[0].percent, first[0].percent)

    def test_fillers_are_sped_up_after_urgent_task(self):
        self._submit_urgent(6000)
        (urgent,) = list_starts(self.shard.step())
        self._work(600.0)
        self.shard.end(urgent, EndKind.DONE)
        paces = [o for o in self._work(600.0) if isinstance(o, PaceOrder)]
        self.assertEqual({order.percent for order in paces}, {100})

    def test_worker_without_fillers_may_be_fully_reserved(self):
        # Guards against a division by zero that ended the owner: urgent tasks reserve a
        # whole worker on which no filler could be throttled.
        shard = Shard(workers=1, cpu=_CPU)
        light = attrs.evolve(_SERVICE, count=1, demand=Demand(cpu=1000))
        shard.submit(build_job(light, job_id="service"))
        (service,) = list_starts(shard.step())
        shard.workers["w0"].update(
            service.task, service.attempt, percent=100.0, load=8.0
        )
        step = Step(count=2, demand=Demand(cpu=7500), estimate_ms=640.0)
        shard.submit(build_job(step, job_id="urgent"))
        self.assertEqual(len(list_starts(shard.step())), 2)
        shard.advance_time(500.0)
        shard.poll_all()
        shard.submit(build_job(attrs.evolve(step, count=1), job_id="more"))
        self.assertEqual(shard.plan(), [])

    def test_no_filler_is_placed_on_nearly_saturated_worker(self):
        more = attrs.evolve(_FILLER, count=2, demand=Demand(cpu=6000))
        self.shard.submit(build_job(more, job_id="more"))
        self.assertEqual(list_starts(self._work(1000.0)), [])

    def test_urgent_task_is_placed_on_idle_worker(self):
        # By reservations alone it would be packed beside the fillers.
        self.shard.add_worker("w1", cpu=_CPU)
        self._submit_urgent(6000)
        (start,) = list_starts(self.shard.step())
        self.assertEqual(start.worker_id, "w1")
