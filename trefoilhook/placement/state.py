"""The state of one shard: what its workers hold, and the changes to it.

One task owns the state and makes every change; nothing here waits. The hard limit is
kept in :meth:`ShardState.reserve`: a worker's residents are every task that was
reserved and is not proved stopped, whether its lease is confirmed or not.
"""

from collections import deque

import attrs

from trefoilhook.exceptions import (
    CapacityExceededError,
    UnknownTaskError,
    UnknownWorkerError,
)
from trefoilhook.placement.health import record_outcome
from trefoilhook.placement.observation import absorb_report
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
from trefoilhook.placement.table import add_row, drop_row

__all__ = ["ShardState"]

_EVICTIONS_KEPT = 256
_LAST_OUTCOMES = frozenset({StopOutcome.FINISHED, StopOutcome.CANCELLED})


@attrs.define(kw_only=True)
class ShardState(ShardRecords):
    """The records of one shard, and every change to them."""

    def add_worker(self, shape: WorkerShape) -> None:
        """Bring a worker into use, or back into use after it was removed.

        Raises
        ------
        UnknownWorkerError
            If the worker is in use already.
        """
        known = self.workers.get(shape.worker_id)
        if known is not None and not known.withdrawn:
            raise UnknownWorkerError(f"worker {shape.worker_id} is in use already")
        if known is None:
            slot = add_row(self.table, shape.worker_id)
            known = WorkerState(shape=shape, slot=slot)
            self.workers[shape.worker_id] = known
        known.shape = shape
        known.withdrawn = False
        self.capacities[shape.capacity] += 1
        refresh_worker(self, known)

    def remove_worker(self, worker_id: str) -> None:
        """Take a worker out of use.

        Notes
        -----
        Guards against a worker that was lost and comes back with its tasks still
        running: it would look empty and be filled twice. The record stays, closed to
        new tasks, until every resident is confirmed stopped, so the same worker
        coming back finds them still counted.

        Raises
        ------
        UnknownWorkerError
            If the worker is not in use.
        """
        worker = self._worker_in_use(worker_id)
        worker.withdrawn = True
        self.capacities[worker.shape.capacity] -= 1
        if not self.capacities[worker.shape.capacity]:
            del self.capacities[worker.shape.capacity]
        for task_id in list(worker.earmarks):
            self.release_earmark(task_id)
        refresh_worker(self, worker)
        self._forget_if_empty(worker)

    def reserve(self, task: TaskShape, worker_id: str, now_ms: float) -> None:
        """Reserve a worker's resources for a task that is about to be started.

        Parameters
        ----------
        task : TaskShape
            Task to hold.
        worker_id : str
            Worker to hold it on.
        now_ms : float
            Time, in ms.

        Raises
        ------
        UnknownTaskError
            If the task holds resources already, here or on another worker.
        UnknownWorkerError
            If the worker is not in use.
        CapacityExceededError
            If the worker would be given more than it has.

        Notes
        -----
        Guards against overload while commands are under way: a start that the worker
        has not confirmed, or a stop that it has not proved, would look like free room
        if only running tasks were counted. Every resident counts from its reservation
        to its proved stop, and the check is made here, by the only writer.
        """
        if task.task_id in self.tasks:
            raise UnknownTaskError(f"task {task.task_id} holds resources already")
        worker = self._worker_in_use(worker_id)
        wanted = self._sum_residents(worker, task.resources)
        if not wanted.fits_in(worker.shape.capacity):
            raise CapacityExceededError(
                f"task {task.task_id} does not fit worker {worker_id}: "
                f"{wanted} of {worker.shape.capacity}"
            )
        self.release_earmark(task.task_id)
        self._hold(task, worker, now_ms)

    def restore(self, task: TaskShape, worker_id: str, now_ms: float) -> None:
        """Take over a task that a worker's inventory says is running already.

        Notes
        -----
        Used when a shard changes its owner. The task runs, so it is held even where
        that leaves the worker without free room.

        Raises
        ------
        UnknownTaskError
            If the task holds resources already.
        UnknownWorkerError
            If the worker is not in use.
        """
        if task.task_id in self.tasks:
            raise UnknownTaskError(f"task {task.task_id} holds resources already")
        self._hold(task, self._worker_in_use(worker_id), now_ms)
        self.confirm_started(task.task_id, now_ms)

    def confirm_started(self, task_id: str, now_ms: float) -> None:
        """Note that a worker started a task.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        task = self._held_task(task_id)
        if task.phase is TaskPhase.RESERVED:
            task.phase = TaskPhase.RUNNING
        task.started_at_ms = now_ms

    def begin_stop(self, task_id: str) -> None:
        """Note that a task was told to stop; it holds its resources until proved.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        self._held_task(task_id).phase = TaskPhase.STOPPING

    def confirm_stopped(
        self, task_id: str, now_ms: float, outcome: StopOutcome
    ) -> None:
        """Free a task's resources: its worker proved that it no longer runs.

        Parameters
        ----------
        task_id : str
            Task that stopped, or whose lease has lapsed at the worker for certain.
        now_ms : float
            Time, in ms.
        outcome : StopOutcome
            Why it stopped.

        Raises
        ------
        UnknownTaskError
            If the shard does not hold the task.
        """
        task = self._held_task(task_id)
        worker = self.workers[task.worker_id]
        del self.tasks[task_id]
        del worker.residents[task_id]
        self._count_team(task, -1.0)
        self._learn_run_time(task, now_ms, outcome)
        record_outcome(self, task, worker, outcome)
        if outcome in _LAST_OUTCOMES:
            self.forget_task(task_id)
        refresh_worker(self, worker, now_ms)
        self._forget_if_empty(worker)

    def observe_usage(self, report: UsageReport, now_ms: float) -> None:
        """Learn from a worker's late report; reports of unknown workers are dropped."""
        absorb_report(self, report, now_ms)

    def set_speed(self, task_id: str, speed: float, now_ms: float) -> None:
        """Note that a task is throttled to a part of its full speed."""
        task = self._held_task(task_id)
        task.speed = speed
        task.speed_changed_at_ms = now_ms
        refresh_worker(self, self.workers[task.worker_id], now_ms)

    def keep_room(self, earmark: Earmark) -> None:
        """Keep room on a worker for an urgent task while its victims stop.

        Raises
        ------
        UnknownWorkerError
            If the worker is not in use.
        """
        worker = self._worker_in_use(earmark.worker_id)
        self.release_earmark(earmark.task_id)
        self.earmarks[earmark.task_id] = earmark
        worker.earmarks[earmark.task_id] = earmark
        refresh_worker(self, worker)

    def release_earmark(self, task_id: str) -> None:
        """Give up the room that was kept for a task, if any."""
        earmark = self.earmarks.pop(task_id, None)
        if earmark is None:
            return
        worker = self.workers[earmark.worker_id]
        del worker.earmarks[task_id]
        refresh_worker(self, worker)

    def forget_task(self, task_id: str) -> None:
        """Drop the history of a task that will not be tried again."""
        self.histories.pop(task_id, None)
        self.release_earmark(task_id)

    def record_eviction(self, task: TaskState, now_ms: float) -> None:
        """Count an eviction for the sake of services against its budgets."""
        history = self.history(task.shape.task_id)
        history.evictions += 1
        history.evicted_at_ms = now_ms
        kept = self.team_evictions.setdefault(
            task.shape.team, deque(maxlen=_EVICTIONS_KEPT)
        )
        kept.append(now_ms)

    def _worker_in_use(self, worker_id: str) -> WorkerState:
        worker = self.workers.get(worker_id)
        if worker is None or worker.withdrawn:
            raise UnknownWorkerError(f"worker {worker_id} is not in use")
        return worker

    def _held_task(self, task_id: str) -> TaskState:
        task = self.tasks.get(task_id)
        if task is None:
            raise UnknownTaskError(f"task {task_id} holds no resources")
        return task

    @staticmethod
    def _sum_residents(worker: WorkerState, extra: Resources = ZERO) -> Resources:
        held = [task.shape.resources for task in worker.residents.values()]
        return sum_resources([*held, extra])

    def _hold(self, shape: TaskShape, worker: WorkerState, now_ms: float) -> None:
        task = TaskState(
            shape=shape,
            worker_id=worker.shape.worker_id,
            class_index=index_class(self, shape.task_class),
            reserved_at_ms=now_ms,
            expected_cores=shape.resources.cores,
        )
        self.tasks[shape.task_id] = task
        worker.residents[shape.task_id] = task
        self._count_team(task, 1.0)
        refresh_worker(self, worker, now_ms)

    def _count_team(self, task: TaskState, sign: float) -> None:
        shape = task.shape
        held = self.team_cores.get(shape.team, 0.0) + sign * shape.resources.cores
        self.team_cores[shape.team] = max(0.0, held)
        if shape.kind is TaskKind.SERVICE:
            worker = self.workers[task.worker_id].shape
            count_service(self.spread, task.class_index, worker, int(sign))

    def _learn_run_time(
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

    def _forget_if_empty(self, worker: WorkerState) -> None:
        if not worker.withdrawn or worker.residents:
            return
        moved = drop_row(self.table, worker.slot)
        if moved is not None:
            self.workers[moved].slot = worker.slot
        del self.workers[worker.shape.worker_id]
