"""Urgent tasks on a worker whose fillers use all that service tasks leave.

Residents' urgent jobs start within milliseconds, on a worker that has the room. At once
every service task there answers ten times too late, for as long as the fillers work on:
they go on using the processors that the urgent tasks reserve. No weight tells of it, as
none of the fillers disturbs any of the service tasks by itself.
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
    """A worker of 16 cores: service tasks reserve 8 and use 4, fillers use 8."""

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
        """Have the fillers use what they ask for, and return all orders meanwhile."""
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

    def test_fillers_work_at_full_speed_while_there_is_time(self):
        self.assertEqual(len(self.fillers), 4)
        paces = [o for o in self._work(2000.0) if isinstance(o, PaceOrder)]
        self.assertEqual(paces, [])

    def test_fillers_make_way_in_the_plan_that_starts_an_urgent_task(self):
        self._submit_urgent(6000)
        orders = self.shard.step()
        self.assertEqual(len(list_starts(orders)), 1)
        paces = {o.task: o.percent for o in orders if isinstance(o, PaceOrder)}
        self.assertEqual(set(paces), {order.task for order in self.fillers})
        used = sum(0.86 * 2000 * percent / 100 for percent in paces.values())
        self.assertLessEqual(4000 + 6000 + used, 0.95 * _CPU)
        self.assertGreater(used, 2000)

    def test_fillers_make_way_without_a_look_between(self):
        # Looks at a worker come half a second apart: tails are ten times up by then.
        self.shard.plan()
        self._submit_urgent(6000)
        paces = [o for o in self.shard.plan() if isinstance(o, PaceOrder)]
        self.assertEqual(len(paces), 4)

    def test_next_urgent_task_slows_them_further_at_once(self):
        self._submit_urgent(5500)
        first = [o for o in self.shard.step() if isinstance(o, PaceOrder)]
        self.shard.pass_time(100.0)
        step = Step(count=1, demand=Demand(cpu=2500), estimate_ms=640.0)
        self.shard.submit(build_job(step, job_id="more"))
        second = [o for o in self.shard.plan() if isinstance(o, PaceOrder)]
        self.assertEqual(len(second), 4)
        self.assertLess(second[0].percent, first[0].percent)

    def test_fillers_are_let_go_once_the_urgent_task_has_ended(self):
        self._submit_urgent(6000)
        (urgent,) = list_starts(self.shard.step())
        self._work(600.0)
        self.shard.end(urgent, EndKind.DONE)
        paces = [o for o in self._work(600.0) if isinstance(o, PaceOrder)]
        self.assertEqual({order.percent for order in paces}, {100})

    def test_worker_without_fillers_may_be_reserved_whole(self):
        # Urgent tasks fill a worker beside its service tasks, and no filler is there
        # to make way: the owner's process ended by itself.
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
        shard.pass_time(500.0)
        shard.look_all()
        shard.submit(build_job(attrs.evolve(step, count=1), job_id="more"))
        self.assertEqual(shard.plan(), [])

    def test_no_filler_joins_where_it_would_take_the_last_processors(self):
        more = attrs.evolve(_FILLER, count=2, demand=Demand(cpu=6000))
        self.shard.submit(build_job(more, job_id="more"))
        self.assertEqual(list_starts(self._work(1000.0)), [])

    def test_urgent_task_goes_where_the_processors_are_idle(self):
        # Reservations alone would pack it beside the fillers.
        self.shard.add_worker("w1", cpu=_CPU)
        self._submit_urgent(6000)
        (start,) = list_starts(self.shard.step())
        self.assertEqual(start.worker_id, "w1")
