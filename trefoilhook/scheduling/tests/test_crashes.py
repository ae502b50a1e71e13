"""Tests of crash attribution: proof that a worker crashed, and suspect tasks."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    JobPhase,
    LossCause,
    OrderOutcome,
    Step,
    begin_start,
    lose_worker,
    release_lapsed,
)
from trefoilhook.scheduling.suspicion import (
    PRIOR_ODDS,
    STRONG_ODDS,
    CrashRate,
    Exposure,
    compute_survival,
    weigh_crash,
)
from trefoilhook.scheduling.tests.cases import (
    CLOCK_OFFSET_MS,
    SMALL,
    TASK_LEASE_MS,
    Shard,
    build_job,
)
from trefoilhook.scheduling.tests.crash_cases import (
    LOST,
    REFUSED,
    crash,
    find_suspicion,
    read_loss,
    start_saved,
)


def get_weight(exposures: list[Exposure]) -> list[float]:
    """Weigh a crash where workers seldom crash by themselves."""
    return weigh_crash(exposures, CrashRate().estimate())[0]


class WeighingTest(unittest.TestCase):
    """What a crash tells of the tasks that ran there."""

    def test_prompt_crash_of_a_lone_task_speaks_against_it(self):
        (ratio,) = get_weight([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)])
        self.assertGreater(PRIOR_ODDS * ratio, STRONG_ODDS)

    def test_suspects_share_the_blame(self):
        ratios = get_weight([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)] * 6)
        total = sum(PRIOR_ODDS * r / (1 + PRIOR_ODDS * r) for r in ratios)
        self.assertLess(total, 1.0)
        self.assertGreater(total, 0.5)

    def test_strong_suspect_explains_a_crash_away(self):
        # Guards against a bystander that is blamed at each crash of its neighbour.
        culprit, bystander = get_weight(
            [
                Exposure(odds=1.0, ran_ms=10.0),
                Exposure(odds=PRIOR_ODDS, ran_ms=500.0),
            ]
        )
        self.assertGreater(culprit, 100.0)
        self.assertLess(bystander, 1.0)

    def test_task_that_has_run_for_minutes_is_cleared(self):
        (ratio,) = get_weight([Exposure(odds=PRIOR_ODDS, ran_ms=300_000.0)])
        self.assertLess(ratio, 0.01)

    def test_crashes_without_a_cause_explain_more_of_the_next(self):
        # Guards against a task that is given up while a rack takes its workers down.
        exposure = Exposure(odds=PRIOR_ODDS, ran_ms=500.0)
        rate = CrashRate()
        rate.update(24, 0.0)
        calm, unexplained = weigh_crash([exposure], rate.estimate())
        for _ in range(10):
            rate.add_unexplained(unexplained)
        rate.update(24, 1000.0)
        shaken, _ = weigh_crash([exposure], rate.estimate())
        self.assertLess(shaken[0], calm[0] / 5.0)
        rate.update(24, 600_000.0)
        self.assertEqual(rate.estimate(), CrashRate().estimate())

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
