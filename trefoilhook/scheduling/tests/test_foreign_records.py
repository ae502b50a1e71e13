"""Records that another writer left: read whole or refused."""

import json
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from trefoilhook.decoding.tests.test_readers import NESTED, VALUES
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    Demand,
    Interference,
    Job,
    JobRecord,
    Progress,
    Step,
    decode_interference,
    decode_job_record,
    decode_progress,
    encode_interference,
    encode_job_record,
    encode_progress,
)

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


def learn() -> Interference:
    """Learn a little."""
    interference = Interference()
    interference.learn_base("a", 2.0)
    interference.learn_change(
        "a", before={}, after={"f": 0.5}, slack_before=2.0, slack_after=1.0
    )
    return interference


SOUND: tuple[tuple[Callable[[bytes], Any], bytes], ...] = (
    (decode_job_record, encode_job_record(JobRecord(job=JOB))),
    (decode_progress, encode_progress(PROGRESS)),
    (decode_interference, encode_interference(learn())),
)


@st.composite
def spoil(draw: Any, data: bytes) -> bytes:
    """Change one value at any depth of a sound record to anything."""
    whole = json.loads(data)
    place = whole
    while True:
        names = list(place) if isinstance(place, dict) else list(range(len(place)))
        name = draw(st.sampled_from(names))
        inner = place[name]
        if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
            break
        place = inner
    if isinstance(place, dict) and draw(st.booleans()):
        place[draw(st.text(max_size=5))] = place.pop(name)
    else:
        place[name] = draw(VALUES)
    return json.dumps(whole).encode()


class ForeignRecordTest(unittest.TestCase):
    """What isn't as it was written."""

    def test_sound_records(self):
        for decode, data in SOUND:
            with self.subTest(decode=decode.__name__):
                decode(data)
        read = decode_interference(SOUND[2][1])
        self.assertAlmostEqual(
            read.get_weight("a", "f"), learn().get_weight("a", "f"), places=3
        )

    def test_bytes_that_are_none(self):
        for decode, _ in SOUND:
            for data in (b"", b"\xff", b"[]", b"null", NESTED):
                with (
                    self.subTest(decode=decode.__name__, data=data[:9]),
                    self.assertRaises(DecodeError),
                ):
                    decode(data)

    def test_refused_records(self):
        # Each would be taken as far as it goes: an order of steps that never comes
        # true, a count that isn't one, a task that is done under no name.
        job = json.loads(SOUND[0][1])
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
        """Change the first step of a record."""
        job = record["job"]
        steps = [{**job["steps"][0], **fields}, *job["steps"][1:]]
        return {**record, "job": {**job, "steps": steps}}

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.one_of(*(st.tuples(st.just(d), spoil(data)) for d, data in SOUND)))
    @example((decode_progress, b'{"done":{"0.0":[1' + b"0" * 400 + b"]}}"))
    def test_any_record(self, case: Any):
        decode, data = case
        try:
            value = decode(data)
        except DecodeError:
            return
        self.assertIsInstance(value, JobRecord | Progress | Interference)
        if isinstance(value, Interference):
            self.assertGreater(value.get_trough("a"), float("-inf"))
            value.get_optimistic_weight("a", "f")


if __name__ == "__main__":
    unittest.main()
