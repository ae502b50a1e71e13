"""Jobs and their progress as bytes, for the store."""

import enum
import json
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.scheduling.models import Demand, Job, Step

__all__ = [
    "JobPhase",
    "JobRecord",
    "Progress",
    "decode_job_record",
    "decode_progress",
    "encode_job_record",
    "encode_progress",
]


class JobPhase(enum.Enum):
    """How far a job is, as far as its record tells."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class JobRecord:
    """A job and its phase; once it isn't open any more it never changes again."""

    job: Job
    phase: JobPhase = JobPhase.OPEN


@attrs.define(kw_only=True)
class Progress:
    """What of a job's progress outlives the instance that made it.

    Parameters
    ----------
    done : dict of (int, int) to set of int
        Indices of the tasks that are done, by occurrence and step.
    failed : dict of (int, int, int) to set of int
        Numbers of the attempts that failed, by occurrence, step and index. Numbers and
        not a count: an end that is reported twice counts once.
    checkpoints : dict of (int, int, int) to str
        Where a stopped task goes on, by occurrence, step and index.
    """

    done: dict[tuple[int, int], set[int]] = attrs.Factory(dict)
    failed: dict[tuple[int, int, int], set[int]] = attrs.Factory(dict)
    checkpoints: dict[tuple[int, int, int], str] = attrs.Factory(dict)


def _omit_defaults(value: Any) -> dict[str, Any]:
    return {
        field.name: getattr(value, field.name)
        for field in attrs.fields(type(value))
        if field.init and getattr(value, field.name) != field.default
    }


def encode_job_record(record: JobRecord) -> bytes:
    """Encode a record; a job that has ended is kept without its spec."""
    table = _omit_defaults(record.job)
    if record.phase is not JobPhase.OPEN:
        table["spec"] = ""
    table["steps"] = [
        {**_omit_defaults(step), "demand": attrs.astuple(step.demand)}
        for step in record.job.steps
    ]
    return json.dumps(
        {"phase": record.phase.value, "job": table}, separators=(",", ":")
    ).encode()


def _decode_step(table: Mapping[str, Any]) -> Step:
    cpu, memory_mb, gpus = table["demand"]
    demand = Demand(cpu=cpu, memory_mb=memory_mb, gpus=gpus)
    after = tuple(table.get("after", ()))
    return Step(**{**table, "demand": demand, "after": after})


def decode_job_record(data: bytes) -> JobRecord:
    """Decode what ``encode_job_record`` made."""
    value = json.loads(data)
    table = value["job"]
    steps = tuple(_decode_step(step) for step in table["steps"])
    return JobRecord(
        job=Job(**{**table, "steps": steps}), phase=JobPhase(value["phase"])
    )


def _join(numbers: tuple[int, ...]) -> str:
    return ".".join(str(number) for number in numbers)


def _split(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split("."))


def encode_progress(progress: Progress) -> bytes:
    """Encode a job's progress."""
    value = {
        "done": {_join(key): sorted(row) for key, row in progress.done.items()},
        "failed": {_join(key): sorted(row) for key, row in progress.failed.items()},
        "checkpoints": {_join(key): v for key, v in progress.checkpoints.items()},
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_progress(data: bytes) -> Progress:
    """Decode what ``encode_progress`` made."""
    value = json.loads(data)
    progress = Progress()
    for key, row in value["done"].items():
        occurrence, step = _split(key)
        progress.done[occurrence, step] = set(row)
    for key, row in value["failed"].items():
        occurrence, step, index = _split(key)
        progress.failed[occurrence, step, index] = set(row)
    for key, checkpoint in value["checkpoints"].items():
        occurrence, step, index = _split(key)
        progress.checkpoints[occurrence, step, index] = checkpoint
    return progress
