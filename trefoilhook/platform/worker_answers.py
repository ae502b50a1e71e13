"""Decodes a worker's answer to a poll, row by row.

An unreadable row must not invalidate the whole answer: no poll would succeed, and the
leases of all tasks on the worker would expire. It must not be skipped either, because
tasks that are not listed count as ended. Each such row is therefore returned as an
`UnreadableRow` with its readable parts, and the scheduler draws no conclusion from what
is not listed.
"""

from collections.abc import Mapping
from typing import Any

from trefoilhook.decoding import (
    check_integer,
    check_number,
    check_string,
    parse_object,
    read_list,
    read_number,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.platform.core import read_birth
from trefoilhook.scheduling import (
    AttemptEnd,
    EndKind,
    PollAnswer,
    Running,
    TaskId,
    UnreadableRow,
    parse_task_id,
)

__all__ = ["decode_poll_answer"]

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.PEER_ENDED,
    "alone": EndKind.PEERS_MISSING,
}


def _check_row(value: Any, min_length: int) -> list[Any]:
    """Check that a row has enough fields; newer workers may add more."""
    if not isinstance(value, list) or len(value) < min_length:
        raise DecodeError("row is incomplete")
    return value


def _check_attempt(task: Any, attempt: Any) -> tuple[TaskId, int]:
    return parse_task_id(check_string(task, "task")), check_integer(attempt, "attempt")


def _decode_figure(value: Any) -> float | None:
    """Return a measurement of a running attempt, or None if it is invalid.

    Measurements only guide placement: an attempt with an invalid one still runs.
    """
    try:
        return check_number(value, "figure")
    except DecodeError:
        return None


def _decode_running(value: Any) -> Running:
    row = _check_row(value, 2)
    length = len(row)
    checkpoint = row[2] if length > 2 else ""
    return Running(
        task=parse_task_id(check_string(row[0], "task")),
        attempt=check_integer(row[1], "attempt"),
        checkpoint=checkpoint if isinstance(checkpoint, str) else "",
        percent=_decode_figure(row[3]) if length > 3 else 0.0,
        # Tail latency of a service task in ms; processor use of other tasks in
        # thousandths of a core.
        load=_decode_figure(row[4]) if length > 4 else 0.0,
    )


def _decode_end(value: Any) -> AttemptEnd:
    row = _check_row(value, 5)
    task, attempt = _check_attempt(row[1], row[2])
    kind = _END_KINDS.get(check_string(row[3], "how"))
    if kind is None:
        raise DecodeError("how: unknown value")
    return AttemptEnd(
        number=check_integer(row[0], "number", minimum=1),
        task=task,
        attempt=attempt,
        kind=kind,
        checkpoint=check_string(row[4], "saved"),
    )


def _decode_partial_end(value: Any, reason: str) -> UnreadableRow:
    """Decode the number and the attempt of an end that is otherwise unreadable."""
    number = attempt = None
    if isinstance(value, list) and len(value) > 2:
        try:
            number = check_integer(value[0], "number", minimum=1)
            attempt = _check_attempt(value[1], value[2])
        except DecodeError:
            pass
    return UnreadableRow(reason=reason, is_end=True, number=number, attempt=attempt)


def _decode_rows(
    table: Mapping[str, Any],
) -> tuple[list[Running], list[AttemptEnd], list[UnreadableRow]]:
    running: list[Running] = []
    ends: list[AttemptEnd] = []
    unreadable: list[UnreadableRow] = []
    for row in read_list(table, "running"):
        try:
            running.append(_decode_running(row))
        except DecodeError as error:
            unreadable.append(UnreadableRow(reason=f"running: {error}", is_end=False))
    for row in read_list(table, "finished"):
        try:
            ends.append(_decode_end(row))
        except DecodeError as error:
            unreadable.append(_decode_partial_end(row, f"finished: {error}"))
    return running, ends, unreadable


def decode_poll_answer(data: bytes) -> PollAnswer:
    """Decode a worker's answer to a poll.

    Raises
    ------
    DecodeError
        If the clock or a list is missing, or the start time of the process is
        unreadable, so that the answer proves nothing.
    """
    table = parse_object(data)
    running, ends, unreadable = _decode_rows(table)
    return PollAnswer(
        clock_ms=read_number(table, "clock_ms"),
        born_ms=read_birth(table),
        running=tuple(running),
        ends=tuple(ends),
        unreadable=tuple(unreadable),
    )
