"""Tests of the spread of service tasks over workers."""

import collections
import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import Demand, EndKind, Features, Progress, Step
from trefoilhook.scheduling.arrangement import (
    compute_max_together,
    measure_largest_share,
    spread,
)
from trefoilhook.scheduling.shortfall import ShortfallCounter
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=8,
    demand=Demand(cpu=4000, memory_mb=10),
    long_running=True,
    latency_limit_ms=18.0,
    max_absent=2,
    image="s",
)


def _count_by_worker(shard: Shard, job_id: str) -> collections.Counter[str]:
    return collections.Counter(
        worker.report.worker_id
        for worker in shard.scheduler.workers.values()
        for task, _ in worker.runs
        if task.job_id == job_id
    )


def _count_largest(shard: Shard, job_id: str) -> int:
    return max(_count_by_worker(shard, job_id).values())


class SpreadCase(unittest.TestCase):
    """Base of tests that enable spreading on a small fleet."""

    def setUp(self):
        self.min_workers = mock.patch.object(spread, "_MIN_WORKERS", 1)
        self.min_workers.start()
        self.addCleanup(mock.patch.stopall)


class SpreadTest(SpreadCase):
    """Service tasks on workers with capacity for many of them."""

    def test_bound_is_number_of_tasks_that_may_be_absent(self):
        for max_absent, count, expected in (
            (3, 8, 3),
            (0, 8, 1),
            (None, 8, 1),
            (None, 24, 3),
            (None, 1, 1),
        ):
            with self.subTest(max_absent=max_absent, count=count):
                step = attrs.evolve(_SERVICE, max_absent=max_absent, count=count)
                self.assertEqual(compute_max_together(step), expected)

    def test_lost_worker_takes_no_more_tasks_than_may_be_absent(self):
        # Guards against a worker loss after which more tasks are absent than permitted.
        shard = Shard(workers=6, cpu=32_000)
        shard.submit(build_job(_SERVICE))
        shard.step()
        counts = _count_by_worker(shard, "j")
        self.assertEqual(counts.total(), 8)
        shard.scheduler.drop_worker(counts.most_common(1)[0][0])
        self.assertEqual(len(shard.scheduler.waiting), 2)
        shard.step()
        self.assertEqual(_count_by_worker(shard, "j").total(), 8)
        self.assertEqual(_count_largest(shard, "j"), 2)

    def test_spread_can_be_switched_off(self):
        shard = Shard(workers=6, cpu=32_000)
        shard.scheduler.features = Features(arrangement=False)
        shard.submit(build_job(_SERVICE))
        shard.step()
        self.assertEqual(_count_largest(shard, "j"), 8)

    def test_burst_of_services_on_almost_full_fleet_is_started_whole(self):
        # Guards against spreading that leaves tasks without a worker when services fill
        # the fleet completely.
        shard = Shard(workers=12, cpu=32_000)
        for number in range(12):
            shard.submit(build_job(_SERVICE, job_id=f"s{number:02}"))
        self.assertEqual(len(list_starts(shard.step())), 96)
        for number in range(12):
            self.assertLessEqual(_count_largest(shard, f"s{number:02}"), 2)

    def test_tasks_start_where_only_packed_placement_fits(self):
        # Guards against a service that waits although it fits on one worker.
        shard = Shard(workers=3, cpu=32_000)
        filling = attrs.evolve(_SERVICE, count=2, demand=Demand(cpu=30_000), image="f")
        shard.submit(build_job(filling, job_id="full"))
        shard.step()
        shard.submit(build_job(_SERVICE))
        shard.step()
        self.assertEqual(_count_largest(shard, "j"), 8)
        scheduler = shard.scheduler
        share = measure_largest_share(scheduler.workers.values(), scheduler.jobs)
        self.assertEqual(share, 1.0)
        counter = ShortfallCounter()
        counter.sample(shard.scheduler)
        shortfalls = {
            each.job: each
            for each in counter.collect(shard.scheduler, now_ms=shard.now_ms)
        }
        self.assertEqual(shortfalls["j"].together, 8)
        self.assertEqual(shortfalls["j"].max_together, 2)

    def test_images_are_not_mixed_to_spread_a_service(self):
        # Guards against spreading to workers with tasks of another image, which would
        # no longer tolerate fillers.
        shard = Shard(workers=4, cpu=32_000)
        other = attrs.evolve(_SERVICE, count=2, max_absent=1, image="o")
        shard.submit(build_job(other, job_id="other"))
        shard.step()
        shard.submit(build_job(_SERVICE))
        shard.step()
        self.assertFalse(
            _count_by_worker(shard, "other").keys() & _count_by_worker(shard, "j")
        )
        self.assertEqual(_count_largest(shard, "j"), 4)

    def test_services_of_small_fleet_are_packed(self):
        # Guards against spreading on a small fleet, which leaves too few workers with
        # tasks of a single image for fillers.
        self.min_workers.stop()
        shard = Shard(workers=24, cpu=32_000)
        shard.submit(build_job(_SERVICE))
        shard.step()
        self.assertEqual(_count_largest(shard, "j"), 8)

    def test_other_tasks_are_still_packed(self):
        # Guards against fragmented capacity that is too small for large urgent tasks.
        shard = Shard(workers=4, cpu=32_000)
        urgent = Step(count=6, demand=Demand(cpu=4000, memory_mb=10), max_absent=1)
        shard.submit(build_job(urgent))
        shard.step()
        self.assertEqual(_count_largest(shard, "j"), 6)


class TakeoverTest(SpreadCase):
    """Task counts of workers after a takeover and after the ends of runs."""

    def test_next_owner_spreads_around_adopted_tasks(self):
        # Guards against placement that ignores the tasks started by a previous owner.
        first = Shard(workers=4, cpu=32_000)
        first.submit(build_job(_SERVICE))
        starts = list_starts(first.step())
        second = Shard(workers=0, epoch=2, settled=False)
        second.workers = first.workers
        second.submit(build_job(_SERVICE), is_new=False, progress=Progress())
        lost = starts[0]
        first.workers[lost.worker_id].running.pop((lost.task, lost.attempt))
        for worker_id in first.workers:
            second.add_worker(worker_id, cpu=32_000)
        second.settled = True
        (restarted,) = list_starts(second.step())
        self.assertEqual(restarted.task, lost.task)
        self.assertEqual(_count_largest(second, "j"), 2)

    def test_ended_runs_are_not_counted(self):
        # Guards against penalizing a worker for tasks that have ended.
        shard = Shard(workers=1, cpu=32_000)
        shard.submit(build_job(_SERVICE))
        for order in list_starts(shard.step()):
            shard.workers[order.worker_id].end(
                order.task, order.attempt, EndKind.FAILED
            )
        shard.poll_all()
        worker = shard.scheduler.workers["w0"]
        self.assertEqual(worker.runs, {})
        self.assertFalse(worker.step_runs)


if __name__ == "__main__":
    unittest.main()
