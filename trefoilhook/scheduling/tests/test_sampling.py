"""Tests of rounds on a fleet of thousands of mostly idle workers."""

import random
import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import Demand, Step, WorkerReport
from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.sampling import MAX_CANDIDATES, sample_workers
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_FLEET_SIZE = 1200
_FILLER = Step(count=2, demand=Demand(cpu=3000, memory_mb=100), filler=True, image="f")
_LARGE = Step(count=1, demand=Demand(cpu=6000, memory_mb=10), estimate_ms=500.0)


def build_worker(number: int) -> Worker:
    """Build a worker; each rack contains eight workers."""
    report = WorkerReport(
        worker_id=f"w{number}",
        service="s",
        host="h",
        port=1,
        failure_domain="z",
        capacity=Demand(cpu=4000, memory_mb=8000),
        labels=(f"rack-{number // 8}",),
    )
    return Worker(report=report)


class SampleTest(unittest.TestCase):
    """Samples of workers."""

    def test_small_fleet_is_not_sampled(self):
        workers = [build_worker(number) for number in range(MAX_CANDIDATES)]
        self.assertIs(sample_workers(workers, random.Random(1)), workers)

    def test_sample_contains_rack_of_input_data(self):
        workers = [build_worker(number) for number in range(_FLEET_SIZE)]
        chosen = sample_workers(workers, random.Random(1), data_rack="rack-7")
        self.assertEqual(len(chosen), len(set(map(id, chosen))))
        self.assertLessEqual({*workers[56:64]}, {*chosen})
        self.assertLessEqual(len(chosen), MAX_CANDIDATES + 8)

    def test_sample_contains_workers_with_required_label(self):
        # Guards against batch tasks that wait for a sample with one of few workers.
        workers = [build_worker(number) for number in range(_FLEET_SIZE)]
        chosen = sample_workers(workers, random.Random(1), required_label="rack-7")
        self.assertEqual(chosen, workers[56:64])


class LargeFleetTest(unittest.TestCase):
    """A burst of batch jobs on a large fleet."""

    def setUp(self):
        self.shard = Shard(workers=_FLEET_SIZE)

    def test_ratings_do_not_grow_with_fleet(self):
        # Guards against long rounds, which delay polls and orders.
        steps = [attrs.evolve(_FILLER, image=f"f{number}") for number in range(10)]
        for step in steps:
            self.shard.submit(build_job(step, job_id=step.image))
        added = Candidates.add_worker
        with mock.patch.object(
            Candidates, "add_worker", autospec=True, side_effect=added
        ) as add:
            starts = list_starts(self.shard.plan())
        self.assertEqual(len(starts), 20)
        self.assertLessEqual(add.call_count, len(steps) * (MAX_CANDIDATES + 2))

    def test_filler_does_not_wait_for_seconds_between_rounds(self):
        # Guards against batch jobs that wait for seconds on an idle fleet.
        self.shard.plan()
        self.shard.submit(build_job(_FILLER, job_id="f"))
        for _ in range(6):
            self.shard.advance_time(100.0)
            if list_starts(self.shard.plan()):
                return
        self.fail("the filler was not started within 600 ms")

    def test_filler_is_not_limited_to_sample_of_another_label(self):
        # Guards against batch tasks that find only the workers with the label that an
        # earlier task of their image required.
        for number in range(2):
            self.shard.add_worker(f"labelled-{number}", labels=("x",))
        labelled = attrs.evolve(_FILLER, count=1, required_label="x")
        self.shard.submit(build_job(labelled, job_id="a"))
        self.shard.submit(build_job(attrs.evolve(_FILLER, count=20), job_id="b"))
        self.assertEqual(len(list_starts(self.shard.plan())), 21)

    def test_task_that_fits_on_one_worker_only_is_placed(self):
        # Guards against a task that is never placed because samples miss its worker.
        self.shard.add_worker("large", cpu=8000)
        self.shard.submit(build_job(_LARGE, job_id="large"))
        starts = list_starts(self.shard.plan())
        self.assertEqual([start.worker_id for start in starts], ["large"])


if __name__ == "__main__":
    unittest.main()
