"""Tests of the encoding of stored records."""

import unittest

from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    Advice,
    Demand,
    Job,
    JobPhase,
    JobRecord,
    Progress,
    Queue,
    Step,
    TaskId,
    decode_job_record,
    decode_progress,
    encode_job_record,
    encode_progress,
    parse_task_id,
)
from trefoilhook.scheduling.models import _parse_cached_task_id

_JOB = Job(
    job_id="0123456789abcdef",
    queue="q",
    accepted_ms=1.5,
    spec="ünïcode",
    steps=(
        Step(count=2, demand=Demand(cpu=1), image="a", max_absent=0),
        Step(count=1, demand=Demand(memory_mb=3, gpus=1), after=(0,), gang=True),
    ),
    repeats=3,
    first_due_ms=9.0,
    interval_ms=4.0,
)

_QUEUE = Queue(
    name="q",
    host="h",
    prefix="/q/",
    service="s",
    priority=2,
    max_attempts=3,
    stretch=1.5,
    objective_ms=250.0,
    advice=Advice(decision_ms=5.0, per_worker_ms=1.0, valid_ms=3000.0),
)


class RecordsTest(unittest.TestCase):
    """Encoding and decoding."""

    def test_open_job(self):
        record = JobRecord(job=_JOB)
        self.assertEqual(decode_job_record(encode_job_record(record)), record)

    def test_open_job_with_its_queue(self):
        record = JobRecord(job=_JOB, queue=_QUEUE)
        self.assertEqual(decode_job_record(encode_job_record(record)), record)

    def test_record_of_an_earlier_build(self):
        # Guards against jobs that a new build cannot read, as they lack their queue.
        data = (
            b'{"phase":"open","job":{"job_id":"j","queue":"q","accepted_ms":1.0,'
            b'"spec":"x","steps":[{"count":1,"demand":[1,0,0]}]}}'
        )
        record = decode_job_record(data)
        self.assertEqual((record.job.job_id, record.queue), ("j", None))
        self.assertEqual(encode_job_record(record), data)

    def test_ended_job_keeps_its_steps_but_not_its_spec(self):
        record = JobRecord(job=_JOB, phase=JobPhase.COMPLETED, queue=_QUEUE)
        read = decode_job_record(encode_job_record(record))
        self.assertEqual(read.phase, JobPhase.COMPLETED)
        self.assertEqual(read.job.steps, _JOB.steps)
        self.assertEqual(read.job.spec, "")
        self.assertIsNone(read.queue)

    def test_ended_job_keeps_its_location(self):
        # Guards against an end that can't be told where the route is not known.
        record = JobRecord(job=_JOB, phase=JobPhase.COMPLETED, queue=_QUEUE)
        read = decode_job_record(encode_job_record(record))
        self.assertEqual(read.location, _QUEUE.host + _QUEUE.prefix)
        self.assertEqual(decode_job_record(encode_job_record(read)), read)

    def test_progress(self):
        progress = Progress(
            done={(0, 1): {2, 5}},
            failed={(0, 0, 1): {1001, 2001}},
            checkpoints={(1, 0, 0): "c"},
        )
        self.assertEqual(decode_progress(encode_progress(progress)), progress)

    def test_task_names(self):
        task = TaskId("0123456789abcdef", 2, 1, 17)
        self.assertEqual(str(task), "0123456789abcdef.2.1.17")
        self.assertEqual(parse_task_id(str(task)), task)

    def test_similar_task_names_are_told_apart(self):
        # Guards against a cached id that is returned for the text of another task.
        names = ("a.0.1.17", "a.0.1.1", "a.0.11.7", "a.01.1.7", "A.0.1.17", "b.0.1.17")
        for _ in range(2):
            self.assertEqual(
                [parse_task_id(name) for name in names],
                [
                    TaskId("a", 0, 1, 17),
                    TaskId("a", 0, 1, 1),
                    TaskId("a", 0, 11, 7),
                    TaskId("a", 1, 1, 7),
                    TaskId("A", 0, 1, 17),
                    TaskId("b", 0, 1, 17),
                ],
            )

    def test_invalid_task_names_stay_invalid(self):
        # Guards against a cache that turns the second refusal into a result.
        for name in ("a.0.1", "a.0.-1.0", "a.0.1.1 ", ".0.1.1", "a" * 200):
            for _ in range(2):
                with self.subTest(name=name), self.assertRaises(DecodeError):
                    parse_task_id(name)

    def test_cache_of_task_names_is_bounded(self):
        # Guards against a worker that fills the owner's memory with names.
        before = _parse_cached_task_id.cache_info()
        self.assertIsNotNone(before.maxsize)
        name = "x" * 200 + ".0.1.17"
        self.assertEqual(parse_task_id(name), TaskId("x" * 200, 0, 1, 17))
        self.assertEqual(_parse_cached_task_id.cache_info(), before)
