"""Tests of batch jobs of different sizes under overload.

Batch jobs arrive in two bursts of more work than the workers can do. Guards against
orders of assignment in which the size of a job alone decides that it is passed over
until it is too late to be of value.
"""

import random
import unittest

import attrs

from trefoilhook.scheduling import Configuration, Demand, EndKind, JobPhase, Step
from trefoilhook.scheduling.tests.cases import QUEUE, Shard, build_job

_CORES = 32_000
_WORKERS = 6
_STEP = Step(
    count=1,
    demand=Demand(cpu=3500, memory_mb=100),
    filler=True,
    image="f",
    estimate_ms=2200.0,
)
_QUEUE = attrs.evolve(QUEUE, priority=2, stretch=2.0, objective_ms=1000.0)
_VALUE_FACTOR = 3.0
"""Multiple of its objective up to which a late job is of value."""

_DURATION_MS = 30_000.0
_BURSTS_MS = ((4000.0, 10_000.0, 2.0), (14_000.0, 20_000.0, 1.8))
"""Begin and end of each burst, in ms, and factor of the arrival rate."""

_INTERVALS_MS = (1100.0, 900.0)
"""Mean times between two jobs outside the bursts, in ms, of two loads: 1.4 and 1.7
times the capacity."""

_SEEDS = range(5)


@attrs.define(kw_only=True)
class _Outcome:
    tasks: int
    served: bool


class _Simulation:
    """A shard whose workers run every task for its true duration."""

    def __init__(self, *, seed: int, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self.arrivals = random.Random(seed)
        self.durations = random.Random(seed)
        self.shard = Shard(workers=_WORKERS, cpu=_CORES)
        self.shard.scheduler.configuration = Configuration(version=1, queues=(_QUEUE,))
        for worker in self.shard.scheduler.workers.values():
            report = attrs.evolve(
                worker.report, capacity=Demand(cpu=_CORES, memory_mb=125_000)
            )
            worker.report = report
        self.began_ms = self.shard.now_ms
        self.ends_ms: dict = {}
        self.objectives_ms: dict[str, float] = {}
        self.served: set[str] = set()

    def run(self) -> list[_Outcome]:
        """Run until every job is done or too late; return the outcomes of all."""
        next_ms = self.began_ms
        end_ms = self.began_ms + _DURATION_MS
        while self.shard.now_ms < end_ms + 45_000.0:
            while next_ms <= min(self.shard.now_ms, end_ms):
                self._submit(next_ms)
                next_ms += self.arrivals.expovariate(self._get_rate(next_ms))
            self._end_tasks()
            self.shard.step()
            self._note_completed()
        return [
            _Outcome(tasks=state.job.tasks, served=job_id in self.served)
            for job_id, state in self.shard.scheduler.jobs.items()
        ]

    def _get_rate(self, now_ms: float) -> float:
        elapsed_ms = now_ms - self.began_ms
        factor = max(
            [1.0, *(x for begin, end, x in _BURSTS_MS if begin <= elapsed_ms < end)]
        )
        return factor / self.interval_ms

    def _submit(self, accepted_ms: float) -> None:
        width = min(80, max(1, round(self.arrivals.lognormvariate(2.8, 0.6))))
        first = attrs.evolve(_STEP, count=width)
        job = build_job(
            first,
            attrs.evolve(first, after=(0,)),
            job_id=f"{len(self.objectives_ms):03}",
            accepted_ms=accepted_ms,
        )
        self.objectives_ms[job.job_id] = _QUEUE.compute_objective(job)
        self.shard.submit(job)

    def _end_tasks(self) -> None:
        for worker in self.shard.workers.values():
            for key in list(worker.running):
                if key not in self.ends_ms:
                    duration_ms = 2200.0 * self.durations.uniform(0.7, 1.3)
                    self.ends_ms[key] = self.shard.now_ms + duration_ms
                elif self.ends_ms[key] <= self.shard.now_ms:
                    worker.end(*key, EndKind.DONE)

    def _note_completed(self) -> None:
        for job_id, state in self.shard.scheduler.jobs.items():
            limit_ms = _VALUE_FACTOR * self.objectives_ms[job_id]
            in_time = self.shard.now_ms <= state.job.accepted_ms + limit_ms
            if state.phase is JobPhase.COMPLETED and in_time:
                self.served.add(job_id)


def _measure_served(outcomes: list[_Outcome]) -> float:
    return sum(outcome.served for outcome in outcomes) / len(outcomes)


class WideJobsTest(unittest.TestCase):
    """Two bursts of batch jobs with 2 to 160 tasks."""

    def test_wide_jobs_are_not_passed_over_for_their_size(self):
        # Guards against serving the largest jobs less than half as often as all jobs.
        for interval_ms in _INTERVALS_MS:
            outcomes: list[_Outcome] = []
            for seed in _SEEDS:
                outcomes += _Simulation(seed=seed, interval_ms=interval_ms).run()
            outcomes.sort(key=lambda outcome: outcome.tasks)
            tenth = len(outcomes) // 10
            served = _measure_served(outcomes)
            for name, part in (
                ("largest tenth", outcomes[-tenth:]),
                ("next largest fifth", outcomes[-3 * tenth : -tenth]),
            ):
                with self.subTest(name, interval_ms=interval_ms):
                    served_of_part = _measure_served(part)
                    self.assertGreaterEqual(
                        served_of_part,
                        served / 2.0,
                        f"of the {name} {served_of_part:.2f}, of all {served:.2f}",
                    )
