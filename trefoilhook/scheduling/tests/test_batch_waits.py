"""Tests of the bound of each wait of batch tasks on a mostly idle fleet.

Users take a job as lost if nothing of it runs for 3 s although a task could run and
most of the processors are idle.
"""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    Step,
    assignment,
    overdue,
    starvation,
)
from trefoilhook.scheduling.placing import can_host
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts
from trefoilhook.scheduling.tests.test_idle_jobs import (
    start_services,
    wait_for_first_starts,
)
from trefoilhook.scheduling.tests.test_starvation import _learn_weight
from trefoilhook.scheduling.tests.test_wait_records import _measure_wait, _replace_owner

_MAX_IDLE_MS = 3000.0
"""Time with nothing running after which users take a job as lost, in ms."""

_PLANNING_RETRY_MS = 5000.0
"""Time for which a job is set aside after an error in its planning, in ms."""

_LONG_MS = 20_000.0
_TASK = Step(count=1, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=2000.0)
_BLOCKER = Step(
    count=1, demand=Demand(cpu=4000, memory_mb=10), long_running=True, image="b"
)
_FILLER = attrs.evolve(_TASK, filler=True, checkpointing=True, image="f")


def _fill(shard: Shard, worker_ids: set[str]) -> None:
    """Fill workers with a service task each."""
    others = shard.scheduler.workers.keys() - worker_ids
    for worker_id in others:
        shard.scheduler.workers[worker_id].avoid_until_ms = float("inf")
    shard.submit(build_job(attrs.evolve(_BLOCKER, count=len(worker_ids)), job_id="b"))
    for start in list_starts(shard.step()):
        worker = shard.workers[start.worker_id]
        worker.update(start.task, start.attempt, percent=100.0)
    shard.poll_all()
    for worker_id in others:
        shard.scheduler.workers[worker_id].avoid_until_ms = 0.0


def _make_faulty(shard: Shard, worker_ids: set[str]) -> None:
    """Let workers count as faulty for a long time."""
    for worker_id in worker_ids:
        worker = shard.scheduler.workers[worker_id]
        worker.faulty_until_ms = shard.now_ms + 60_000.0


def _suspect(shard: Shard, job_id: str) -> None:
    """Record silent losses against each task of a job, which must run in isolation."""
    for task in shard.scheduler.jobs[job_id].tasks.values():
        suspicion = shard.scheduler.suspects.get_or_add(task)
        for attempt in range(1, 4):
            suspicion.record_loss(attempt, f"x{attempt}", 20.0, proved=False)


class BatchWaitsTest(unittest.TestCase):
    """A job that can run on some workers, each kept from it for another reason."""

    def check_starts(self, shard: Shard, *, within_ms: float = _MAX_IDLE_MS) -> None:
        """Check that job ``j`` starts in time."""
        first = wait_for_first_starts(shard, {"j"}, within_ms=_LONG_MS)
        self.assertLess(first.get("j", float("inf")), within_ms)

    def test_filler_behind_infeasible_steps(self):
        # Guards against a job that waits for the turn of hundreds of others.
        shard = Shard(workers=24, cpu=16_000)
        start_services(shard, 24)
        _learn_weight(shard, "g", 11.0)
        for number in range(400):
            step = attrs.evolve(
                _FILLER,
                count=2,
                image="f",
                demand=Demand(cpu=9000 + number, memory_mb=10),
            )
            shard.submit(build_job(step, job_id=f"a{number}"))
        for _ in range(5):
            shard.step()
        shard.submit(build_job(attrs.evolve(_FILLER, image="g")))
        self.check_starts(shard)

    def test_owners_that_change_as_planned(self):
        # Guards against jobs whose wait begins anew with each owner.
        for step in (_TASK, _FILLER):
            for period_ms in (1000.0, 1900.0):
                with self.subTest(filler=step.filler, period_ms=period_ms):
                    shard = Shard(workers=8, cpu=16_000)
                    if step.filler:
                        start_services(shard, 8)
                        demand = Demand(cpu=3000, memory_mb=10)
                        step = attrs.evolve(step, demand=demand)
                        shard.submit(build_job(step))
                    else:
                        for number in range(12):
                            shard.submit(build_job(step, job_id=f"c{number}"))
                            _suspect(shard, f"c{number}")
                        shard.submit(build_job(step))
                        _suspect(shard, "j")
                    wait_ms = _measure_wait(shard, "j", period_ms)
                    self.assertLessEqual(wait_ms, _MAX_IDLE_MS)

    def test_owner_that_is_settled_late(self):
        # Guards against a wait that begins only once the owner knows which tasks the
        # previous one has started.
        shard = Shard(workers=2, cpu=16_000)
        start_services(shard, 2)
        shard.submit(
            build_job(
                attrs.evolve(_FILLER, count=3, demand=Demand(cpu=3000, memory_mb=10))
            )
        )
        for _ in range(3):
            shard.step()
        shard = _replace_owner(shard, writes=False)
        shard.settled = False
        for _ in range(40):
            shard.step()
        self.assertEqual(shard.count_running("j"), 0)
        shard.settled = True
        self.assertLessEqual(_measure_wait(shard, "j", _LONG_MS), 1000.0)

    def test_large_fleets(self):
        # Guards against rounds with fillers that are too rare for the bound.
        for workers in (246, 500):
            with self.subTest(workers=workers):
                shard = Shard(workers=workers)
                for number in range(workers // 2):
                    shard.submit(build_job(_TASK, job_id=f"c{number}"))
                    _suspect(shard, f"c{number}")
                shard.submit(build_job(_TASK))
                _suspect(shard, "j")
                shard.save()
                began_ms = shard.now_ms
                started: set[str] = set()
                while shard.now_ms < began_ms + _MAX_IDLE_MS:
                    orders = list_starts(shard.step())
                    started |= {start.task.job_id for start in orders}
                    shard.save()
                self.assertEqual(len(started), workers // 2 + 1)

    def test_cost_of_steps_apart_without_room(self):
        # Guards against rounds that compare all workers with each of many steps whose
        # tasks must not share a worker.
        shard = Shard(workers=20)
        step = attrs.evolve(
            _TASK, demand=Demand(cpu=1000, memory_mb=9000), max_per_worker=1
        )
        for number in range(100):
            shard.submit(build_job(step, job_id=f"j{number}"))
        with mock.patch.object(overdue, "can_host", wraps=overdue.can_host) as compare:
            shard.plan()
        self.assertLessEqual(compare.call_count, 40)

    def test_job_that_was_set_aside(self):
        # Guards against a job that waits for longer than the time for which it is set
        # aside after an error in its planning.
        shard = Shard(workers=4)
        shard.raises_failures = False
        shard.submit(build_job(_TASK))
        with mock.patch.object(
            assignment, "_assign_step", side_effect=RuntimeError("planning")
        ):
            shard.step()
        first = wait_for_first_starts(shard, {"j"}, within_ms=_LONG_MS)
        self.assertLessEqual(first["j"], _PLANNING_RETRY_MS + 200.0)

    def test_sound_workers_are_full(self):
        # Guards against jobs that wait until faulty workers count as sound again.
        for step in (_TASK, _FILLER):
            with self.subTest(filler=step.filler):
                shard = Shard(workers=8)
                _fill(shard, {"w0", "w1"})
                _make_faulty(shard, {f"w{number}" for number in range(2, 8)})
                shard.submit(build_job(step))
                self.check_starts(shard)

    def test_other_workers_run_isolated_tasks(self):
        # Guards against jobs that wait for the end of other jobs' isolated runs.
        for step in (_TASK, _FILLER):
            with self.subTest(filler=step.filler):
                shard = Shard(workers=4, cpu=4000)
                _fill(shard, {"w0"})
                for number in range(3):
                    shard.submit(build_job(_TASK, job_id=f"c{number}"))
                    _suspect(shard, f"c{number}")
                for worker_id in ("w2", "w3"):
                    shard.scheduler.workers[worker_id].avoid_until_ms = float("inf")
                shard.save()
                for _ in range(5):
                    shard.step()
                    shard.save()
                worker = shard.scheduler.workers["w1"]
                self.assertTrue(worker.is_reserved)
                shard.submit(build_job(step))
                self.check_starts(shard)

    def test_max_per_worker(self):
        # Guards against steps whose tasks may not share a worker.
        for step in (_TASK, _FILLER):
            with self.subTest(filler=step.filler):
                shard = Shard(workers=6)
                _fill(shard, {"w0", "w1"})
                _make_faulty(shard, {"w2", "w3", "w4", "w5"})
                shard.submit(build_job(attrs.evolve(step, count=6, max_per_worker=1)))
                self.check_starts(shard)

    def test_step_after_another(self):
        # Guards against a wait that is longer for later steps.
        for step in (_TASK, _FILLER):
            with self.subTest(filler=step.filler):
                shard = Shard(workers=8)
                _fill(shard, {"w0", "w1"})
                shard.submit(build_job(step, attrs.evolve(step, after=(0,))))
                first = shard.start_one()
                _make_faulty(shard, {f"w{number}" for number in range(2, 8)})
                shard.end(first, EndKind.DONE)
                self.check_starts(shard)

    def test_filler_that_needs_most_of_the_memory(self):
        # Guards against fillers that no worker of the fleet ever accepts.
        shard = Shard(workers=4)
        demand = Demand(cpu=1000, memory_mb=7600)
        shard.submit(build_job(attrs.evolve(_FILLER, demand=demand)))
        self.check_starts(shard)

    def test_first_tasks_failed_on_the_free_workers(self):
        # Guards against relief that tries only the first task of a step, which must not
        # start where it has failed. Repeated, as the order of the tasks is not fixed.
        for step in (_TASK, _FILLER) * 5:
            with self.subTest(filler=step.filler):
                shard = Shard(workers=8)
                _fill(shard, {"w0", "w1", "w2"})
                free = {"w3", "w4", "w5", "w6", "w7"}
                _make_faulty(shard, free)
                shard.submit(build_job(attrs.evolve(step, count=4)))
                tasks = list(shard.scheduler.jobs["j"].tasks.values())
                for task in tasks[:3]:
                    task.shared.failed_on.update(free)
                self.check_starts(shard)

    def test_gang_beside_faulty_workers(self):
        # Guards against gangs that wait until faulty workers count as sound again.
        for step in (_TASK, _FILLER):
            with self.subTest(filler=step.filler):
                shard = Shard(workers=8)
                _fill(shard, {"w0", "w1"})
                _make_faulty(shard, {f"w{number}" for number in range(2, 8)})
                shard.submit(build_job(attrs.evolve(step, count=3, gang=True)))
                self.check_starts(shard)


class CostTest(unittest.TestCase):
    """Number of comparisons of starved jobs with workers."""

    def test_many_starved_jobs_without_memory(self):
        # Guards against rounds that compare each starved job with each worker.
        shard = Shard(workers=20)
        step = attrs.evolve(
            _BLOCKER, count=20, demand=Demand(cpu=100, memory_mb=7995), max_per_worker=1
        )
        shard.submit(build_job(step, job_id="b"))
        for start in list_starts(shard.step()):
            worker = shard.workers[start.worker_id]
            worker.update(start.task, start.attempt, percent=100.0)
        for number in range(30):
            step = attrs.evolve(_FILLER, max_per_worker=1)
            shard.submit(build_job(step, job_id=f"j{number}"))
        for _ in range(30):
            shard.step()
        with mock.patch.object(starvation, "can_host", wraps=can_host) as compare:
            self.assertEqual(list_starts(shard.plan()), [])
        self.assertGreater(compare.call_count, 0)
        self.assertLessEqual(compare.call_count, 3 * len(shard.workers))


if __name__ == "__main__":
    unittest.main()
