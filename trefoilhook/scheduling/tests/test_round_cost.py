"""Tests of the cost of rounds on a large fleet with many waiting fillers.

Hundreds of batch jobs wait on hundreds of workers whose service tasks tolerate no more
fillers. Guards against rounds that rate every worker for dozens of these jobs, during
which urgent tasks wait: half of all first starts were delayed by 0.2 s.
"""

import random
import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import Demand, Step, StopReason
from trefoilhook.scheduling import planning as planning_module
from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.colocation import ColocationCache
from trefoilhook.scheduling.fleet import RunPhase
from trefoilhook.scheduling.placing import rate_worker
from trefoilhook.scheduling.rounds import AssignmentRound
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=1,
    demand=Demand(cpu=4000),
    long_running=True,
    latency_limit_ms=18.0,
    image="s",
    max_per_worker=1,
)
_FILLER = Step(count=2, demand=Demand(cpu=3000, memory_mb=100), filler=True, image="f")


class RoundCostTest(unittest.TestCase):
    """Jobs of one image with different demands."""

    def setUp(self):
        self.shard = Shard(workers=4, cpu=16_000)
        self.shard.submit(build_job(attrs.evolve(_SERVICE, count=4), job_id="service"))
        self.shard.step()
        for _ in range(40):
            self.shard.scheduler.interference.learn_change(
                "s",
                before={},
                after={"f": 0.2},
                slack_before=2.5,
                slack_after=0.3,
            )

    def _count_ratings(self) -> int:
        rated = 0
        add = Candidates.add_worker

        def count(candidates, worker):
            nonlocal rated
            rated += 1
            add(candidates, worker)

        self.shard.advance_time(2000.0)
        with mock.patch.object(Candidates, "add_worker", count):
            self.shard.plan()
        return rated

    def test_larger_fillers_of_infeasible_image_are_not_rated(self):
        for number in range(20):
            demand = Demand(cpu=3000 + 10 * number, memory_mb=500 - 10 * number)
            step = attrs.evolve(_FILLER, demand=demand)
            self.shard.submit(build_job(step, job_id=f"f{number:02}"))
        self.assertLessEqual(self._count_ratings(), 4)

    def test_smaller_filler_is_rated_and_placed(self):
        self.shard.submit(build_job(_FILLER, job_id="large"))
        small = attrs.evolve(_FILLER, demand=Demand(cpu=100, memory_mb=100))
        self.shard.submit(build_job(small, job_id="small"))
        self.shard.advance_time(2000.0)
        starts = list_starts(self.shard.plan())
        self.assertEqual({start.task.job_id for start in starts}, {"small"})

    def test_lack_of_memory_does_not_exclude_smaller_demand(self):
        large = attrs.evolve(_FILLER, demand=Demand(cpu=100, memory_mb=9000))
        small = attrs.evolve(_FILLER, demand=Demand(cpu=200, memory_mb=100))
        self.shard.submit(build_job(large, job_id="a-wide"))
        self.shard.submit(build_job(small, job_id="narrow"))
        self.shard.advance_time(2000.0)
        starts = list_starts(self.shard.plan())
        self.assertEqual({start.task.job_id for start in starts}, {"narrow"})


class FeasibleTest(unittest.TestCase):
    """Workers that are not rated would have been rejected."""

    def test_feasible_workers_include_all_accepted_ones(self):
        choices = random.Random(5)
        shard = Shard(workers=12, cpu=16_000)
        shard.submit(build_job(attrs.evolve(_SERVICE, count=9), job_id="service"))
        for order in list_starts(shard.step()):
            shard.workers[order.worker_id].update(
                order.task,
                order.attempt,
                percent=100.0,
                load=choices.uniform(5.0, 16.0),
            )
        for image in "fgh":
            cost = choices.uniform(0.0, 12.0)
            shard.scheduler.interference.learn_change(
                "s",
                before={},
                after={image: 0.2},
                slack_before=2.5,
                slack_after=2.5 - min(2.2, 0.2 * cost),
            )
        for number in range(30):
            image = choices.choice("fgh")
            demand = Demand(cpu=choices.randrange(500, 6000, 250), memory_mb=100)
            step = attrs.evolve(_FILLER, count=1, image=image, demand=demand)
            shard.submit(build_job(step, job_id=f"f{number}"))
            shard.poll_all()
            self._compare(shard)
            shard.step()

    def _compare(self, shard) -> None:
        scheduler = shard.scheduler
        colocations = ColocationCache(
            jobs=scheduler.jobs,
            interference=scheduler.interference,
            now_ms=shard.now_ms,
        )
        assignment_round = AssignmentRound(
            scheduler=scheduler, colocations=colocations, now_ms=shard.now_ms
        )
        for state in scheduler.waiting:
            accepted = {
                worker.report.worker_id
                for worker in assignment_round.list_open(state)
                if rate_worker(worker, state, colocations) is not None
            }
            feasible = {
                worker.report.worker_id
                for worker in assignment_round.list_feasible(state)
            }
            self.assertLessEqual(accepted, feasible)


class OrderCostTest(unittest.TestCase):
    """Plans check runs that are being started or stopped, not all running ones."""

    def setUp(self):
        self.shard = Shard(workers=2, cpu=16_000)
        self.shard.submit(build_job(attrs.evolve(_SERVICE, count=4), job_id="service"))
        self.starts = list_starts(self.shard.step())

    def test_running_tasks_are_not_checked_for_orders(self):
        self.shard.plan()
        with mock.patch.object(
            planning_module, "_get_due_order", return_value=None
        ) as get_due_order:
            self.shard.plan()
        self.assertEqual(get_due_order.call_count, 0)

    def test_stop_is_repeated_until_end_is_known(self):
        scheduler = self.shard.scheduler
        worker = scheduler.workers[self.starts[0].worker_id]
        run = worker.runs[self.starts[0].task, self.starts[0].attempt]
        scheduler.request_stop(worker, run, StopReason.NOT_NEEDED)
        self.assertEqual(len(self.shard.plan()), 1)
        run.in_flight = False
        self.shard.advance_time(1000.0)
        self.assertEqual(len(self.shard.plan()), 1)
        self.assertIs(run.phase, RunPhase.STOPPING)

    def test_ended_runs_have_no_pending_order(self):
        scheduler = self.shard.scheduler
        for worker in scheduler.workers.values():
            for run in list(worker.runs.values()):
                scheduler.request_stop(worker, run, StopReason.NOT_NEEDED)
        self.shard.step()
        self.assertFalse(any(w.pending_runs for w in scheduler.workers.values()))
