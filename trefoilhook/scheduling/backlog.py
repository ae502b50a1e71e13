"""Waiting tasks by queue, and the free capacity of the workers that could run them."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator

import attrs

from trefoilhook.scheduling.colocation import find_step
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.placing import list_open_workers
from trefoilhook.scheduling.ranking import TOO_LATE, get_lateness
from trefoilhook.scheduling.restarts import (
    find_longest_wait,
    list_restarts,
    measure_wait,
)
from trefoilhook.scheduling.tickets import name_step

__all__ = ["Backlog", "measure_backlogs"]


@attrs.frozen(kw_only=True)
class Backlog:
    """Waiting tasks of one queue, and the capacity of its service.

    Parameters
    ----------
    queue : str
        Name of the queue.
    tasks : int
        Number of waiting tasks.
    fillers : int
        Number of these that are fillers, which use processor time left by others. They
        wait for workers whose service tasks tolerate them even if there is free
        capacity.
    too_late : int
        Number of these whose job is too late to be of value. They follow all other
        tasks of their priority.
    oldest_job : str
        Id of the job that was accepted first.
    oldest_waits_for : str
        Main reason for the wait of its step.
    oldest_cpu, oldest_mb, oldest_label : int, int, str
        Requirements of its task: thousandths of a core, MB, and label.
    workers, open_workers : int
        Number of workers of the service, and of those that accept new tasks.
    free_cpu, free_mb : int
        Total free capacity of the latter, in thousandths of a core and MB.
    most_cpu, most_mb : int
        Maximum free capacity of one of them.
    long_running_cpu : int
        Processors held by long-running tasks on the workers of the service, in
        thousandths of a core.
    in_time_cpu : int
        Largest requirement of the tasks that can still meet their objective, in
        thousandths of a core.
    restarts : int
        Number of waiting tasks that are long-running and may have run before. None of
        them has an attempt that may still be running. The following fields describe the
        one that has waited longest.
    restart_task : str
        Id of the task.
    restart_wait_ms : int
        Time for which it has waited under this owner, in ms.
    restart_waits_for : str
        Main reason for the wait of its step.
    restart_cpu, restart_mb : int
        Its requirements: thousandths of a core, and MB.
    restart_worker, restart_end : str
        Worker of the attempt that ended last, and how it ended; empty if unknown to
        this owner.
    """

    queue: str
    tasks: int
    fillers: int
    too_late: int
    oldest_job: str
    oldest_waits_for: str
    oldest_cpu: int
    oldest_mb: int
    oldest_label: str
    workers: int
    open_workers: int
    free_cpu: int
    free_mb: int
    most_cpu: int
    most_mb: int
    long_running_cpu: int = 0
    in_time_cpu: int = 0
    restarts: int = 0
    restart_task: str = ""
    restart_wait_ms: int = 0
    restart_waits_for: str = ""
    restart_cpu: int = 0
    restart_mb: int = 0
    restart_worker: str = ""
    restart_end: str = ""


def measure_backlogs(
    scheduler: Scheduler,
    waiting: Collection[TaskState],
    *,
    now_ms: float,
    wall_ms: float,
) -> Iterator[Backlog]:
    """Yield a backlog for each queue of the tasks in ``waiting``."""
    by_queue: dict[str, list[TaskState]] = defaultdict(list)
    for task in waiting:
        by_queue[task.job.job.queue].append(task)
    for name, tasks in sorted(by_queue.items()):
        queue = tasks[0].job.queue
        service = queue.service if queue is not None else ""
        workers = [
            worker
            for worker in scheduler.workers.values()
            if worker.report.service == service
        ]
        open_workers = list_open_workers(scheduler, service, now_ms)
        cpu = [_count_free_cpu(worker) for worker in open_workers]
        memory_mb = [_count_free_mb(worker) for worker in open_workers]
        oldest = min(tasks, key=lambda task: task.job.job.accepted_ms)
        backlog = Backlog(
            queue=name,
            tasks=len(tasks),
            fillers=sum(task.step.filler for task in tasks),
            too_late=sum(get_lateness(task, wall_ms) == TOO_LATE for task in tasks),
            oldest_job=oldest.job.job.job_id,
            oldest_waits_for=_get_wait_reason(scheduler, oldest),
            oldest_cpu=oldest.step.room.cpu,
            oldest_mb=oldest.step.room.memory_mb,
            oldest_label=oldest.step.required_label,
            workers=len(workers),
            open_workers=len(open_workers),
            free_cpu=sum(cpu),
            free_mb=sum(memory_mb),
            most_cpu=max(cpu, default=0),
            most_mb=max(memory_mb, default=0),
            long_running_cpu=sum(
                _count_long_running_cpu(scheduler, worker) for worker in workers
            ),
            in_time_cpu=max(
                (
                    task.step.room.cpu
                    for task in tasks
                    if not get_lateness(task, wall_ms)
                ),
                default=0,
            ),
        )
        yield _add_restarts(scheduler, backlog, tasks, now_ms)


def _add_restarts(
    scheduler: Scheduler,
    backlog: Backlog,
    tasks: Iterable[TaskState],
    now_ms: float,
) -> Backlog:
    restarts = list_restarts(tasks)
    longest = find_longest_wait(restarts, now_ms)
    if longest is None:
        return backlog
    return attrs.evolve(
        backlog,
        restarts=len(restarts),
        restart_task=str(longest.task),
        restart_wait_ms=round(measure_wait(longest, now_ms)),
        restart_waits_for=_get_wait_reason(scheduler, longest),
        restart_cpu=longest.step.room.cpu,
        restart_mb=longest.step.room.memory_mb,
        restart_worker=longest.last_worker,
        restart_end=longest.last_end.value if longest.last_end is not None else "",
    )


def _get_wait_reason(scheduler: Scheduler, task: TaskState) -> str:
    reason = scheduler.waits.get_main_reason(name_step(task.task))
    return reason.value if reason is not None else ""


def _count_long_running_cpu(scheduler: Scheduler, worker: Worker) -> int:
    return sum(
        run.room.cpu
        for run in worker.runs.values()
        if (step := find_step(scheduler.jobs, run)) is not None and step.long_running
    )


def _count_free_cpu(worker: Worker) -> int:
    return worker.report.capacity.cpu - worker.cpu


def _count_free_mb(worker: Worker) -> int:
    return worker.report.capacity.memory_mb - worker.memory_mb
