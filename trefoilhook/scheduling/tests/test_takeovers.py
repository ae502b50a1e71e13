"""For which workers tasks wait after a takeover, and what the next owner must know."""

import functools
import unittest
from collections.abc import Iterator

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    OrderOutcome,
    Running,
    Step,
    TaskId,
    account_for_workers,
    apply_report,
    are_starts_recorded,
    collect_changes,
    confirm_change,
    confirm_start,
    limit_leases,
    list_unreleased,
    summarize_missing_evidence,
)
from trefoilhook.scheduling.fleet import Run, RunPhase
from trefoilhook.scheduling.tests.cases import (
    SMALL,
    FakeWorker,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.takeover import (
    Member,
    Place,
    PlaceLedger,
    Predecessors,
    WorkerGroups,
)
from trefoilhook.takeover.tests import builders

EXPIRY_MS = 2000.0
"""Time after the start of a test at which the leases of earlier owners expire."""

SERVICE = Step(
    count=1, demand=Demand(cpu=1000, memory_mb=100), estimate_ms=0.0, long_running=True
)
TASK = "j.0.0.0"

build_groups = functools.partial(builders.build_groups, count=1)


class CountingSet(set):
    """Counts how often it is iterated over."""

    iterations = 0

    def __iter__(self) -> Iterator:
        self.iterations += 1
        return super().__iter__()


class CountingDict(dict):
    """Counts how often its items are iterated over."""

    iterations = 0

    def __iter__(self) -> Iterator:
        self.iterations += 1
        return super().__iter__()

    def items(self):
        self.iterations += 1
        return super().items()


class Successor(Shard):
    """Shard of an owner that takes over; ``silent`` does not answer it."""

    def __init__(
        self,
        predecessors: Predecessors,
        *,
        workers: int = 2,
        silent: str = "",
        step: Step = SMALL,
    ) -> None:
        super().__init__(workers=workers, epoch=2, settled=False)
        self.scheduler.predecessors = predecessors
        expiry_ms = self.now_ms + EXPIRY_MS
        self.scheduler.find_lease_expiry = lambda name: expiry_ms
        if silent:
            worker = self.scheduler.workers[silent]
            worker.has_answered_token = worker.has_reported_all = False
            worker.clock_read_ms = float("-inf")
            self.silence(silent, OrderOutcome.NO_ANSWER)
            del self.workers[silent]
        self.scheduler.entries.note_read(self.now_ms)
        self.submit(build_job(step), is_new=False)

    def poll_all(self) -> None:
        """Poll all workers that answer."""
        for worker_id in self.workers:
            self.poll(worker_id)

    def count_starts(self, *, after_ms: float = 0.0) -> int:
        """Return the number of tasks started by a plan."""
        self.advance_time(after_ms)
        self.poll_all()
        account_for_workers(self.scheduler, self.now_ms)
        return len(list_starts(self.plan()))


def build_predecessors(*names: str, place: str = "") -> Predecessors:
    """Build an earlier epoch with one place, and no worker in the job's group."""
    groups = build_groups(count=8)
    other_group = (groups.find_group("j") + 1) % groups.count
    members = {
        other_group + number * groups.count: Member(name=name, address=f"{name}:1")
        for number, name in enumerate(names)
    }
    return Predecessors(
        groups=(WorkerGroups(epoch=1, count=groups.count, members=members),),
        places=[Place(task=TASK, attempt=7, worker=place)] if place else [],
    )


class AwaitedWorkerTest(unittest.TestCase):
    """Workers for which a task of an earlier job waits."""

    def test_unrelated_silent_worker_delays_no_task(self):
        # Guards against a takeover in which one silent worker delays all tasks.
        shard = Successor(build_predecessors("w0", "w1", place="w1"), silent="w0")
        self.assertEqual(shard.count_starts(), 1)

    def test_task_waits_for_the_worker_of_its_place(self):
        # Guards against a second run of a task whose worker does not answer.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        self.assertEqual(shard.count_starts(), 0)
        self.assertEqual(shard.count_starts(after_ms=20_000.0), 0)

    def test_task_waits_for_the_group_of_its_job(self):
        # Guards against a second run of a task that was started without a place.
        predecessors = Predecessors(groups=(build_groups("w0", "w1"),))
        shard = Successor(predecessors, silent="w0")
        self.assertEqual(shard.count_starts(), 0)

    def test_task_waits_for_the_groups_of_each_earlier_epoch(self):
        predecessors = Predecessors(
            groups=(build_groups("w1", epoch=2), build_groups("w0", epoch=1))
        )
        shard = Successor(predecessors, silent="w0")
        self.assertEqual(shard.count_starts(), 0)

    def test_task_waits_for_all_workers_of_an_owner_without_records(self):
        # Guards against relying on records that an earlier build did not write.
        predecessors = Predecessors(unrecorded_epoch=1, unrecorded_workers=("w0", "w1"))
        shard = Successor(predecessors, silent="w0")
        self.assertEqual(shard.count_starts(), 0)

    def test_gang_waits_for_the_workers_of_all_members(self):
        # Guards against a second run of a gang of which one member was recorded on a
        # worker that does not answer.
        gang = Step(
            count=2,
            demand=Demand(cpu=100, memory_mb=10),
            estimate_ms=500.0,
            gang=True,
        )
        predecessors = build_predecessors("w0", "w1", "w2")
        predecessors = Predecessors(
            groups=predecessors.groups,
            places=[Place(task="j.0.0.1", attempt=7, worker="w0")],
        )
        shard = Successor(predecessors, workers=3, silent="w0", step=gang)
        self.assertEqual(shard.count_starts(), 0)


class AccountedWorkerTest(unittest.TestCase):
    """Proofs that nothing of earlier owners is left on a worker."""

    def test_gone_worker_is_awaited_until_its_leases_have_expired(self):
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.mark_unlisted("w0")
        shard.scheduler.workers.pop("w0")
        self.assertEqual(shard.count_starts(after_ms=EXPIRY_MS - 1.0), 0)
        self.assertEqual(shard.count_starts(after_ms=1001.0), 1)

    def test_worker_that_left_is_accounted_for_at_once(self):
        # Guards against tasks held until leases expire on a worker that runs nothing.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.workers.pop("w0")
        self.assertEqual(shard.count_starts(), 0)
        shard.scheduler.note_departure("w0")
        self.assertEqual(shard.count_starts(), 1)

    def test_worker_registered_after_one_of_its_id_left_is_awaited(self):
        # Guards against a second run of a task that the later process started late.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.note_departure("w0")
        self.assertEqual(shard.count_starts(), 0)

    def test_missing_evidence_of_an_awaited_worker(self):
        # Guards against a log that doesn't tell why a takeover goes on.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.count_starts(after_ms=500.0)
        missing = summarize_missing_evidence(shard.scheduler, shard.now_ms)
        self.assertEqual((missing.leases, missing.listed), (1, 1))
        self.assertEqual(missing.lease_ms, EXPIRY_MS - 500.0)
        shard.count_starts(after_ms=EXPIRY_MS)
        missing = summarize_missing_evidence(shard.scheduler, shard.now_ms)
        self.assertEqual((missing.leases, missing.listed), (0, 1))
        self.assertEqual(missing.lease_ms, 0.0)

    def test_leases_of_this_owner_are_missing_evidence(self):
        # Guards against a remaining time that ignores what this owner granted itself.
        shard = Successor(build_predecessors("w0", "w1", place="w0"))
        shard.scheduler.find_lease_expiry = lambda name: 0.0
        shard.scheduler.workers["w0"].lease_until_ms += 9000.0
        missing = summarize_missing_evidence(shard.scheduler, shard.now_ms)
        expiry_ms = shard.scheduler.workers["w0"].find_lease_expiry()
        self.assertEqual(missing.lease_ms, expiry_ms - shard.now_ms)

    def test_missing_entry_proves_nothing_right_after_a_claim(self):
        # Guards against a second run of a completed task: after an outage of the store,
        # the entry of a living worker is missing for a moment.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.workers.pop("w0")
        shard.scheduler.find_lease_expiry = lambda name: 0.0
        self.assertEqual(shard.count_starts(after_ms=1000.0), 0)
        self.assertEqual(shard.count_starts(after_ms=2001.0), 1)

    def test_interrupted_reads_do_not_extend_the_wait_for_good(self):
        # Guards against a task of a worker that is gone which is never started again,
        # as the entries are never read steadily for long.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.workers.pop("w0")
        began_ms = shard.now_ms
        while not shard.count_starts(after_ms=500.0):
            if (shard.now_ms - began_ms) % 2500.0 == 0.0:
                shard.scheduler.entries.note_failure()
            self.assertLess(shard.now_ms, shard.scheduler.limits.settled_at_ms)

    def test_service_task_waits_for_the_leases_only(self):
        # Guards against a service task that waits for a listed worker for good.
        shard = Successor(
            build_predecessors("w0", "w1", place="w0"), silent="w0", step=SERVICE
        )
        self.assertEqual(shard.count_starts(after_ms=EXPIRY_MS - 1.0), 0)
        self.assertEqual(shard.count_starts(after_ms=1.0), 1)

    def test_wait_that_is_over_at_the_claim_is_not_begun_anew(self):
        # Guards against takeovers that each begin anew to wait for a crashed worker.
        shard = Successor(
            build_predecessors("w0", "w1", place="w0"), silent="w0", step=SERVICE
        )
        shard.scheduler.find_lease_expiry = lambda name: shard.now_ms - 1.0
        self.assertEqual(shard.count_starts(), 1)

    def test_worker_replaced_at_its_address_is_accounted_for(self):
        # Guards against a wait for a crashed worker whose successor answers.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.workers.pop("w0")
        self.assertEqual(shard.count_starts(), 0)
        shard.add_worker("w9", host="w0")
        self.assertEqual(shard.count_starts(), 1)

    def test_restart_under_the_same_id_is_no_proof_before_an_answer(self):
        # Guards against a second run of a task: a start of an earlier owner is on its
        # way, and the restarted process executes it as it names only the id.
        predecessors = build_predecessors("w0@1", "w1", place="w0@1")
        shard = Successor(predecessors)
        shard.add_worker("w0", born_ms=1)
        worker = shard.scheduler.workers["w0"]
        worker.born_ms, worker.clock_read_ms = 1, float("-inf")
        worker.has_answered_token = worker.has_reported_all = False
        del shard.workers["w0"]
        self.assertEqual(shard.count_starts(), 0)
        report = attrs.evolve(worker.report, born_ms=2)
        apply_report(shard.scheduler, report, shard.now_ms)
        self.assertEqual(shard.count_starts(), 0)
        shard.workers["w0"] = FakeWorker(worker_id="w0", born_ms=2)
        self.assertEqual(shard.count_starts(), 1)

    def test_limit_of_the_leases_is_no_proof_for_a_restarted_worker(self):
        # Guards against a second run of a task: leases on the previous process, which
        # was silent before the takeover, have expired, and the restarted one, which has
        # not answered, executes a late start for it. Without a limit, the leases of the
        # previous owner count, which are granted until its end.
        predecessors = build_predecessors("w0@1", "w1", place="w0@1")
        shard = Successor(predecessors)
        shard.add_worker("w0", born_ms=1)
        worker = shard.scheduler.workers["w0"]
        worker.born_ms, worker.clock_read_ms = 1, float("-inf")
        worker.has_answered_token = worker.has_reported_all = False
        del shard.workers["w0"]
        claimed_ms = shard.now_ms
        shard.scheduler.lease_limits = {"w0@1": claimed_ms + EXPIRY_MS}
        shard.scheduler.find_lease_expiry = lambda name: claimed_ms + 7402.0
        report = attrs.evolve(worker.report, born_ms=2)
        apply_report(shard.scheduler, report, shard.now_ms)
        for _ in range(14):
            shard.scheduler.entries.note_read(shard.now_ms)
            self.assertEqual(shard.count_starts(after_ms=500.0), 0)

    def test_worker_seen_to_have_ended_is_accounted_for(self):
        shard = Successor(build_predecessors("w0", "w1", place="w0"), silent="w0")
        shard.scheduler.drop_worker("w0")
        self.assertEqual(shard.count_starts(), 1)


class LeaseLimitTest(unittest.TestCase):
    """What the next owner is told of the leases on silent workers."""

    def setUp(self) -> None:
        self.shard = Shard()
        self.scheduler = self.shard.scheduler
        self.worker = self.scheduler.workers["w0"]

    def limit(self) -> dict[str, int]:
        """Return the limits at the current time."""
        return limit_leases(self.scheduler, self.shard.now_ms)

    def test_limit_covers_all_leases(self):
        # Guards against a second run beside one whose lease has not expired.
        self.shard.silence("w0")
        for _ in range(60):
            self.shard.advance_time(130.0)
            for limit_ms in self.limit().values():
                self.assertGreaterEqual(
                    self.shard.now_ms + limit_ms, self.worker.find_lease_expiry()
                )
        self.assertEqual(self.limit(), {"w0": 0})

    def test_limit_without_steps(self):
        # Guards against limits that are extended by rounding at each planned takeover.
        self.shard.silence("w0")
        for _ in range(30):
            self.shard.advance_time(130.0)
            remaining_ms = self.worker.find_lease_expiry() - self.shard.now_ms
            limits = limit_leases(self.scheduler, self.shard.now_ms, step_ms=1.0)
            for limit_ms in limits.values():
                self.assertGreaterEqual(limit_ms, remaining_ms)
                self.assertLess(limit_ms, remaining_ms + 2.0)

    def test_short_silence_is_not_written(self):
        # Guards against two writes for each lost answer.
        self.shard.silence("w0")
        self.shard.advance_time(300.0)
        self.assertEqual(self.limit(), {})

    def test_end_of_a_process_is_written_at_once(self):
        # Guards against an owner that ends within the threshold, so that the next one
        # counts the leases from its claim.
        self.shard.silence("w0", OrderOutcome.CONNECTION_REFUSED)
        self.assertIn("w0", self.limit())

    def test_worker_that_never_answered_has_no_limit(self):
        # Guards against a limit by the clock of a worker that this owner has not read.
        self.worker.has_answered_token = False
        self.shard.silence("w0")
        self.shard.advance_time(2000.0)
        self.assertEqual(self.limit(), {})

    def test_limit_changes_once_per_step(self):
        # Guards against a write in each round while a worker is silent.
        self.shard.silence("w0")
        limits = set()
        for _ in range(30):
            self.shard.advance_time(100.0)
            limits.update(self.limit().values())
        self.assertLessEqual(len(limits), 7)

    def test_limit_ends_with_the_silence(self):
        self.shard.silence("w0")
        self.shard.advance_time(1500.0)
        self.assertIn("w0", self.limit())
        self.shard.poll("w0")
        self.assertEqual(self.limit(), {})

    def test_inherited_limit_is_handed_on_until_the_worker_answers(self):
        # Guards against a limit that a second takeover begins anew, and against one
        # that remains when the worker gets new leases.
        self.scheduler.predecessors = Predecessors(groups=[build_groups("w0")])
        self.scheduler.lease_limits = {"w0": self.shard.now_ms + 700.0}
        self.worker.has_answered_token = False
        (limit_ms,) = self.limit().values()
        self.assertGreaterEqual(limit_ms, 700)
        self.shard.poll("w0")
        self.assertEqual(self.limit(), {})

    def test_worker_that_returns_while_it_must_still_be_known(self):
        # Guards against a worker that gets no lease although it answers again: it was
        # given up, and what it reported is not saved.
        self.worker.is_in_roster = True
        self.scheduler.drop_worker("w0")
        self.scheduler.update_worker(self.worker.report)
        self.shard.poll("w0")
        self.assertEqual(self.limit(), {})

    def test_limited_worker_gets_no_start(self):
        # Guards against a start whose lease the next owner does not expect.
        for worker in self.scheduler.workers.values():
            worker.is_lease_limited = True
        self.shard.submit(build_job())
        self.assertEqual(list_starts(self.shard.plan()), [])

    def test_worker_without_leases_that_must_still_be_known(self):
        # Guards against a wait for a worker that was given up, and is listed until all
        # that it reported is saved.
        self.worker.is_in_roster = True
        self.scheduler.drop_worker("w0")
        self.assertEqual(self.limit(), {"w0": 0})


class RecordedStartTest(unittest.TestCase):
    """A start is sent once the next owner would know of it."""

    def build_shard(self, *steps: Step, workers: int = 2) -> tuple[Shard, PlaceLedger]:
        """Build a settled shard with recorded starts, and submit a job."""
        shard = Shard(workers=workers)
        ledger = shard.scheduler.places = PlaceLedger(epoch=1)
        names = [w.incarnation for w in shard.scheduler.workers.values()]
        shard.scheduler.groups = build_groups(*names)
        shard.submit(build_job(*steps))
        return shard, ledger

    def write(self, shard: Shard, ledger: PlaceLedger) -> None:
        """Write all places."""
        while ledger.build_write(shard.now_ms, max_removals=9) is not None:
            ledger.confirm()

    def start(self, shard: Shard, ledger: PlaceLedger):
        """Start the only task of a job, and return its order."""
        shard.plan()
        self.write(shard, ledger)
        return shard.start_one()

    def test_start_waits_for_its_place(self):
        # Guards against a start that the next owner does not know of.
        shard, ledger = self.build_shard()
        self.assertEqual(list_starts(shard.plan()), [])
        ledger.build_write(shard.now_ms, max_removals=9)
        self.assertEqual(list_starts(shard.plan()), [])
        ledger.confirm()
        (order,) = list_starts(shard.plan())
        self.assertEqual(
            ledger.list_places(),
            [Place(task=TASK, attempt=order.attempt, worker=order.worker_id)],
        )

    def test_start_on_a_worker_that_falls_silent(self):
        # Guards against a task that waits for the leases on a silent worker although
        # its start order was never sent.
        for writes in (False, True):
            with self.subTest(writes=writes):
                shard, ledger = self.build_shard()
                self.assertEqual(list_starts(shard.plan()), [])
                (task,) = shard.scheduler.jobs["j"].tasks.values()
                (attempt,) = task.attempts
                silent = attempt.worker.report.worker_id
                shard.silence(silent)
                if writes:
                    self.write(shard, ledger)
                shard.plan()
                shard.plan()
                self.write(shard, ledger)
                (order,) = list_starts(shard.plan())
                self.assertNotEqual(order.worker_id, silent)

    def test_answered_start_on_a_worker_that_falls_silent(self):
        # Guards against a second run of a task whose worker falls silent after it has
        # reported a later attempt.
        shard, ledger = self.build_shard()
        shard.plan()
        self.write(shard, ledger)
        (order,) = list_starts(shard.plan())
        self.assertTrue(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.SUPERSEDED)
        shard.silence(order.worker_id)
        shard.advance_time(500.0)
        shard.plan()
        self.assertFalse(shard.scheduler.waiting)
        (task,) = shard.scheduler.jobs["j"].tasks.values()
        self.assertEqual(
            [attempt.run.attempt for attempt in task.attempts], [order.attempt]
        )

    def test_place_is_kept_until_the_end_is_saved(self):
        # Guards against a second run of a task whose end was not saved.
        shard, ledger = self.build_shard()
        order = self.start(shard, ledger)
        shard.end(order, EndKind.DONE)
        shard.submit(build_job(job_id="k"))
        shard.plan()
        self.write(shard, ledger)
        self.assertTrue(ledger.is_recorded(TASK, order.attempt))
        shard.save()
        shard.submit(build_job(job_id="l"))
        shard.plan()
        self.write(shard, ledger)
        self.assertFalse(ledger.is_recorded(TASK, order.attempt))

    def test_place_of_an_unreadable_job_is_kept(self):
        # Guards against a second run of a completed task whose job is readable again
        # for the next owner.
        shard, ledger = self.build_shard()
        order = self.start(shard, ledger)
        del shard.scheduler.jobs["j"]
        shard.scheduler.unreadable_jobs.add("j")
        shard.end(order, EndKind.DONE)
        shard.submit(build_job(job_id="k"))
        shard.plan()
        self.write(shard, ledger)
        self.assertTrue(ledger.is_recorded(TASK, order.attempt))
        shard.scheduler.unreleased[order.worker_id] = 0
        self.assertIn(order.worker_id, list_unreleased(shard.scheduler))

    def test_start_held_on_a_restarted_worker_keeps_its_place(self):
        # Guards against a second run of a task whose start was ruled out, and which the
        # restarted process may execute late.
        shard, ledger = self.build_shard()
        shard.add_worker("w0", born_ms=1)
        worker = shard.scheduler.workers["w0"]
        worker.born_ms = 1
        run = Run(
            task=TaskId("j", 0, 0, 0),
            attempt=7,
            room=Demand(),
            phase=RunPhase.STARTING,
            started_ms=shard.now_ms,
        )
        run.ambiguous = True
        worker.hold(run)
        place = Place(task=TASK, attempt=7, worker=worker.incarnation)
        ledger.load((0, 0), [place])
        shard.scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, "")
        report = attrs.evolve(worker.report, born_ms=2)
        apply_report(shard.scheduler, report, shard.now_ms)
        self.write(shard, ledger)
        shard.submit(build_job(job_id="k"))
        shard.plan()
        self.write(shard, ledger)
        self.assertIn(place, ledger.list_places())
        self.assertIn(worker.incarnation, list_unreleased(shard.scheduler))

    def test_starts_are_recorded_while_others_wait_for_their_places(self):
        # Guards against a planned takeover whose owner never finds its places complete.
        shard, ledger = self.build_shard()
        self.start(shard, ledger)
        shard.submit(build_job(job_id="k"))
        self.assertEqual(list_starts(shard.plan()), [])
        self.assertTrue(ledger.has_pending)
        self.assertTrue(are_starts_recorded(shard.scheduler))

    def test_start_held_again_without_a_place_is_not_recorded(self):
        # Guards against a second run of a task whose start was ruled out, and which the
        # restarted process may execute late.
        shard, ledger = self.build_shard()
        (worker, *_) = shard.scheduler.workers.values()
        run = Run(
            task=TaskId("j", 0, 0, 0),
            attempt=7,
            room=Demand(),
            phase=RunPhase.STOPPING,
            started_ms=shard.now_ms,
        )
        run.ambiguous = True
        worker.hold(run)
        ledger.restore(Place(task=TASK, attempt=7, worker=worker.incarnation))
        self.assertFalse(are_starts_recorded(shard.scheduler))
        self.write(shard, ledger)
        self.assertTrue(are_starts_recorded(shard.scheduler))

    def test_stalled_writes_move_starts_into_groups(self):
        # Guards against a store outage in which no task is started, and against starts
        # in it that the next owner does not expect.
        shard, ledger = self.build_shard(workers=4)
        groups = build_groups("w0", "w1", "w2", "w3", count=4)
        shard.scheduler.groups = groups
        shard.plan()
        ledger.build_write(shard.now_ms, max_removals=9)
        shard.advance_time(300.0)
        shard.poll_all()
        self.assertEqual(list_starts(shard.plan()), [])
        shard.advance_time(200.0)
        shard.poll_all()
        (order,) = list_starts(shard.plan())
        self.assertEqual([order.worker_id], groups.list_group("j"))
        self.assertTrue(shard.scheduler.has_group_starts)
        self.assertFalse(are_starts_recorded(shard.scheduler))

    def start_in_group(self):
        """Start the task of a job without a place, and return its order."""
        shard, ledger = self.build_shard()
        shard.plan()
        ledger.build_write(shard.now_ms, max_removals=9)
        shard.submit(build_job(job_id="k"))
        shard.advance_time(500.0)
        shard.poll_all()
        orders = {order.task.job_id: order for order in list_starts(shard.plan())}
        self.assertFalse(are_starts_recorded(shard.scheduler))
        ledger.confirm()
        return shard, ledger, orders["k"]

    def test_start_without_a_place_has_one_once_the_store_answers(self):
        # Guards against a planned takeover that holds whole groups for a start whose
        # place could be recorded since.
        shard, ledger, order = self.start_in_group()
        shard.plan()
        self.assertFalse(are_starts_recorded(shard.scheduler))
        self.write(shard, ledger)
        shard.plan()
        self.assertTrue(are_starts_recorded(shard.scheduler))
        worker = ledger.find_worker(str(order.task), order.attempt)
        self.assertEqual(worker, order.worker_id)

    def test_end_of_a_start_without_a_place_is_saved_first(self):
        # Guards against a second run of a task that was completed without a place, and
        # whose end is not in the store.
        shard, ledger, order = self.start_in_group()
        shard.end(order, EndKind.DONE)
        shard.plan()
        self.write(shard, ledger)
        shard.plan()
        self.assertFalse(are_starts_recorded(shard.scheduler))
        shard.save()
        self.assertTrue(are_starts_recorded(shard.scheduler))

    def test_stalled_writes_without_groups_start_nothing(self):
        shard, ledger = self.build_shard()
        shard.scheduler.groups = None
        shard.plan()
        ledger.build_write(shard.now_ms, max_removals=9)
        shard.advance_time(500.0)
        shard.poll_all()
        self.assertEqual(list_starts(shard.plan()), [])

    def test_adopted_run_is_recorded_before_its_worker_is_released(self):
        # Guards against a run of an earlier epoch that is unknown after two takeovers.
        shard = Successor(Predecessors(groups=(build_groups("w0", "w1"),)))
        ledger = shard.scheduler.places = PlaceLedger(epoch=2)
        task = TaskId("j", 0, 0, 0)
        shard.workers["w0"].running[task, 7] = Running(
            task=task, attempt=7, checkpoint="", percent=0.0, load=0.0
        )
        self.assertEqual(shard.count_starts(), 0)
        self.assertEqual(list_unreleased(shard.scheduler), {"w0"})
        self.write(shard, ledger)
        self.assertEqual(list_unreleased(shard.scheduler), set())

    def test_worker_is_released_after_its_ends_are_saved(self):
        # Guards against a second run of a task that completed under an earlier epoch,
        # if the owner that learned of it dies before it is saved.
        shard = Successor(Predecessors(groups=(build_groups("w0", "w1"),)))
        shard.scheduler.places = PlaceLedger(epoch=2)
        shard.workers["w0"].end(TaskId("j", 0, 0, 0), 7, EndKind.DONE)
        self.assertEqual(shard.count_starts(), 0)
        self.assertIn("w0", list_unreleased(shard.scheduler))
        shard.save()
        self.assertEqual(list_unreleased(shard.scheduler), set())

    def test_end_heard_after_the_account_delays_the_release(self):
        # Guards against a second run of a task whose run was found, and which ended
        # before its place or its end was stored.
        shard = Successor(Predecessors(groups=(build_groups("w0", "w1"),)))
        shard.scheduler.places = PlaceLedger(epoch=2)
        task = TaskId("j", 0, 0, 0)
        shard.workers["w0"].running[task, 7] = Running(
            task=task, attempt=7, checkpoint="", percent=0.0, load=0.0
        )
        self.assertEqual(shard.count_starts(), 0)
        shard.workers["w0"].end(task, 7, EndKind.DONE)
        shard.poll("w0")
        self.assertIn("w0", list_unreleased(shard.scheduler))
        shard.save()
        self.assertEqual(list_unreleased(shard.scheduler), set())

    def build_successor(self, names: list[str]) -> Successor:
        """Build a successor whose jobs and workers are counted, with a job a worker."""
        groups = build_groups(*names)
        shard = Successor(Predecessors(groups=(groups,)), workers=len(names))
        for name in names:
            shard.submit(build_job(job_id=name), is_new=False)
        shard.scheduler.dirty = CountingSet()
        shard.scheduler.unreleased = CountingDict()
        return shard

    def test_accounting_for_many_workers_looks_once_at_the_changed_jobs(self):
        # Guards against an owner that processes the first answers of a large deployment
        # for seconds and loses its lease.
        names = [f"w{number}" for number in range(40)]
        shard = self.build_successor(names)
        for name in names:
            shard.workers[name].end(TaskId(name, 0, 0, 0), 7, EndKind.DONE)
        shard.poll_all()
        account_for_workers(shard.scheduler, shard.now_ms)
        self.assertEqual(shard.scheduler.predecessors.awaited, set())
        self.assertEqual(list_unreleased(shard.scheduler), set(names))
        self.assertLessEqual(shard.scheduler.dirty.iterations, 1)

    def test_end_and_drop_look_at_no_other_worker_or_job(self):
        # Guards against a cost per end, or per lost worker, that grows with the number
        # of workers that are not released, or of changed jobs.
        names = [f"w{number}" for number in range(40)]
        shard = self.build_successor(names)
        shard.poll_all()
        account_for_workers(shard.scheduler, shard.now_ms)
        for name in names:
            shard.workers[name].end(TaskId(name, 0, 0, 0), 7, EndKind.DONE)
        shard.poll_all()
        for name in names[:20]:
            shard.scheduler.drop_worker(name)
        self.assertEqual(len(shard.scheduler.unreleased), len(names))
        self.assertEqual(len(shard.scheduler.dirty), len(names))
        self.assertEqual(shard.scheduler.dirty.iterations, 0)
        self.assertEqual(shard.scheduler.unreleased.iterations, 0)

    def test_dropped_worker_is_released_after_a_late_end_is_saved(self):
        # Guards against a second run of a task whose completion only this owner knows.
        shard = Successor(Predecessors(groups=(build_groups("w0", "w1"),)))
        shard.scheduler.places = PlaceLedger(epoch=2)
        self.assertEqual(shard.count_starts(), 0)
        shard.save()
        shard.workers["w0"].end(TaskId("j", 0, 0, 0), 7, EndKind.DONE)
        shard.poll("w0")
        shard.scheduler.workers["w0"].is_in_roster = False
        shard.scheduler.drop_worker("w0")
        self.assertIn("w0", list_unreleased(shard.scheduler))
        shard.save()
        self.assertEqual(list_unreleased(shard.scheduler), set())

    def test_release_awaits_no_later_change(self):
        # Guards against a worker that is never released while other jobs change.
        shard = Successor(Predecessors(groups=(build_groups("w0", "w1"),)))
        shard.scheduler.places = PlaceLedger(epoch=2)
        shard.workers["w0"].end(TaskId("j", 0, 0, 0), 7, EndKind.DONE)
        self.assertEqual(shard.count_starts(), 0)
        changes = collect_changes(shard.scheduler)
        shard.submit(build_job(job_id="k"))
        for state in shard.scheduler.jobs.values():
            shard.scheduler.mark_started(state)
        self.assertIn("w0", list_unreleased(shard.scheduler))
        for change in changes:
            confirm_change(shard.scheduler, change, revision=9)
        self.assertEqual(list_unreleased(shard.scheduler), set())

    def test_own_leases_on_a_worker_are_awaited_as_well(self):
        # Guards against a second run on a worker whose leases the new owner has renewed
        # although it has not reported all of its ends.
        shard = Successor(build_predecessors("w0", "w1", place="w0"), step=SERVICE)
        shard.scheduler.workers["w0"].has_reported_all = False
        del shard.workers["w0"]
        self.assertEqual(shard.count_starts(after_ms=EXPIRY_MS), 0)
        self.assertEqual(shard.count_starts(after_ms=4000.0), 1)

    def test_dropped_worker_is_released_after_its_ends_are_saved(self):
        shard, ledger = self.build_shard()
        order = self.start(shard, ledger)
        shard.end(order, EndKind.DONE)
        shard.scheduler.drop_worker(order.worker_id)
        self.assertEqual(list_unreleased(shard.scheduler), {"", order.worker_id})
        shard.save()
        self.assertEqual(list_unreleased(shard.scheduler), {""})

    def test_place_on_a_worker_without_the_run_is_retired(self):
        # Guards against places that stay in the store for good.
        predecessors = build_predecessors("w0", "w1", place="w0")
        shard = Successor(predecessors)
        ledger = shard.scheduler.places = PlaceLedger(epoch=2)
        ledger.load((1, 0), [Place(task=TASK, attempt=7, worker="w0")])
        self.assertEqual(shard.count_starts(), 0)
        self.write(shard, ledger)
        self.assertEqual(shard.count_starts(), 1)
        shard.submit(build_job(job_id="k"))
        shard.plan()
        self.write(shard, ledger)
        self.assertFalse(ledger.is_recorded(TASK, 7))
