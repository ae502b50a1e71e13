"""The columns that placement scores workers by, one row for each worker.

Rows are copies of what the records say, kept so that a decision is a few vector
operations over a bounded sample of rows. No hard limit is decided here alone:
``ShardState.reserve`` checks the records themselves.
"""

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.interference import CLASS_LIMIT

__all__ = ["ROOM_CORES", "ROOM_OPEN", "WorkerTable", "add_row", "drop_row"]

_FIRST_ROWS = 32
_ROOM_WIDTH = 4

ROOM_CORES = 0
"""Column of the rooms that holds cores."""

ROOM_OPEN = 3
"""Column of the rooms that holds 1.0 where new tasks are allowed."""

Floats = npt.NDArray[np.float64]


def _column(width: int | None = None) -> Floats:
    return np.zeros(_FIRST_ROWS if width is None else (_FIRST_ROWS, width))


def _columns() -> Floats:
    return _column(CLASS_LIMIT)


def _room_columns() -> Floats:
    return _column(_ROOM_WIDTH)


@attrs.define(kw_only=True)
class WorkerTable:
    """Columns over the workers of one shard; row ``i`` is worker ``ids[i]``.

    Parameters
    ----------
    ids : list of str
        Workers in the order of the rows.
    room : array, shape (rows, 4)
        Cores, bytes of memory and accelerators that are free and not kept for another
        task, and 1.0 where new tasks are allowed.
    capacity_cores : array
        Cores in all.
    pressure : array, shape (rows, CLASS_LIMIT)
        Share of the cores that each class uses.
    load : array
        Sum of ``pressure`` along the row.
    services : array, shape (rows, CLASS_LIMIT)
        Number of services of each class.
    scale : array, shape (rows, CLASS_LIMIT)
        One over the smallest bearable excess of the services of each class; 0 where
        there are none.
    excess : array, shape (rows, CLASS_LIMIT)
        Predicted part of the bearable excess of the services of each class.
    loaded : array, shape (rows, CLASS_LIMIT)
        What one more unit of load adds to the slowdown of each class.
    service_cores : array
        Cores that services declare.
    residual : array
        Recent measured excess above what the model predicts.
    late : array
        1.0 where a service is past its target.
    accelerated : array
        1.0 where the worker has accelerators.
    """

    ids: list[str] = attrs.field(factory=list)
    room: Floats = attrs.field(factory=_room_columns)
    capacity_cores: Floats = attrs.field(factory=_column)
    pressure: Floats = attrs.field(factory=_columns)
    load: Floats = attrs.field(factory=_column)
    services: Floats = attrs.field(factory=_columns)
    scale: Floats = attrs.field(factory=_columns)
    excess: Floats = attrs.field(factory=_columns)
    loaded: Floats = attrs.field(factory=_columns)
    service_cores: Floats = attrs.field(factory=_column)
    residual: Floats = attrs.field(factory=_column)
    late: Floats = attrs.field(factory=_column)
    accelerated: Floats = attrs.field(factory=_column)


_COLUMNS = tuple(
    field.name for field in attrs.fields(WorkerTable) if field.name != "ids"
)


def add_row(table: WorkerTable, worker_id: str) -> int:
    """Add a row of zeros for a worker and return its index."""
    row = len(table.ids)
    if row == len(table.load):
        for name in _COLUMNS:
            old = getattr(table, name)
            setattr(table, name, np.concatenate([old, np.zeros_like(old)]))
    table.ids.append(worker_id)
    for name in _COLUMNS:
        getattr(table, name)[row] = 0.0
    return row


def drop_row(table: WorkerTable, row: int) -> str | None:
    """Drop a row by moving the last one into its place.

    Returns
    -------
    str, optional
        Worker whose row moved to ``row``.
    """
    last = len(table.ids) - 1
    moved = table.ids.pop()
    if row == last:
        return None
    table.ids[row] = moved
    for name in _COLUMNS:
        column = getattr(table, name)
        column[row] = column[last]
    return moved
