"""Encoding of groups and places in the store.

Decoding raises `DecodeError` for anything that this version cannot interpret. Callers
must then treat the starts of previous owners as unrecorded, never as absent.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_integer,
    check_object,
    check_string,
    parse_object,
    read_boolean,
    read_integer,
    read_list,
    read_object,
    read_strings,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.takeover.core import Place
from trefoilhook.takeover.groups import Member, WorkerGroups

__all__ = [
    "Head",
    "decode_head",
    "decode_places",
    "encode_head",
    "encode_places",
]

_FORMAT = 1


@attrs.frozen(kw_only=True)
class Head:
    """Groups in force, and what remains of previous epochs.

    Parameters
    ----------
    groups : WorkerGroups
        Groups of the epoch that wrote it.
    inherited : tuple of WorkerGroups
        Groups of previous epochs with the workers that are not accounted for.
    unrecorded_epoch : int or None
        Last epoch that may have started tasks without a record and whose workers are
        not all accounted for.
    elapsed_ms : mapping of int to int
        Time for which previous epochs were known to have ended when this was written,
        in ms. The rest of a wait for their leases is thus handed on to instances that
        have not seen its begin, without a common clock.
    lease_limits : mapping of str to int
        Time after this was written within which all leases on an incarnation expire, in
        ms. The owner that wrote it grants none there until a later head without the
        incarnation is stored.
    """

    groups: WorkerGroups
    inherited: tuple[WorkerGroups, ...] = ()
    unrecorded_epoch: int | None = None
    elapsed_ms: Mapping[int, int] = attrs.Factory(dict)
    lease_limits: Mapping[str, int] = attrs.Factory(dict)


def encode_head(head: Head) -> bytes:
    """Encode the groups of an epoch."""
    value = {
        "format": _FORMAT,
        **_build_groups(head.groups),
        "inherited": [_build_groups(groups) for groups in head.inherited],
        "unrecorded_epoch": head.unrecorded_epoch,
        "elapsed": sorted(head.elapsed_ms.items()),
        "lease_limits": dict(sorted(head.lease_limits.items())),
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_head(data: bytes) -> Head:
    """Decode the groups of an epoch."""
    table = parse_object(data)
    _check_format(table)
    if "unrecorded_epoch" not in table:
        raise DecodeError("unrecorded_epoch: missing")
    unrecorded: int | None = None
    if table["unrecorded_epoch"] is not None:
        unrecorded = read_integer(table, "unrecorded_epoch")
    return Head(
        groups=_read_groups(table),
        inherited=tuple(
            _read_groups(check_object(row, "inherited"))
            for row in read_list(table, "inherited")
        ),
        unrecorded_epoch=unrecorded,
        elapsed_ms=dict(
            _read_pair(row) for row in read_list(table, "elapsed", default=[])
        ),
        lease_limits=_read_lease_limits(table),
    )


def encode_places(places: Iterable[Place], *, epoch: int) -> bytes:
    """Encode the places of one write.

    Parameters
    ----------
    places : iterable of Place
        The places.
    epoch : int
        Epoch of the owner that writes them.
    """
    workers: dict[str, int] = {}
    steps: dict[str, list[list[int]]] = {}
    for place in places:
        number = workers.setdefault(place.worker, len(workers))
        step, _, index = place.task.rpartition(".")
        steps.setdefault(step, []).append([int(index), place.attempt, number])
    value = {
        "format": _FORMAT,
        "epoch": epoch,
        "workers": list(workers),
        "steps": steps,
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_places(data: bytes) -> list[Place]:
    """Decode the places of one write."""
    table = parse_object(data)
    _check_format(table)
    workers = read_strings(table, "workers")
    return [
        _read_place(step, row, workers)
        for step, rows in read_object(table, "steps").items()
        for row in _check_list(rows, "steps")
    ]


def _check_format(table: Mapping[str, Any]) -> None:
    if read_integer(table, "format") != _FORMAT:
        raise DecodeError("format: unknown")


def _check_list(value: Any, name: str) -> list[Any]:
    if not isinstance(value, list):
        raise DecodeError(f"{name}: not a list")
    return value


def _read_lease_limits(table: Mapping[str, Any]) -> dict[str, int]:
    if "lease_limits" not in table:
        return {}
    return {
        name: check_integer(limit_ms, "lease_limits")
        for name, limit_ms in read_object(table, "lease_limits").items()
    }


def _read_pair(row: Any) -> tuple[int, int]:
    values = _check_list(row, "elapsed")
    if len(values) != 2:
        raise DecodeError("elapsed: not two values")
    return check_integer(values[0], "epoch"), check_integer(values[1], "elapsed")


def _read_place(step: str, row: Any, workers: tuple[str, ...]) -> Place:
    values = _check_list(row, "place")
    if len(values) != 3:
        raise DecodeError("place: not three values")
    index, attempt, number = (check_integer(value, "place") for value in values)
    if number >= len(workers):
        raise DecodeError("place: unknown worker")
    return Place(task=f"{step}.{index}", attempt=attempt, worker=workers[number])


def _build_groups(groups: WorkerGroups) -> dict[str, Any]:
    return {
        "epoch": groups.epoch,
        "groups": groups.count,
        "all_placed": groups.has_all_places,
        "workers": [
            [slot, member.name, member.address]
            for slot, member in sorted(groups.members.items())
        ],
    }


def _read_groups(table: Mapping[str, Any]) -> WorkerGroups:
    members: dict[int, Member] = {}
    for row in read_list(table, "workers"):
        values = _check_list(row, "workers")
        if len(values) != 3:
            raise DecodeError("workers: not three values")
        slot = check_integer(values[0], "slot")
        if slot in members:
            raise DecodeError("workers: a slot is used twice")
        members[slot] = Member(
            name=check_string(values[1], "worker", non_empty=True),
            address=check_string(values[2], "address"),
        )
    groups = WorkerGroups(
        epoch=read_integer(table, "epoch"),
        count=read_integer(table, "groups", minimum=1),
        members=members,
        # Earlier builds do not write it.
        has_all_places=read_boolean(table, "all_placed", default=False),
    )
    if len(groups.list_names()) != len(members):
        raise DecodeError("workers: a worker has two slots")
    return groups
