"""Capacity that new service tasks leave to urgent tasks of the same workers.

Rank decides only among tasks that wait at the same time. On a full fleet a service task
would take each part that is free between two urgent jobs and keep it for its whole
life, until urgent tasks find no room at all. New service tasks therefore leave as much
free as urgent tasks of at least their priority have lately used at a time, counted in
parts that are large enough for one of them.

Capacity that stays free all the same is not kept for long: a service task that could
have been placed throughout the last two seconds is placed. Beside capacity for two such
tasks, short interruptions count as well (`ServiceHolds`).
"""

import math
from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import can_host
from trefoilhook.scheduling.ranking import TOO_LATE, get_lateness
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.urgent_demand import is_urgent

__all__ = ["RoundHeadroom", "PartLimit", "record_urgent_demand"]

_MAX_SHARE = 0.2
"""Maximum fraction of a service's processors that is kept free for urgent tasks."""

_MAX_HOLD_MS = 2000.0
"""Time for which a service task is not placed although there is capacity for it, in ms.
Users expect a task with capacity for it twice over to be started within 3 s."""

_AMPLE_PLACES = 2
"""Number of tasks for which there is ample capacity. Urgent tasks that use it for a
moment do not begin the wait anew."""


def record_urgent_demand(
    scheduler: Scheduler,
    steps: Iterable[list[TaskState]],
    *,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Record what urgent tasks hold and wait for, by service and priority.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    steps : iterable of list of TaskState
        Waiting tasks by step.
    now_ms, wall_ms : float
        Current time, in ms.
    """
    demands = scheduler.urgent_demands
    waiting: dict[tuple[str, int], int] = {}
    for tasks in steps:
        state = tasks[0]
        queue = state.job.queue
        if queue is None or not is_urgent(state.step):
            continue
        if get_lateness(state, wall_ms) == TOO_LATE:
            continue
        key = (queue.service, state.job.priority)
        waiting[key] = waiting.get(key, 0) + len(tasks) * state.step.room.cpu
        if state.waiting_since_ms == now_ms:
            demands.record_size(*key, state.step.room)
    demands.record_use(scheduler.workers.values(), waiting, now_ms)


@attrs.define(kw_only=True)
class RoundHeadroom:
    """Capacity that new service tasks may take in one round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    now_ms : float
        Current time, in ms.
    """

    scheduler: Scheduler
    now_ms: float
    _limited: dict[StepName, None] = attrs.field(factory=dict, init=False)
    _limited_rooms: dict[tuple[str, int, str], list[Demand]] = attrs.field(
        factory=dict, init=False
    )
    _spare: dict[tuple[str, int], "PartLimit | None"] = attrs.field(
        factory=dict, init=False
    )

    def concerns(self, task: TaskState) -> bool:
        """Return whether there may be a limit for a waiting task."""
        queue = task.job.queue
        return (
            task.step.long_running
            and not task.step.gang
            and self.scheduler.features.headroom
            and queue is not None
            and queue.advice is None
            and not task.may_have_run
        )

    def find_limit(self, task: TaskState, workers: list[Worker]) -> "PartLimit | None":
        """Return the limit for a new service task, or None if there is none.

        Parameters
        ----------
        task : TaskState
            The waiting task.
        workers : list of Worker
            Workers that accept new tasks of its queue.
        """
        key = _get_key(task)
        if key not in self._spare:
            self._spare[key] = self._measure(key, workers)
        spare = self._spare[key]
        if spare is None or self.record_wait(task, workers) >= _MAX_HOLD_MS:
            return None
        return spare

    def is_known_limited(self, task: TaskState) -> bool:
        """Return whether a task with at most its requirements was limited before."""
        room = task.step.room
        return any(
            other.cpu <= room.cpu and other.memory_mb <= room.memory_mb
            for other in self._limited_rooms.get(_get_label_key(task), ())
        )

    def record_limited(self, task: TaskState) -> None:
        """Record that a task is not placed because of its limit."""
        self._limited[name_step(task.task)] = None
        rooms = self._limited_rooms.setdefault(_get_label_key(task), [])
        rooms.append(task.step.room)

    def is_limited(self, step: StepName) -> bool:
        """Return whether a task of a step was not placed because of its limit."""
        return step in self._limited

    def _measure(
        self, key: tuple[str, int], workers: list[Worker]
    ) -> "PartLimit | None":
        capacity_cpu = sum(worker.report.capacity.cpu for worker in workers)
        missing_cpu, part = self.scheduler.urgent_demands.compute_missing(
            *key, workers=workers, limit_cpu=_MAX_SHARE * capacity_cpu
        )
        if missing_cpu <= 0.0 or part.cpu <= 0:
            return None
        parts = sum(_count_parts(worker, part) for worker in workers)
        return PartLimit(part=part, parts=parts - math.ceil(missing_cpu / part.cpu))

    def record_wait(self, task: TaskState, workers: list[Worker]) -> float:
        """Record whether a task could be placed now.

        Parameters
        ----------
        task : TaskState
            The waiting task.
        workers : list of Worker
            Workers that accept new tasks of its queue.

        Returns
        -------
        float
            Time for which it could have been placed, in ms.
        """
        holds = self.scheduler.service_holds
        step = name_step(task.task)
        places = _count_places(task, workers)
        if not places:
            holds.interrupt(step, self.now_ms)
            return 0.0
        return holds.extend(step, self.now_ms, is_ample=places >= _AMPLE_PLACES)


def _count_places(task: TaskState, workers: Iterable[Worker]) -> int:
    """Return for how many tasks like ``task`` there is capacity, two at most."""
    room = task.step.room
    both = Demand(cpu=2 * room.cpu, memory_mb=2 * room.memory_mb, gpus=2 * room.gpus)
    places = 0
    for worker in workers:
        if can_host(worker, task):
            places += 2 if worker.has_room(both) else 1
        if places >= _AMPLE_PLACES:
            return _AMPLE_PLACES
    return places


def _get_key(task: TaskState) -> tuple[str, int]:
    queue = task.job.queue
    return queue.service if queue is not None else "", task.job.priority


def _get_label_key(task: TaskState) -> tuple[str, int, str]:
    return *_get_key(task), task.step.required_label


@attrs.define(kw_only=True)
class PartLimit:
    """Parts that new service tasks may take.

    Parameters
    ----------
    part : Demand
        Size of a part: the mean requirements of an urgent task.
    parts : int
        Number of parts beyond those that urgent tasks need; may be negative.
    """

    part: Demand
    parts: int

    def admits(self, worker: Worker, room: Demand) -> bool:
        """Return whether a task that needs ``room`` may be placed on a worker."""
        cost = self.measure_cost(worker, room)
        return not cost or cost <= self.parts

    def take(self, worker: Worker, room: Demand) -> None:
        """Record that a task that needs ``room`` is about to be placed on a worker."""
        self.parts -= self.measure_cost(worker, room)

    def measure_cost(self, worker: Worker, room: Demand) -> int:
        """Return by how many parts a task would reduce the free capacity."""
        return _count_parts(worker, self.part) - _count_parts(
            worker, self.part, less=room
        )


def _count_parts(worker: Worker, part: Demand, *, less: Demand | None = None) -> int:
    """Return how many tasks that need ``part`` fit into a worker's free capacity."""
    capacity = worker.report.capacity
    cpu = capacity.cpu - worker.cpu - (less.cpu if less is not None else 0)
    parts = max(0, cpu) // part.cpu
    if not part.memory_mb:
        return parts
    memory_mb = capacity.memory_mb - worker.memory_mb
    memory_mb -= less.memory_mb if less is not None else 0
    return min(parts, max(0, memory_mb) // part.memory_mb)
