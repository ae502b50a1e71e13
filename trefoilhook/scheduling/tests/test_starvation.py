"""Batch jobs that no worker seems to bear, on a fleet with room to spare.

Most of the workers' processors are free, and a batch job waits for good: what it runs
disturbs every service task there is, and the one image that bore it has left. Beside
each service task it would find some processor time, but never all that it asks for, so
it is never started, and nothing is learned of it any more either.
"""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, OrderOutcome, PaceOrder, Step
from trefoilhook.scheduling.crowds import ColocationCache
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


def _filler(image: str, count: int = 3) -> Step:
    return Step(
        count=count,
        demand=Demand(cpu=3000),
        filler=True,
        checkpointing=True,
        image=image,
        estimate_ms=2000.0,
    )


def _make_heavy(shard: Shard, image: str, cost: float) -> None:
    """Have it learned that fillers of an image cost so much of the slack."""
    for _ in range(40):
        shard.scheduler.interference.learn_change(
            "s",
            before={},
            after={image: 0.2},
            slack_before=2.5,
            slack_after=2.5 - 0.2 * cost,
        )


class StarvationTest(unittest.TestCase):
    """Two workers with a service task each; fillers are heavy for its image."""

    def setUp(self):
        self.shard = Shard(workers=2, cpu=_CPU)
        self.shard.submit(build_job(attrs.evolve(_SERVICE, count=2), job_id="service"))
        self.services = list_starts(self.shard.step())
        for order in self.services:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, percent=100.0, load=9.0)
        _make_heavy(self.shard, "f", 11.0)

    def _wait(self, duration_ms: float) -> list:
        """Pass time, and return the orders of all plans meanwhile."""
        orders = []
        for _ in range(round(duration_ms / 100.0)):
            orders += self.shard.step()
        return orders

    def test_starved_job_gets_one_slowed_task(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self.assertEqual(list_starts(self._wait(STARVATION_DELAY_MS - 300.0)), [])
        orders = self._wait(1000.0)
        (start,) = list_starts(orders)
        paces = [order for order in orders if isinstance(order, PaceOrder)]
        self.assertEqual([order.task for order in paces[:1]], [start.task])
        self.assertEqual([order.percent for order in paces], [THROTTLED_PACE])

    def test_starved_suspect_waits_for_its_pause(self):
        # Guards against a filler that is started slowed, again and again, though the
        # workers under it were lost.
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self.shard.plan()
        for task in self.shard.scheduler.waiting:
            task.held_until_ms = self.shard.now_ms + 2.0 * STARVATION_DELAY_MS
        self.assertEqual(list_starts(self._wait(1.5 * STARVATION_DELAY_MS)), [])
        self.assertEqual(len(list_starts(self._wait(STARVATION_DELAY_MS))), 1)

    def test_it_is_slowed_as_soon_as_its_start_is_confirmed(self):
        # Not with the next look: until its first order it works at full speed.
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self._wait(STARVATION_DELAY_MS - 300.0)
        starts = []
        for _ in range(10):
            starts = starts or list_starts(self.shard.plan())
            self.shard.pass_time(100.0)
        self.shard.answer(starts[0], OrderOutcome.DONE)
        paces = [order for order in self.shard.plan() if isinstance(order, PaceOrder)]
        self.assertEqual([order.task for order in paces], [starts[0].task])

    def test_next_task_follows_when_the_first_has_ended(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        (first,) = list_starts(self._wait(STARVATION_DELAY_MS + 500.0))
        self.shard.end(first, EndKind.DONE)
        self.assertEqual(len(list_starts(self._wait(STARVATION_DELAY_MS + 500.0))), 1)

    def test_every_starved_job_gets_one(self):
        for number in range(4):
            self.shard.submit(build_job(_filler("f"), job_id=f"batch{number}"))
        starts = list_starts(self._wait(STARVATION_DELAY_MS + 2000.0))
        self.assertEqual(len({start.task.job_id for start in starts}), 4)

    def test_nothing_is_added_on_a_fleet_that_is_half_full(self):
        # There a job that waits competes with others for what is left.
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

    def test_nothing_joins_a_service_over_its_limit(self):
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        for order in self.services:
            worker = self.shard.workers[order.worker_id]
            worker.update(order.task, order.attempt, load=60.0)
        self.assertEqual(list_starts(self._wait(STARVATION_DELAY_MS + 1000.0)), [])

    def test_throttled_task_does_not_return_where_it_failed(self):
        # A worker that fails what it starts would use up the attempts of the job.
        self.shard.submit(build_job(_filler("f", count=1), job_id="batch"))
        (first,) = list_starts(self._wait(STARVATION_DELAY_MS + 500.0))
        self.shard.end(first, EndKind.FAILED)
        (second,) = list_starts(self._wait(STARVATION_DELAY_MS + 1000.0))
        self.assertNotEqual(second.worker_id, first.worker_id)

    def test_light_fillers_still_find_their_places(self):
        _make_heavy(self.shard, "light", 0.2)
        self.shard.submit(build_job(_filler("f"), job_id="batch"))
        self._wait(STARVATION_DELAY_MS + 1000.0)
        self.shard.submit(build_job(_filler("light", count=2), job_id="light"))
        self.assertEqual(len(list_starts(self._wait(500.0))), 2)

    def test_throttled_task_counts_at_its_pace(self):
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
