"""Tests of records written by other processes: decoded completely or rejected."""

import json
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from trefoilhook.decoding.tests.test_readers import DEEPLY_NESTED_JSON, VALUES
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    Demand,
    Interference,
    Job,
    JobPhase,
    JobRecord,
    KnownQueues,
    Progress,
    Step,
    decode_interference,
    decode_job_record,
    decode_progress,
    decode_queues,
    encode_interference,
    encode_job_record,
    encode_progress,
)
from trefoilhook.scheduling.tests.cases import QUEUE

JOB = Job(
    job_id="j",
    queue="q",
    accepted_ms=1.0,
    spec="x",
    steps=(Step(count=2, demand=Demand(cpu=1)), Step(count=1, demand=Demand())),
)
PROGRESS = Progress(
    done={(0, 0): {1}}, failed={(0, 0, 1): {2}}, checkpoints={(0, 0, 1): "c"}
)


def build_model() -> Interference:
    """Return a model with a few observations."""
    interference = Interference()
    interference.learn_base("a", 2.0)
    interference.learn_change(
        "a", before={}, after={"f": 0.5}, slack_before=2.0, slack_after=1.0
    )
    return interference


VALID_RECORDS: tuple[tuple[Callable[[bytes], Any], bytes], ...] = (
    (decode_job_record, encode_job_record(JobRecord(job=JOB))),
    (decode_progress, encode_progress(PROGRESS)),
    (decode_interference, encode_interference(build_model())),
    (decode_job_record, encode_job_record(JobRecord(job=JOB, queue=QUEUE))),
    (
        decode_job_record,
        encode_job_record(
            JobRecord(job=JOB, queue=QUEUE, phase=JobPhase.COMPLETED),
        ),
    ),
    (decode_queues, KnownQueues(by_name={"checks": QUEUE}).encode()),
)


@st.composite
def modify_record(draw: Any, data: bytes) -> bytes:
    """Change one value or key at any depth of a valid record."""
    record = json.loads(data)
    container = record
    while True:
        names = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        name = draw(st.sampled_from(names))
        child = container[name]
        if not isinstance(child, dict | list) or not child or draw(st.booleans()):
            break
        container = child
    if isinstance(container, dict) and draw(st.booleans()):
        container[draw(st.text(max_size=5))] = container.pop(name)
    else:
        container[name] = draw(VALUES)
    return json.dumps(record).encode()


class InvalidRecordTest(unittest.TestCase):
    """Decoding of valid and invalid records."""

    def test_valid_records(self):
        for decode, data in VALID_RECORDS:
            with self.subTest(decode=decode.__name__):
                decode(data)
        read = decode_interference(VALID_RECORDS[2][1])
        self.assertAlmostEqual(
            read.get_weight("a", "f"), build_model().get_weight("a", "f"), places=3
        )

    def test_invalid_bytes(self):
        for decode, _ in VALID_RECORDS:
            for data in (b"", b"\xff", b"[]", b"null", DEEPLY_NESTED_JSON):
                with (
                    self.subTest(decode=decode.__name__, data=data[:9]),
                    self.assertRaises(DecodeError),
                ):
                    decode(data)

    def test_invalid_records(self):
        # Guards against partial decoding: each record contains a single invalid value,
        # such as an impossible order of steps, a count that is not a number, or an
        # invalid task key.
        job = json.loads(VALID_RECORDS[0][1])
        table = (
            (decode_job_record, {**job, "phase": "paused"}),
            (decode_job_record, {**job, "phase": None}),
            (decode_job_record, {"job": job["job"]}),
            (decode_job_record, self._change(job, after=[1])),
            (decode_job_record, self._change(job, after=[0])),
            (decode_job_record, self._change(job, count=0)),
            (decode_job_record, self._change(job, count=True)),
            (decode_job_record, self._change(job, demand=[1, 2])),
            (decode_job_record, self._change(job, demand=[1, 2, -3])),
            (decode_job_record, self._change(job, gang=1)),
            (decode_job_record, self._change(job, max_absent="1")),
            (decode_job_record, {**job, "queue": None}),
            (decode_job_record, {**job, "queue": {"name": "checks"}}),
            (decode_progress, {"done": {"0": [1]}, "failed": {}, "checkpoints": {}}),
            (decode_progress, {"done": {"0.-1": [1]}, "failed": {}, "checkpoints": {}}),
            (decode_progress, {"done": {"0.0": 1}, "failed": {}, "checkpoints": {}}),
            (
                decode_progress,
                {"done": {"0.0": ["1"]}, "failed": {}, "checkpoints": {}},
            ),
            (decode_progress, {"done": {}, "failed": {}}),
            (decode_interference, {"a": {"base": 1, "swing": -1}}),
            (
                decode_interference,
                {"a": {"base": 1, "swing": 1, "means": {"f": 1}, "covariance": {}}},
            ),
        )
        for decode, value in table:
            with (
                self.subTest(decode=decode.__name__, value=str(value)[-60:]),
                self.assertRaises(DecodeError),
            ):
                decode(json.dumps(value).encode())

    def _change(self, record: Any, **fields: Any) -> Any:
        """Change fields of the first step of a record."""
        job = record["job"]
        steps = [{**job["steps"][0], **fields}, *job["steps"][1:]]
        return {**record, "job": {**job, "steps": steps}}

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.one_of(
            *(st.tuples(st.just(d), modify_record(data)) for d, data in VALID_RECORDS)
        )
    )
    @example((decode_progress, b'{"done":{"0.0":[1' + b"0" * 400 + b"]}}"))
    def test_any_record(self, case: Any):
        decode, data = case
        try:
            value = decode(data)
        except DecodeError:
            return
        self.assertIsInstance(value, JobRecord | Progress | Interference | KnownQueues)
        if isinstance(value, Interference):
            self.assertGreater(value.get_trough("a"), float("-inf"))
            value.get_optimistic_weight("a", "f")


if __name__ == "__main__":
    unittest.main()
