"""Tests of crash counting, including lost writes and a change of owner."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    LossCause,
    WorkerReport,
    decode_progress,
    encode_progress,
    handle_worker_loss,
)
from trefoilhook.scheduling.records import Progress
from trefoilhook.scheduling.suspicion import (
    STRONG_ODDS,
    Suspicion,
)
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    Shard,
    build_job,
)
from trefoilhook.scheduling.tests.crash_cases import (
    LOST,
    MAX_STARTS,
    REFUSED,
    CrashingShard,
    crash,
    find_suspicion,
    read_loss,
    start_saved,
)


class TakeoverTest(unittest.TestCase):
    """Crash counts survive a change of owner and lost writes."""

    def take_over(self, first: Shard, *, workers: tuple[str, ...]) -> Shard:
        """Return the shard of the next owner, loaded from the saved job."""
        state = first.scheduler.jobs["j"]
        stored = decode_progress(encode_progress(state.progress))
        second = Shard(workers=0, epoch=first.scheduler.epoch + 1, settled=False)
        second.now_ms = first.now_ms + 3000.0
        second.workers = first.workers
        second.submit(state.job, is_new=False, progress=stored, progress_revision=9)
        for worker_id in workers:
            second.add_worker(worker_id)
        second.settled = True
        second.scheduler.entries.note_read(second.now_ms)
        return second

    def start_first(self) -> tuple[Shard, str]:
        """Start a task under a first owner and return its worker."""
        shard = Shard(workers=2)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.submit(build_job())
        return shard, shard.start_one().worker_id

    def find_other(self, worker_id: str) -> str:
        """Return the other of two workers."""
        return "w1" if worker_id == "w0" else "w0"

    def test_counted_crash_is_known_to_next_owner(self):
        first, worker_id = self.start_first()
        crash(first, worker_id)
        second = self.take_over(first, workers=(self.find_other(worker_id),))
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertEqual(find_suspicion(second).odds, find_suspicion(first).odds)

    def test_crash_is_counted_if_owner_dies_before_proof(self):
        # The worker's process ends, and its owner is lost before another incarnation
        # answers.
        first, worker_id = self.start_first()
        first.silence(worker_id, LOST)
        first.advance_time(200.0)
        first.silence(worker_id, REFUSED)
        first.scheduler.entries.note_read(first.now_ms)
        first.plan()
        self.assertIn(first.scheduler.jobs["j"], first.scheduler.dirty)
        second = self.take_over(first, workers=(self.find_other(worker_id),))
        second.plan()
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertIs(read_loss(second).cause, LossCause.CRASHED)

    def test_record_of_living_worker_has_no_effect(self):
        first, worker_id = self.start_first()
        first.silence(worker_id, LOST)
        first.silence(worker_id, REFUSED)
        first.scheduler.entries.note_read(first.now_ms)
        first.plan()
        second = self.take_over(first, workers=("w0", "w1"))
        second.plan()
        suspicion = find_suspicion(second)
        self.assertEqual(suspicion.crashes if suspicion is not None else 0, 0)

    def test_record_is_removed_when_worker_answers(self):
        shard, worker_id = self.start_first()
        shard.silence(worker_id, LOST)
        shard.silence(worker_id, REFUSED)
        shard.scheduler.entries.note_read(shard.now_ms)
        shard.plan()
        self.assertIsNotNone(find_suspicion(shard))
        shard.poll(worker_id)
        self.assertIsNone(find_suspicion(shard))

    def test_recorded_start_on_removed_worker_is_unproved_loss(self):
        # The worker of the start is known, but not how the worker ended.
        first, worker_id = self.start_first()
        crash(first, worker_id)
        order = start_saved(first)
        second = self.take_over(first, workers=())
        second.add_worker("w7")
        second.plan()
        self.assertIs(read_loss(second).cause, LossCause.PARTITIONED)
        self.assertEqual(find_suspicion(second).crashes, 1)
        self.assertEqual(find_suspicion(second).unproved_losses, 1)
        self.assertNotEqual(order.worker_id, worker_id)

    def test_recorded_start_on_drained_worker_has_no_effect(self):
        first, worker_id = self.start_first()
        crash(first, worker_id)
        order = start_saved(first)
        state = first.scheduler.jobs["j"]
        second = Shard(workers=0, epoch=2, settled=False)
        second.now_ms = first.now_ms
        second.submit(
            state.job,
            is_new=False,
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
        handle_worker_loss(
            second.scheduler,
            second.scheduler.workers[order.worker_id],
            second.now_ms,
        )
        second.settled = True
        second.plan()
        self.assertIs(read_loss(second).cause, LossCause.DRAINED)
        self.assertEqual(find_suspicion(second).unproved_losses, 0)

    def test_adopted_run_keeps_its_age(self):
        # Guards against taking an adopted long-running task for one that has just
        # started when its worker crashes.
        step = attrs.evolve(SMALL, long_running=True)
        first = Shard(workers=1)
        first.submit(build_job(step))
        order = first.start_one()
        first.workers["w0"].update(order.task, order.attempt, percent=100.0)
        second = self.take_over(first, workers=("w0",))
        second.poll("w0")
        crash(second, "w0")
        suspicion = find_suspicion(second)
        self.assertTrue(suspicion is None or suspicion.odds < STRONG_ODDS)

    def test_bystanders_of_crash_cause_no_write(self):
        # Guards against a burst of writes when a worker with many tasks crashes.
        shard = Shard(workers=1, cpu=8000)
        shard.submit(build_job(attrs.evolve(SMALL, count=4), job_id="b"))
        shard.step()
        for _ in range(20):
            shard.advance_time(100.0)
            shard.poll("w0")
        shard.submit(build_job(job_id="c"))
        shard.step()
        suspicion = shard.scheduler.suspects.get_or_add(
            shard.scheduler.jobs["c"].tasks.popitem()[1]
        )
        suspicion.record_loss(1, "w9", 5000.0, proved=True)
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
        shard.poll("w1")
        shard.add_worker("w2", cpu=1000)
        shard.plan()
        shard.save()
        shard.step()
        crash(shard, "w1")
        self.assertEqual(find_suspicion(shard).crashes, 2)

    def test_unproved_loss_has_limited_weight(self):
        suspicion = Suspicion()
        suspicion.record_loss(1, "w", 5000.0, proved=False)
        self.assertLess(suspicion.odds, STRONG_ODDS)
        self.assertEqual(suspicion.crashes, 0)

    def test_fifth_crash_fails_job_at_any_odds(self):
        # Guards against a task that crashes its workers late and rarely, so that it
        # always appears to be a bystander.
        suspicion = Suspicion()
        for attempt in range(1, MAX_STARTS):
            suspicion.record_loss(attempt, "w", 2.5, proved=True)
        self.assertFalse(suspicion.is_crash_loop())
        suspicion.record_loss(MAX_STARTS, "w", 2.5, proved=True)
        self.assertTrue(suspicion.is_crash_loop())

    def test_repeated_report_of_crash_counts_once(self):
        suspicion = Suspicion()
        for _ in range(3):
            suspicion.record_loss(7, "w", 50.0, proved=True)
        self.assertEqual(suspicion.crashes, 1)

    def test_record_round_trip_and_size(self):
        # Guards against a record that grows with the number of crashes.
        progress = Progress()
        for index in range(500):
            suspicion = Suspicion(attempt=index + 1, workers=["w" * 20], ran_ms=12.5)
            suspicion.record_loss(1, "w" * 20, 3.0 + index, proved=True)
            for number in range(30):
                suspicion.record_loss(number + 2, "w" * 20, 3.0, proved=False)
            progress.suspicions[0, 0, index] = suspicion
        data = encode_progress(progress)
        self.assertLess(len(data), 64 * 1024)
        read = decode_progress(data)
        strongest = read.suspicions[0, 0, 499]
        self.assertEqual(strongest, progress.suspicions[0, 0, 499])

    def test_progress_without_suspicions_is_unchanged(self):
        data = b'{"done":{"0.0":[1]},"failed":{},"checkpoints":{}}'
        self.assertEqual(encode_progress(decode_progress(data)), data)


CULPRIT = "c.0.0.0"


class OwnerLossTest(unittest.TestCase):
    """A task crashes its workers while the owner of the shard is killed."""

    def build_shard(self) -> CrashingShard:
        """Return a shard with a culprit and with tasks that run beside it."""
        shard = CrashingShard(workers=4, crash_delays={CULPRIT: 300.0})
        shard.submit(build_job(attrs.evolve(SMALL, count=6), job_id="b"))
        shard.submit(build_job(job_id="c"))
        return shard

    def run_until_start(self, shard: CrashingShard, number: int) -> None:
        """Advance to the given start of the culprit, after which nothing is saved."""
        for _ in range(1000):
            saved = dict(shard.saved_progress)
            shard.tick()
            if shard.starts.get(CULPRIT, 0) == number:
                shard.saved_progress = saved
                return
        raise AssertionError(f"start {number} of {CULPRIT} is missing")

    def count_crashes(self, shard: CrashingShard) -> int:
        """Return the number of crashes that count against the culprit."""
        suspicion = find_suspicion(shard, "c")
        return suspicion.crashes if suspicion is not None else 0

    def test_starts_are_bounded_if_owner_is_killed(self):
        # Guards against crashes that are forgotten with the owner that counted them, if
        # it is killed right after the start, before the proof of the crash, or later.
        for start in (1, 2, 3, 4):
            for delay_ms in (0.0, 150.0, 400.0, 1000.0, 3300.0):
                with self.subTest(start=start, delay_ms=delay_ms):
                    shard = self.build_shard()
                    self.run_until_start(shard, start)
                    shard.run_for(delay_ms)
                    counted = self.count_crashes(shard)
                    shard = shard.take_over(gap_ms=1500.0)
                    shard.tick()
                    self.assertGreaterEqual(self.count_crashes(shard), counted)
                    shard.run_for(30_000.0)
                    self.assertEqual(shard.list_failed(), ["c"])
                    self.assertLessEqual(shard.starts[CULPRIT], MAX_STARTS)
                    self.assertFalse(shard.scheduler.jobs["b"].is_open)


if __name__ == "__main__":
    unittest.main()
