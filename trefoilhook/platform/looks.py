"""What a worker lists, decoded row by row.

One row that can't be read must not lose the worker and all that runs there, which a
whole answer thrown away would do: no look would count, and its leases would lapse. Nor
may such a row pass for one that isn't there, since what a look doesn't list is taken
for over. So each is handed on as an `UnreadRow` with as much of it as can be read, and
the scheduler proves nothing by its absence.
"""

from collections.abc import Mapping
from typing import Any

from trefoilhook.decoding import (
    check_integer,
    check_number,
    check_text,
    parse_table,
    read_list,
    read_number,
)
from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import (
    End,
    EndKind,
    Look,
    Running,
    TaskId,
    UnreadRow,
    parse_task_id,
)

__all__ = ["decode_look"]

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.PEER_ENDED,
    "alone": EndKind.PEERS_MISSING,
}


def _check_row(value: Any, least: int) -> list[Any]:
    """Return a row; further fields, which a newer worker may add, are no fault."""
    if not isinstance(value, list) or len(value) < least:
        raise DecodeError("not a whole row")
    return value


def _check_attempt(task: Any, attempt: Any) -> tuple[TaskId, int]:
    return parse_task_id(check_text(task, "task")), check_integer(attempt, "attempt")


def _measure(row: list[Any], place: int) -> float | None:
    """Return a figure of a running attempt; None if it is none.

    A figure guides choices only: an attempt whose figures can't be read still runs.
    """
    try:
        return check_number(row[place], "figure") if len(row) > place else 0.0
    except DecodeError:
        return None


def _decode_running(value: Any) -> Running:
    row = _check_row(value, 2)
    task, attempt = _check_attempt(row[0], row[1])
    checkpoint = row[2] if len(row) > 2 else ""
    return Running(
        task=task,
        attempt=attempt,
        checkpoint=checkpoint if isinstance(checkpoint, str) else "",
        percent=_measure(row, 3),
        # Tail latency in ms of a task that serves, else thousandths of a core in use.
        load=_measure(row, 4),
    )


def _decode_end(value: Any) -> End:
    row = _check_row(value, 5)
    task, attempt = _check_attempt(row[1], row[2])
    kind = _END_KINDS.get(check_text(row[3], "how"))
    if kind is None:
        raise DecodeError("how: unknown word")
    return End(
        number=check_integer(row[0], "number", least=1),
        task=task,
        attempt=attempt,
        kind=kind,
        checkpoint=check_text(row[4], "saved"),
    )


def _salvage_end(value: Any, reason: str) -> UnreadRow:
    """Read the number and the attempt of an end whose rest can't be read."""
    number = attempt = None
    if isinstance(value, list) and len(value) > 2:
        try:
            number = check_integer(value[0], "number", least=1)
            attempt = _check_attempt(value[1], value[2])
        except DecodeError:
            pass
    return UnreadRow(reason=reason, is_end=True, number=number, attempt=attempt)


def _decode_rows(
    table: Mapping[str, Any],
) -> tuple[list[Running], list[End], list[UnreadRow]]:
    running: list[Running] = []
    ends: list[End] = []
    unread: list[UnreadRow] = []
    for row in read_list(table, "running"):
        try:
            running.append(_decode_running(row))
        except DecodeError as error:
            unread.append(UnreadRow(reason=f"running: {error}", is_end=False))
    for row in read_list(table, "finished"):
        try:
            ends.append(_decode_end(row))
        except DecodeError as error:
            unread.append(_salvage_end(row, f"finished: {error}"))
    return running, ends, unread


def decode_look(data: bytes) -> Look:
    """Decode what a worker lists.

    Raises
    ------
    DecodeError
        If it has no clock or no lists, by which nothing at all can be proved.
    """
    table = parse_table(data)
    running, ends, unread = _decode_rows(table)
    return Look(
        clock_ms=read_number(table, "clock_ms"),
        running=tuple(running),
        ends=tuple(ends),
        unread=tuple(unread),
    )
