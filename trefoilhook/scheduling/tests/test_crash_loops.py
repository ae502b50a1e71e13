"""Tests of crash loops: isolating suspect tasks and giving up on culprits."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    JobPhase,
    TaskId,
    lose_worker,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.tests.crash_cases import (
    MOST_STARTS,
    CrashingShard,
    crash,
    find_suspicion,
    start_saved,
)


class CulpritTest(unittest.TestCase):
    """The task that crashes its workers is given up, and no other."""

    def test_lone_culprit_is_given_up(self):
        shard = CrashingShard(workers=4, onsets={"j.": 10.0})
        shard.submit(build_job())
        shard.run_for(20_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MOST_STARTS)

    def test_given_up_only_after_two_crashes(self):
        shard = CrashingShard(workers=4, onsets={"j.": 10.0})
        shard.submit(build_job())
        while not shard.list_failed():
            shard.tick()
        self.assertGreaterEqual(shard.crashed_under["j.0.0.0"], 2)

    def play(self, seed: int, *, crash_rate: float, onset_ms: float) -> None:
        """Play culprits among other jobs, and check who is given up."""
        culprits = {f"c{seed}{number}" for number in range(3)}
        shard = CrashingShard(
            workers=12,
            cpu=8000,
            onsets={f"{job_id}.0.0.0": onset_ms for job_id in culprits},
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
            self.assertLessEqual(shard.starts[f"{job_id}.0.0.0"], MOST_STARTS)

    def test_culprits_among_bystanders(self):
        # Guards against bystanders that are started again beside the culprit, crash
        # with it time and again, and are given up in its place.
        for seed, crash_rate, onset_ms in (
            (1, 0.0, 10.0),
            (2, 0.0, 1000.0),
            (3, 1.0 / 60_000.0, 10.0),
            (4, 1.0 / 60_000.0, 300.0),
        ):
            with self.subTest(seed=seed):
                self.play(seed, crash_rate=crash_rate, onset_ms=onset_ms)

    def test_workers_that_crash_by_themselves_fail_nobody(self):
        shard = CrashingShard(workers=12, crash_rate=1.0 / 15_000.0, seed=5)
        for number in range(20):
            shard.submit(build_job(attrs.evolve(SMALL, count=3), job_id=f"b{number}"))
            shard.run_for(500.0)
        shard.run_for(30_000.0)
        self.assertGreater(len(shard.crashes), 10)
        self.assertEqual(shard.list_failed(), [])

    def test_gang_is_given_up_as_one(self):
        step = attrs.evolve(SMALL, count=3, gang=True)
        shard = CrashingShard(workers=6, cpu=1000, onsets={"j.0.0.1": 10.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.1"], MOST_STARTS)

    def test_occurrences_are_counted_apart(self):
        # An occurrence that crashes its workers ends the job; one that hasn't come due
        # isn't started for it.
        shard = CrashingShard(workers=4, onsets={"j.0.": 10.0})
        shard.submit(
            build_job(
                repeats=3, first_due_ms=shard.now_ms, interval_ms=60_000.0, job_id="j"
            )
        )
        shard.run_for(30_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertEqual([name for name in shard.starts if name != "j.0.0.0"], [])

    def test_long_running_task_is_given_up(self):
        step = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = CrashingShard(workers=4, onsets={"j.": 200.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MOST_STARTS)

    def test_long_running_task_outlives_the_crashes_of_a_long_life(self):
        # Guards against a watcher that is given up for the crashes of many workers on
        # which it had run for long.
        step = attrs.evolve(SMALL, long_running=True)
        shard = CrashingShard(workers=3, cpu=1000)
        shard.submit(build_job(step))
        for _ in range(8):
            shard.run_for(110_000.0)
            (worker_id,) = [name for name, runs in shard.begun.items() if runs]
            shard.crash(worker_id)
            shard.run_for(5000.0)
        self.assertEqual(shard.list_failed(), [])
        self.assertEqual(shard.crashed_under["j.0.0.0"], 8)

    def test_throttled_filler_is_given_up(self):
        step = attrs.evolve(SMALL, filler=True, checkpointing=True, image="b")
        shard = CrashingShard(workers=4, onsets={"j.": 200.0})
        shard.submit(build_job(step))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["j"])
        self.assertLessEqual(shard.starts["j.0.0.0"], MOST_STARTS)


class IsolationTest(unittest.TestCase):
    """A strongly suspected task is started apart from others."""

    def test_no_service_beside_a_suspect_where_there_is_a_choice(self):
        # Guards against a suspect that goes on taking services down with it.
        service = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = CrashingShard(workers=5, onsets={"c.": 10.0})
        shard.submit(build_job(attrs.evolve(service, count=3), job_id="s"))
        shard.run_for(500.0)
        shard.submit(build_job(job_id="c"))
        shard.run_for(200.0)
        hit = sum(shard.crashed_under.get(f"s.0.0.{i}", 0) for i in range(3))
        shard.run_for(40_000.0)
        self.assertEqual(shard.list_failed(), ["c"])
        after = sum(shard.crashed_under.get(f"s.0.0.{i}", 0) for i in range(3))
        self.assertEqual(after, hit)

    def test_nothing_else_is_started_beside_it(self):
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

    def test_worker_opens_again_once_the_suspect_has_run_for_a_while(self):
        shard = Shard(workers=1, cpu=8000)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        crash(shard, shard.start_one().worker_id)
        shard.add_worker("w8", cpu=8000)
        start_saved(shard)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])
        for _ in range(32):
            shard.pass_time(100.0)
            shard.look("w8")
        self.assertEqual(len(list_starts(shard.plan())), 1)

    def test_suspects_of_one_job_are_tried_a_few_at_a_time(self):
        # Guards against a job whose tasks all crash, which takes a worker down for each
        # of them at the same time.
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

    def suspect_strongly(self, shard: Shard, job_id: str, *, ratio: float) -> None:
        """Have a crash count against the first task of a job."""
        state = shard.scheduler.jobs[job_id]
        task = state.find_task(TaskId(job_id, 0, 0, 0))
        shard.scheduler.suspects.get_or_add(task).record_loss(
            1, "gone", ratio, proved=True
        )
        shard.save()

    def test_suspect_goes_beside_batch_work_rather_than_a_service(self):
        service = attrs.evolve(SMALL, long_running=True, latency_limit_ms=100.0)
        shard = Shard(workers=2, cpu=6000)
        shard.submit(build_job(service, job_id="s"))
        service_order = shard.start_one()
        batch = attrs.evolve(SMALL, count=3, demand=Demand(cpu=2000, memory_mb=100))
        shard.scheduler.bar_worker(service_order.worker_id)
        shard.submit(build_job(batch, job_id="b"))
        self.assertEqual(len(list_starts(shard.step())), 3)
        other = "w1" if service_order.worker_id == "w0" else "w0"
        shard.add_worker(service_order.worker_id, cpu=6000)
        shard.add_worker(other, cpu=8000)
        shard.submit(build_job(job_id="c"))
        self.suspect_strongly(shard, "c", ratio=5000.0)
        self.assertEqual(start_saved(shard).worker_id, other)

    def test_isolated_runs_take_a_quarter_of_the_workers(self):
        # Guards against a fleet that is closed to all work by its suspects.
        shard = Shard(workers=8)
        for number in range(8):
            shard.submit(build_job(job_id=f"c{number}"))
            self.suspect_strongly(shard, f"c{number}", ratio=5000.0)
        shard.plan()
        shard.save()
        self.assertEqual(len(list_starts(shard.plan())), 2)

    def test_isolation_ends_though_the_suspicion_stays(self):
        # Guards against a watcher that keeps a worker for itself for minutes.
        shard = Shard(workers=1, cpu=8000)
        shard.submit(build_job(attrs.evolve(SMALL, long_running=True), job_id="c"))
        self.suspect_strongly(shard, "c", ratio=50_000.0)
        start_saved(shard)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])
        for _ in range(32):
            shard.pass_time(100.0)
            shard.look("w0")
        self.assertEqual(len(list_starts(shard.plan())), 1)

    def test_start_waits_for_its_record(self):
        # Guards against a crash that is forgotten with its owner: the next one finds
        # by the record under which task the worker was lost.
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
        """Pass time until something is started, and return where."""
        for _ in range(1000):
            orders = list_starts(shard.step())
            shard.save()
            if orders:
                return orders[0].worker_id
        raise AssertionError("nothing is started any more")

    def test_doubtful_losses_lengthen_the_pause_and_fail_nobody(self):
        # Guards against a suspect without proof that takes one worker after the other.
        shard = Shard(workers=1)
        shard.submit(build_job())
        began_ms = shard.now_ms
        for life in range(5):
            shard.scheduler.entries.note_read(shard.now_ms)
            worker_id = self.wait_for_start(shard)
            shard.silence(worker_id)
            shard.pass_time(1500.0)
            lose_worker(
                shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms
            )
            shard.add_worker(f"n{life}")
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)
        self.wait_for_start(shard)
        # As many starts as a proved culprit may have take longer than a minute.
        self.assertGreater(shard.now_ms - began_ms, 60_000.0)


if __name__ == "__main__":
    unittest.main()
