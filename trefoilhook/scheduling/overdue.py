"""Detection of steps that wait too long although capacity is available.

Each reason for delaying a task has its own time limit, but the reasons can occur in
succession: the capacity is kept for urgent tasks, then a worker is reserved for a
larger task, then the number of isolated runs is at its limit. This module bounds the
total delay of service tasks, and of the first task of a batch job without runs on a
mostly idle fleet.

A step is overdue once responding workers have had ample capacity for it, including
capacity reserved for other tasks, for a given time (`OverdueSteps`). Its tasks are then
placed on any worker with enough capacity. The checks that prevent a second run of a
task still apply.

Jobs of fillers are not overdue but starved (`starvation`).
"""

from collections.abc import Collection, Iterable

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.idle_fleet import IdleFleet, has_runs
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import can_host, list_answering_workers
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["AmpleCapacity", "can_become_overdue", "record_ample_capacity"]

_MIN_AMPLE_PLACES = 2
"""Minimum number of tasks of a step that must fit for capacity to be ample."""


def can_become_overdue(task: TaskState) -> bool:
    """Return whether a task becomes overdue if it waits while capacity is available."""
    step, queue = task.step, task.job.queue
    if step.gang or step.filler or queue is None or queue.advice is not None:
        return False
    return step.long_running or not has_runs(task.job)


def record_ample_capacity(
    scheduler: Scheduler,
    tasks: Iterable[TaskState],
    now_ms: float,
    *,
    capacity: "AmpleCapacity | None" = None,
) -> None:
    """Record which waiting steps have ample capacity after a round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    tasks : iterable of TaskState
        Tasks that the round did not place.
    now_ms : float
        Current time, in ms.
    capacity : AmpleCapacity, optional
        Free capacity after the round; computed here by default.
    """
    steps = _list_steps(tasks)
    if capacity is None:
        capacity = AmpleCapacity(scheduler=scheduler)
    overdue = scheduler.overdue
    overdue.retain(steps.keys())
    for step, task in steps.items():
        is_entitled = task.step.long_running or capacity.idle_fleet.is_idle_for(task)
        if is_entitled and capacity.is_ample_for(task):
            overdue.extend(step, now_ms)
        else:
            overdue.interrupt(step, now_ms)


def _list_steps(tasks: Iterable[TaskState]) -> dict[StepName, TaskState]:
    """Return one task of each step that can become overdue."""
    steps: dict[StepName, TaskState] = {}
    excluded: set[StepName] = set()
    for task in tasks:
        step = name_step(task.task)
        if step in steps or step in excluded:
            continue
        if can_become_overdue(task):
            steps[step] = task
        else:
            excluded.add(step)
    return steps


@attrs.define(kw_only=True)
class AmpleCapacity:
    """Which waiting tasks have ample capacity after a round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.

    Attributes
    ----------
    idle_fleet : IdleFleet
        Which services are mostly idle.
    """

    scheduler: Scheduler
    idle_fleet: IdleFleet = attrs.field(init=False)
    _by_service: dict[str, "_FreeCapacity"] = attrs.field(factory=dict, init=False)

    @idle_fleet.default
    def _build_idle_fleet(self) -> IdleFleet:
        return IdleFleet(scheduler=self.scheduler)

    def is_ample_for(self, task: TaskState) -> bool:
        """Return whether two tasks with the demand of ``task`` fit."""
        queue = task.job.queue
        service = queue.service if queue is not None else ""
        known = self._by_service.get(service)
        if known is None:
            workers = list_answering_workers(self.scheduler, service)
            known = _FreeCapacity(workers=_sort_by_free_cpu(workers))
            self._by_service[service] = known
        return known.is_ample_for(task)


@attrs.define(kw_only=True)
class _FreeCapacity:
    """Free capacity of the workers of a service in one round.

    Demands without ample capacity are cached by label, so that equal or larger demands
    are rejected without a scan of all workers.

    Parameters
    ----------
    workers : list of Worker
        Workers in descending order of free processor capacity.
    """

    workers: list[Worker]
    _rejected: dict[str, list[Demand]] = attrs.field(factory=dict, init=False)

    def is_ample_for(self, task: TaskState) -> bool:
        """Return whether two tasks with the demand of ``task`` fit."""
        room, label = task.step.room, task.step.required_label
        rejected = self._rejected.setdefault(label, [])
        if any(room.covers(smaller) for smaller in rejected):
            return False
        if _count_places(task, self.workers) >= _MIN_AMPLE_PLACES:
            return True
        if not task.step.max_per_worker:
            rejected.append(room)
        return False


def _count_places(task: TaskState, workers: Collection[Worker]) -> int:
    """Return the number of tasks of a step that fit, at most two.

    Parameters
    ----------
    task : TaskState
        Waiting task of the step.
    workers : collection of Worker
        Workers in descending order of free processor capacity.
    """
    step = task.step
    room = step.room
    double_room = Demand(
        cpu=2 * room.cpu, memory_mb=2 * room.memory_mb, gpus=2 * room.gpus
    )
    places = 0
    for worker in workers:
        if _get_free_cpu(worker) < room.cpu or places >= _MIN_AMPLE_PLACES:
            break
        if can_host(worker, task, ignores_reservations=True):
            may_host_two = (
                not step.max_per_worker
                or worker.count_step(task.task) + 2 <= step.max_per_worker
            )
            places += 2 if may_host_two and worker.has_room(double_room) else 1
    return min(places, _MIN_AMPLE_PLACES)


def _sort_by_free_cpu(workers: Iterable[Worker]) -> list[Worker]:
    return sorted(workers, key=_get_free_cpu, reverse=True)


def _get_free_cpu(worker: Worker) -> int:
    return worker.report.capacity.cpu - worker.cpu
