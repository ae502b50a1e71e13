"""Service steps that have waited too long beside capacity for them.

Each reason for not placing a service task has a limit of its own, but they can follow
one another: the capacity is kept for urgent tasks, then a worker is reserved for a
larger task, then the task waits for its turn to run in isolation. Users see none of
this. They see workers with capacity for the task, and expect it to run.

A step is overdue once there has been ample capacity for it for a while on workers that
answer, whoever they are reserved for (`OverdueSteps`). Its tasks are then placed
wherever they fit. What protects against a second run of a task still applies.
"""

from collections.abc import Collection, Iterable

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import can_host, list_answering_workers
from trefoilhook.scheduling.tickets import name_step

__all__ = ["may_be_overdue", "record_waits"]

_AMPLE_PLACES = 2
"""Number of tasks for which there is ample capacity."""


def may_be_overdue(task: TaskState) -> bool:
    """Return whether the wait of a task beside capacity is limited."""
    queue = task.job.queue
    return (
        task.step.long_running
        and not task.step.gang
        and queue is not None
        and queue.advice is None
    )


def record_waits(
    scheduler: Scheduler, tasks: Iterable[TaskState], now_ms: float
) -> None:
    """Record for which waiting tasks there is ample capacity after a round.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    tasks : iterable of TaskState
        Tasks that were not placed in the round.
    now_ms : float
        Current time, in ms.
    """
    steps = {name_step(task.task): task for task in tasks if may_be_overdue(task)}
    overdue = scheduler.overdue
    overdue.retain(steps.keys())
    capacities: dict[str, _FreeCapacity] = {}
    for step, task in steps.items():
        queue = task.job.queue
        service = queue.service if queue is not None else ""
        if service not in capacities:
            workers = list_answering_workers(scheduler, service)
            capacities[service] = _FreeCapacity(workers=_sort_by_room(workers))
        if capacities[service].is_ample_for(task):
            overdue.extend(step, now_ms)
        else:
            overdue.interrupt(step, now_ms)


@attrs.define(kw_only=True)
class _FreeCapacity:
    """Free capacity of the workers of a service in one round.

    Demands for which it is not ample are kept by label, as larger ones need not be
    compared with all workers of a large fleet.

    Parameters
    ----------
    workers : list of Worker
        Workers, those with the most free processors first.
    """

    workers: list[Worker]
    _scarce: dict[str, list[Demand]] = attrs.field(factory=dict, init=False)

    def is_ample_for(self, task: TaskState) -> bool:
        """Return whether there is capacity for two tasks like ``task``."""
        room, label = task.step.room, task.step.required_label
        scarce = self._scarce.setdefault(label, [])
        if any(_is_covered(smaller, room) for smaller in scarce):
            return False
        if _count_places(task, self.workers) >= _AMPLE_PLACES:
            return True
        if not task.step.max_per_worker:
            scarce.append(room)
        return False


def _is_covered(smaller: Demand, larger: Demand) -> bool:
    return (
        smaller.cpu <= larger.cpu
        and smaller.memory_mb <= larger.memory_mb
        and smaller.gpus <= larger.gpus
    )


def _count_places(task: TaskState, workers: Collection[Worker]) -> int:
    """Return for how many tasks there is capacity, two at most.

    Parameters
    ----------
    task : TaskState
        The task.
    workers : collection of Worker
        Workers, those with the most free processors first.
    """
    step = task.step
    room = step.room
    both = Demand(cpu=2 * room.cpu, memory_mb=2 * room.memory_mb, gpus=2 * room.gpus)
    places = 0
    for worker in workers:
        if _get_free_cpu(worker) < room.cpu or places >= _AMPLE_PLACES:
            break
        if can_host(worker, task, ignores_reservations=True):
            may_host_both = (
                not step.max_per_worker
                or worker.count_step(task.task) + 2 <= step.max_per_worker
            )
            places += 2 if may_host_both and worker.has_room(both) else 1
    return min(places, _AMPLE_PLACES)


def _sort_by_room(workers: Iterable[Worker]) -> list[Worker]:
    return sorted(workers, key=_get_free_cpu, reverse=True)


def _get_free_cpu(worker: Worker) -> int:
    return worker.report.capacity.cpu - worker.cpu
