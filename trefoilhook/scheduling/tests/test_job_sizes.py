"""Tests of jobs with more tasks than an owner can hold."""

import json
import unittest

from trefoilhook.exceptions import DecodeError, RequestError
from trefoilhook.platform import decode_job
from trefoilhook.scheduling import (
    Demand,
    Job,
    JobPhase,
    JobRecord,
    Step,
    decode_job_record,
    encode_job_record,
)


def build_record(
    *, steps: int, count: int, repeats: int, phase: JobPhase = JobPhase.OPEN
) -> JobRecord:
    """Build the record of a job with equal steps."""
    job = Job(
        job_id="j",
        queue="q",
        accepted_ms=1.0,
        spec="",
        steps=(Step(count=count, demand=Demand()),) * steps,
        repeats=repeats,
        first_due_ms=1.0 if repeats else 0.0,
        interval_ms=60_000.0 if repeats else 0.0,
    )
    return JobRecord(job=job, phase=phase)


class JobSizeTest(unittest.TestCase):
    """Numbers of tasks that are each within the bounds of their field."""

    def test_too_many_tasks_in_all(self):
        # Guards against a job whose record ends each owner that reads it, one after the
        # other: 20,000 steps of 100,000 tasks fit into a submission.
        table = (
            (1, 100_000, 0, True, True),
            (2, 100_000, 0, True, True),
            (3, 100_000, 0, False, True),
            (26, 100_000, 0, False, False),
            (20_000, 100_000, 0, False, False),
            (1, 1, 100_000, True, True),
            (10, 1, 100_000, True, True),
            (1, 20, 100_000, False, True),
            (10_000, 1, 100_000, False, True),
            (1, 100_000, 100_000, False, True),
        )
        for steps, count, repeats, is_accepted, is_readable in table:
            with self.subTest(steps=steps, count=count, repeats=repeats):
                body = {"steps": [{"count": count}] * steps, "repeat_count": repeats}
                submit = json.dumps(body).encode()
                record = build_record(steps=steps, count=count, repeats=repeats)
                data = encode_job_record(record)
                if is_accepted:
                    decode_job(submit, job_id="j", queue="q", accepted_ms=1.0)
                else:
                    with self.assertRaises(RequestError):
                        decode_job(submit, job_id="j", queue="q", accepted_ms=1.0)
                if is_readable:
                    self.assertEqual(decode_job_record(data), record)
                else:
                    with self.assertRaises(DecodeError):
                        decode_job_record(data)

    def test_accepted_job_stays_readable(self):
        # Guards against a job accepted by an earlier build that no owner runs, and of
        # which no status is told, after an update.
        for phase in JobPhase:
            with self.subTest(phase=phase):
                record = build_record(steps=1, count=20, repeats=100_000, phase=phase)
                self.assertEqual(decode_job_record(encode_job_record(record)), record)
