"""Tests of evacuations while tasks wait, start and run."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Advice,
    Demand,
    EndKind,
    Evacuations,
    OrderOutcome,
    StartOrder,
    Step,
    StopOrder,
    StopReason,
    choose_advice_request,
    confirm_start,
    measure_backlogs,
    measure_evacuated,
)
from trefoilhook.scheduling.tests.cases import (
    CONFIGURATION,
    QUEUE,
    SMALL,
    Shard,
    build_job,
    list_starts,
)
from trefoilhook.scheduling.tickets import name_step
from trefoilhook.scheduling.waits import WaitReason

EAST, WEST = "east", "west"
LONG_RUNNING = attrs.evolve(SMALL, long_running=True)


def build_shard(*domains: str, **fields) -> Shard:
    """Build a shard with one worker per failure domain, named w0, w1 and so on."""
    shard = Shard(workers=0, **fields)
    for number, domain in enumerate(domains):
        shard.add_worker(f"w{number}", failure_domain=domain)
    return shard


def evacuate(shard: Shard, *domains: str) -> None:
    """Evacuate failure domains."""
    for domain in domains:
        shard.scheduler.evacuations.begin(domain, shard.now_ms)


def step_and_list_workers(shard: Shard) -> list[str]:
    """Run one scheduling step; return the worker of each start."""
    return sorted(order.worker_id for order in list_starts(shard.step()))


class StartsTest(unittest.TestCase):
    """No task is started in an evacuated failure domain."""

    def test_waiting_tasks_start_in_other_domains(self):
        shard = build_shard(EAST, WEST)
        evacuate(shard, EAST)
        shard.submit(build_job(attrs.evolve(SMALL, count=6)))
        self.assertEqual(step_and_list_workers(shard), ["w1"] * 4)
        self.assertEqual(step_and_list_workers(shard), [])

    def test_tasks_wait_while_every_domain_is_evacuated(self):
        shard = build_shard(EAST, WEST)
        evacuate(shard, EAST, WEST)
        shard.submit(build_job())
        self.assertEqual(step_and_list_workers(shard), [])
        shard.scheduler.evacuations.end(WEST)
        self.assertEqual(step_and_list_workers(shard), ["w1"])

    def test_evacuations_of_two_domains_end_separately(self):
        shard = build_shard(EAST, WEST, "north")
        evacuate(shard, EAST, WEST)
        shard.submit(build_job(attrs.evolve(SMALL, count=12)))
        self.assertEqual(step_and_list_workers(shard), ["w2"] * 4)
        shard.scheduler.evacuations.end(EAST)
        self.assertEqual(step_and_list_workers(shard), ["w0"] * 4)
        shard.scheduler.evacuations.end(WEST)
        self.assertEqual(step_and_list_workers(shard), ["w1"] * 4)

    def test_domain_can_be_evacuated_repeatedly(self):
        shard = build_shard(EAST)
        for number in range(3):
            evacuate(shard, EAST)
            evacuate(shard, EAST)
            shard.submit(build_job(job_id=f"j{number}"))
            self.assertEqual(step_and_list_workers(shard), [])
            shard.scheduler.evacuations.end(EAST)
            self.assertEqual(step_and_list_workers(shard), ["w0"])

    def test_unknown_domain_has_no_effect(self):
        shard = build_shard(EAST)
        evacuate(shard, "nowhere")
        shard.submit(build_job())
        self.assertEqual(step_and_list_workers(shard), ["w0"])

    def test_name_is_matched_after_normalization(self):
        shard = build_shard(EAST)
        evacuate(shard, " East")
        shard.submit(build_job())
        self.assertEqual(step_and_list_workers(shard), [])

    def test_evacuations_of_two_spellings_end_separately(self):
        shard = build_shard(EAST)
        evacuate(shard, EAST, "EAST")
        shard.submit(build_job())
        shard.scheduler.evacuations.end(EAST)
        self.assertEqual(step_and_list_workers(shard), [])
        shard.scheduler.evacuations.end("EAST")
        self.assertEqual(step_and_list_workers(shard), ["w0"])

    def test_new_owner_starts_nothing_in_evacuated_domain(self):
        evacuations = Evacuations()
        evacuations.begin(EAST, 0.0)
        shard = build_shard(EAST, WEST, epoch=2, evacuations=evacuations)
        shard.submit(build_job(attrs.evolve(SMALL, count=2)))
        self.assertEqual(step_and_list_workers(shard), ["w1"] * 2)

    def test_restarted_worker_uses_its_current_domain(self):
        shard = build_shard(EAST)
        evacuate(shard, EAST)
        shard.scheduler.mark_unlisted("w0")
        shard.add_worker("w0-again", failure_domain=EAST)
        shard.submit(build_job())
        self.assertEqual(step_and_list_workers(shard), [])
        shard.add_worker("w0-moved", failure_domain=WEST)
        self.assertEqual(step_and_list_workers(shard), ["w0-moved"])

    def test_later_occurrence_starts_in_other_domain(self):
        shard = build_shard(EAST, WEST)
        job = build_job(
            attrs.evolve(SMALL, count=4),
            repeats=2,
            first_due_ms=shard.now_ms,
            interval_ms=200.0,
        )
        shard.submit(job)
        first = list_starts(shard.step())
        evacuate(shard, first[0].worker_id.replace("w0", EAST).replace("w1", WEST))
        for order in first:
            shard.end(order, EndKind.DONE)
        shard.advance_time(200.0)
        shard.poll_all()
        workers = step_and_list_workers(shard)
        self.assertEqual(len(workers), 4)
        self.assertNotIn(first[0].worker_id, workers)

    def test_suspected_task_is_isolated_in_other_domain(self):
        shard = build_shard(EAST, WEST)
        evacuate(shard, EAST)
        shard.submit(build_job())
        task = next(iter(shard.scheduler.waiting))
        suspicion = shard.scheduler.suspects.get_or_add(task)
        suspicion.record_loss(1, "w", 5000.0, proved=True)
        self.assertEqual(len(shard.plan()), 0)
        shard.save()
        self.assertEqual(step_and_list_workers(shard), ["w1"])

    def test_advice_request_excludes_evacuated_workers(self):
        shard = build_shard(EAST, WEST)
        queue = attrs.evolve(
            QUEUE, advice=Advice(decision_ms=5.0, per_worker_ms=1.0, valid_ms=3000.0)
        )
        shard.scheduler.set_configuration(
            attrs.evolve(CONFIGURATION, version=2, queues=(queue,))
        )
        evacuate(shard, EAST)
        shard.submit(build_job())
        shard.step()
        request, _ = choose_advice_request(shard.scheduler, shard.now_ms)
        self.assertEqual(request.workers, ("w1",))


class PlacementTest(unittest.TestCase):
    """Tasks that prefer or require a label or a rack."""

    def test_data_rack_is_optional_and_label_is_required(self):
        for fields, expected in (
            ({"data_rack": "r1"}, ["w1"]),
            ({"required_label": "r1"}, []),
        ):
            with self.subTest(fields):
                shard = Shard(workers=0)
                shard.add_worker("w0", failure_domain=EAST, labels=("r1",))
                shard.add_worker("w1", failure_domain=WEST, labels=("r2",))
                evacuate(shard, EAST)
                shard.submit(build_job(attrs.evolve(SMALL, **fields)))
                self.assertEqual(step_and_list_workers(shard), expected)

    def test_same_rack_gang_uses_other_rack(self):
        shard = Shard(workers=0)
        for rack, domain in (("r1", EAST), ("r2", WEST)):
            for number in range(2):
                shard.add_worker(
                    f"{rack}-{number}", failure_domain=domain, labels=(rack,)
                )
        evacuate(shard, EAST)
        gang = Step(
            count=2,
            demand=Demand(cpu=3000, memory_mb=100),
            gang=True,
            same_rack=True,
        )
        shard.submit(build_job(gang))
        self.assertEqual(step_and_list_workers(shard), ["r2-0", "r2-1"])

    def test_tasks_are_not_moved_to_evacuated_workers(self):
        # Guards against stopping a task on a worker with reduced capacity in favour of
        # an evacuated worker.
        shard = build_shard(EAST, EAST)
        shard.submit(build_job(attrs.evolve(SMALL, count=4, checkpointing=True)))
        shard.step()
        report = shard.scheduler.workers["w0"].report
        shrunk = attrs.evolve(report.capacity, cpu=500)
        shard.scheduler.update_worker(attrs.evolve(report, capacity=shrunk))
        evacuate(shard, EAST)
        stops = []
        for _ in range(40):
            stops += [each for each in shard.step() if isinstance(each, StopOrder)]
        self.assertEqual(stops, [])


class PendingStartsTest(unittest.TestCase):
    """Starts that were planned before the evacuation was known."""

    def test_unsent_start_moves_to_other_domain(self):
        shard = build_shard(EAST)
        shard.submit(build_job())
        (order,) = shard.plan()
        evacuate(shard, EAST)
        self.assertFalse(confirm_start(shard.scheduler, order, shard.now_ms))
        shard.answer(order, OrderOutcome.WITHDRAWN)
        shard.add_worker("w1", failure_domain=WEST)
        self.assertEqual(step_and_list_workers(shard), ["w1"])

    def test_unanswered_start_is_stopped_and_not_repeated(self):
        shard = build_shard(EAST)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        evacuate(shard, EAST)
        shard.advance_time(150.0)
        (stop,) = shard.plan()
        self.assertIsInstance(stop, StopOrder)

    def test_partly_started_gang_restarts_in_other_domain(self):
        # Guards against gang members that wait until their timeout for one that is
        # never started.
        shard = build_shard(EAST, WEST)
        gang = Step(count=2, demand=Demand(cpu=3000, memory_mb=100), gang=True)
        shard.submit(build_job(gang))
        orders = {order.worker_id: order for order in shard.plan()}
        shard.workers["w1"].run(orders["w1"])
        shard.answer(orders["w1"], OrderOutcome.DONE)
        evacuate(shard, EAST)
        self.assertFalse(confirm_start(shard.scheduler, orders["w0"], shard.now_ms))
        shard.answer(orders["w0"], OrderOutcome.WITHDRAWN)
        shard.add_worker("w2", failure_domain=WEST)
        (stop,) = shard.step()
        self.assertEqual((stop.worker_id, type(stop)), ("w1", StopOrder))
        self.assertEqual(step_and_list_workers(shard), ["w1", "w2"])


class RunningTest(unittest.TestCase):
    """Tasks that run in a failure domain when it is evacuated."""

    def test_running_tasks_continue(self):
        for step in (SMALL, LONG_RUNNING):
            with self.subTest(step):
                shard = build_shard(EAST, WEST)
                shard.submit(build_job(attrs.evolve(step, count=8)))
                shard.step()
                evacuate(shard, EAST)
                for _ in range(30):
                    self.assertEqual(shard.step(), [])
                self.assertEqual(shard.count_running(), 8)

    def test_failed_long_running_task_restarts_in_other_domain(self):
        shard = build_shard(EAST)
        shard.submit(build_job(LONG_RUNNING))
        order = shard.start_one()
        evacuate(shard, EAST)
        shard.add_worker("w1", failure_domain=WEST)
        shard.end(order, EndKind.FAILED)
        self.assertEqual(step_and_list_workers(shard), ["w1"])

    def test_end_of_run_is_processed(self):
        shard = build_shard(EAST)
        shard.submit(build_job())
        order = shard.start_one()
        evacuate(shard, EAST)
        shard.end(order, EndKind.DONE)
        self.assertFalse(shard.scheduler.jobs["j"].is_open)

    def test_long_running_task_moves_from_draining_worker_to_other_domain(self):
        shard = build_shard(EAST, EAST)
        shard.submit(build_job(LONG_RUNNING))
        order = shard.start_one()
        evacuate(shard, EAST)
        report = shard.scheduler.workers[order.worker_id].report
        shard.scheduler.update_worker(attrs.evolve(report, draining=True))
        (stop,) = shard.step()
        self.assertIs(stop.reason, StopReason.WORKER_DRAINING)
        self.assertEqual(step_and_list_workers(shard), [])
        shard.add_worker("w2", failure_domain=WEST)
        self.assertEqual(step_and_list_workers(shard), ["w2"])

    def test_remaining_runs_are_counted(self):
        shard = build_shard(EAST, EAST, WEST)
        shard.submit(build_job(attrs.evolve(LONG_RUNNING, count=1)))
        shard.submit(build_job(attrs.evolve(SMALL, count=3), job_id="k"))
        shard.step()
        evacuate(shard, EAST)
        shard.advance_time(1500.0)
        (remaining,) = measure_evacuated(shard.scheduler, shard.now_ms)
        self.assertEqual(remaining.failure_domain, EAST)
        self.assertEqual((remaining.since_ms, remaining.workers), (1500, 2))
        workers = [shard.scheduler.workers[name] for name in ("w0", "w1")]
        self.assertEqual(remaining.runs, sum(len(worker.runs) for worker in workers))
        self.assertEqual(
            remaining.busy_workers, sum(map(bool, (w.runs for w in workers)))
        )
        self.assertLessEqual(remaining.long_running, 1)


class StaleEvacuationsTest(unittest.TestCase):
    """No task is started when the evacuations were read too long ago."""

    def test_nothing_starts_after_stale_read(self):
        # Guards against starts by an owner whose watch of the operator's keys is
        # silent while its watch of the workers still works.
        evacuations = Evacuations(max_age_ms=3500.0)
        shard = build_shard(EAST, evacuations=evacuations)
        shard.submit(build_job())
        self.assertEqual(shard.plan(), [])
        evacuations.note_read(shard.now_ms - 3600.0)
        self.assertEqual(shard.plan(), [])
        evacuations.note_read(shard.now_ms - 3400.0)
        (order,) = shard.plan()
        self.assertIsInstance(order, StartOrder)
        shard.advance_time(200.0)
        self.assertFalse(confirm_start(shard.scheduler, order, shard.now_ms))

    def test_unanswered_start_is_not_repeated_after_stale_read(self):
        evacuations = Evacuations(max_age_ms=3500.0)
        evacuations.note_read(100_000.0)
        shard = build_shard(EAST, evacuations=evacuations)
        shard.submit(build_job())
        (order,) = shard.plan()
        shard.answer(order, OrderOutcome.NO_ANSWER)
        shard.advance_time(3600.0)
        shard.poll_all()
        self.assertEqual(list_starts(shard.plan()), [])

    def test_starts_without_read_if_platform_has_no_evacuations(self):
        shard = build_shard(EAST)
        shard.submit(build_job())
        self.assertEqual(step_and_list_workers(shard), ["w0"])


class WaitReasonTest(unittest.TestCase):
    """Wait reasons and backlogs reflect evacuations."""

    def test_wait_reason_is_evacuated(self):
        shard = build_shard(EAST)
        evacuate(shard, EAST)
        shard.submit(build_job())
        for _ in range(4):
            shard.step()
        task = next(iter(shard.scheduler.jobs["j"].tasks.values()))
        reason = shard.scheduler.waits.get_main_reason(name_step(task.task))
        self.assertIs(reason, WaitReason.EVACUATED)

    def test_backlog_counts_open_workers(self):
        shard = build_shard(EAST, WEST)
        evacuate(shard, EAST)
        shard.submit(build_job(attrs.evolve(SMALL, count=9)))
        shard.step()
        (backlog,) = measure_backlogs(
            shard.scheduler,
            shard.scheduler.waiting,
            now_ms=shard.now_ms,
            wall_ms=shard.now_ms,
        )
        self.assertEqual((backlog.workers, backlog.open_workers), (2, 1))


if __name__ == "__main__":
    unittest.main()
