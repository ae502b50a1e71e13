"""Tests of crash loops: isolating suspect tasks and giving up on culprits."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    JobPhase,
    TaskId,
    handle_worker_loss,
    release_expired,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    TASK_LEASE_MS,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.tests.crash_cases import (
    MAX_STARTS,
    CrashingShard,
    crash,
    find_suspicion,
    start_saved,
)


class CulpritTest(unittest.TestCase):
    """The jobs of tasks that crash their workers fail, and no others."""

    def test_single_culprit_fails(self):
        shard = CrashingShard(workers=4, crash_delays={"j.": 10.0})
        shard.submit(build_job())
        shard.run_for(20_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MAX_STARTS)

    def test_job_fails_only_after_two_crashes(self):
        shard = CrashingShard(workers=4, crash_delays={"j.": 10.0})
        shard.submit(build_job())
        while not shard.list_failed():
            shard.tick()
        self.assertGreaterEqual(shard.crash_counts["j.0.0.0"], 2)

    def run_culprits(self, seed: int, *, crash_rate: float, onset_ms: float) -> None:
        """Run culprits among other jobs and check which jobs fail."""
        culprits = {f"c{seed}{number}" for number in range(3)}
        shard = CrashingShard(
            workers=12,
            cpu=8000,
            crash_delays={f"{job_id}.0.0.0": onset_ms for job_id in culprits},
            crash_rate=crash_rate,
            seed=seed,
        )
        for number in range(12):
            step = attrs.evolve(SMALL, count=1 + number % 6)
            shard.submit(build_job(step, job_id=f"b{number}"))
            if number < 3:
                shard.submit(build_job(step, job_id=f"c{seed}{number}"))
            shard.run_for(500.0)
        shard.run_for(40_000.0)
        self.assertEqual(set(shard.list_failed()), culprits)
        self.assertEqual(
            [job for job, state in shard.scheduler.jobs.items() if state.is_open], []
        )
        for job_id in culprits:
            self.assertLessEqual(shard.starts[f"{job_id}.0.0.0"], MAX_STARTS)

    def test_culprits_among_bystanders(self):
        # Guards against bystanders that are repeatedly started beside the culprit,
        # crash with it, and are given up in its place.
        for seed, crash_rate, onset_ms in (
            (1, 0.0, 10.0),
            (2, 0.0, 1000.0),
            (3, 1.0 / 60_000.0, 10.0),
            (4, 1.0 / 60_000.0, 300.0),
        ):
            with self.subTest(seed=seed):
                self.run_culprits(seed, crash_rate=crash_rate, onset_ms=onset_ms)

    def test_independent_worker_crashes_fail_no_job(self):
        shard = CrashingShard(workers=12, crash_rate=1.0 / 15_000.0, seed=5)
        for number in range(20):
            shard.submit(build_job(attrs.evolve(SMALL, count=3), job_id=f"b{number}"))
            shard.run_for(500.0)
        shard.run_for(30_000.0)
        self.assertGreater(len(shard.crashes), 10)
        self.assertEqual(shard.list_failed(), [])

    def test_gang_fails_as_one_unit(self):
        step = attrs.evolve(SMALL, count=3, gang=True)
        shard = CrashingShard(workers=6, cpu=1000, crash_delays={"j.0.0.1": 10.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.1"], MAX_STARTS)

    def test_occurrences_are_counted_separately(self):
        # An occurrence that crashes its workers fails the job; later occurrences are
        # not started.
        shard = CrashingShard(workers=4, crash_delays={"j.0.": 10.0})
        shard.submit(
            build_job(
                repeats=3, first_due_ms=shard.now_ms, interval_ms=60_000.0, job_id="j"
            )
        )
        shard.run_for(30_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertEqual([name for name in shard.starts if name != "j.0.0.0"], [])

    def test_long_running_culprit_fails(self):
        step = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = CrashingShard(workers=4, crash_delays={"j.": 200.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MAX_STARTS)

    def test_long_running_task_survives_late_crashes(self):
        # Guards against giving up a long-running task because of the crashes of many
        # workers on which it had run for a long time.
        step = attrs.evolve(SMALL, long_running=True)
        shard = CrashingShard(workers=3, cpu=1000)
        shard.submit(build_job(step))
        for _ in range(8):
            shard.run_for(110_000.0)
            (worker_id,) = [name for name, runs in shard.started_runs.items() if runs]
            shard.crash(worker_id)
            shard.run_for(5000.0)
        self.assertEqual(shard.list_failed(), [])
        self.assertEqual(shard.crash_counts["j.0.0.0"], 8)

    def test_throttled_culprit_fails(self):
        step = attrs.evolve(SMALL, filler=True, checkpointing=True, image="b")
        shard = CrashingShard(workers=4, crash_delays={"j.": 200.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MAX_STARTS)


class IsolationTest(unittest.TestCase):
    """Strongly suspected tasks run in isolation."""

    def test_suspect_is_not_started_beside_service(self):
        # Guards against a suspect that repeatedly takes services down.
        service = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = CrashingShard(workers=5, crash_delays={"c.": 10.0})
        shard.submit(build_job(attrs.evolve(service, count=3), job_id="s"))
        shard.run_for(500.0)
        shard.submit(build_job(job_id="c"))
        shard.run_for(200.0)
        hit = sum(shard.crash_counts.get(f"s.0.0.{i}", 0) for i in range(3))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["c"])
        after = sum(shard.crash_counts.get(f"s.0.0.{i}", 0) for i in range(3))
        self.assertEqual(after, hit)

    def test_no_task_is_started_beside_isolated_suspect(self):
        shard = Shard(workers=2, cpu=8000)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        crash(shard, shard.start_one().worker_id)
        shard.add_worker("w8", cpu=8000)
        suspect = start_saved(shard)
        shard.submit(build_job(attrs.evolve(SMALL, count=4), job_id="k"))
        others = {start.worker_id for start in list_starts(shard.plan())}
        self.assertNotIn(suspect.worker_id, others)
        self.assertEqual(len(others), 1)

    def test_isolation_ends_after_suspect_ran_for_a_while(self):
        shard = Shard(workers=1, cpu=8000)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        crash(shard, shard.start_one().worker_id)
        shard.add_worker("w8", cpu=8000)
        start_saved(shard)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])
        for _ in range(32):
            shard.advance_time(100.0)
            shard.poll("w8")
        self.assertEqual(len(list_starts(shard.plan())), 1)

    def test_concurrent_isolated_runs_per_job_are_limited(self):
        # Guards against a job whose tasks all crash and take many workers down at the
        # same time.
        shard = Shard(workers=1, cpu=6000)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job(attrs.evolve(SMALL, count=6)))
        shard.step()
        crash(shard, "w0")
        for number in range(12):
            shard.add_worker(f"n{number}")
        shard.plan()
        shard.save()
        self.assertEqual(len(list_starts(shard.plan())), 2)

    def add_strong_suspicion(self, shard: Shard, job_id: str, *, ratio: float) -> None:
        """Record a crash against the first task of a job."""
        state = shard.scheduler.jobs[job_id]
        task = state.find_task(TaskId(job_id, 0, 0, 0))
        shard.scheduler.suspects.get_or_add(task).record_loss(
            1, "gone", ratio, proved=True
        )
        shard.save()

    def test_suspect_is_placed_beside_batch_tasks_before_services(self):
        service = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = Shard(workers=2, cpu=6000)
        shard.submit(build_job(service, job_id="s"))
        service_order = shard.start_one()
        batch = attrs.evolve(SMALL, count=3, demand=Demand(cpu=2000, memory_mb=100))
        shard.scheduler.exclude_worker(service_order.worker_id)
        shard.submit(build_job(batch, job_id="b"))
        self.assertEqual(len(list_starts(shard.step())), 3)
        other = "w1" if service_order.worker_id == "w0" else "w0"
        shard.add_worker(service_order.worker_id, cpu=6000)
        shard.add_worker(other, cpu=8000)
        shard.submit(build_job(job_id="c"))
        self.add_strong_suspicion(shard, "c", ratio=5000.0)
        self.assertEqual(start_saved(shard).worker_id, other)

    def test_isolated_runs_use_a_quarter_of_workers(self):
        # Guards against suspects that reserve all workers.
        shard = Shard(workers=8)
        for number in range(8):
            shard.submit(build_job(job_id=f"c{number}"))
            self.add_strong_suspicion(shard, f"c{number}", ratio=5000.0)
        shard.plan()
        shard.save()
        self.assertEqual(len(list_starts(shard.plan())), 2)

    def test_isolation_ends_while_suspicion_remains(self):
        # Guards against a long-running task that reserves a worker for minutes.
        shard = Shard(workers=1, cpu=8000)
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True), job_id="c"))
        self.add_strong_suspicion(shard, "c", ratio=50_000.0)
        start_saved(shard)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])
        for _ in range(32):
            shard.advance_time(100.0)
            shard.poll("w0")
        self.assertEqual(len(list_starts(shard.plan())), 1)

    def test_start_waits_for_its_record(self):
        # Guards against losing a crash together with the owner: the record shows the
        # next owner which task was running on the lost worker.
        shard = Shard(workers=2)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        crash(shard, shard.start_one().worker_id)
        self.assertEqual(list_starts(shard.plan()), [])
        self.assertEqual(list_starts(shard.plan()), [])
        shard.save()
        (order,) = list_starts(shard.plan())
        self.assertEqual(find_suspicion(shard).workers, [order.worker_id])
        self.assertEqual(find_suspicion(shard).attempt, order.attempt)

    def wait_for_start(self, shard: Shard) -> str:
        """Advance until a task starts and return its worker."""
        for _ in range(1000):
            orders = list_starts(shard.step())
            shard.save()
            if orders:
                return orders[0].worker_id
        raise AssertionError("nothing is started any more")

    def test_unproved_losses_increase_delay_and_fail_no_job(self):
        # Guards against a suspect that takes one worker after the other without proof.
        shard = Shard(workers=1)
        shard.submit(build_job())
        began_ms = shard.now_ms
        for number in range(5):
            shard.scheduler.entries.note_read(shard.now_ms)
            worker_id = self.wait_for_start(shard)
            shard.silence(worker_id)
            shard.advance_time(1500.0)
            handle_worker_loss(
                shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms
            )
            shard.add_worker(f"n{number}")
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)
        self.wait_for_start(shard)
        # The number of starts permitted to a proved culprit takes longer than a minute.
        self.assertGreater(shard.now_ms - began_ms, 60_000.0)

    def test_vanished_machines_bound_the_starts(self):
        # Guards against a task that silences each worker and is started again at once
        # whenever its leases have expired.
        for onset_ms in (10.0, 300.0, 3000.0):
            with self.subTest(onset_ms=onset_ms):
                shard = Shard(workers=1)
                shard.submit(build_job())
                starts = self.count_starts(shard, onset_ms=onset_ms)
                self.assertEqual(starts, MAX_STARTS)
                self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)

    def test_service_task_is_held_briefly_after_few_silent_losses(self):
        # Guards against service tasks that are away for longer than 9 s as their
        # workers were lost together two or three times.
        shard = Shard(workers=1)
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        within_ms = 3 * (TASK_LEASE_MS + 500.0 + 2000.0) + 1000.0
        starts = self.count_starts(shard, onset_ms=300.0, within_ms=within_ms)
        self.assertEqual(starts, 4)

    def test_service_task_that_silences_its_workers_is_bounded(self):
        # Guards against a service task that is started again and again although each
        # start takes a machine down.
        shard = Shard(workers=1)
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
        starts = self.count_starts(shard, onset_ms=300.0)
        self.assertLessEqual(starts, MAX_STARTS + 1)

    def count_starts(
        self, shard: Shard, *, onset_ms: float, within_ms: float = 300_000.0
    ) -> int:
        """Return the starts within a time, each of which silences its worker."""
        until_ms = shard.now_ms + within_ms
        starts = 0
        while shard.now_ms < until_ms:
            orders = list_starts(shard.step())
            shard.save()
            if not orders:
                continue
            starts += 1
            shard.advance_time(onset_ms)
            shard.poll_all()
            shard.silence(orders[0].worker_id)
            shard.advance_time(TASK_LEASE_MS + 500.0)
            shard.scheduler.mark_unlisted(orders[0].worker_id)
            release_expired(shard.scheduler, shard.now_ms)
            shard.add_worker(f"n{starts}")
        return starts


if __name__ == "__main__":
    unittest.main()
