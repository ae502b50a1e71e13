"""Tests of jobs with more tasks than an owner can hold."""

import json
import unittest

from trefoilhook.exceptions import DecodeError, RequestError
from trefoilhook.platform import decode_job
from trefoilhook.scheduling import (
    Demand,
    Job,
    JobRecord,
    Step,
    decode_job_record,
    encode_job_record,
)


class JobSizeTest(unittest.TestCase):
    """Numbers of tasks that are each within the bounds of their field."""

    def test_too_many_tasks_in_all(self):
        # Guards against a job whose record ends each owner that reads it, one after the
        # other: 20,000 steps of 100,000 tasks fit into a submission.
        table = (
            (1, 100_000, 0, True),
            (2, 100_000, 0, True),
            (3, 100_000, 0, False),
            (20_000, 100_000, 0, False),
            (1, 1, 100_000, True),
            (10, 1, 100_000, True),
            (1, 20, 100_000, False),
            (10_000, 1, 100_000, False),
            (1, 100_000, 100_000, False),
        )
        for steps, count, repeats, is_valid in table:
            with self.subTest(steps=steps, count=count, repeats=repeats):
                body = {"steps": [{"count": count}] * steps, "repeat_count": repeats}
                record = JobRecord(
                    job=Job(
                        job_id="j",
                        queue="q",
                        accepted_ms=1.0,
                        spec="",
                        steps=(Step(count=count, demand=Demand()),) * steps,
                        repeats=repeats,
                    )
                )
                submit = json.dumps(body).encode()
                data = encode_job_record(record)
                if is_valid:
                    decode_job(submit, job_id="j", queue="q", accepted_ms=1.0)
                    self.assertEqual(decode_job_record(data), record)
                    continue
                with self.assertRaises(RequestError):
                    decode_job(submit, job_id="j", queue="q", accepted_ms=1.0)
                with self.assertRaises(DecodeError):
                    decode_job_record(data)
