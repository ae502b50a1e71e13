"""Tests that the runs of cancelled jobs are stopped under all conditions."""

import unittest

import attrs

from trefoilhook.scheduling import (
    JobRecord,
    OrderOutcome,
    StartOrder,
    StopOrder,
)
from trefoilhook.scheduling.evacuations import Evacuations
from trefoilhook.scheduling.records import JobPhase
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    Shard,
    build_job,
    list_starts,
)


def cancel(shard: Shard) -> None:
    """Cancel the job and save the cancellation."""
    shard.scheduler.cancel_job("j", revision=3)
    shard.save()


def list_stops(shard: Shard) -> list[StopOrder]:
    """Return the stop orders of one plan."""
    return [order for order in shard.plan() if isinstance(order, StopOrder)]


def take_over(first: Shard, *, phase: JobPhase) -> Shard:
    """Return the shard of the next owner, which has not polled a worker yet."""
    later = Shard(workers=0, epoch=first.scheduler.epoch + 1, settled=False)
    later.now_ms = first.now_ms + 500.0
    later.workers = first.workers
    later.scheduler.add_job(
        JobRecord(job=first.scheduler.jobs["j"].job, phase=phase),
        revision=9,
        is_new=False,
        wall_ms=later.now_ms,
    )
    return later


class LateStartTest(unittest.TestCase):
    """The worker executes a start after the cancellation."""

    def start_unanswered(self) -> tuple[Shard, StartOrder]:
        """Send a start that is not answered, and cancel the job."""
        shard = Shard(workers=1)
        shard.submit(build_job(SMALL))
        (start,) = list_starts(shard.plan())
        shard.answer(start, OrderOutcome.NO_ANSWER)
        cancel(shard)
        return shard, start

    def test_unanswered_start_is_ruled_out(self):
        # Guards against a task that is started after its job was cancelled.
        shard, start = self.start_unanswered()
        (stop,) = list_stops(shard)
        self.assertEqual((stop.task, stop.attempt), (start.task, start.attempt))
        shard.answer(stop, OrderOutcome.NO_ANSWER)
        shard.advance_time(100.0)
        self.assertEqual(list_stops(shard), [stop])

    def test_late_run_is_stopped_once_it_is_listed(self):
        # Guards against a run that continues because it began after its stop was
        # answered or its job was removed.
        for is_job_removed in (False, True):
            with self.subTest(is_job_removed=is_job_removed):
                shard, start = self.start_unanswered()
                shard.step()
                shard.step()
                if is_job_removed:
                    shard.scheduler.remove_ended_jobs()
                    shard.scheduler.remove_ended_jobs()
                    self.assertEqual(shard.scheduler.jobs, {})
                shard.workers["w0"].run(start)
                shard.advance_time(4000.0)
                shard.poll("w0")
                shard.step()
                self.assertEqual(shard.count_running(), 0)


class ReplacedOwnerTest(unittest.TestCase):
    """The owner that started the task is replaced."""

    def test_owner_is_replaced_before_or_after_the_cancellation(self):
        # Guards against a run that is not stopped because the owner that started it was
        # replaced.
        for is_cancelled_before in (False, True):
            with self.subTest(is_cancelled_before=is_cancelled_before):
                first = Shard(workers=1)
                first.submit(build_job(SMALL))
                first.start_one()
                phase = JobPhase.CANCELLED if is_cancelled_before else JobPhase.OPEN
                later = take_over(first, phase=phase)
                later.add_worker("w0")
                if not is_cancelled_before:
                    cancel(later)
                # Not settled: other workers of the roster have not answered yet.
                later.step()
                self.assertEqual(later.count_running(), 0)

    def test_cancelled_before_the_worker_can_be_reached(self):
        # Guards against a missing stop because no run was known at the cancellation.
        first = Shard(workers=1)
        first.submit(build_job(SMALL))
        first.start_one()
        later = take_over(first, phase=JobPhase.OPEN)
        cancel(later)
        later.step()
        later.add_worker("w0")
        later.step()
        self.assertEqual(later.count_running(), 0)


class WorkerStateTest(unittest.TestCase):
    """The worker of the task gets no new tasks."""

    def drain(self, shard: Shard) -> None:
        """Announce the worker's shutdown."""
        report = shard.scheduler.workers["w0"].report
        report = attrs.evolve(report, draining=True, remaining_ms=3000.0)
        shard.scheduler.update_worker(report)

    def evacuate(self, shard: Shard) -> None:
        """Evacuate the failure domain of the worker."""
        shard.scheduler.evacuations.begin("z", shard.now_ms)

    def exclude(self, shard: Shard) -> None:
        """Replace the entry of the worker by a foreign one."""
        shard.scheduler.exclude_worker("w0")

    def unlist(self, shard: Shard) -> None:
        """Remove the entry of the worker."""
        shard.scheduler.mark_unlisted("w0")

    def lose_store(self, shard: Shard) -> None:
        """Advance time until the entries are too old for starts."""
        shard.reads_entries = False
        shard.advance_time(60_000.0)
        shard.poll("w0")

    def test_run_is_stopped(self):
        # Guards against stops that are suppressed under the conditions that suppress
        # starts.
        for change in (
            self.drain,
            self.evacuate,
            self.exclude,
            self.unlist,
            self.lose_store,
        ):
            with self.subTest(change=change.__name__):
                shard = Shard(workers=1, evacuations=Evacuations(max_age_ms=1e9))
                shard.scheduler.evacuations.read_ms = shard.now_ms
                shard.submit(build_job(attrs.evolve(SMALL, long_running=True)))
                shard.start_one()
                change(shard)
                cancel(shard)
                shard.step()
                self.assertEqual(shard.count_running(), 0)


if __name__ == "__main__":
    unittest.main()
