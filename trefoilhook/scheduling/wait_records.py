"""Persistence of waiting times across planned changes of the owner.

Service steps with ample capacity and starved jobs are started once they have waited for
a given time. Without a record, frequent changes of the owner would reset this time and
the tasks might never start.

Only the owner whose epoch directly follows that of the record restores it, as the
capacity may have been used under an owner that wrote no record.
"""

import json
import math

import attrs

from trefoilhook.decoding import (
    check_object,
    parse_object,
    read_integer,
    read_list,
    read_number,
    read_string,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.service_holds import StepWait
from trefoilhook.scheduling.tickets import StepName

__all__ = ["decode_waits", "encode_waits", "restore_waits"]

_MAX_ROWS = 1000
"""Maximum number of steps, and of jobs, in a record; the longest waits are kept."""


@attrs.frozen(kw_only=True)
class _WaitRecord:
    """Waiting times at the end of an ownership.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership.
    services : dict of StepName to StepWait
        Waits of service steps with ample capacity.
    idle_ms : dict of str to float
        Time for which nothing of batch jobs has run, in ms.
    """

    epoch: int
    services: dict[StepName, StepWait]
    idle_ms: dict[str, float]


def encode_waits(scheduler: Scheduler, now_ms: float) -> bytes:
    """Encode the waiting times of a shard for the next owner."""
    services = sorted(
        scheduler.overdue.list_waits(now_ms).items(),
        key=lambda row: row[1].waited_ms,
        reverse=True,
    )
    idle = sorted(scheduler.idle_times.list_since().items(), key=lambda row: row[1])
    table = {
        "epoch": scheduler.epoch,
        "services": [
            {
                "job": step[0],
                "occurrence": step[1],
                "step": step[2],
                "waited_ms": round(wait.waited_ms),
                "interrupted_ms": round(wait.interrupted_ms),
            }
            for step, wait in services[:_MAX_ROWS]
        ],
        "idle": [
            {"job": job_id, "waited_ms": round(max(0.0, now_ms - since_ms))}
            for job_id, since_ms in idle[:_MAX_ROWS]
        ],
    }
    return json.dumps(table, separators=(",", ":")).encode()


def restore_waits(scheduler: Scheduler, data: bytes, now_ms: float) -> None:
    """Restore the waiting times recorded by the previous owner.

    Records of earlier owners are ignored.

    Raises
    ------
    DecodeError
        If the data is invalid.
    """
    record = decode_waits(data)
    if record.epoch != scheduler.epoch - 1:
        return
    scheduler.idle_times.assume_unowned(math.inf)
    for step, wait in record.services.items():
        scheduler.overdue.restore(step, wait, now_ms)
    for job_id, idle_ms in record.idle_ms.items():
        scheduler.idle_times.restore(job_id, now_ms - idle_ms)


def decode_waits(data: bytes) -> _WaitRecord:
    """Decode the output of `encode_waits`.

    Raises
    ------
    DecodeError
        If the data is invalid.
    """
    table = parse_object(data)
    services: dict[StepName, StepWait] = {}
    for row in _read_rows(table, "services"):
        step = (
            read_string(row, "job", non_empty=True),
            read_integer(row, "occurrence"),
            read_integer(row, "step"),
        )
        services[step] = StepWait(
            waited_ms=read_number(row, "waited_ms"),
            interrupted_ms=read_number(row, "interrupted_ms"),
        )
    return _WaitRecord(
        epoch=read_integer(table, "epoch", minimum=1),
        services=services,
        idle_ms={
            read_string(row, "job", non_empty=True): read_number(row, "waited_ms")
            for row in _read_rows(table, "idle")
        },
    )


def _read_rows(table: dict[str, object], name: str) -> list[dict[str, object]]:
    rows = read_list(table, name)
    if len(rows) > _MAX_ROWS:
        raise DecodeError(f"{name}: too many rows")
    return [check_object(row, name) for row in rows]
