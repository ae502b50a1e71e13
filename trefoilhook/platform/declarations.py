"""What clients, operators and workers declare on the platform, decoded once."""

import json
from collections.abc import Mapping
from typing import Any

from trefoilhook.exceptions import RequestError
from trefoilhook.platform.core import parse_address
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
    "CONFIGURATION_PREFIX",
    "WORKER_PREFIX",
    "decode_configuration",
    "decode_job",
    "decode_worker_report",
]

CONFIGURATION_PREFIX = "op/config"
CONFIGURATION_KEY = "op/config"
WORKER_PREFIX = "servers/"

_MAX_TASKS = 100_000
"""Most tasks of one step, far over the largest seen; bounds one client's memory."""


def _decode_demand(table: Mapping[str, Any]) -> Demand:
    return Demand(
        cpu=int(table.get("cpu", 0)),
        memory_mb=int(table.get("mem_mb", 0)),
        gpus=int(table.get("gpu", 0)),
    )


def _decode_step(table: Mapping[str, Any], number: int) -> Step:
    after = tuple(int(earlier) for earlier in table.get("after") or ())
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError("a step can only come after earlier ones")
    count = int(table["count"])
    if not 0 < count <= _MAX_TASKS:
        raise ValueError("the number of tasks is out of range")
    return Step(
        count=count,
        demand=_decode_demand(table),
        estimate_ms=float(table.get("estimate_ms", 0)),
        after=after,
        checkpointing=bool(table.get("checkpointing")),
        gang=bool(table.get("gang")),
        same_rack=bool(table.get("rack_local")),
        required_label=table.get("requirements") or "",
        data_rack=table.get("affinity") or "",
        max_per_worker=int(table.get("anti_affinity") or 0),
        speculative=bool(table.get("speculative")),
        long_running=bool(table.get("long_running")),
        image=table.get("image") or "",
        # The wire's target is the limit on a service task's tail latency.
        latency_limit_ms=float(table.get("target_ms") or 0),
        # The name promises a number, but it only says that the processor share of
        # the step is not counted against a worker's capacity.
        filler=bool(table.get("fill_count")),
        max_absent=table.get("miss_allowed"),
    )


def decode_job(body: bytes, *, job_id: str, queue: str, accepted_ms: float) -> Job:
    """Decode a submission.

    Raises
    ------
    RequestError
        If it is not a job.
    """
    try:
        table = json.loads(body)
        return Job(
            job_id=job_id,
            queue=queue,
            accepted_ms=accepted_ms,
            spec=table.get("spec", ""),
            steps=tuple(
                _decode_step(step, number) for number, step in enumerate(table["steps"])
            ),
            repeats=int(table.get("repeat_count") or 0),
            first_due_ms=float(table.get("start_at_ms") or 0),
            interval_ms=float(table.get("interval_ms") or 0),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RequestError(f"not a job: {error!r}") from error


def _decode_queue(table: Mapping[str, Any]) -> Queue:
    advice = table.get("advice")
    return Queue(
        name=table["name"],
        host=table["host"],
        prefix=table["prefix"],
        service=table["service"],
        priority=table.get("priority", 0),
        max_attempts=table.get("max_attempts", 1),
        stretch=table.get("stretch", 1.0),
        objective_ms=table.get("target_latency_ms", 0),
        advice=Advice(
            decision_ms=advice["decision_ms"],
            per_worker_ms=advice["period_ms"],
            valid_ms=advice["valid_ms"],
        )
        if advice
        else None,
    )


def decode_configuration(data: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises
    ------
    ValueError, KeyError
        If it is none.
    """
    table = json.loads(data)
    return Configuration(
        version=table["version"],
        queues=tuple(_decode_queue(row) for row in table["routes"]),
    )


def decode_worker_report(key: str, data: bytes) -> WorkerReport:
    """Decode the entry that a worker keeps in the store.

    Raises
    ------
    ValueError, KeyError
        If it is none.
    """
    table = json.loads(data)
    host, port = parse_address(table["address"])
    return WorkerReport(
        worker_id=key.removeprefix(WORKER_PREFIX),
        service=table["service"],
        host=host,
        port=port,
        failure_domain=table.get("zone", ""),
        capacity=_decode_demand(table.get("capacity") or {}),
        labels=tuple(table.get("labels") or ()),
        draining=table.get("state") == "draining",
        remaining_ms=table.get("remaining_ms") or 0.0,
    )
