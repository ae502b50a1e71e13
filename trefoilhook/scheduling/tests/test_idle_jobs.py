"""Tests of batch jobs with nothing running on a mostly idle fleet.

Users take a job as lost if nothing of it runs for 3 s although a task could run and
most of the processors are idle.
"""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    OrderOutcome,
    Step,
    assignment,
    handle_worker_loss,
)
from trefoilhook.scheduling.records import Progress, decode_progress, encode_progress
from trefoilhook.scheduling.reservations import Reservation
from trefoilhook.scheduling.suspicion import Suspicion
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts
from trefoilhook.scheduling.tests.test_starvation import _learn_weight

_MAX_IDLE_MS = 3000.0
"""Time with nothing running after which users take a job as lost, in ms."""

_TASK = Step(count=1, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=2000.0)
_SERVICE = Step(
    count=1,
    demand=Demand(cpu=4000),
    long_running=True,
    latency_limit_ms=18.0,
    image="s",
    max_per_worker=1,
)
_FILLER = Step(
    count=3,
    demand=Demand(cpu=3000, memory_mb=10),
    filler=True,
    checkpointing=True,
    image="f",
    estimate_ms=2000.0,
)


def start_services(shard: Shard, workers: int, *, load: float = 9.0) -> list:
    """Start a service task on each worker, beside which fillers are heavy."""
    shard.submit(build_job(attrs.evolve(_SERVICE, count=workers), job_id="service"))
    starts = list_starts(shard.step())
    for start in starts:
        worker = shard.workers[start.worker_id]
        worker.update(start.task, start.attempt, percent=100.0, load=load)
    _learn_weight(shard, "f", 11.0)
    return starts


def wait_for_first_starts(
    shard: Shard, jobs: set[str], *, within_ms: float
) -> dict[str, float]:
    """Return the time until the first start of each job, in ms."""
    began_ms = shard.now_ms
    first: dict[str, float] = {}
    while shard.now_ms < began_ms + within_ms and jobs - first.keys():
        for start in list_starts(shard.step()):
            first.setdefault(start.task.job_id, shard.now_ms - began_ms)
    return first


def suspect_strongly(shard: Shard, job_id: str, *, proved: bool = False) -> None:
    """Record losses against each task of a job, so that it must run in isolation."""
    for task in shard.scheduler.jobs[job_id].tasks.values():
        suspicion = shard.scheduler.suspects.get_or_add(task)
        for attempt in range(1, 4):
            suspicion.record_loss(attempt, f"x{attempt}", 20.0, proved=proved)
    shard.save()


def reserve_all_workers(shard: Shard) -> None:
    """Reserve all workers for a step with a higher priority."""
    for worker in shard.scheduler.workers.values():
        worker.reservation = Reservation(
            step=("other", 0, 0),
            worker_id=worker.report.worker_id,
            priority=-1,
            demand=Demand(cpu=8000),
            begun_ms=shard.now_ms,
            due_ms=shard.now_ms + 60_000.0,
            allows_backfill=False,
        )


class StarvedJobsTest(unittest.TestCase):
    """Fillers that no service task tolerates at full speed."""

    def check_all_start(self, *, workers: int, jobs: int, rounds: int = 2) -> None:
        """Check that each job has a run within the users' limit, repeatedly."""
        shard = Shard(workers=workers, cpu=16_000)
        start_services(shard, workers)
        names = {f"batch{number}" for number in range(jobs)}
        for name in sorted(names):
            shard.submit(build_job(_FILLER, job_id=name))
        for _ in range(rounds):
            began_ms = shard.now_ms
            first: dict[str, float] = {}
            starts = []
            while shard.now_ms < began_ms + _MAX_IDLE_MS:
                for start in list_starts(shard.step()):
                    first.setdefault(start.task.job_id, shard.now_ms - began_ms)
                    starts.append(start)
            self.assertEqual(names - first.keys(), set())
            for start in starts:
                worker = shard.workers[start.worker_id]
                worker.end(start.task, start.attempt, EndKind.DONE)
            shard.poll_all()

    def test_many_starved_jobs_start_in_time_on_a_small_fleet(self):
        # Guards against relief that is limited to some jobs in each round.
        self.check_all_start(workers=24, jobs=12)

    def test_many_starved_jobs_start_in_time_on_a_large_fleet(self):
        # Guards against relief that is slower on larger fleets.
        self.check_all_start(workers=246, jobs=120)

    def test_held_task_does_not_starve_its_job(self):
        # Guards against a job that waits for its held suspect while others could run.
        # Repeated, as the order of the tasks is not fixed.
        for held in (1, 2) * 5:
            with self.subTest(held=held):
                shard = Shard(workers=2, cpu=16_000)
                start_services(shard, 2)
                shard.submit(build_job(_FILLER, job_id="batch"))
                state = shard.scheduler.jobs["batch"]
                tasks = sorted(state.tasks.values(), key=lambda task: task.task.index)
                for task in tasks[:held]:
                    suspicion = shard.scheduler.suspects.get_or_add(task)
                    for attempt in range(1, 4):
                        suspicion.record_loss(
                            attempt, f"x{attempt}", 20.0, proved=False
                        )
                    task.shared.held_until_ms = shard.now_ms + 64_000.0
                shard.save()
                first = wait_for_first_starts(shard, {"batch"}, within_ms=_MAX_IDLE_MS)
                self.assertEqual(first.keys(), {"batch"})

    def test_job_starts_beside_services_without_enough_slack(self):
        # Guards against jobs that wait without any bound as all service tasks are
        # close to their limit.
        shard = Shard(workers=2, cpu=16_000)
        start_services(shard, 2, load=17.5)
        _learn_weight(shard, "f", 40.0)
        for _ in range(30):
            shard.step()
        shard.submit(build_job(_FILLER, job_id="batch"))
        first = wait_for_first_starts(shard, {"batch"}, within_ms=_MAX_IDLE_MS)
        self.assertEqual(first.keys(), {"batch"})

    def test_job_starts_beside_fillers_that_use_all_processors(self):
        # Guards against jobs that wait without any bound for the fillers of others,
        # whose processors are not counted.
        shard = Shard(workers=2, cpu=16_000)
        wide = attrs.evolve(_FILLER, count=40, estimate_ms=600_000.0)
        shard.submit(build_job(wide, job_id="wide"))
        for _ in range(30):
            shard.step()
        names = {f"batch{number}" for number in range(60)}
        for name in names:
            shard.submit(build_job(attrs.evolve(_FILLER, count=1), job_id=name))
        first = wait_for_first_starts(shard, names, within_ms=_MAX_IDLE_MS)
        self.assertEqual(names - first.keys(), set())

    def test_suspected_fillers_of_many_jobs_start_in_time(self):
        # Guards against starved jobs that wait for the isolated runs of others.
        shard = Shard(workers=16, cpu=16_000)
        start_services(shard, 16)
        names = {f"batch{number}" for number in range(12)}
        for name in names:
            shard.submit(build_job(attrs.evolve(_FILLER, count=1), job_id=name))
            suspect_strongly(shard, name)
        started: set[str] = set()
        began_ms = shard.now_ms
        while shard.now_ms < began_ms + _MAX_IDLE_MS:
            started |= {start.task.job_id for start in list_starts(shard.step())}
            shard.save()
        self.assertEqual(started, names)


class RepeatedLossTest(unittest.TestCase):
    """Batch tasks whose workers fall silent."""

    def lose(self, shard: Shard, worker_ids: set[str]) -> None:
        """Let workers fall silent together, their leases expire and entries go."""
        for worker_id in worker_ids:
            shard.silence(worker_id)
            del shard.workers[worker_id]
        for _ in range(55):
            shard.advance_time(100.0)
            for worker_id in shard.scheduler.workers.keys() & shard.workers.keys():
                shard.poll(worker_id)
            shard.scheduler.entries.note_read(shard.now_ms)
        for worker_id in worker_ids:
            shard.scheduler.mark_unlisted(worker_id)
        for worker_id in worker_ids:
            worker = shard.scheduler.workers.get(worker_id)
            if worker is not None:
                handle_worker_loss(shard.scheduler, worker, shard.now_ms)

    def step(self, shard: Shard) -> list:
        """Run one step, with all changes saved."""
        starts = list_starts(shard.step())
        shard.save()
        return starts

    def test_task_starts_in_time_after_each_of_its_first_losses(self):
        # Guards against delays of suspects that are longer than users wait.
        shard = Shard(workers=40)
        shard.submit(build_job(_TASK))
        self.check_starts(shard, losses=4)

    def test_bystander_of_repeated_waves_starts_in_time(self):
        # Guards against tasks that are suspected although many workers fall silent
        # together, most of them without a run of the job.
        shard = Shard(workers=120)
        shard.submit(build_job(attrs.evolve(_TASK, count=30, max_per_worker=1)))
        victim = next(iter(shard.scheduler.waiting)).task
        for wave in range(7):
            began_ms = shard.now_ms
            worker_id = ""
            while not worker_id and shard.now_ms < began_ms + 70_000.0:
                for start in self.step(shard):
                    if start.task == victim:
                        worker_id = start.worker_id
            with self.subTest(waves=wave):
                self.assertLess(shard.now_ms - began_ms, _MAX_IDLE_MS)
            shard.advance_time(200.0)
            others = [name for name in shard.scheduler.workers if name != worker_id]
            lost = {worker_id, *others[::7]}
            self.lose(shard, lost)
            for number in range(len(lost)):
                shard.add_worker(f"n{wave}-{number}")

    def test_bystander_beside_workers_that_keep_falling_silent(self):
        # Guards against the only task of a job that is held for a minute and more as
        # it lost some workers, although others fall silent as often.
        for workers, others in ((6, 1), (12, 1), (24, 2)):
            with self.subTest(workers=workers):
                shard = Shard(workers=workers)
                shard.submit(build_job(_TASK))
                waits = self.wait_for_waves(shard, others=others, waves=9)
                self.assertLess(max(waits), _MAX_IDLE_MS)

    def test_culprit_beside_few_other_losses_is_bounded(self):
        # Guards against a task that silences its workers and is excused by a few others
        # of a large fleet.
        for workers, others, max_starts in (
            (6, 0, 5),
            (6, 1, 10),
            (16, 1, 5),
            (40, 2, 10),
            (240, 2, 5),
        ):
            with self.subTest(workers=workers, others=others):
                shard = Shard(workers=workers)
                shard.submit(build_job(_TASK))
                waits = self.wait_for_waves(
                    shard, others=others, waves=30, within_ms=300_000.0
                )
                self.assertLessEqual(len(waits), max_starts)

    def test_culprit_after_a_single_failure_of_others_is_bounded(self):
        # Guards against a task that silences its workers and is excused by one failure
        # of many others.
        shard = Shard(workers=12)
        shard.submit(build_job(_TASK))
        starts = len(self.wait_for_waves(shard, others=8, waves=1))
        began_ms = shard.now_ms
        while shard.now_ms < began_ms + 300_000.0:
            waits = self.wait_for_waves(shard, others=0, waves=1, within_ms=70_000.0)
            starts += len(waits)
        self.assertLessEqual(starts, 6)

    def wait_for_waves(
        self,
        shard: Shard,
        *,
        others: int,
        waves: int,
        within_ms: float = float("inf"),
    ) -> list[float]:
        """Return the waits of a task whose worker falls silent after each start.

        As many other workers fall silent with it, others each time.
        """
        began_ms = shard.now_ms
        waits: list[float] = []
        while len(waits) < waves:
            waited_from_ms = shard.now_ms
            starts: list = []
            while not starts:
                if shard.now_ms - began_ms > within_ms:
                    return waits
                starts = self.step(shard)
            waits.append(shard.now_ms - waited_from_ms)
            shard.advance_time(200.0)
            worker_id = starts[0].worker_id
            rest = [name for name in shard.scheduler.workers if name != worker_id]
            lost = {worker_id, *rest[:others]}
            self.lose(shard, lost)
            for _ in lost:
                shard.add_worker(f"n{shard.now_ms:.0f}-{len(shard.workers)}")
        return waits

    def test_culprits_that_silence_their_workers_together_are_bounded(self):
        # Guards against tasks that excuse each other as their workers fall silent at
        # the same time, again and again.
        shard = Shard(workers=9)
        for number in range(3):
            step = attrs.evolve(_TASK, demand=Demand(cpu=4000))
            shard.submit(build_job(step, job_id=f"c{number}"))
        starts = 0
        began_ms = shard.now_ms
        while shard.now_ms < began_ms + 200_000.0:
            found = self.step(shard)
            if not found:
                continue
            starts += len(found)
            shard.advance_time(200.0)
            self.lose(shard, {start.worker_id for start in found})
            for _ in found:
                shard.add_worker(f"n{starts}-{len(shard.workers)}")
        self.assertLessEqual(starts, 3 * 7)

    def test_service_task_starts_in_time_after_five_losses(self):
        # Guards against service tasks that are held as long as culprits whose starts
        # users limit.
        shard = Shard(workers=40)
        shard.submit(build_job(attrs.evolve(_TASK, long_running=True)))
        self.check_starts(shard, losses=5)

    def check_starts(self, shard: Shard, *, losses: int) -> None:
        """Check that the only task starts in time, also after each of some losses."""
        for loss in range(losses + 1):
            began_ms = shard.now_ms
            starts: list = []
            while not starts and shard.now_ms < began_ms + 70_000.0:
                starts = self.step(shard)
            with self.subTest(losses=loss):
                self.assertLess(shard.now_ms - began_ms, _MAX_IDLE_MS)
            shard.advance_time(200.0)
            self.lose(shard, {starts[0].worker_id})
            shard.add_worker(f"n{loss}")

    def test_stopped_long_run_ends_a_row_of_losses(self):
        # Guards against earlier losses that count although the task ran for long since
        # and was then moved.
        shard = Shard(workers=2)
        shard.submit(build_job(attrs.evolve(_TASK, long_running=True)))
        (task,) = shard.scheduler.waiting
        suspicion = shard.scheduler.suspects.get_or_add(task)
        for attempt in range(1, 5):
            suspicion.record_loss(attempt, f"x{attempt}", 20.0, proved=False)
        shard.save()
        starts: list = []
        while not starts:
            starts = self.step(shard)
        worker = shard.workers[starts[0].worker_id]
        worker.update(starts[0].task, starts[0].attempt, percent=100.0)
        for _ in range(90):
            self.step(shard)
        shard.end(starts[0], EndKind.STOPPED)
        self.assertEqual(suspicion.single_losses, 0)

    def test_worker_that_answers_again_is_no_loss(self):
        # Guards against partitions that heal and excuse culprits.
        shard = Shard(workers=8)
        shard.submit(build_job())
        (start,) = list_starts(shard.step())
        others = [name for name in shard.scheduler.workers if name != start.worker_id]
        for worker_id in (start.worker_id, *others[:3]):
            shard.silence(worker_id)
        lost = shard.scheduler.workers[start.worker_id]
        losses = shard.scheduler.suspects.concurrent_losses
        losses.refresh(shard.scheduler.workers.values(), shard.now_ms)
        share = losses.measure_share(lost.incarnation, "j", workers=8)
        self.assertEqual(share, 0.5)
        shard.advance_time(1000.0)
        for worker_id in others[:3]:
            shard.poll(worker_id)
        losses.refresh(shard.scheduler.workers.values(), shard.now_ms)
        share = losses.measure_share(lost.incarnation, "j", workers=8)
        self.assertEqual(share, 0.0)

    def test_retracted_loss_is_not_excused(self):
        # Guards against more excused losses than losses.
        shard = Shard(workers=2)
        shard.submit(build_job())
        (task,) = shard.scheduler.waiting
        suspicion = shard.scheduler.suspects.get_or_add(task)
        suspicion.record_loss(1, "a", 2.0, proved=False, is_concurrent=True)
        suspicion.record_loss(2, "b", 20.0, proved=False)
        shard.scheduler.suspects.record_lost_worker("a", task)
        shard.scheduler.suspects.retract_losses("a")
        self.assertEqual(suspicion.single_losses, 1)

    def test_long_run_ends_a_row_of_losses(self):
        # Guards against service tasks that are held after two series of losses with a
        # long run between them.
        shard = Shard(workers=40)
        service = attrs.evolve(_TASK, long_running=True)
        shard.submit(build_job(service))
        for loss in range(8):
            began_ms = shard.now_ms
            starts: list = []
            while not starts and shard.now_ms < began_ms + 10_000.0:
                starts = self.step(shard)
            with self.subTest(losses=loss):
                self.assertLess(shard.now_ms - began_ms, _MAX_IDLE_MS)
            worker = shard.workers[starts[0].worker_id]
            worker.update(starts[0].task, starts[0].attempt, percent=100.0)
            for _ in range(120 if loss == 4 else 2):
                self.step(shard)
            self.lose(shard, {starts[0].worker_id})
            shard.add_worker(f"n{loss}")

    def count_starts(self, shard: Shard, *, others: int, long_run: int = 0) -> int:
        """Return the starts in 200 s of a task that silences each of its workers.

        Some other workers fall silent with it, and each run with a number that
        ``long_run`` divides goes on for 8 s.
        """
        shard.submit(build_job(_TASK))
        began_ms = shard.now_ms
        starts = 0
        while shard.now_ms < began_ms + 200_000.0:
            found = self.step(shard)
            if not found:
                continue
            starts += 1
            runs_long = long_run and starts % long_run == 0
            worker = shard.workers[found[0].worker_id]
            for number in range(80 if runs_long else 2):
                worker.update(found[0].task, found[0].attempt, percent=float(number))
                self.step(shard)
            names = [
                name for name in shard.scheduler.workers if name != found[0].worker_id
            ]
            lost = {found[0].worker_id, *names[:others]}
            self.lose(shard, lost)
            for number in range(len(lost)):
                shard.add_worker(f"n{starts}-{number}")
        return starts

    def test_few_silent_workers_do_not_excuse_a_culprit(self):
        # Guards against a culprit that is started without end as two of many workers
        # always fall silent with it.
        self.assertLessEqual(self.count_starts(Shard(workers=120), others=2), 5)

    def test_many_silent_workers_excuse_a_culprit_some_times_only(self):
        # Guards against a culprit that is started without end as many workers always
        # fall silent with it.
        self.assertLessEqual(self.count_starts(Shard(workers=40), others=8), 10)

    def test_long_runs_excuse_a_culprit_some_times_only(self):
        # Guards against a culprit that silences its workers after times that vary.
        starts = self.count_starts(Shard(workers=40), others=0, long_run=5)
        self.assertLessEqual(starts, 14)

    def test_wave_of_one_job_is_no_common_cause(self):
        # Guards against a job whose tasks all silence their workers and that is taken
        # for the bystander of a wave.
        shard = Shard(workers=40)
        step = attrs.evolve(_TASK, count=10, max_per_worker=1)
        shard.submit(build_job(step))
        starts = self.step(shard)
        shard.advance_time(200.0)
        self.lose(shard, {start.worker_id for start in starts})
        for task in shard.scheduler.jobs["j"].tasks.values():
            self.assertEqual(task.suspicion.single_losses, 1)

    def test_common_cause_survives_a_takeover(self):
        # Guards against a bystander that the next owner takes for a culprit.
        suspicion = Suspicion()
        suspicion.record_loss(1, "a", 2.0, proved=False, is_concurrent=True)
        suspicion.record_loss(2, "b", 20.0, proved=False)
        progress = decode_progress(
            encode_progress(Progress(suspicions={(0, 0, 0): suspicion}))
        )
        self.assertEqual(progress.suspicions[0, 0, 0].single_losses, 1)


class SuccessiveWaitsTest(unittest.TestCase):
    """Batch tasks that are no fillers wait for several reasons in turn."""

    def test_tasks_behind_isolated_runs_of_other_jobs_start_in_time(self):
        # Guards against a limit on isolated workers that keeps other jobs' suspects
        # waiting without any bound.
        shard = Shard(workers=16)
        for number in range(12):
            shard.submit(build_job(_TASK, job_id=f"c{number}"))
            suspect_strongly(shard, f"c{number}")
        began_ms = shard.now_ms
        started: set[str] = set()
        while shard.now_ms < began_ms + _MAX_IDLE_MS:
            started |= {start.task.job_id for start in list_starts(shard.step())}
            shard.save()
        self.assertEqual(len(started), 12)

    def test_suspects_of_a_proved_crash_keep_their_turn(self):
        # Guards against bystanders that crash again beside a culprit and are given up
        # in its place.
        shard = Shard(workers=8)
        for number in range(12):
            shard.submit(build_job(_TASK, job_id=f"c{number}"))
            suspect_strongly(shard, f"c{number}", proved=True)
        started = 0
        began_ms = shard.now_ms
        while shard.now_ms < began_ms + _MAX_IDLE_MS:
            started += len(list_starts(shard.step()))
            shard.save()
        self.assertEqual(started, 2)

    def test_isolated_runs_on_silent_workers_hold_no_place(self):
        # Guards against suspects that wait for the leases of workers that don't answer.
        shard = Shard(workers=8)
        names = {f"c{number}" for number in range(4)}
        for name in sorted(names):
            shard.submit(build_job(_TASK, job_id=name))
            suspect_strongly(shard, name, proved=True)
        first = []
        while not first:
            first = list_starts(shard.step())
            shard.save()
        self.assertEqual(len(first), 2)
        for start in first:
            del shard.workers[start.worker_id]
        began_ms = shard.now_ms
        later: set[str] = set()
        while shard.now_ms < began_ms + 1000.0:
            for start in first:
                shard.silence(start.worker_id)
            for order in list_starts(shard.plan()):
                shard.workers[order.worker_id].run(order)
                shard.answer(order, OrderOutcome.DONE)
                later.add(order.task.job_id)
            shard.save()
            shard.advance_time(100.0)
            for worker_id in shard.workers:
                shard.poll(worker_id)
        self.assertEqual(later, names - {start.task.job_id for start in first})

    def test_silent_workers_hold_the_places_of_their_job(self):
        # Guards against a job whose tasks each silence a worker as soon as the one
        # before has done so.
        shard = Shard(workers=16)
        shard.submit(build_job(attrs.evolve(_TASK, count=6), job_id="c"))
        suspect_strongly(shard, "c", proved=True)
        starts: list = []
        for _ in range(10):
            for order in list_starts(shard.plan()):
                starts.append(order)
                shard.silence(order.worker_id)
                shard.workers.pop(order.worker_id)
            shard.save()
            shard.advance_time(100.0)
            for worker_id in shard.workers:
                shard.poll(worker_id)
        self.assertEqual(len(starts), 2)

    def test_overdue_task_is_not_started_beside_an_isolated_run(self):
        # Guards against a bystander that crashes with a suspect and is given up.
        shard = Shard(workers=1)
        shard.submit(build_job(_TASK, job_id="c"))
        suspect_strongly(shard, "c")
        starts: list = []
        while not starts:
            starts = list_starts(shard.step())
            shard.save()
        shard.submit(build_job(_TASK, job_id="j"))
        first = wait_for_first_starts(shard, {"j"}, within_ms=2700.0)
        self.assertEqual(first, {})

    def count_starts_beside_reservations(self, shard: Shard, **fields) -> int:
        """Return the starts within the users' limit while all workers are reserved."""
        shard.submit(build_job(attrs.evolve(_TASK, **fields), job_id="j"))
        reserve_all_workers(shard)
        starts = 0
        began_ms = shard.now_ms
        with mock.patch.object(assignment, "update_reservations"):
            while shard.now_ms < began_ms + _MAX_IDLE_MS:
                starts += len(list_starts(shard.step()))
        return starts

    def test_one_task_beside_reserved_workers_starts_in_time(self):
        # Guards against workers that are reserved for displaced service tasks while a
        # job has nothing running, and against jobs that take all of them.
        shard = Shard(workers=4, cpu=8000)
        self.assertEqual(self.count_starts_beside_reservations(shard, count=5), 1)

    def test_reservations_of_a_busy_fleet_are_kept(self):
        # Guards against jobs that use reserved workers where jobs have to compete.
        shard = Shard(workers=4, cpu=8000)
        other = attrs.evolve(_SERVICE, count=4, demand=Demand(cpu=5200))
        shard.submit(build_job(other, job_id="other"))
        shard.step()
        self.assertEqual(self.count_starts_beside_reservations(shard, count=1), 0)

    def test_overdue_task_does_not_return_to_worker_where_it_failed(self):
        # Guards against a worker that fails every task and uses up the job's attempts.
        shard = Shard(workers=1)
        shard.submit(build_job(_TASK, job_id="j"))
        (task,) = shard.scheduler.waiting
        task.shared.failed_on.add("w0")
        shard.scheduler.workers["w0"].faulty_until_ms = shard.now_ms + 60_000.0
        first = wait_for_first_starts(shard, {"j"}, within_ms=2.0 * _MAX_IDLE_MS)
        self.assertEqual(first, {})


if __name__ == "__main__":
    unittest.main()
