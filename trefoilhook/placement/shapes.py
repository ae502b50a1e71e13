"""Declarations of tasks and workers, and usage reports of workers."""

import enum

import attrs

from trefoilhook.placement.resources import Resources

__all__ = [
    "DEFAULT_TOLERATED_EXCESS",
    "ServiceSlowdown",
    "StopOutcome",
    "TaskKind",
    "TaskShape",
    "TaskUsage",
    "UsageReport",
    "WorkerShape",
    "tolerated_excess",
]

DEFAULT_TOLERATED_EXCESS = 0.1
"""Tolerated excess slowdown of a service that declares no target."""

_MIN_TOLERATED_EXCESS = 0.001


class TaskKind(enum.Enum):
    """Kind of task."""

    SERVICE = "service"
    BATCH = "batch"
    WATCHER = "watcher"


class StopOutcome(enum.Enum):
    """Reason why a task stopped running on its worker."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    LOST = "lost"


@attrs.frozen(kw_only=True, slots=True)
class TaskShape:
    """Declaration of a task.

    Parameters
    ----------
    task_id : str
        Identifier of the task, unchanged across attempts.
    team : str
        Team that owns the task.
    task_class : str
        Class of tasks with similar behaviour, such as ``roster-build``.
    kind : TaskKind
        Service, batch or watcher.
    urgent : bool
        Whether batch tasks may be preempted for it.
    resources : Resources
        Declared resources; a hard limit enforced by the worker.
    declared_run_ms : float
        Declared run time, in ms; ignored for services and watchers.
    service_target : float, optional
        Largest tolerated slowdown relative to running alone, such as 1.1.
    """

    task_id: str
    team: str
    task_class: str
    kind: TaskKind
    urgent: bool
    resources: Resources
    declared_run_ms: float
    service_target: float | None = None


def tolerated_excess(task: TaskShape) -> float:
    """Return the tolerated slowdown of a service minus one."""
    if task.service_target is None:
        return DEFAULT_TOLERATED_EXCESS
    return max(task.service_target - 1.0, _MIN_TOLERATED_EXCESS)


@attrs.frozen(kw_only=True, slots=True)
class WorkerShape:
    """Identity, location and capacity of a worker.

    Parameters
    ----------
    worker_id : str
        Identifier of the worker.
    rack : str
        Rack of the worker.
    failure_domain : str
        Failure domain of the rack.
    capacity : Resources
        Total resources.
    """

    worker_id: str
    rack: str
    failure_domain: str
    capacity: Resources


@attrs.frozen(kw_only=True, slots=True)
class TaskUsage:
    """Resource usage of a task over a measurement window.

    Parameters
    ----------
    task_id : str
        Task measured.
    used : Resources
        Mean cores and peak memory over the window.
    """

    task_id: str
    used: Resources


@attrs.frozen(kw_only=True, slots=True)
class ServiceSlowdown:
    """Measured slowdown of a service relative to running alone.

    Parameters
    ----------
    task_id : str
        Service measured.
    slowdown : float
        Ratio to running alone; 1.0 means no interference.
    """

    task_id: str
    slowdown: float


@attrs.frozen(kw_only=True, slots=True)
class UsageReport:
    """Measurements of one worker, received with a delay.

    Parameters
    ----------
    worker_id : str
        Worker measured.
    measured_at_ms : float
        End of the measurement window on the owner's clock, in ms.
    window_ms : float
        Length of the measurement window, in ms.
    usage : tuple of TaskUsage
        One entry per running task.
    slowdowns : tuple of ServiceSlowdown
        One entry per running service.
    """

    worker_id: str
    measured_at_ms: float
    window_ms: float = 10_000.0
    usage: tuple[TaskUsage, ...]
    slowdowns: tuple[ServiceSlowdown, ...]
