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

Jobs of fillers are not overdue but starved (`starvation`), except gangs.
"""

from collections.abc import Collection, Iterable

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.idle_fleet import IdleFleet
from trefoilhook.scheduling.job_activity import has_live_runs
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import can_host, list_answering_workers
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["AmpleCapacity", "can_become_overdue", "record_ample_capacity"]

_AMPLE_FACTOR = 2
"""How many times the tasks that start together must fit for capacity to be ample. These
are all members of a gang, or one task of another step."""


def can_become_overdue(task: TaskState) -> bool:
    """Return whether a task becomes overdue if it waits while capacity is available."""
    step, queue = task.step, task.job.queue
    if queue is None or queue.advice is not None or (step.filler and not step.gang):
        return False
    return step.long_running or not has_live_runs(task.job)


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
            overdue.extend(step, now_ms, since_ms=_find_begin(scheduler, task))
        else:
            overdue.interrupt(step, now_ms)


def _find_begin(scheduler: Scheduler, task: TaskState) -> float | None:
    """Return since when nothing of a batch job has run, in ms."""
    if task.step.long_running:
        return None
    return scheduler.idle_times.find_since(task.task.job_id)


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

    Demands without ample capacity are cached by label, with the number of tasks that
    must fit, so that equal or larger demands are rejected without a scan of all
    workers.

    Parameters
    ----------
    workers : list of Worker
        Workers in descending order of free processor capacity.
    """

    workers: list[Worker]
    _rejected: dict[str, list[tuple[Demand, int]]] = attrs.field(
        factory=dict, init=False
    )

    def is_ample_for(self, task: TaskState) -> bool:
        """Return whether twice the tasks that start together with ``task`` fit."""
        step = task.step
        needed = _AMPLE_FACTOR * (step.count if step.gang else 1)
        rejected = self._rejected.setdefault(step.required_label, [])
        if any(
            needed >= fewer and step.room.covers(smaller) for smaller, fewer in rejected
        ):
            return False
        if _have_places(task, self.workers, needed):
            return True
        if not step.max_per_worker or not self._have_room(step.room):
            rejected.append((step.room, needed))
        return False

    def _have_room(self, room: Demand) -> bool:
        """Return whether any worker has room, whatever else may exclude it."""
        return any(worker.has_room(room) for worker in self.workers)


def _have_places(task: TaskState, workers: Collection[Worker], needed: int) -> bool:
    """Return whether a number of tasks of a step fit.

    Parameters
    ----------
    task : TaskState
        Waiting task of the step.
    workers : collection of Worker
        Workers in descending order of free processor capacity.
    needed : int
        Number of tasks.
    """
    for worker in workers:
        if _get_free_cpu(worker) < task.step.room.cpu:
            return False
        if can_host(worker, task, ignores_reservations=True):
            needed -= _count_places(worker, task, needed)
        if needed <= 0:
            return True
    return False


def _count_places(worker: Worker, task: TaskState, needed: int) -> int:
    """Return how many tasks of a step fit on a worker with room for one."""
    step, room = task.step, task.step.room
    if step.max_per_worker:
        needed = min(needed, step.max_per_worker - worker.count_step(task.task))
    places = 1
    while places < needed and worker.has_room(_multiply(room, places + 1)):
        places += 1
    return places


def _multiply(room: Demand, factor: int) -> Demand:
    return Demand(
        cpu=factor * room.cpu,
        memory_mb=factor * room.memory_mb,
        gpus=factor * room.gpus,
    )


def _sort_by_free_cpu(workers: Iterable[Worker]) -> list[Worker]:
    return sorted(workers, key=_get_free_cpu, reverse=True)


def _get_free_cpu(worker: Worker) -> int:
    return worker.report.capacity.cpu - worker.cpu
