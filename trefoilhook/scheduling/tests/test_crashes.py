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
    confirm_start,
    handle_worker_loss,
    release_expired,
)
from trefoilhook.scheduling.suspicion import (
    PRIOR_ODDS,
    STRONG_ODDS,
    CrashRate,
    Exposure,
    compute_likelihood_ratios,
    compute_survival,
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


def compute_ratios(exposures: list[Exposure]) -> list[float]:
    """Return the evidence of a crash at the prior rate of unexplained crashes."""
    return compute_likelihood_ratios(exposures, CrashRate().estimate())[0]


class CrashEvidenceTest(unittest.TestCase):
    """Evidence of a crash against the tasks that were running."""

    def test_early_crash_of_single_task_makes_it_suspect(self):
        (ratio,) = compute_ratios([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)])
        self.assertGreater(PRIOR_ODDS * ratio, STRONG_ODDS)

    def test_suspects_share_probability(self):
        ratios = compute_ratios([Exposure(odds=PRIOR_ODDS, ran_ms=10.0)] * 6)
        total = sum(PRIOR_ODDS * r / (1 + PRIOR_ODDS * r) for r in ratios)
        self.assertLess(total, 1.0)
        self.assertGreater(total, 0.5)

    def test_strong_suspect_exonerates_bystander(self):
        # Guards against blaming a bystander at each crash caused by its neighbour.
        culprit, bystander = compute_ratios(
            [
                Exposure(odds=1.0, ran_ms=10.0),
                Exposure(odds=PRIOR_ODDS, ran_ms=500.0),
            ]
        )
        self.assertGreater(culprit, 100.0)
        self.assertLess(bystander, 1.0)

    def test_task_that_ran_for_minutes_is_exonerated(self):
        (ratio,) = compute_ratios([Exposure(odds=PRIOR_ODDS, ran_ms=300_000.0)])
        self.assertLess(ratio, 0.01)

    def test_unexplained_crashes_raise_expected_rate(self):
        # Guards against giving up a task while a rack failure takes its workers down.
        exposure = Exposure(odds=PRIOR_ODDS, ran_ms=500.0)
        rate = CrashRate()
        rate.update(24, 0.0)
        low_rate_ratios, unexplained = compute_likelihood_ratios(
            [exposure], rate.estimate()
        )
        for _ in range(10):
            rate.add_unexplained(unexplained)
        rate.update(24, 1000.0)
        high_rate_ratios, _ = compute_likelihood_ratios([exposure], rate.estimate())
        self.assertLess(high_rate_ratios[0], low_rate_ratios[0] / 5.0)
        rate.update(24, 600_000.0)
        self.assertEqual(rate.estimate(), CrashRate().estimate())

    def test_survival_is_independent_of_throttling(self):
        # A throttled run takes 20 times as long until it crashes, so that its first 200
        # ms have the same probability of a crash as the first 10 ms at full speed.
        quick = compute_survival(10.0) - compute_survival(20.0)
        slowed = compute_survival(200.0) - compute_survival(400.0)
        self.assertAlmostEqual(quick, slowed)


class ProofTest(unittest.TestCase):
    """A lost worker proves a crash only if all other explanations are ruled out."""

    def start(self, **fields) -> tuple[Shard, str]:
        """Start one task and return its worker."""
        shard = Shard(**fields)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        return shard, shard.start_one().worker_id

    def test_start_sent_after_the_process_ended(self):
        # Guards against suspecting a task whose start was sent after its worker had
        # crashed.
        shard = Shard(workers=1)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.silence("w0", LOST)
        shard.advance_time(1.0)
        self.assertTrue(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, LOST)
        worker = shard.scheduler.workers["w0"]
        handle_worker_loss(shard.scheduler, worker, shard.now_ms + 200.0)
        self.assertIsNone(find_suspicion(shard))
        self.assertEqual(shard.scheduler.suspects.losses, [])

    def lose(self, shard: Shard, worker_id: str) -> None:
        """Simulate another incarnation at a worker's address."""
        handle_worker_loss(
            shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms
        )

    def check(self, shard: Shard, cause: LossCause) -> None:
        """Check the cause of the loss, and that only crashes are counted."""
        self.assertIs(read_loss(shard).cause, cause)
        suspicion = find_suspicion(shard)
        crashes = suspicion.crashes if suspicion is not None else 0
        self.assertEqual(crashes, int(cause is LossCause.CRASHED))
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.OPEN)

    def test_ended_process_is_a_crash(self):
        shard, worker_id = self.start()
        crash(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_crash_after_exhausted_connections_is_crash(self):
        # Guards against taking a crash for a partition because the first failed call
        # only found all local connections in use.
        shard, worker_id = self.start()
        shard.silence(worker_id, OrderOutcome.CONNECTIONS_BUSY)
        shard.advance_time(50.0)
        crash(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_crash_between_two_polls_is_crash(self):
        # No call was in flight when the process ended; the next one reaches another
        # incarnation.
        shard, worker_id = self.start()
        self.lose(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_partition_is_no_crash(self):
        # Guards against counting a partition as a crash when the worker restarts.
        shard, worker_id = self.start()
        shard.silence(worker_id)
        shard.advance_time(1500.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.PARTITIONED)

    def test_restart_during_long_partition_is_no_evidence(self):
        shard, worker_id = self.start()
        shard.silence(worker_id)
        shard.advance_time(2.0 * TASK_LEASE_MS)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_EXPIRED)
        self.assertIsNone(find_suspicion(shard))

    def test_restart_during_partition_that_refuses_is_no_crash(self):
        # The partition resets connections as a crash does, but the entry remains too
        # long.
        shard, worker_id = self.start()
        shard.scheduler.workers[worker_id].lease_until_ms += 10_000.0
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.advance_time(6000.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.STILL_LISTED)

    def test_crash_after_lease_expiry_is_not_attributed(self):
        shard, worker_id = self.start()
        shard.advance_time(2.0 * TASK_LEASE_MS)
        shard.silence(worker_id, LOST)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_EXPIRED)

    def test_announced_shutdown_is_no_crash(self):
        # Guards against counting a drained or reclaimed worker as crashed.
        for remaining_ms in (0.0, 2000.0):
            with self.subTest(remaining_ms=remaining_ms):
                shard, worker_id = self.start()
                report = shard.scheduler.workers[worker_id].report
                shard.scheduler.update_worker(
                    attrs.evolve(report, draining=True, remaining_ms=remaining_ms)
                )
                crash(shard, worker_id)
                self.check(shard, LossCause.DRAINED)

    def test_possible_shutdown_during_store_outage_is_no_crash(self):
        # The store is unavailable, so that an announced shutdown may be unknown.
        shard, worker_id = self.start()
        shard.advance_time(3000.0)
        shard.poll(worker_id)
        shard.silence(worker_id, LOST)
        shard.advance_time(200.0)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LIST_STALE)

    def test_recent_read_rules_out_planned_shutdown(self):
        # Guards against ignoring a crash because the watch of an unchanged list is
        # answered only once a second.
        shard, worker_id = self.start()
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.advance_time(1100.0)
        shard.poll(worker_id)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def expire_unlisted(self, shard: Shard, worker_id: str) -> None:
        """Let a worker's entry and its leases expire."""
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.mark_unlisted(worker_id)
        for _ in range(20):
            shard.advance_time(TASK_LEASE_MS / 10.0)
            shard.scheduler.entries.note_read(shard.now_ms)
        release_expired(shard.scheduler, shard.now_ms)

    def test_ended_process_without_restart_is_crash(self):
        shard, worker_id = self.start()
        self.expire_unlisted(shard, worker_id)
        self.check(shard, LossCause.CRASHED)

    def vanish(self, shard: Shard, worker_id: str, *, listed: bool = False) -> None:
        """Silence a worker until its leases and, unless listed, its entry are over."""
        shard.silence(worker_id)
        shard.advance_time(2.0 * TASK_LEASE_MS)
        if not listed:
            shard.scheduler.mark_unlisted(worker_id)
        shard.scheduler.entries.note_read(shard.now_ms)
        release_expired(shard.scheduler, shard.now_ms)

    def test_silence_to_owner_and_store_raises_suspicion(self):
        # Guards against a task that takes down machine after machine, none of which
        # closes its connections.
        shard, worker_id = self.start()
        self.vanish(shard, worker_id)
        self.check(shard, LossCause.VANISHED)
        self.assertGreater(find_suspicion(shard).odds, PRIOR_ODDS)

    def test_task_that_ran_for_a_while_is_no_suspect_after_silence(self):
        # Guards against suspecting all tasks of a rack that is cut off.
        shard, worker_id = self.start()
        shard.advance_time(4000.0)
        shard.poll(worker_id)
        shard.advance_time(4000.0)
        shard.poll(worker_id)
        shard.scheduler.workers[worker_id].lease_until_ms += 8000.0
        self.vanish(shard, worker_id)
        self.check(shard, LossCause.VANISHED)
        self.assertIsNone(find_suspicion(shard))

    def test_silence_of_a_listed_worker_is_no_evidence(self):
        # Guards against suspecting tasks of a worker that the owner alone misses.
        shard, worker_id = self.start()
        self.vanish(shard, worker_id, listed=True)
        self.assertEqual(shard.scheduler.suspects.losses, [])
        self.assertIsNone(find_suspicion(shard))

    def test_entry_gone_in_an_outage_of_the_store_is_no_evidence(self):
        # Guards against suspecting tasks because entries expire with the store away.
        shard, worker_id = self.start()
        shard.scheduler.entries.note_failure()
        self.vanish(shard, worker_id)
        self.check(shard, LossCause.LEASES_EXPIRED)
        self.assertIsNone(find_suspicion(shard))

    def test_entry_lost_during_store_outage_is_no_evidence(self):
        # Entries expire while the store is unavailable, and are restored within 2 s.
        shard, worker_id = self.start()
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.mark_unlisted(worker_id)
        shard.advance_time(2.0 * TASK_LEASE_MS)
        shard.scheduler.entries.note_failure()
        shard.scheduler.entries.note_read(shard.now_ms)
        release_expired(shard.scheduler, shard.now_ms)
        self.check(shard, LossCause.LIST_STALE)

    def test_returning_worker_retracts_crash(self):
        # Guards against permanently counting a partitioned worker, whose connections
        # are refused, as crashed.
        shard, worker_id = self.start()
        self.expire_unlisted(shard, worker_id)
        self.assertEqual(find_suspicion(shard).crashes, 1)
        shard.add_worker(worker_id)
        self.assertIsNone(find_suspicion(shard))

    def test_late_report_of_crashed_worker_retracts_nothing(self):
        # Guards against forgetting a crash because the last report of the dead process
        # reaches the store after the next incarnation has answered.
        shard, worker_id = self.start()
        report = shard.scheduler.workers[worker_id].report
        crash(shard, worker_id)
        shard.scheduler.update_worker(report)
        self.assertEqual(find_suspicion(shard).crashes, 1)

    def test_unsent_start_is_no_suspect(self):
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.CONNECTION_REFUSED)
        self.lose(shard, order.worker_id)
        self.assertEqual(shard.scheduler.suspects.losses, [])

    def test_queued_start_is_no_suspect(self):
        # Guards against blaming tasks whose start orders were still queued when their
        # worker crashed.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job(attrs.evolve(SMALL, count=2)))
        first, _ = shard.plan()
        self.assertTrue(confirm_start(shard.scheduler, first, shard.now_ms))
        self.lose(shard, first.worker_id)
        (suspect,) = read_loss(shard).suspects
        self.assertEqual(suspect.task, first.task)

    def test_time_before_start_is_sent_does_not_count(self):
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.advance_time(900.0)
        confirm_start(shard.scheduler, order, shard.now_ms)
        shard.answer(order, OrderOutcome.DONE)
        shard.advance_time(10.0)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, order.worker_id)
        (suspect,) = read_loss(shard).suspects
        self.assertEqual(suspect.ran_ms, 10.0)

    def test_start_refused_by_next_incarnation_is_no_suspect(self):
        # A late order reaches another incarnation, which does not execute it.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.OTHER_INCARNATION)
        self.assertEqual(shard.scheduler.suspects.losses, [])

    def test_unanswered_start_is_a_suspect(self):
        # The worker's process may have ended before it could answer, or may execute the
        # order late and end then.
        shard = Shard(workers=1)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, LOST)
        self.lose(shard, order.worker_id)
        self.check(shard, LossCause.CRASHED)

    def test_lease_expiry_on_slow_clock_is_no_crash(self):
        shard, worker_id = self.start()
        worker = shard.scheduler.workers[worker_id]
        worker.clock_ms = shard.now_ms + CLOCK_OFFSET_MS
        worker.clock_read_ms = shard.now_ms
        shard.advance_time(TASK_LEASE_MS + 200.0)
        shard.silence(worker_id, LOST)
        shard.scheduler.entries.note_read(shard.now_ms)
        self.lose(shard, worker_id)
        self.check(shard, LossCause.LEASES_EXPIRED)


class SurvivalTest(unittest.TestCase):
    """Runs that continue without a crash exonerate their task."""

    def test_suspicion_of_completed_bystander_is_removed(self):
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
