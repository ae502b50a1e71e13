"""Tests of batch jobs that no worker tolerates on a mostly idle fleet.

The fillers of a batch job disturb every service task, and no worker runs an image that
tolerates them. Each worker has some processor time for them, but never all that they
request. Guards against jobs that are never started, about which nothing is learned.
"""

import unittest
from collections import Counter

import attrs

from trefoilhook.scheduling import Demand, EndKind, OrderOutcome, PaceOrder, Step
from trefoilhook.scheduling.colocation import ColocationCache
from trefoilhook.scheduling.starvation import STARVATION_DELAY_MS, THROTTLED_PACE
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=1,
    demand=Demand(cpu=4000),
    long_running=True,
    latency_limit_ms=18.0,
    image="s",
    max_per_worker=1,
)
_CPU = 16_000
_MAX_IDLE_MS = 3000.0
"""Time on a mostly idle fleet after which users take a job with nothing running as
lost, in ms."""


def _filler(image: str, count: int = 3) -> Step:
    return Step(
        count=count,
        demand=Demand(cpu=3000),
        filler=True,
        checkpointing=True,
        image=image,
        estimate_ms=2000.0,
    )


def _learn_weight(shard: Shard, image: str, cost: float) -> None:
    """Teach the model that fillers of an image cost the given slack."""
    for _ in range(40):
        shard.scheduler.interference.learn_change(
            "s",
            before={},
            after={image: 0.2},
            slack_before=2.5,
            slack_after=2.5 - 0.2 * cost,
        )


class StarvationTest(unittest.TestCase):
    """Two workers with a service task each, for which fillers are heavy."""

    def setUp(self):
        self.shard = Shard(workers=2, cpu=_CPU)
        self.shard.submit(build_job(attrs.evolve(_SERVICE, count=2), job_id="service"))
        self.services = list_starts(self.shard.step())
        for order in self.services:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, percent=100.0, load=9.0)
        _learn_weight(self.shard, "f", 11.0)

    def _wait(self, duration_ms: float) -> list:
        """Advance, and return the orders of all plans."""
        orders = []
        for _ in range(round(duration_ms / 100.0)):
            orders += self.shard.step()
        return orders

    def test_starved_job_gets_one_throttled_task(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self.assertEqual(list_starts(self._wait(STARVATION_DELAY_MS - 300.0)), [])
        orders = self._wait(1000.0)
        (start,) = list_starts(orders)
        paces = [order for order in orders if isinstance(order, PaceOrder)]
        self.assertEqual([order.task for order in paces[:1]], [start.task])
        self.assertEqual([order.percent for order in paces], [THROTTLED_PACE])

    def test_starved_suspect_waits_for_retry_delay(self):
        # Guards against repeatedly starting a throttled filler although workers were
        # lost under it.
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self.shard.plan()
        for task in self.shard.scheduler.waiting:
            task.shared.held_until_ms = self.shard.now_ms + 2.0 * STARVATION_DELAY_MS
        self.assertEqual(list_starts(self._wait(1.5 * STARVATION_DELAY_MS)), [])
        self.assertEqual(len(list_starts(self._wait(STARVATION_DELAY_MS))), 1)

    def test_task_is_throttled_as_soon_as_start_is_confirmed(self):
        # Without waiting for the next poll, as the task runs at full speed until then.
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self._wait(STARVATION_DELAY_MS - 300.0)
        starts = []
        for _ in range(10):
            starts = starts or list_starts(self.shard.plan())
            self.shard.advance_time(100.0)
        self.shard.answer(starts[0], OrderOutcome.DONE)
        paces = [order for order in self.shard.plan() if isinstance(order, PaceOrder)]
        self.assertEqual([order.task for order in paces], [starts[0].task])

    def test_next_task_starts_after_first_has_ended(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        (first,) = list_starts(self._wait(STARVATION_DELAY_MS + 500.0))
        self.shard.end(first, EndKind.DONE)
        self.assertEqual(len(list_starts(self._wait(STARVATION_DELAY_MS + 500.0))), 1)

    def test_jobs_on_an_idle_fleet_are_never_idle_for_long(self):
        # Guards against jobs that count as lost at the end of a day, as each of their
        # tasks is started only some seconds after the one before.
        for number in range(8):
            self.shard.submit(build_job(_filler("f"), job_id=f"batch{number}"))
        for _ in range(2):
            starts = list_starts(self._wait(_MAX_IDLE_MS))
            self.assertEqual(len({start.task.job_id for start in starts}), 8)
            for start in starts:
                self.shard.end(start, EndKind.DONE)

    def test_every_starved_job_gets_one_task(self):
        for number in range(4):
            self.shard.submit(build_job(_filler("f"), job_id=f"batch{number}"))
        starts = list_starts(self._wait(STARVATION_DELAY_MS + 2000.0))
        self.assertEqual(len({start.task.job_id for start in starts}), 4)

    def test_nothing_starts_on_half_reserved_fleet(self):
        # On such a fleet waiting jobs compete for the remaining capacity.
        wide = Step(
            count=2, demand=Demand(cpu=6000), estimate_ms=60_000.0, max_per_worker=1
        )
        self.shard.submit(build_job(wide, job_id="other"))
        others = list_starts(self.shard.step())
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        starts = []
        for percent in range(round((STARVATION_DELAY_MS + 1000.0) / 100.0)):
            for order in others:
                worker = self.shard.workers[order.worker_id]
                worker.update(order.task, order.attempt, percent=float(percent))
            starts += list_starts(self.shard.step())
        self.assertEqual(starts, [])

    def test_nothing_starts_beside_service_over_its_limit(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        for order in self.services:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, load=60.0)
        self.assertEqual(list_starts(self._wait(STARVATION_DELAY_MS + 1000.0)), [])

    def test_throttled_task_does_not_return_to_worker_where_it_failed(self):
        # Guards against a worker that fails every task and uses up the job's attempts.
        self.shard.submit(build_job(_filler("f", count=1), job_id="batch"))
        (first,) = list_starts(self._wait(STARVATION_DELAY_MS + 500.0))
        self.shard.end(first, EndKind.FAILED)
        (second,) = list_starts(self._wait(STARVATION_DELAY_MS + 1000.0))
        self.assertNotEqual(second.worker_id, first.worker_id)

    def test_empty_workers_beside_services_over_their_limit(self):
        # Guards against relief that finds no worker although some are empty.
        for order in self.services:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, load=60.0)
        self.shard.add_worker("w8", cpu=2000)
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        (start,) = list_starts(self._wait(_MAX_IDLE_MS))
        self.assertEqual(start.worker_id, "w8")

    def test_relieved_runs_are_spread(self):
        # Guards against jobs that lose their only runs together with one worker.
        shard = Shard(workers=8, cpu=_CPU)
        shard.submit(build_job(attrs.evolve(_SERVICE, count=8), job_id="service"))
        for number, order in enumerate(list_starts(shard.step())):
            worker = shard.workers[order.worker_id]
            # The workers differ in slack.
            load = 5.0 + number
            worker.update(order.task, order.attempt, percent=100.0, load=load)
        _learn_weight(shard, "f", 11.0)
        for number in range(24):
            shard.submit(build_job(_filler("f", count=1), job_id=f"batch{number}"))
        hosts: Counter[str] = Counter()
        for _ in range(30):
            for start in list_starts(shard.step()):
                if start.task.job_id != "service":
                    hosts[start.worker_id] += 1
        self.assertEqual(hosts.total(), 24)
        self.assertLessEqual(max(hosts.values()), 4)

    def test_light_fillers_are_still_placed(self):
        _learn_weight(self.shard, "light", 0.2)
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self._wait(STARVATION_DELAY_MS + 1000.0)
        self.shard.submit(build_job(_filler("light", count=2), job_id="light"))
        self.assertEqual(len(list_starts(self._wait(500.0))), 2)

    def test_throttled_task_counts_at_its_initial_pace(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        (start,) = list_starts(self._wait(STARVATION_DELAY_MS + 500.0))
        worker = self.shard.scheduler.workers[start.worker_id]
        colocations = ColocationCache(
            jobs=self.shard.scheduler.jobs,
            interference=self.shard.scheduler.interference,
            now_ms=self.shard.now_ms,
        )
        full = 0.86 * 3000 / _CPU
        self.assertAlmostEqual(
            colocations.lookup(worker).shares["f"],
            full * THROTTLED_PACE / 100.0,
            places=6,
        )
