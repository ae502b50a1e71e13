"""Tests of workers that are reserved for tasks which fit on no worker yet.

A service task of 3 cores loses its worker. The other workers have 4 cores, and each
runs an urgent task of 2.5 cores. Further urgent tasks of 1.5 cores arrive.
"""

import unittest

import attrs

from trefoilhook.scheduling import Demand, EndKind, Features, Progress, Step
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=1, demand=Demand(cpu=3000, memory_mb=10), long_running=True, image="s"
)
_URGENT = Step(count=1, demand=Demand(cpu=1500, memory_mb=10), estimate_ms=2000.0)


class ReservationTest(unittest.TestCase):
    """A displaced service task beside urgent tasks."""

    def _displace(self, *, workers: int = 3) -> Shard:
        shard = Shard(workers=workers)
        shard.submit(build_job(_SERVICE, job_id="z"))
        order = shard.start_one()
        busy = attrs.evolve(_URGENT, count=workers - 1, demand=Demand(cpu=2500))
        shard.submit(build_job(busy, job_id="u"))
        self.running = list_starts(shard.step())
        shard.scheduler.drop_worker(order.worker_id)
        shard.step()
        return shard

    def _get_reserved(self, shard: Shard) -> list[str]:
        return list(shard.scheduler.reservations.by_worker)

    def test_task_that_ends_in_time_starts_on_reserved_worker(self):
        shard = self._displace(workers=2)
        due_ms = shard.scheduler.reservations.by_worker["w1"].due_ms
        self.assertGreater(due_ms, shard.now_ms + 1000.0)
        for estimate_ms in (200.0, due_ms - shard.now_ms + 1.0):
            step = attrs.evolve(
                _URGENT, estimate_ms=estimate_ms, demand=Demand(cpu=750)
            )
            shard.submit(build_job(step, job_id=f"a{estimate_ms:.0f}"))
        started = {order.task.job_id for order in list_starts(shard.step())}
        self.assertEqual(started, {"a200"})

    def test_task_that_fits_beside_starts_on_reserved_worker(self):
        shard = self._displace(workers=2)
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1000))
        shard.submit(build_job(small, job_id="y"), is_new=False, progress=Progress())
        self.assertEqual(len(list_starts(shard.step())), 1)

    def test_short_task_starts_behind_infeasible_service_task(self):
        # Guards against treating short urgent tasks as infeasible after a service task
        # of the same size was rejected by a reserved worker.
        shard = self._displace(workers=2)
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1200))
        shard.submit(build_job(small, job_id="y"), is_new=False, progress=Progress())
        step = attrs.evolve(_URGENT, estimate_ms=100.0)
        shard.submit(build_job(step, job_id="a"))
        started = {order.task.job_id for order in list_starts(shard.step())}
        self.assertEqual(started, {"a"})

    def test_waiting_task_takes_its_worker_behind_infeasible_tasks(self):
        # Guards against a reserved worker that stays idle because smaller tasks with a
        # higher rank are infeasible.
        shard = Shard(workers=1)
        shard.submit(build_job(_URGENT, job_id="u"))
        (running,) = list_starts(shard.step())
        shard.submit(build_job(_SERVICE, job_id="z"), is_new=False, progress=Progress())
        shard.step()
        self.assertEqual(self._get_reserved(shard), ["w0"])
        shard.submit(build_job(attrs.evolve(_URGENT, estimate_ms=9e3), job_id="a"))
        shard.end(running, EndKind.DONE)
        started = {order.task.job_id for order in list_starts(shard.step())}
        self.assertEqual(started, {"z"})

    def test_task_of_higher_priority_ignores_reservation(self):
        shard = self._displace(workers=2)
        shard.scheduler.reservations.by_worker["w1"].priority = 1
        shard.submit(build_job(attrs.evolve(_URGENT, estimate_ms=9000.0), job_id="a"))
        self.assertEqual(len(list_starts(shard.step())), 1)

    def test_reservation_moves_on_from_lost_or_draining_worker(self):
        # Guards against keeping a worker reserved that cannot run the task any more.
        for change in ("lost", "draining", "excluded"):
            with self.subTest(change):
                shard = self._displace()
                (reserved,) = self._get_reserved(shard)
                report = shard.scheduler.workers[reserved].report
                if change == "lost":
                    shard.scheduler.drop_worker(reserved)
                elif change == "draining":
                    report = attrs.evolve(report, draining=True, remaining_ms=9000.0)
                    shard.scheduler.update_worker(report)
                else:
                    shard.scheduler.exclude_worker(reserved)
                shard.plan()
                (other,) = self._get_reserved(shard)
                self.assertNotEqual(other, reserved)

    def test_overdue_reservation_moves_on_without_backfill(self):
        # Guards against starvation behind a task that takes longer than declared.
        shard = self._displace()
        (reserved,) = self._get_reserved(shard)
        (late,) = [each for each in self.running if each.worker_id == reserved]
        worker = shard.workers[reserved]
        for percent in range(35):
            worker.update(late.task, late.attempt, percent=float(percent))
            shard.submit(
                build_job(
                    attrs.evolve(_URGENT, estimate_ms=100.0), job_id=f"a{percent}"
                )
            )
            for order in list_starts(shard.step()):
                if order.task.job_id != "z":
                    shard.end(order, EndKind.DONE)
        reservations = shard.scheduler.reservations
        self.assertIn("overdue", {c.reason.value for c in reservations.take_changes()})
        (current,) = reservations.by_worker.values()
        self.assertFalse(current.allows_backfill)

    def test_task_that_fits_no_worker_reserves_none(self):
        large = attrs.evolve(_SERVICE, demand=Demand(cpu=5000))
        shard = Shard(workers=2)
        shard.submit(build_job(large), is_new=False, progress=Progress())
        shard.step()
        self.assertEqual(self._get_reserved(shard), [])

    def test_no_worker_is_reserved_for_tasks_that_have_not_run(self):
        # Guards against urgent tasks that wait for a new service or a wide job.
        wide = attrs.evolve(_SERVICE, long_running=False, estimate_ms=900.0)
        for step in (_SERVICE, wide):
            shard = Shard(workers=1)
            shard.submit(build_job(_URGENT, job_id="u"))
            shard.step()
            shard.submit(build_job(step, job_id="z"))
            for _ in range(12):
                shard.step()
            self.assertEqual(self._get_reserved(shard), [])

    def test_worker_that_is_busy_for_long_is_not_reserved(self):
        # Guards against capacity that stays idle for seconds beside waiting callers.
        shard = Shard(workers=1)
        shard.submit(build_job(attrs.evolve(_URGENT, estimate_ms=9e3), job_id="u"))
        shard.step()
        shard.submit(build_job(_SERVICE, job_id="z"), is_new=False, progress=Progress())
        shard.step()
        self.assertEqual(self._get_reserved(shard), [])

    def test_small_service_keeps_workers_for_other_tasks(self):
        # Guards against a limit that counts the workers of other services.
        shard = Shard(workers=4)
        for number in range(60):
            shard.add_worker(f"o{number}")
            worker = shard.scheduler.workers[f"o{number}"]
            worker.report = attrs.evolve(worker.report, service="other")
        shard.submit(build_job(attrs.evolve(_URGENT, count=8), job_id="u"))
        shard.step()
        service = attrs.evolve(_SERVICE, count=4)
        shard.submit(build_job(service, job_id="z"), is_new=False, progress=Progress())
        shard.step()
        self.assertEqual(len(self._get_reserved(shard)), 1)

    def test_reservations_are_bounded(self):
        # Guards against reserving so many workers that urgent tasks find none.
        for workers, jobs, reserved in ((20, "xyz", 2), (60, "x", 4), (60, "xyz", 6)):
            shard = Shard(workers=workers)
            urgent = attrs.evolve(_URGENT, count=2 * workers)
            shard.submit(build_job(urgent, job_id="u"))
            shard.step()
            services = attrs.evolve(_SERVICE, count=9)
            for job_id in jobs:
                job = build_job(services, job_id=job_id)
                shard.submit(job, is_new=False, progress=Progress())
            shard.step()
            self.assertEqual(len(self._get_reserved(shard)), reserved)

    def test_cancelled_job_releases_worker(self):
        shard = self._displace()
        shard.scheduler.cancel_job("z", revision=2)
        shard.plan()
        self.assertEqual(self._get_reserved(shard), [])

    def test_new_owner_reserves_anew(self):
        # Guards against a displaced task that starves after a takeover.
        shard = Shard(workers=2, epoch=2, settled=False)
        shard.submit(build_job(attrs.evolve(_URGENT, count=4), job_id="u"))
        shard.step()
        shard.submit(build_job(_SERVICE, job_id="z"), is_new=False, progress=Progress())
        shard.step()
        self.assertEqual(self._get_reserved(shard), [])
        shard.settled = True
        shard.step()
        self.assertEqual(len(self._get_reserved(shard)), 1)

    def test_nothing_is_reserved_if_switched_off(self):
        shard = self._displace()
        shard.scheduler.features = Features(reservations=False)
        shard.advance_time(9000.0)
        shard.poll_all()
        shard.step()
        self.assertEqual(self._get_reserved(shard), [])


if __name__ == "__main__":
    unittest.main()
