"""State of one shard and the operations that change it.

A single asyncio task owns the state and makes all changes; no operation blocks. The
hard limit on resources is enforced in :meth:`ShardState.reserve`: the residents of a
worker are all tasks that were reserved on it and are not confirmed stopped, whether
their lease is confirmed or not.
"""

from collections import deque

import attrs

from trefoilhook.exceptions import (
    CapacityExceededError,
    UnknownTaskError,
    UnknownWorkerError,
)
from trefoilhook.placement.health import record_outcome
from trefoilhook.placement.observation import apply_report
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.records import Earmark, TaskPhase, TaskState, WorkerState
from trefoilhook.placement.refresh import index_class, refresh_worker
from trefoilhook.placement.resources import ZERO, Resources, sum_resources
from trefoilhook.placement.shapes import (
    StopOutcome,
    TaskKind,
    TaskShape,
    UsageReport,
    WorkerShape,
)
from trefoilhook.placement.shard import ShardRecords
from trefoilhook.placement.spread import count_service
from trefoilhook.placement.table import add_row, remove_row

__all__ = ["ShardState"]

_MAX_EVICTION_TIMES = 256
_FINAL_OUTCOMES = frozenset({StopOutcome.FINISHED, StopOutcome.CANCELLED})


@attrs.define(kw_only=True)
class ShardState(ShardRecords):
    """Records of one shard with the operations that change them."""

    def add_worker(self, shape: WorkerShape) -> None:
        """Add a worker, or add it again after it was removed.

        Raises
        ------
        UnknownWorkerError
            If the worker is already in use.
        """
        worker = self.workers.get(shape.worker_id)
        if worker is not None and not worker.is_removed:
            raise UnknownWorkerError(f"worker {shape.worker_id} is already in use")
        if worker is None:
            slot = add_row(self.table, shape.worker_id)
            worker = WorkerState(shape=shape, slot=slot)
            self.workers[shape.worker_id] = worker
        worker.shape = shape
        worker.is_removed = False
        self.capacities[shape.capacity] += 1
        refresh_worker(self, worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker from use.

        Notes
        -----
        The record is kept, closed to new tasks, until every resident is confirmed
        stopped. A lost worker that returns with its tasks still running therefore has
        them counted; otherwise it would appear empty and be filled twice.

        Raises
        ------
        UnknownWorkerError
            If the worker is not in use.
        """
        worker = self._get_active_worker(worker_id)
        worker.is_removed = True
        self.capacities[worker.shape.capacity] -= 1
        if not self.capacities[worker.shape.capacity]:
            del self.capacities[worker.shape.capacity]
        for task_id in list(worker.earmarks):
            self.release_earmark(task_id)
        refresh_worker(self, worker)
        self._drop_if_empty(worker)

    def reserve(self, task: TaskShape, worker_id: str, now_ms: float) -> None:
        """Reserve a worker's resources for a task that is about to start.

        Parameters
        ----------
        task : TaskShape
            Task that needs the resources.
        worker_id : str
            Worker that provides them.
        now_ms : float
            Time, in ms.

        Raises
        ------
        UnknownTaskError
            If the task holds resources already, here or on another worker.
        UnknownWorkerError
            If the worker is not in use.
        CapacityExceededError
            If the task would exceed the worker's capacity.

        Notes
        -----
        Every resident counts from its reservation until it is confirmed stopped. If
        only running tasks were counted, an unconfirmed start or stop would appear as
        free resources and the worker could be overloaded. The check is made here, by
        the only writer.
        """
        if task.task_id in self.tasks:
            raise UnknownTaskError(f"task {task.task_id} holds resources already")
        worker = self._get_active_worker(worker_id)
        total = self._sum_residents(worker, task.resources)
        if not total.fits_in(worker.shape.capacity):
            raise CapacityExceededError(
                f"task {task.task_id} exceeds the capacity of worker {worker_id}: "
                f"{total} needed of {worker.shape.capacity}"
            )
        self.release_earmark(task.task_id)
        self._add_resident(task, worker, now_ms)

    def restore(self, task: TaskShape, worker_id: str, now_ms: float) -> None:
        """Restore a task that a worker's inventory lists as running.

        Notes
        -----
        Used when a shard changes its owner. The task is running, so it is counted even
        if that exceeds the worker's capacity.

        Raises
        ------
        UnknownTaskError
            If the task holds resources already.
        UnknownWorkerError
            If the worker is not in use.
        """
        if task.task_id in self.tasks:
            raise UnknownTaskError(f"task {task.task_id} holds resources already")
        self._add_resident(task, self._get_active_worker(worker_id), now_ms)
        self.confirm_started(task.task_id, now_ms)

    def confirm_started(self, task_id: str, now_ms: float) -> None:
        """Record that a worker started a task.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        task = self._get_task(task_id)
        if task.phase is TaskPhase.RESERVED:
            task.phase = TaskPhase.RUNNING
        task.started_at_ms = now_ms

    def begin_stop(self, task_id: str) -> None:
        """Record a requested stop; resources are held until the stop is confirmed.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        self._get_task(task_id).phase = TaskPhase.STOPPING

    def confirm_stopped(
        self, task_id: str, now_ms: float, outcome: StopOutcome
    ) -> None:
        """Release a task's resources after its worker confirmed that it stopped.

        Parameters
        ----------
        task_id : str
            Task that stopped, or whose lease has certainly expired at the worker.
        now_ms : float
            Time, in ms.
        outcome : StopOutcome
            Why it stopped.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        task = self._get_task(task_id)
        worker = self.workers[task.worker_id]
        del self.tasks[task_id]
        del worker.residents[task_id]
        self._update_counts(task, -1.0)
        self._record_run_time(task, now_ms, outcome)
        record_outcome(self, task, worker, outcome)
        if outcome in _FINAL_OUTCOMES:
            self.forget_task(task_id)
        refresh_worker(self, worker, now_ms)
        self._drop_if_empty(worker)

    def apply_usage_report(self, report: UsageReport, now_ms: float) -> None:
        """Process a worker's usage report; reports of unknown workers are ignored."""
        apply_report(self, report, now_ms)

    def set_speed(self, task_id: str, speed: float, now_ms: float) -> None:
        """Record that a task runs at a fraction of its full speed."""
        task = self._get_task(task_id)
        task.speed = speed
        task.speed_changed_at_ms = now_ms
        refresh_worker(self, self.workers[task.worker_id], now_ms)

    def add_earmark(self, earmark: Earmark) -> None:
        """Keep resources of a worker free for a task, replacing its previous earmark.

        Raises
        ------
        UnknownWorkerError
            If the worker is not in use.
        """
        worker = self._get_active_worker(earmark.worker_id)
        self.release_earmark(earmark.task_id)
        self.earmarks[earmark.task_id] = earmark
        worker.earmarks[earmark.task_id] = earmark
        refresh_worker(self, worker)

    def release_earmark(self, task_id: str) -> None:
        """Release the earmark of a task, if any."""
        earmark = self.earmarks.pop(task_id, None)
        if earmark is None:
            return
        worker = self.workers[earmark.worker_id]
        del worker.earmarks[task_id]
        refresh_worker(self, worker)

    def forget_task(self, task_id: str) -> None:
        """Drop the history and earmark of a task that will not be retried."""
        self.histories.pop(task_id, None)
        self.release_earmark(task_id)

    def record_eviction(self, task: TaskState, now_ms: float) -> None:
        """Count an eviction against the budgets of the task and its team."""
        history = self.history(task.shape.task_id)
        history.evictions += 1
        history.evicted_at_ms = now_ms
        times = self.team_evictions.setdefault(
            task.shape.team, deque(maxlen=_MAX_EVICTION_TIMES)
        )
        times.append(now_ms)

    def _get_active_worker(self, worker_id: str) -> WorkerState:
        worker = self.workers.get(worker_id)
        if worker is None or worker.is_removed:
            raise UnknownWorkerError(f"worker {worker_id} is not in use")
        return worker

    def _get_task(self, task_id: str) -> TaskState:
        task = self.tasks.get(task_id)
        if task is None:
            raise UnknownTaskError(f"task {task_id} holds no resources")
        return task

    @staticmethod
    def _sum_residents(worker: WorkerState, extra: Resources = ZERO) -> Resources:
        amounts = [task.shape.resources for task in worker.residents.values()]
        return sum_resources([*amounts, extra])

    def _add_resident(
        self, shape: TaskShape, worker: WorkerState, now_ms: float
    ) -> None:
        task = TaskState(
            shape=shape,
            worker_id=worker.shape.worker_id,
            class_index=index_class(self, shape.task_class),
            reserved_at_ms=now_ms,
            expected_cores=shape.resources.cores,
        )
        self.tasks[shape.task_id] = task
        worker.residents[shape.task_id] = task
        self._update_counts(task, 1.0)
        refresh_worker(self, worker, now_ms)

    def _update_counts(self, task: TaskState, sign: float) -> None:
        shape = task.shape
        cores = self.team_cores.get(shape.team, 0.0) + sign * shape.resources.cores
        self.team_cores[shape.team] = max(0.0, cores)
        if shape.kind is TaskKind.SERVICE:
            worker = self.workers[task.worker_id].shape
            count_service(self.spread, task.class_index, worker, int(sign))

    def _record_run_time(
        self, task: TaskState, now_ms: float, outcome: StopOutcome
    ) -> None:
        if task.started_at_ms is None or task.shape.kind is not TaskKind.BATCH:
            return
        history = self.history(task.shape.task_id)
        ran_ms = now_ms - task.started_at_ms
        if outcome is StopOutcome.EVICTED:
            history.progress_ms += ran_ms
        if outcome is StopOutcome.FINISHED and task.shape.declared_run_ms > 0:
            key = RatioKey(team=task.shape.team, task_class=task.shape.task_class)
            total_ms = history.progress_ms + ran_ms
            self.run_ratios.record(key, total_ms / task.shape.declared_run_ms)

    def _drop_if_empty(self, worker: WorkerState) -> None:
        if not worker.is_removed or worker.residents:
            return
        moved = remove_row(self.table, worker.slot)
        if moved is not None:
            self.workers[moved].slot = worker.slot
        del self.workers[worker.shape.worker_id]
