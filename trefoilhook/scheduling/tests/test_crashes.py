"""Crashes of workers: what proves them, whose they are, and what follows."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    JobPhase,
    LossCause,
    OrderOutcome,
    Step,
    TaskId,
    WorkerReport,
    begin_start,
    decode_progress,
    encode_progress,
    lose_worker,
    release_lapsed,
)
from trefoilhook.scheduling.records import Progress
from trefoilhook.scheduling.suspicion import (
    PRIOR_ODDS,
    STRONG_ODDS,
    CrashRate,
    Exposure,
    Suspicion,
    compute_survival,
    weigh_crash,
)
from trefoilhook.scheduling.tests.cases import (
    CLOCK_OFFSET_MS,
    SMALL,
    TASK_LEASE_MS,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.tests.crash_cases import CrashingShard

MOST_STARTS = 5
"""After three workers have crashed under it, a task may be started twice more."""

LOST = OrderOutcome.CONNECTION_LOST
REFUSED = OrderOutcome.CONNECTION_REFUSED


def crash(shard: Shard, worker_id: str, *, refused: bool = True) -> None:
    """Have a worker's process end, and another life answer at its address."""
    shard.silence(worker_id, LOST)
    shard.pass_time(200.0)
    if refused:
        shard.silence(worker_id, REFUSED)
    shard.pass_time(1000.0)
    shard.scheduler.entries.note_read(shard.now_ms)
    lose_worker(shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms)


def read_loss(shard: Shard):
    """Return the last loss that was judged."""
    return shard.scheduler.suspects.losses[-1]


def find_suspicion(shard: Shard, job_id: str = "j") -> Suspicion | None:
    """Return what speaks against the only task of a job."""
    suspicions = shard.scheduler.jobs[job_id].progress.suspicions
    return next(iter(suspicions.values()), None)


def start_saved(shard: Shard):
    """Plan until the record of a suspected task is written and its start goes out."""
    shard.plan()
    shard.save()
    return shard.start_one()


def weigh(exposures: list[Exposure]) -> list[float]:
    """Weigh a crash where workers seldom crash by themselves."""
    return weigh_crash(exposures, CrashRate().read())[0]


class WeighingTest(unittest.TestCase):
    """What a crash tells of the tasks that ran there."""

    def test_prompt_crash_of_a_lone_task_speaks_against_it(self):
        (ratio,) = weigh([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)])
        self.assertGreater(PRIOR_ODDS * ratio, STRONG_ODDS)

    def test_suspects_share_the_blame(self):
        ratios = weigh([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)] * 6)
        total = sum(PRIOR_ODDS * r / (1 + PRIOR_ODDS * r) for r in ratios)
        self.assertLess(total, 1.0)
        self.assertGreater(total, 0.5)

    def test_strong_suspect_explains_a_crash_away(self):
        # Guards against a bystander that is blamed at each crash of its neighbour.
        culprit, bystander = weigh(
            [
                Exposure(odds=1.0, ran_ms=10.0),
                Exposure(odds=PRIOR_ODDS, ran_ms=500.0),
            ]
        )
        self.assertGreater(culprit, 100.0)
        self.assertLess(bystander, 1.0)

    def test_task_that_has_run_for_minutes_is_cleared(self):
        (ratio,) = weigh([Exposure(odds=PRIOR_ODDS, ran_ms=300_000.0)])
        self.assertLess(ratio, 0.01)

    def test_crashes_without_a_cause_explain_more_of_the_next(self):
        # Guards against a task that is given up while a rack takes its workers down.
        exposure = Exposure(odds=PRIOR_ODDS, ran_ms=500.0)
        rate = CrashRate()
        rate.advance(24, 0.0)
        calm, unexplained = weigh_crash([exposure], rate.read())
        for _ in range(10):
            rate.note(unexplained)
        rate.advance(24, 1000.0)
        shaken, _ = weigh_crash([exposure], rate.read())
        self.assertLess(shaken[0], calm[0] / 5.0)
        rate.advance(24, 600_000.0)
        self.assertEqual(rate.read(), CrashRate().read())

    def test_slowing_makes_no_difference(self):
        # A throttled run takes twenty times as long to its crash, and so do others: as
        # much is to be expected of it in the first 200 ms as of others in 10 ms.
        quick = compute_survival(10.0) - compute_survival(20.0)
        slowed = compute_survival(200.0) - compute_survival(400.0)
        self.assertAlmostEqual(quick, slowed)


class ProofTest(unittest.TestCase):
    """A lost worker proves a crash only if it can't be anything else."""

    def start(self, **fields) -> tuple[Shard, str]:
        """Start one task, and return where it runs."""
        shard = Shard(**fields)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        return shard, shard.start_one().worker_id

    def lose(self, shard: Shard, worker_id: str) -> None:
        """Have another life answer at a worker's address."""
        lose_worker(shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms)

    def check(self, shard: Shard, cause: LossCause) -> None:
        """Check what the loss was taken for, and that only a crash is counted."""
        self.assertIs(read_loss(shard).cause, cause)
        suspicion = find_suspicion(shard)
        crashes = suspicion.crashes if suspicion is not None else 0
        self.assertEqual(crashes, int(cause is LossCause.CRASHED))
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)

    def test_ended_process_is_a_crash(self):
        shard, worker_id = self.start()
        crash(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_crash_behind_busy_connections_is_one(self):
        # Guards against a crash that is taken for a cut, as the first call that failed
        # had only found all connections of its own side in use.
        shard, worker_id = self.start()
        shard.silence(worker_id, OrderOutcome.CONNECTIONS_BUSY)
        shard.pass_time(50.0)
        crash(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_crash_between_two_looks_is_one(self):
        # No call was under way when the process ended: the next one finds another life.
        shard, worker_id = self.start()
        self.lose(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_cut_is_none(self):
        # Guards against a worker behind a cut that counts as crashed when it is reborn.
        shard, worker_id = self.start()
        shard.silence(worker_id)
        shard.pass_time(1500.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.CUT_OFF)

    def test_rebirth_behind_a_long_cut_tells_nothing(self):
        shard, worker_id = self.start()
        shard.silence(worker_id)
        shard.pass_time(2.0 * TASK_LEASE_MS)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_OVER)
        self.assertIsNone(find_suspicion(shard))

    def test_rebirth_behind_a_cut_that_refuses_is_none(self):
        # The cut resets connections, as a crash does; the entry stays too long for one.
        shard, worker_id = self.start()
        shard.scheduler.workers[worker_id].lease_until_ms += 10_000.0
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.pass_time(6000.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.STILL_LISTED)

    def test_crash_after_the_leases_lapsed_is_none_of_the_tasks(self):
        shard, worker_id = self.start()
        shard.pass_time(2.0 * TASK_LEASE_MS)
        shard.silence(worker_id, LOST)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_OVER)

    def test_announced_stop_is_none(self):
        # Guards against a drained or reclaimed worker that counts as crashed.
        for remaining_ms in (0.0, 2000.0):
            with self.subTest(remaining_ms=remaining_ms):
                shard, worker_id = self.start()
                report = shard.scheduler.workers[worker_id].report
                shard.scheduler.update_worker(
                    attrs.evolve(report, draining=True, remaining_ms=remaining_ms)
                )
                crash(shard, worker_id)
                self.check(shard, LossCause.DRAINED)

    def test_stop_announced_in_an_outage_is_none(self):
        # The store is away: a worker may have announced its stop without us knowing.
        shard, worker_id = self.start()
        shard.pass_time(3000.0)
        shard.look(worker_id)
        shard.silence(worker_id, LOST)
        shard.pass_time(200.0)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LIST_STALE)

    def test_list_read_a_second_ago_rules_a_planned_stop_out(self):
        # Guards against a crash that isn't counted because the watch of a quiet list is
        # answered only each second.
        shard, worker_id = self.start()
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.pass_time(1100.0)
        shard.look(worker_id)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def lapse_unlisted(self, shard: Shard, worker_id: str) -> None:
        """Have a worker's entry go and its leases lapse."""
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.unlist_worker(worker_id)
        for _ in range(20):
            shard.pass_time(TASK_LEASE_MS / 10.0)
            shard.scheduler.entries.note_read(shard.now_ms)
        release_lapsed(shard.scheduler, shard.now_ms)

    def test_ended_process_that_never_comes_back_is_a_crash(self):
        shard, worker_id = self.start()
        self.lapse_unlisted(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_entry_that_went_in_an_outage_proves_nothing(self):
        # Entries lapse while the store is away, and are back within two seconds.
        shard, worker_id = self.start()
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.unlist_worker(worker_id)
        shard.pass_time(2.0 * TASK_LEASE_MS)
        shard.scheduler.entries.note_failure()
        shard.scheduler.entries.note_read(shard.now_ms)
        release_lapsed(shard.scheduler, shard.now_ms)
        self.check(shard, LossCause.LIST_STALE)

    def test_worker_that_comes_back_takes_its_crash_back(self):
        # Guards against a worker cut off from everybody, its connections refused, that
        # counts as crashed for good.
        shard, worker_id = self.start()
        self.lapse_unlisted(shard, worker_id)
        self.assertEqual(find_suspicion(shard).crashes, 1)
        shard.add_worker(worker_id)
        self.assertIsNone(find_suspicion(shard))

    def test_late_report_of_a_crashed_worker_takes_nothing_back(self):
        # Guards against a crash that is forgotten because the last report of the dead
        # process reaches the store after the next life has answered.
        shard, worker_id = self.start()
        report = shard.scheduler.workers[worker_id].report
        crash(shard, worker_id)
        shard.scheduler.update_worker(report)
        self.assertEqual(find_suspicion(shard).crashes, 1)

    def test_start_that_never_left_is_no_suspect(self):
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.CONNECTION_REFUSED)
        self.lose(shard, order.worker_id)
        self.assertEqual(shard.scheduler.suspects.losses, [])

    def test_start_that_waits_to_be_sent_is_no_suspect(self):
        # Guards against the blame of tasks whose starts wait behind many others while
        # their worker crashes.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job(attrs.evolve(SMALL, count=2)))
        first, _ = shard.plan()
        self.assertTrue(begin_start(shard.scheduler, first, shard.now_ms))
        self.lose(shard, first.worker_id)
        (suspect,) = read_loss(shard).suspects
        self.assertEqual(suspect.task, first.task)

    def test_time_before_a_start_is_sent_does_not_count(self):
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.pass_time(900.0)
        begin_start(shard.scheduler, order, shard.now_ms)
        shard.answer(order, OrderOutcome.DONE)
        shard.pass_time(10.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, order.worker_id)
        (suspect,) = read_loss(shard).suspects
        self.assertEqual(suspect.ran_ms, 10.0)

    def test_start_refused_by_the_next_life_is_no_suspect(self):
        # A late order reaches a life for which it wasn't meant: it starts nothing.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.OTHER_LIFE)
        self.assertEqual(shard.scheduler.suspects.losses, [])

    def test_unanswered_start_is_a_suspect(self):
        # The worker's process ended before it could answer; or it carries the start out
        # late, and ends then.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, LOST)
        self.lose(shard, order.worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_slow_worker_clock_makes_no_crash_of_a_lapse(self):
        shard, worker_id = self.start()
        worker = shard.scheduler.workers[worker_id]
        worker.clock_ms = shard.now_ms + CLOCK_OFFSET_MS
        worker.clock_read_ms = shard.now_ms
        shard.pass_time(TASK_LEASE_MS + 200.0)
        shard.silence(worker_id, LOST)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_OVER)


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
        shard.scheduler.suspects.suspect(task).take_loss(1, "gone", ratio, proved=True)
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


class TakeoverTest(unittest.TestCase):
    """The count outlives its owner, and writes that are lost."""

    def take_over(self, first: Shard, *, workers: tuple[str, ...]) -> Shard:
        """Return the next owner's shard, by what the store holds of the job."""
        state = first.scheduler.jobs["j"]
        stored = decode_progress(encode_progress(state.progress))
        second = Shard(workers=0, epoch=first.scheduler.epoch + 1, settled=False)
        second.now_ms = first.now_ms + 3000.0
        second.workers = first.workers
        second.submit(state.job, certain=False, progress=stored, progress_revision=9)
        for worker_id in workers:
            second.add_worker(worker_id)
        second.settled = True
        second.scheduler.entries.note_read(second.now_ms)
        return second

    def start_first(self) -> tuple[Shard, str]:
        """Start a task under a first owner, and return where it runs."""
        shard = Shard(workers=2)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        return shard, shard.start_one().worker_id

    def find_other(self, worker_id: str) -> str:
        """Return the other one of two workers."""
        return "w1" if worker_id == "w0" else "w0"

    def test_counted_crash_is_known_to_the_next_owner(self):
        first, worker_id = self.start_first()
        crash(first, worker_id)
        second = self.take_over(first, workers=(self.find_other(worker_id),))
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertEqual(find_suspicion(second).odds, find_suspicion(first).odds)

    def test_crash_whose_owner_dies_before_its_proof_is_counted(self):
        # The worker's process ends; its owner is lost before another life answers.
        first, worker_id = self.start_first()
        first.silence(worker_id, LOST)
        first.pass_time(200.0)
        first.silence(worker_id, REFUSED)
        first.scheduler.entries.note_read(first.now_ms)
        first.plan()
        self.assertIn(first.scheduler.jobs["j"], first.scheduler.dirty)
        second = self.take_over(first, workers=(self.find_other(worker_id),))
        second.plan()
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertIs(read_loss(second).cause, LossCause.CRASHED)

    def test_note_of_a_worker_that_lives_counts_for_nothing(self):
        first, worker_id = self.start_first()
        first.silence(worker_id, LOST)
        first.silence(worker_id, REFUSED)
        first.scheduler.entries.note_read(first.now_ms)
        first.plan()
        second = self.take_over(first, workers=("w0", "w1"))
        second.plan()
        suspicion = find_suspicion(second)
        self.assertEqual(suspicion.crashes if suspicion is not None else 0, 0)

    def test_note_is_taken_back_when_the_worker_answers(self):
        shard, worker_id = self.start_first()
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.plan()
        self.assertIsNotNone(find_suspicion(shard))
        shard.look(worker_id)
        self.assertIsNone(find_suspicion(shard))

    def test_recorded_start_on_a_worker_that_is_gone_is_doubtful(self):
        # Only where the start was ordered is known, not how the worker ended.
        first, worker_id = self.start_first()
        crash(first, worker_id)
        order = start_saved(first)
        second = self.take_over(first, workers=())
        second.add_worker("w7")
        second.plan()
        self.assertIs(read_loss(second).cause, LossCause.CUT_OFF)
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertEqual(find_suspicion(second).doubts, 1)
        self.assertNotEqual(order.worker_id, worker_id)

    def test_recorded_start_on_a_worker_that_drained_counts_for_nothing(self):
        first, worker_id = self.start_first()
        crash(first, worker_id)
        order = start_saved(first)
        state = first.scheduler.jobs["j"]
        second = Shard(workers=0, epoch=2, settled=False)
        second.now_ms = first.now_ms
        second.submit(
            state.job,
            certain=False,
            progress=decode_progress(encode_progress(state.progress)),
            progress_revision=9,
        )
        report = WorkerReport(
            worker_id=order.worker_id,
            service="s",
            host="h",
            port=1,
            failure_domain="z",
            capacity=Demand(cpu=4000, memory_mb=8000),
            draining=True,
        )
        second.scheduler.update_worker(report)
        lose_worker(
            second.scheduler,
            second.scheduler.workers[order.worker_id],
            second.now_ms,
        )
        second.settled = True
        second.plan()
        self.assertIs(read_loss(second).cause, LossCause.DRAINED)
        self.assertEqual(find_suspicion(second).doubts, 0)

    def test_run_of_an_earlier_owner_keeps_its_age(self):
        # Guards against a watcher that seems to have just started when its worker
        # crashes, only because its owner has just changed.
        step = attrs.evolve(SMALL, long_running=True)
        first = Shard(workers=1)
        first.submit(build_job(step))
        order = first.start_one()
        first.workers["w0"].update(order.task, order.attempt, percent=100.0)
        second = self.take_over(first, workers=("w0",))
        second.look("w0")
        crash(second, "w0")
        suspicion = find_suspicion(second)
        self.assertTrue(suspicion is None or suspicion.odds < STRONG_ODDS)

    def test_bystanders_of_a_crash_take_no_write(self):
        # Guards against a burst of writes at each crash of a worker with many tasks.
        shard = Shard(workers=1, cpu=8000)
        shard.submit(build_job(attrs.evolve(SMALL, count=4), job_id="b"))
        shard.step()
        for _ in range(20):
            shard.pass_time(100.0)
            shard.look("w0")
        shard.submit(build_job(job_id="c"))
        shard.step()
        suspicion = shard.scheduler.suspects.suspect(
            shard.scheduler.jobs["c"].tasks.popitem()[1]
        )
        suspicion.take_loss(1, "w9", 5000.0, proved=True)
        shard.save()
        crash(shard, "w0")
        dirty = {state.job.job_id for state in shard.scheduler.dirty}
        self.assertEqual(dirty, {"c"})

    def test_gang_that_loses_two_workers_at_once_counts_one_crash(self):
        shard = Shard(workers=2, cpu=1000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2, gang=True)))
        shard.step()
        crash(shard, "w0")
        odds = find_suspicion(shard).odds
        crash(shard, "w1")
        self.assertEqual(len(shard.scheduler.jobs["j"].progress.suspicions), 1)
        self.assertEqual(find_suspicion(shard).crashes, 1)
        self.assertEqual(find_suspicion(shard).odds, odds)

    def test_crashes_of_different_members_count_for_the_gang(self):
        shard = Shard(workers=2, cpu=1000)
        shard.submit(build_job(attrs.evolve(SMALL, count=2, gang=True)))
        shard.step()
        crash(shard, "w0")
        for key in list(shard.workers["w1"].running):
            shard.workers["w1"].end(*key, EndKind.PEER_ENDED)
        shard.look("w1")
        shard.add_worker("w2", cpu=1000)
        shard.plan()
        shard.save()
        shard.step()
        crash(shard, "w1")
        self.assertEqual(find_suspicion(shard).crashes, 2)

    def test_loss_without_proof_counts_for_little(self):
        suspicion = Suspicion()
        suspicion.take_loss(1, "w", 5000.0, proved=False)
        self.assertLess(suspicion.odds, STRONG_ODDS)
        self.assertEqual(suspicion.crashes, 0)

    def test_fifth_crash_ends_it_whatever_the_odds(self):
        # Guards against a task that crashes its workers late, and seldom enough to be
        # taken for a bystander, without end.
        suspicion = Suspicion()
        for attempt in range(1, MOST_STARTS):
            suspicion.take_loss(attempt, "w", 2.5, proved=True)
        self.assertFalse(suspicion.is_crash_loop())
        suspicion.take_loss(MOST_STARTS, "w", 2.5, proved=True)
        self.assertTrue(suspicion.is_crash_loop())

    def test_crash_is_counted_once_however_often_it_is_told(self):
        suspicion = Suspicion()
        for _ in range(3):
            suspicion.take_loss(7, "w", 50.0, proved=True)
        self.assertEqual(suspicion.crashes, 1)

    def test_record_round_trip_and_size(self):
        # Guards against a record that grows with the crashes of a chaotic day.
        progress = Progress()
        for index in range(500):
            suspicion = Suspicion(attempt=index + 1, workers=["w" * 20], ran_ms=12.5)
            suspicion.take_loss(1, "w" * 20, 3.0 + index, proved=True)
            for doubt in range(30):
                suspicion.take_loss(doubt + 2, "w" * 20, 3.0, proved=False)
            progress.suspicions[0, 0, index] = suspicion
        data = encode_progress(progress)
        self.assertLess(len(data), 64 * 1024)
        read = decode_progress(data)
        strongest = read.suspicions[0, 0, 499]
        self.assertEqual(strongest, progress.suspicions[0, 0, 499])

    def test_progress_without_suspicions_reads_as_before(self):
        data = b'{"done":{"0.0":[1]},"failed":{},"checkpoints":{}}'
        self.assertEqual(encode_progress(decode_progress(data)), data)


class SurvivalTest(unittest.TestCase):
    """Runs that go on without a crash clear their task."""

    def test_bystander_that_completes_is_forgotten(self):
        shard = Shard(workers=2)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(
            build_job(SMALL, Step(count=1, demand=Demand(cpu=500), after=(0,)))
        )
        crash(shard, shard.start_one().worker_id)
        order = start_saved(shard)
        shard.end(order, EndKind.DONE)
        self.assertEqual(shard.scheduler.jobs["j"].progress.suspicions, {})
        self.assertEqual(shard.scheduler.suspects.jobs, set())


if __name__ == "__main__":
    unittest.main()
