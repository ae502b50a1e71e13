"""Processing of delayed usage reports.

A report describes the tasks that a worker ran during the measurement window, not those
it runs when the report arrives. The features of a slowdown are therefore the worker's
pressure averaged over that window.
"""

import statistics

import numpy as np
import numpy.typing as npt

from trefoilhook.placement.interference import CLASS_LIMIT, update_row
from trefoilhook.placement.records import SlowdownSample, TaskState, WorkerState
from trefoilhook.placement.refresh import refresh_worker
from trefoilhook.placement.shapes import TaskKind, UsageReport, tolerated_excess
from trefoilhook.placement.shard import ShardRecords

__all__ = ["apply_report"]

_USAGE_SMOOTHING = 0.5
_RESIDUAL_SMOOTHING = 0.4
_USAGE_SETTLE_MS = 1_000.0


def apply_report(state: ShardRecords, report: UsageReport, now_ms: float) -> None:
    """Update usage, slowdowns, the model and the worker's row from a report.

    Parameters
    ----------
    state : ShardRecords
        State to update in place.
    report : UsageReport
        Usage report; ignored if its worker is unknown.
    now_ms : float
        Time of arrival, in ms.
    """
    worker = state.workers.get(report.worker_id)
    if worker is None:
        return
    features = _average_features(worker, report)
    is_newest = report.measured_at_ms > worker.last_report_ms
    errors = [
        error
        for entry in report.slowdowns
        if (task := worker.residents.get(entry.task_id)) is not None
        and (
            error := _apply_slowdown(
                state, task, report, features, entry.slowdown, now_ms
            )
        )
        is not None
    ]
    # An out-of-order report still updates the model, since its slowdowns are paired
    # with the pressure of its own window. Its usage is outdated and is ignored.
    if is_newest:
        worker.last_report_ms = report.measured_at_ms
        _apply_usage(worker, report)
        _update_residual(state, worker, errors)
        refresh_worker(state, worker, now_ms)
        state.table.late[worker.slot] = float(_is_past_target(worker))


def _apply_slowdown(
    state: ShardRecords,
    task: TaskState,
    report: UsageReport,
    features: npt.NDArray[np.float64] | None,
    slowdown: float,
    now_ms: float,
) -> float | None:
    started_ms = task.started_at_ms
    window_start_ms = report.measured_at_ms - report.window_ms
    if started_ms is None or started_ms > window_start_ms:
        return None
    sample = SlowdownSample(measured_at_ms=report.measured_at_ms, slowdown=slowdown)
    if not task.samples or task.samples[-1].measured_at_ms < report.measured_at_ms:
        task.samples.append(sample)
    if features is None:
        return None
    return update_row(
        state.model,
        row=task.class_index,
        features=features,
        excess=slowdown - 1.0,
        now_ms=now_ms,
    )


def _average_features(
    worker: WorkerState, report: UsageReport
) -> npt.NDArray[np.float64] | None:
    end_ms = report.measured_at_ms
    start_ms = end_ms - report.window_ms
    total = np.zeros(2 * CLASS_LIMIT)
    covered_ms = 0.0
    until_ms = end_ms
    for snapshot in reversed(worker.snapshots):
        if snapshot.since_ms >= end_ms:
            until_ms = min(until_ms, end_ms)
            continue
        from_ms = max(snapshot.since_ms, start_ms)
        span_ms = until_ms - from_ms
        total[:CLASS_LIMIT] += span_ms * snapshot.pressure
        total[CLASS_LIMIT:] += span_ms * snapshot.load * snapshot.pressure
        covered_ms += span_ms
        until_ms = from_ms
        if from_ms <= start_ms:
            break
    if covered_ms < 0.5 * report.window_ms or covered_ms <= 0.0:
        return None
    return total / covered_ms


def _apply_usage(worker: WorkerState, report: UsageReport) -> None:
    settled_ms = report.measured_at_ms - report.window_ms - _USAGE_SETTLE_MS
    for entry in report.usage:
        task = worker.residents.get(entry.task_id)
        if task is None or task.started_at_ms is None:
            continue
        if max(task.started_at_ms, task.speed_changed_at_ms) > settled_ms:
            continue
        full_speed = entry.used.cores / task.speed
        task.expected_cores += _USAGE_SMOOTHING * (full_speed - task.expected_cores)


def _update_residual(
    state: ShardRecords, worker: WorkerState, errors: list[float]
) -> None:
    row = worker.slot
    error = statistics.fmean(errors) if errors else 0.0
    previous = float(state.table.residual[row])
    state.table.residual[row] = previous + _RESIDUAL_SMOOTHING * (error - previous)


def _is_past_target(worker: WorkerState) -> bool:
    return any(
        task.samples[-1].slowdown - 1.0 > tolerated_excess(task.shape)
        for task in worker.residents.values()
        if task.shape.kind is TaskKind.SERVICE and task.samples
    )
