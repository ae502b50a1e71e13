"""Encoding of jobs and their progress for the store."""

import enum
import json
import re
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_integer,
    check_number,
    check_object,
    check_string,
    parse_object,
    read_boolean,
    read_choice,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_string,
    read_strings,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling.models import Demand, Job, Queue, Step
from trefoilhook.scheduling.queues import build_queue_table, read_queue
from trefoilhook.scheduling.suspicion import CrashNote, Suspicion, Unit

__all__ = [
    "JobPhase",
    "JobRecord",
    "Progress",
    "decode_job_record",
    "decode_progress",
    "encode_job_record",
    "encode_progress",
]


_MAX_TASKS = _MAX_REPEATS = 100_000
"""Maximum number of tasks per step and of occurrences per job that a client may
submit."""

_MAX_SUSPICIONS = 64
"""Maximum number of saved suspicions per job, less than 10 KB in total. A worker holds
fewer tasks."""

_NUMBER = re.compile(r"[0-9]{1,15}")


class JobPhase(enum.Enum):
    """Phase of a job in its record."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


_PHASES = {phase.value: phase for phase in JobPhase}


@attrs.frozen(kw_only=True)
class JobRecord:
    """A job and its phase; a record that is not open never changes again.

    Parameters
    ----------
    job : Job
        The job.
    phase : JobPhase
        Its phase.
    queue : Queue or None
        Its queue at the time of acceptance. None if the job has ended, or if an earlier
        build stored the record.
    location : str, optional
        Host and path prefix of the requests for the job, those of the queue by default.
        Empty if not known.
    """

    job: Job
    phase: JobPhase = JobPhase.OPEN
    queue: Queue | None = None
    location: str = attrs.field()

    @location.default
    def _read_location(self) -> str:
        return self.queue.host + self.queue.prefix if self.queue is not None else ""


@attrs.define(kw_only=True)
class Progress:
    """Persistent part of a job's progress.

    Parameters
    ----------
    done : dict of (int, int) to set of int
        Indices of completed tasks, by occurrence and step.
    failed : dict of (int, int, int) to set of int
        Numbers of failed attempts, by occurrence, step and index. Numbers instead of a
        count, so that an end that is reported twice counts once.
    checkpoints : dict of (int, int, int) to str
        Checkpoints from which stopped tasks resume, by occurrence, step and index.
    suspicions : dict of Unit to Suspicion
        Evidence that tasks crash the workers that start them.
    placed : dict of (int, int) to set of int
        Indices of the service tasks that were ever placed, by occurrence and step. Only
        their rank depends on it. Builds that do not record it write none.
    """

    done: dict[tuple[int, int], set[int]] = attrs.Factory(dict)
    failed: dict[tuple[int, int, int], set[int]] = attrs.Factory(dict)
    checkpoints: dict[tuple[int, int, int], str] = attrs.Factory(dict)
    suspicions: dict[Unit, Suspicion] = attrs.Factory(dict)
    placed: dict[tuple[int, int], set[int]] = attrs.Factory(dict)


def _omit_defaults(value: Any) -> dict[str, Any]:
    return {
        field.name: getattr(value, field.name)
        for field in attrs.fields(type(value))
        if field.init and getattr(value, field.name) != field.default
    }


def encode_job_record(record: JobRecord) -> bytes:
    """Encode a record; of an ended job, the spec and the queue are omitted."""
    table = _omit_defaults(record.job)
    fields: dict[str, Any] = {"phase": record.phase.value, "job": table}
    if record.phase is not JobPhase.OPEN:
        table["spec"] = ""
        if record.location:
            fields["location"] = record.location
    elif record.queue is not None:
        fields["queue"] = build_queue_table(record.queue)
    table["steps"] = [
        {**_omit_defaults(step), "demand": attrs.astuple(step.demand)}
        for step in record.job.steps
    ]
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode_step(value: Any, number: int) -> Step:
    table = check_object(value, "step")
    demand = read_list(table, "demand")
    if len(demand) != 3:
        raise DecodeError("demand: expected three integers")
    cpu, memory_mb, gpus = (check_integer(amount, "demand") for amount in demand)
    max_absent = None
    if "max_absent" in table:
        max_absent = read_integer(table, "max_absent")
    return Step(
        count=read_integer(table, "count", minimum=1, maximum=_MAX_TASKS),
        demand=Demand(cpu=cpu, memory_mb=memory_mb, gpus=gpus),
        estimate_ms=read_number(table, "estimate_ms", default=0.0),
        after=tuple(
            check_integer(earlier, "after", maximum=number - 1)
            for earlier in read_list(table, "after", default=[])
        ),
        checkpointing=read_boolean(table, "checkpointing", default=False),
        gang=read_boolean(table, "gang", default=False),
        same_rack=read_boolean(table, "same_rack", default=False),
        required_label=read_string(table, "required_label", default=""),
        data_rack=read_string(table, "data_rack", default=""),
        max_per_worker=read_integer(table, "max_per_worker", default=0),
        speculative=read_boolean(table, "speculative", default=False),
        long_running=read_boolean(table, "long_running", default=False),
        image=read_string(table, "image", default=""),
        latency_limit_ms=read_number(table, "latency_limit_ms", default=0.0),
        filler=read_boolean(table, "filler", default=False),
        max_absent=max_absent,
    )


def _decode_job(table: Mapping[str, Any]) -> Job:
    rows = read_list(table, "steps")
    return Job(
        job_id=read_string(table, "job_id", non_empty=True),
        queue=read_string(table, "queue"),
        accepted_ms=read_number(table, "accepted_ms"),
        spec=read_string(table, "spec"),
        steps=tuple(_decode_step(row, number) for number, row in enumerate(rows)),
        repeats=read_integer(table, "repeats", maximum=_MAX_REPEATS, default=0),
        first_due_ms=read_number(table, "first_due_ms", default=0.0),
        interval_ms=read_number(table, "interval_ms", default=0.0),
    )


def decode_job_record(data: bytes) -> JobRecord:
    """Decode the output of ``encode_job_record``.

    Raises
    ------
    DecodeError
        If the data is not a valid record.
    """
    table = parse_object(data)
    record = JobRecord(
        job=_decode_job(read_object(table, "job")),
        phase=read_choice(table, "phase", _PHASES),
        queue=read_queue(table["queue"]) if "queue" in table else None,
    )
    if record.job.exceeds_memory:
        raise DecodeError("steps: too many tasks")
    if "location" in table:
        record = attrs.evolve(record, location=read_string(table, "location"))
    return record


def _join(numbers: tuple[int, ...]) -> str:
    return ".".join(str(number) for number in numbers)


def _split(text: str, count: int) -> tuple[int, ...]:
    parts = text.split(".")
    # Digits only: int() would also accept signs, spaces and other scripts.
    if len(parts) != count or not all(_NUMBER.fullmatch(part) for part in parts):
        raise DecodeError("progress: invalid task or step key")
    return tuple(int(part) for part in parts)


def _select_suspicions(suspicions: Mapping[Unit, Suspicion]) -> dict[str, Any]:
    """Return the suspicions to save, the strongest ones if there are too many."""
    ranked = sorted(suspicions.items(), key=lambda pair: -pair[1].odds)
    return {
        _join(unit): _encode_suspicion(suspicion)
        for unit, suspicion in ranked[:_MAX_SUSPICIONS]
    }


def _encode_suspicion(suspicion: Suspicion) -> dict[str, Any]:
    table: dict[str, Any] = {
        "notes": {
            str(attempt): [note.worker_id, note.ratio, note.proved]
            for attempt, note in suspicion.notes.items()
        },
        "survived": suspicion.survived,
    }
    if suspicion.excused:
        table["excused"] = sorted(suspicion.excused)
    if suspicion.attempt:
        table["attempt"] = suspicion.attempt
        table["workers"] = suspicion.workers
    if suspicion.ran_ms is not None:
        table["ran_ms"] = suspicion.ran_ms
    return table


def encode_progress(progress: Progress) -> bytes:
    """Encode a job's progress."""
    value = {
        "done": {_join(key): sorted(row) for key, row in progress.done.items()},
        "failed": {_join(key): sorted(row) for key, row in progress.failed.items()},
        "checkpoints": {_join(key): v for key, v in progress.checkpoints.items()},
    }
    suspicions = _select_suspicions(progress.suspicions)
    if suspicions:
        value["suspicions"] = suspicions
    if progress.placed:
        value["placed"] = {_join(k): sorted(row) for k, row in progress.placed.items()}
    return json.dumps(value, separators=(",", ":")).encode()


def _decode_numbers(value: Any) -> set[int]:
    if not isinstance(value, list):
        raise DecodeError("progress: expected a list")
    return {check_integer(number, "progress") for number in value}


def _decode_suspicion(value: Any) -> Suspicion:
    table = check_object(value, "suspicion")
    notes = {
        _split(attempt, 1)[0]: _decode_note(row)
        for attempt, row in read_object(table, "notes").items()
    }
    return Suspicion(
        notes=notes,
        excused=_decode_numbers(table.get("excused", [])),
        survived=read_number(table, "survived", maximum=1.0),
        attempt=read_integer(table, "attempt", default=0),
        workers=list(read_strings(table, "workers")) if "workers" in table else [],
        ran_ms=read_number(table, "ran_ms") if "ran_ms" in table else None,
    )


def _decode_note(value: Any) -> CrashNote:
    if not isinstance(value, list) or len(value) != 3:
        raise DecodeError("note: expected three fields")
    if not isinstance(value[2], bool):
        raise DecodeError("note: expected a boolean in the third field")
    return CrashNote(
        worker_id=check_string(value[0], "worker"),
        ratio=check_number(value[1], "ratio"),
        proved=value[2],
    )


def decode_progress(data: bytes) -> Progress:
    """Decode the output of ``encode_progress``.

    Raises
    ------
    DecodeError
        If the data is not valid progress.
    """
    table = parse_object(data)
    progress = Progress()
    for key, row in read_object(table, "done").items():
        occurrence, step = _split(key, 2)
        progress.done[occurrence, step] = _decode_numbers(row)
    for key, row in read_object(table, "failed").items():
        occurrence, step, index = _split(key, 3)
        progress.failed[occurrence, step, index] = _decode_numbers(row)
    for key, text in read_object(table, "checkpoints").items():
        occurrence, step, index = _split(key, 3)
        progress.checkpoints[occurrence, step, index] = check_string(text, "checkpoint")
    if "suspicions" in table:
        for key, value in read_object(table, "suspicions").items():
            occurrence, step, index = _split(key, 3)
            progress.suspicions[occurrence, step, index] = _decode_suspicion(value)
    if "placed" in table:
        for key, row in read_object(table, "placed").items():
            occurrence, step = _split(key, 2)
            progress.placed[occurrence, step] = _decode_numbers(row)
    return progress
