"""Updates of a worker's table row from its record."""

import numpy as np

from trefoilhook.placement.interference import CLASS_LIMIT
from trefoilhook.placement.records import PressureSnapshot, WorkerState
from trefoilhook.placement.resources import sum_resources
from trefoilhook.placement.shapes import (
    TaskKind,
    tolerated_excess,
)
from trefoilhook.placement.shard import ShardRecords

__all__ = ["index_class", "refresh_worker"]


def index_class(state: ShardRecords, task_class: str) -> int:
    """Return the model's index of a task class, assigning one to a new class."""
    index = state.class_indexes.get(task_class)
    if index is None:
        index = min(len(state.class_indexes), CLASS_LIMIT - 1)
        state.class_indexes[task_class] = index
    return index


def refresh_worker(
    state: ShardRecords, worker: WorkerState, now_ms: float | None = None
) -> None:
    """Update a worker's row from its record; snapshot its pressure if a time is given.

    Parameters
    ----------
    state : ShardRecords
        State that holds the worker.
    worker : WorkerState
        Worker whose record changed.
    now_ms : float, optional
        Time from which the new pressure applies, in ms.
    """
    residents = worker.residents.values()
    worker.reserved = sum_resources(task.shape.resources for task in residents)
    _write_free_resources(state, worker)
    _write_pressure(state, worker)
    if now_ms is not None:
        _append_snapshot(state, worker, now_ms)


def _write_free_resources(state: ShardRecords, worker: WorkerState) -> None:
    table, row = state.table, worker.slot
    earmarked = sum_resources(earmark.resources for earmark in worker.earmarks.values())
    free = worker.shape.capacity.minus(worker.reserved).minus(earmarked)
    is_open = float(_is_open(worker))
    table.room[row] = (free.cores, free.memory_bytes, free.accelerators, is_open)
    table.capacity_cores[row] = worker.shape.capacity.cores
    table.accelerated[row] = float(worker.shape.capacity.accelerators > 0)


def _is_open(worker: WorkerState) -> bool:
    health = worker.health
    if worker.is_removed or health.quarantined_until_ms is not None:
        return False
    return not (health.on_probation and worker.residents)


def _write_pressure(state: ShardRecords, worker: WorkerState) -> None:
    table, row = state.table, worker.slot
    shares = [0.0] * CLASS_LIMIT
    services = [0.0] * CLASS_LIMIT
    scale = [0.0] * CLASS_LIMIT
    service_cores = 0.0
    for task in worker.residents.values():
        index = task.class_index
        shares[index] += task.expected_cores * task.speed
        if task.shape.kind is TaskKind.SERVICE:
            services[index] += 1.0
            scale[index] = max(scale[index], 1.0 / tolerated_excess(task.shape))
            service_cores += task.shape.resources.cores
    table.pressure[row] = shares
    table.pressure[row] /= worker.shape.capacity.cores
    table.load[row] = sum(shares) / worker.shape.capacity.cores
    table.services[row] = services
    table.service_cores[row] = service_cores
    table.scale[row] = scale
    _write_excess(state, row)


def _write_excess(state: ShardRecords, row: int) -> None:
    table, model = state.table, state.model
    pressure = table.pressure[row]
    loaded = model.load_slope @ pressure
    excess = model.base_slope @ pressure + table.load[row] * loaded
    excess += max(table.residual[row], 0.0)
    table.loaded[row] = loaded
    table.excess[row] = np.maximum(excess, 0.0) * table.scale[row]


def _append_snapshot(state: ShardRecords, worker: WorkerState, now_ms: float) -> None:
    row = worker.slot
    snapshot = PressureSnapshot(
        since_ms=now_ms,
        pressure=np.array(state.table.pressure[row]),
        load=float(state.table.load[row]),
    )
    worker.snapshots.append(snapshot)
