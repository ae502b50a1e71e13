"""Columnar copy of the worker records, used to score workers.

The columns allow a decision to be a few vector operations over a bounded sample of
rows. They are not authoritative for hard limits: ``ShardState.reserve`` checks the
worker records themselves.
"""

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.interference import CLASS_LIMIT

__all__ = ["ROOM_CORES", "ROOM_OPEN", "WorkerTable", "add_row", "remove_row"]

_INITIAL_ROWS = 32
_ROOM_WIDTH = 4

ROOM_CORES = 0
"""Column of ``WorkerTable.room`` with the free cores."""

ROOM_OPEN = 3
"""Column of ``WorkerTable.room`` that is 1.0 where new tasks are accepted."""

Floats = npt.NDArray[np.float64]


def _build_column(width: int | None = None) -> Floats:
    return np.zeros(_INITIAL_ROWS if width is None else (_INITIAL_ROWS, width))


def _build_class_columns() -> Floats:
    return _build_column(CLASS_LIMIT)


def _build_room_columns() -> Floats:
    return _build_column(_ROOM_WIDTH)


@attrs.define(kw_only=True)
class WorkerTable:
    """Columns over the workers of one shard; row ``i`` is worker ``ids[i]``.

    Parameters
    ----------
    ids : list of str
        Worker ids in row order.
    room : array, shape (rows, 4)
        Cores, bytes of memory and accelerators that are free and not earmarked, and
        1.0 where new tasks are accepted.
    capacity_cores : array
        Total cores.
    pressure : array, shape (rows, CLASS_LIMIT)
        Share of the cores used by each class.
    load : array
        Sum of ``pressure`` along the row.
    services : array, shape (rows, CLASS_LIMIT)
        Number of services of each class.
    scale : array, shape (rows, CLASS_LIMIT)
        Reciprocal of the smallest tolerated excess of the services of each class; 0
        where there are none.
    excess : array, shape (rows, CLASS_LIMIT)
        Predicted ratio of excess to tolerated excess of the services of each class.
    loaded : array, shape (rows, CLASS_LIMIT)
        Increase of the slowdown of each class per unit of load.
    service_cores : array
        Cores declared by services.
    residual : array
        Smoothed difference between measured and predicted excess.
    late : array
        1.0 where a service is past its target.
    accelerated : array
        1.0 where the worker has accelerators.
    """

    ids: list[str] = attrs.field(factory=list)
    room: Floats = attrs.field(factory=_build_room_columns)
    capacity_cores: Floats = attrs.field(factory=_build_column)
    pressure: Floats = attrs.field(factory=_build_class_columns)
    load: Floats = attrs.field(factory=_build_column)
    services: Floats = attrs.field(factory=_build_class_columns)
    scale: Floats = attrs.field(factory=_build_class_columns)
    excess: Floats = attrs.field(factory=_build_class_columns)
    loaded: Floats = attrs.field(factory=_build_class_columns)
    service_cores: Floats = attrs.field(factory=_build_column)
    residual: Floats = attrs.field(factory=_build_column)
    late: Floats = attrs.field(factory=_build_column)
    accelerated: Floats = attrs.field(factory=_build_column)


_COLUMNS = tuple(
    field.name for field in attrs.fields(WorkerTable) if field.name != "ids"
)


def add_row(table: WorkerTable, worker_id: str) -> int:
    """Append a row of zeros for a worker and return its index."""
    row = len(table.ids)
    if row == len(table.load):
        for name in _COLUMNS:
            old = getattr(table, name)
            setattr(table, name, np.concatenate([old, np.zeros_like(old)]))
    table.ids.append(worker_id)
    for name in _COLUMNS:
        getattr(table, name)[row] = 0.0
    return row


def remove_row(table: WorkerTable, row: int) -> str | None:
    """Remove a row by moving the last row into its place.

    Returns
    -------
    str, optional
        Worker whose row was moved to ``row``, or None.
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
