"""Decodes jobs, configurations, evacuations and worker entries."""

import re
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_integer,
    check_object,
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
from trefoilhook.exceptions import DecodeError, RequestError
from trefoilhook.platform.core import parse_address, read_birth
from trefoilhook.scheduling import (
    Advice,
    Configuration,
    Demand,
    Job,
    Queue,
    Step,
    WorkerReport,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "WORKER_PREFIX",
    "ConfigurationDocument",
    "EvacuationEntry",
    "decode_configuration",
    "decode_evacuation",
    "decode_job",
    "decode_worker_report",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WORKER_PREFIX = "servers/"

_MAX_TASKS = 100_000
"""Maximum number of tasks of a step. It bounds the memory that one client can use, and
is far above the largest steps of users."""


_MAX_REPEATS = 100_000
"""Maximum number of repeats of a job, all of which are counted when the job is
added."""

_WORKER_ID = re.compile(r"[A-Za-z0-9._:-]{1,190}")
"""Valid worker ids. An id is sent in a header and is part of keys of up to 200
bytes."""

_IS_DRAINING = {"ready": False, "draining": True}
"""Whether a worker is draining, by its state on the platform."""


def _decode_demand(table: Mapping[str, Any]) -> Demand:
    return Demand(
        cpu=read_integer(table, "cpu", default=0),
        memory_mb=read_integer(table, "mem_mb", default=0),
        gpus=read_integer(table, "gpu", default=0),
    )


# Jobs.


def _drop_nulls(table: dict[str, Any]) -> dict[str, Any]:
    """Remove fields with a null value, which some clients send for unused fields.

    Applied to submissions only, where clients get an error for other invalid values. In
    an entry of the store, null indicates a foreign writer.
    """
    return {name: value for name, value in table.items() if value is not None}


def _decode_after(table: Mapping[str, Any], number: int) -> tuple[int, ...]:
    return tuple(
        check_integer(earlier, "after", maximum=number - 1)
        for earlier in read_list(table, "after", default=[])
    )


def _decode_step(value: Any, number: int) -> Step:
    table = _drop_nulls(check_object(value, "step"))
    max_absent = None
    if "miss_allowed" in table:
        max_absent = read_integer(table, "miss_allowed")
    return Step(
        count=read_integer(table, "count", minimum=1, maximum=_MAX_TASKS),
        demand=_decode_demand(table),
        estimate_ms=read_number(table, "estimate_ms", default=0.0),
        after=_decode_after(table, number),
        checkpointing=read_boolean(table, "checkpointing", default=False),
        gang=read_boolean(table, "gang", default=False),
        same_rack=read_boolean(table, "rack_local", default=False),
        required_label=read_string(table, "requirements", default=""),
        data_rack=read_string(table, "affinity", default=""),
        max_per_worker=read_integer(table, "anti_affinity", default=0),
        speculative=read_boolean(table, "speculative", default=False),
        long_running=read_boolean(table, "long_running", default=False),
        image=read_string(table, "image", default=""),
        # "target_ms" is the limit on a service task's tail latency.
        latency_limit_ms=read_number(table, "target_ms", default=0.0),
        # Despite its name, "fill_count" is a flag: the processor use of the step does
        # not count against a worker's capacity.
        filler=bool(table.get("fill_count")),
        max_absent=max_absent,
    )


def _decode_steps(table: Mapping[str, Any]) -> tuple[Step, ...]:
    rows = read_list(table, "steps")
    return tuple(_decode_step(row, number) for number, row in enumerate(rows))


def decode_job(body: bytes, *, job_id: str, queue: str, accepted_ms: float) -> Job:
    """Decode a submission.

    Raises
    ------
    RequestError
        If the submission is not a valid job.
    """
    try:
        table = _drop_nulls(parse_object(body))
        job = Job(
            job_id=job_id,
            queue=queue,
            accepted_ms=accepted_ms,
            spec=read_string(table, "spec", default=""),
            steps=_decode_steps(table),
            repeats=read_integer(
                table, "repeat_count", maximum=_MAX_REPEATS, default=0
            ),
            first_due_ms=read_number(table, "start_at_ms", default=0.0),
            interval_ms=read_number(table, "interval_ms", default=0.0),
        )
    except DecodeError as error:
        raise RequestError(f"not a job: {error}") from error
    if job.is_too_large:
        raise RequestError("not a job: steps: too many tasks")
    return job


# The configuration.


@attrs.frozen(kw_only=True)
class ConfigurationDocument:
    """A configuration with the problems found in it.

    Parameters
    ----------
    configuration : Configuration
        Valid part of the configuration.
    problems : tuple of str
        Errors of the routes and services that were left out.
    """

    configuration: Configuration
    problems: tuple[str, ...] = ()


def _decode_advice(table: Mapping[str, Any]) -> Advice:
    return Advice(
        decision_ms=read_number(table, "decision_ms"),
        per_worker_ms=read_number(table, "period_ms"),
        valid_ms=read_number(table, "valid_ms"),
    )


def _decode_queue(value: Any) -> Queue:
    table = check_object(value, "route")
    prefix = read_string(table, "prefix")
    if not prefix.startswith("/"):
        raise DecodeError("prefix: not a path")
    advice = table.get("advice")
    return Queue(
        name=read_string(table, "name", non_empty=True),
        host=read_string(table, "host", non_empty=True),
        prefix=prefix,
        service=read_string(table, "service", non_empty=True),
        priority=read_integer(table, "priority", default=0),
        max_attempts=read_integer(table, "max_attempts", minimum=1, default=1),
        stretch=read_number(table, "stretch", default=1.0),
        objective_ms=read_number(table, "target_latency_ms", default=0.0),
        advice=None if advice is None else _decode_advice(read_object(table, "advice")),
    )


def _decode_queues(rows: list[Any], problems: list[str]) -> tuple[Queue, ...]:
    queues: list[Queue] = []
    for number, row in enumerate(rows):
        try:
            queues.append(_decode_queue(row))
        except DecodeError as error:
            problems.append(f"routes[{number}]: {error}")
    return tuple(queues)


def _decode_services(table: Mapping[str, Any], problems: list[str]) -> set[str]:
    services: set[str] = set()
    try:
        for row in read_list(table, "services"):
            services.add(
                read_string(check_object(row, "service"), "name", non_empty=True)
            )
    except DecodeError as error:
        problems.append(f"services: {error}")
    return services


def decode_configuration(data: bytes) -> ConfigurationDocument:
    """Decode the operator's configuration, route by route.

    An invalid route is left out, so that it doesn't prevent changes of the other routes
    from being applied.

    Raises
    ------
    DecodeError
        If the configuration is invalid, or has no version by which to detect an
        outdated one.
    """
    table = parse_object(data)
    problems: list[str] = []
    version = read_integer(table, "version")
    queues = _decode_queues(read_list(table, "routes"), problems)
    services = _decode_services(table, problems)
    return ConfigurationDocument(
        configuration=Configuration(
            version=version,
            queues=queues,
            services=frozenset(services | {queue.service for queue in queues}),
        ),
        problems=tuple(problems),
    )


# Evacuations.


@attrs.frozen(kw_only=True)
class EvacuationEntry:
    """An operator's request to start no more tasks in a failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain, as spelled in the key.
    problem : str
        Why the value is invalid; empty if it is valid. The evacuation takes effect in
        either case.
    """

    failure_domain: str
    problem: str = ""


def decode_evacuation(key: str, data: bytes) -> EvacuationEntry:
    """Decode an entry under ``EVACUATION_PREFIX``.

    Raises
    ------
    DecodeError
        If the key contains no failure domain name.
    """
    failure_domain = key.removeprefix(EVACUATION_PREFIX)
    if failure_domain == key or not failure_domain.strip():
        raise DecodeError("key: no failure domain name")
    problem = ""
    try:
        unknown = sorted(parse_object(data))
        if unknown:
            problem = f"unknown fields: {', '.join(unknown)}"
    except DecodeError as error:
        problem = str(error)
    return EvacuationEntry(failure_domain=failure_domain, problem=problem)


# Workers.


def _check_unused_fields(table: Mapping[str, Any]) -> None:
    """Check the fields that every worker writes but that are not used here.

    An entry without them was written by a foreign writer, even if the rest is valid.
    """
    read_string(table, "version")
    read_integer(table, "slots")
    read_number(table, "cold_left_ms")
    read_integer(table, "sequence")


def _decode_capacity(table: Mapping[str, Any]) -> Demand:
    return Demand(
        cpu=read_integer(table, "cpu"),
        memory_mb=read_integer(table, "mem_mb"),
        gpus=read_integer(table, "gpu", default=0),
    )


def decode_worker_report(key: str, data: bytes) -> WorkerReport:
    """Decode a worker's entry in the store.

    Raises
    ------
    DecodeError
        If the entry was not written by a worker; it must not be used.
    """
    worker_id = key.removeprefix(WORKER_PREFIX)
    if worker_id == key or not _WORKER_ID.fullmatch(worker_id):
        raise DecodeError("key: not a worker's")
    table = parse_object(data)
    _check_unused_fields(table)
    host, port = parse_address(read_string(table, "address"))
    return WorkerReport(
        worker_id=worker_id,
        service=read_string(table, "service", non_empty=True),
        host=host,
        port=port,
        failure_domain=read_string(table, "zone"),
        capacity=_decode_capacity(read_object(table, "capacity")),
        labels=read_strings(table, "labels"),
        draining=read_choice(table, "state", _IS_DRAINING),
        remaining_ms=read_number(table, "remaining_ms", default=0.0),
        born_ms=read_birth(table),
    )
