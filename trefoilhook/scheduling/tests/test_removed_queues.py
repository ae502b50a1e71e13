"""Tests of jobs whose queue leaves the configuration, or changes its values."""

import unittest

import attrs

from trefoilhook.scheduling import (
    Configuration,
    EndKind,
    JobPhase,
    JobRecord,
    KnownQueues,
    Queue,
    Step,
    decode_job_record,
    decode_queues,
    encode_job_record,
)
from trefoilhook.scheduling.tests.cases import QUEUE, SMALL, Shard, build_job

OTHER = attrs.evolve(QUEUE, name="other", prefix="/other/", service="t")
REMOVED = Configuration(version=9, queues=(OTHER,))

LIMITED = attrs.evolve(QUEUE, priority=4, max_attempts=2)
"""The queue of the tests with values that differ from those by default."""


def build_next_owner(
    *,
    configuration: Configuration = REMOVED,
    record: JobRecord | None = None,
    queues: bytes | None = None,
) -> Shard:
    """Return an owner that has read a configuration, the known queues and a job."""
    shard = Shard(epoch=2)
    shard.scheduler.queues = KnownQueues()
    shard.scheduler.set_configuration(configuration)
    if queues is not None:
        shard.scheduler.queues.add_earlier(decode_queues(queues))
    shard.scheduler.add_job(
        decode_job_record(encode_job_record(record or _accept(QUEUE))),
        revision=1,
        is_new=False,
        wall_ms=shard.now_ms,
    )
    return shard


def _accept(queue: Queue | None, *steps: Step) -> JobRecord:
    return JobRecord(job=build_job(*steps), queue=queue)


class RemovedQueueTest(unittest.TestCase):
    """What the next owner knows of a job whose queue is not configured."""

    def test_each_kind_of_task_is_started(self):
        # Guards against accepted jobs that stand still after a takeover.
        small = attrs.asdict(SMALL, recurse=False, filter=lambda a, _: a.init)
        kinds = {
            "plain": {},
            "gang": {"gang": True, "count": 2},
            "speculative": {"speculative": True},
            "long-running": {"long_running": True},
            "filler": {"filler": True},
        }
        for name, fields in kinds.items():
            with self.subTest(name):
                step = Step(**{**small, **fields})
                shard = build_next_owner(record=_accept(QUEUE, step))
                shard.step()
                self.assertEqual(shard.count_running(), step.count)

    def test_later_step_and_occurrence_are_started(self):
        # Guards against jobs that stand still once their first step is done.
        steps = (SMALL, attrs.evolve(SMALL, after=(0,)))
        job = build_job(*steps, repeats=2, first_due_ms=0.0, interval_ms=1.0)
        shard = build_next_owner(record=JobRecord(job=job, queue=QUEUE))
        for _ in range(8):
            shard.step()
            for worker in shard.workers.values():
                for task, attempt in list(worker.running):
                    worker.end(task, attempt, EndKind.DONE)
        shard.step()
        self.assertIs(shard.scheduler.jobs["j"].phase, JobPhase.COMPLETED)

    def test_accepted_values_are_kept(self):
        # Guards against a priority and a number of attempts that a takeover changes.
        shard = build_next_owner(record=_accept(LIMITED))
        state = shard.scheduler.jobs["j"]
        self.assertEqual((state.queue, state.priority), (LIMITED, 4))
        for _ in range(LIMITED.max_attempts):
            self.assertIs(state.phase, JobPhase.OPEN)
            shard.end(shard.start_one(), EndKind.FAILED)
        self.assertIs(state.phase, JobPhase.FAILED)

    def test_values_in_force_last_are_kept(self):
        # Guards against values of the acceptance that were replaced meanwhile.
        moved = attrs.evolve(QUEUE, service="t", priority=2)
        first = Shard()
        first.submit(build_job())
        first.scheduler.set_configuration(Configuration(version=2, queues=(moved,)))
        first.scheduler.set_configuration(REMOVED)
        self.assertEqual(first.scheduler.jobs["j"].queue, moved)
        shard = build_next_owner(queues=first.scheduler.queues.encode())
        self.assertEqual(shard.scheduler.jobs["j"].queue, moved)

    def test_configured_values_come_first(self):
        earlier = KnownQueues(by_name={"checks": LIMITED})
        shard = build_next_owner(
            configuration=Configuration(version=2, queues=(QUEUE,)),
            record=_accept(LIMITED),
            queues=earlier.encode(),
        )
        self.assertEqual(shard.scheduler.jobs["j"].queue, QUEUE)

    def test_record_of_an_earlier_build(self):
        # Guards against jobs that were accepted before records held their queue.
        known = KnownQueues(by_name={"checks": QUEUE}).encode()
        shard = build_next_owner(record=_accept(None), queues=known)
        shard.step()
        self.assertEqual(shard.count_running(), 1)
        unknown = build_next_owner(record=_accept(None))
        unknown.step()
        self.assertEqual(unknown.count_running(), 0)
        unknown.scheduler.set_configuration(
            Configuration(version=10, queues=(QUEUE, OTHER))
        )
        unknown.step()
        self.assertEqual(unknown.count_running(), 1)

    def test_due_time_does_not_change_with_the_owner(self):
        # Guards against an objective that differs from the one given at acceptance.
        longer = attrs.evolve(QUEUE, stretch=9.0, objective_ms=9000.0)
        shard = build_next_owner(
            configuration=Configuration(version=2, queues=(longer,))
        )
        state = shard.scheduler.jobs["j"]
        objective_ms = QUEUE.compute_objective(state.job)
        self.assertEqual(state.due_ms - state.job.accepted_ms, objective_ms)

    def test_service_of_a_removed_queue_is_known(self):
        # Guards against the exclusion of the only workers that can run a job.
        shard = build_next_owner()
        self.assertIn("s", shard.scheduler.services)
        self.assertNotIn("s", shard.scheduler.configuration.services)


class KnownQueuesTest(unittest.TestCase):
    """Which queues are kept."""

    def test_unused_queues_are_dropped(self):
        # Guards against a key that grows with each route ever configured.
        known = KnownQueues()
        known.update([QUEUE, OTHER], used=())
        known.update([], used={"other"})
        self.assertEqual(known.by_name, {"other": OTHER})

    def test_version_changes_with_the_values_only(self):
        known = KnownQueues()
        known.update([QUEUE], used=())
        version = known.version
        known.update([QUEUE], used=())
        self.assertEqual(known.version, version)
        known.update([LIMITED], used=())
        self.assertGreater(known.version, version)

    def test_encoding_without_advice(self):
        known = KnownQueues(by_name={"checks": QUEUE})
        self.assertEqual(decode_queues(known.encode()), known)
