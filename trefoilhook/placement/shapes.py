"""What is declared about tasks and workers, and what workers report."""

import enum

import attrs

from trefoilhook.placement.resources import Resources

__all__ = [
    "DEFAULT_BEARABLE",
    "ServiceSlowdown",
    "StopOutcome",
    "TaskKind",
    "TaskShape",
    "TaskUsage",
    "UsageReport",
    "WorkerShape",
    "bearable_excess",
]

DEFAULT_BEARABLE = 0.1
"""Excess slowdown that a service bears where it names no target."""

_LEAST_BEARABLE = 0.001


class TaskKind(enum.Enum):
    """What sort of work a task is."""

    SERVICE = "service"
    BATCH = "batch"
    WATCHER = "watcher"


class StopOutcome(enum.Enum):
    """Why a task no longer runs on its worker."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    LOST = "lost"


@attrs.frozen(kw_only=True, slots=True)
class TaskShape:
    """What an operator declares about a task.

    Parameters
    ----------
    task_id : str
        Identifier, the same for every attempt.
    team : str
        Team that owns the task.
    task_class : str
        Class that behaves alike, such as ``roster-build``.
    kind : TaskKind
        Service, batch or watcher.
    urgent : bool
        Whether batch tasks may be preempted for it.
    resources : Resources
        Declared size; the hard limit that its worker enforces.
    declared_run_ms : float
        Declared run time, in ms; ignored for services and watchers.
    service_target : float, optional
        Largest slowdown over running alone that the service bears, such as 1.1.
    """

    task_id: str
    team: str
    task_class: str
    kind: TaskKind
    urgent: bool
    resources: Resources
    declared_run_ms: float
    service_target: float | None = None


def bearable_excess(task: TaskShape) -> float:
    """Return how much slower than alone a service may be, as a ratio less one."""
    if task.service_target is None:
        return DEFAULT_BEARABLE
    return max(task.service_target - 1.0, _LEAST_BEARABLE)


@attrs.frozen(kw_only=True, slots=True)
class WorkerShape:
    """What is known about a worker.

    Parameters
    ----------
    worker_id : str
        Identifier.
    rack : str
        Rack that it stands in.
    failure_domain : str
        Failure domain of the rack.
    capacity : Resources
        What it has in all.
    """

    worker_id: str
    rack: str
    failure_domain: str
    capacity: Resources


@attrs.frozen(kw_only=True, slots=True)
class TaskUsage:
    """What one task used over a measuring window.

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
    """How much slower a service answered than it does alone.

    Parameters
    ----------
    task_id : str
        Service measured.
    slowdown : float
        Ratio to running alone; 1.0 is undisturbed.
    """

    task_id: str
    slowdown: float


@attrs.frozen(kw_only=True, slots=True)
class UsageReport:
    """One worker's measurements; they arrive late.

    Parameters
    ----------
    worker_id : str
        Worker measured.
    measured_at_ms : float
        End of the measuring window on the owner's clock, in ms.
    window_ms : float
        Length of the measuring window, in ms.
    usage : tuple of TaskUsage
        One entry for each running task.
    slowdowns : tuple of ServiceSlowdown
        One entry for each running service.
    """

    worker_id: str
    measured_at_ms: float
    window_ms: float = 10_000.0
    usage: tuple[TaskUsage, ...]
    slowdowns: tuple[ServiceSlowdown, ...]
