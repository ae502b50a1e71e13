"""Tests of the records of large jobs that an earlier build accepted."""

import unittest

from trefoilhook.scheduling import (
    Demand,
    Job,
    JobPhase,
    JobRecord,
    Step,
    decode_job_record,
    encode_job_record,
)


class AcceptedJobTest(unittest.TestCase):
    """Jobs with few tasks at a time and many occurrences."""

    def build_record(self, phase: JobPhase) -> JobRecord:
        """Build the record of 20 tasks each minute for ten weeks."""
        job = Job(
            job_id="j",
            queue="q",
            accepted_ms=1.0,
            spec="",
            steps=(Step(count=20, demand=Demand()),),
            repeats=100_000,
            first_due_ms=1.0,
            interval_ms=60_000.0,
        )
        return JobRecord(job=job, phase=phase)

    def test_accepted_job_stays_readable(self):
        # Guards against an accepted job that no owner runs after an update.
        record = self.build_record(JobPhase.OPEN)
        self.assertEqual(decode_job_record(encode_job_record(record)), record)

    def test_ended_job_stays_readable(self):
        # Guards against a status that can't be told of a job accepted before an update.
        record = self.build_record(JobPhase.CANCELLED)
        self.assertEqual(decode_job_record(encode_job_record(record)), record)


if __name__ == "__main__":
    unittest.main()
