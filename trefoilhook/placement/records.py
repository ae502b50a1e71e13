"""Records of a shard's state: tasks, their earlier attempts, and workers."""

import enum
from collections import deque

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.resources import ZERO, Resources
from trefoilhook.placement.shapes import TaskShape, WorkerShape

__all__ = [
    "Earmark",
    "PressureSnapshot",
    "SlowdownSample",
    "TaskHistory",
    "TaskPhase",
    "TaskState",
    "WorkerHealth",
    "WorkerState",
]

_MAX_SNAPSHOTS = 32
_MAX_SLOWDOWN_SAMPLES = 8


class TaskPhase(enum.Enum):
    """Phase of a task on its worker; its resources are held in every phase."""

    RESERVED = "reserved"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.frozen(kw_only=True, slots=True)
class SlowdownSample:
    """One measured slowdown.

    Parameters
    ----------
    measured_at_ms : float
        End of the measurement window, in ms.
    slowdown : float
        Ratio to running alone.
    """

    measured_at_ms: float
    slowdown: float


@attrs.frozen(kw_only=True, slots=True)
class PressureSnapshot:
    """Pressure on a worker from a point in time on.

    Parameters
    ----------
    since_ms : float
        Time from which it applies, in ms.
    pressure : array, shape (CLASS_LIMIT,)
        Share of the worker's cores used by each class.
    load : float
        Sum of the shares.
    """

    since_ms: float
    pressure: npt.NDArray[np.float64]
    load: float


@attrs.define(kw_only=True)
class TaskState:
    """A task that holds resources on a worker.

    Parameters
    ----------
    shape : TaskShape
        Declaration of the task.
    worker_id : str
        Worker that holds it.
    class_index : int
        Index of its class in the interference model.
    reserved_at_ms : float
        When its resources were reserved, in ms.
    expected_cores : float
        Estimated core usage at full speed.
    """

    shape: TaskShape
    worker_id: str
    class_index: int
    reserved_at_ms: float
    expected_cores: float
    phase: TaskPhase = TaskPhase.RESERVED
    started_at_ms: float | None = None
    speed: float = 1.0
    speed_changed_at_ms: float = 0.0
    samples: deque[SlowdownSample] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_SLOWDOWN_SAMPLES)
    )


@attrs.define(kw_only=True)
class TaskHistory:
    """Outcome of earlier attempts of a task.

    Parameters
    ----------
    evictions : int
        Number of evictions and preemptions.
    evicted_at_ms : float, optional
        Time of the last eviction or preemption, in ms.
    progress_ms : float
        Run time saved in checkpoints, in ms.
    failed_on : set of str
        Workers that it failed on.
    """

    evictions: int = 0
    evicted_at_ms: float | None = None
    progress_ms: float = 0.0
    failed_on: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class WorkerHealth:
    """Failure record of a worker, used to tell faulty workers from faulty jobs.

    Parameters
    ----------
    failed_tasks : list of str
        Distinct tasks that failed since the last success.
    quarantined_until_ms : float, optional
        End of the quarantine, in ms; None outside quarantine.
    on_probation : bool
        Whether it is limited to one task at a time until one succeeds.
    quarantines : int
        Number of quarantines since the last success.
    """

    failed_tasks: list[str] = attrs.field(factory=list)
    quarantined_until_ms: float | None = None
    on_probation: bool = False
    quarantines: int = 0


@attrs.frozen(kw_only=True, slots=True)
class Earmark:
    """Resources of a worker that are kept free for one task.

    Parameters
    ----------
    task_id : str
        Task that the resources are kept for.
    worker_id : str
        Worker that provides the resources.
    resources : Resources
        Amount kept free.
    until_ms : float
        When the earmark expires, in ms.
    """

    task_id: str
    worker_id: str
    resources: Resources
    expires_at_ms: float


@attrs.define(kw_only=True)
class WorkerState:
    """State of a worker as known to its shard.

    Parameters
    ----------
    shape : WorkerShape
        Identity, location and capacity.
    slot : int
        Row in the shard's table.
    residents : dict of str to TaskState
        Tasks that hold resources on it, that is, are not confirmed stopped.
    reserved : Resources
        Sum of the residents' declared resources.
    """

    shape: WorkerShape
    slot: int
    residents: dict[str, TaskState] = attrs.field(factory=dict)
    reserved: Resources = ZERO
    earmarks: dict[str, Earmark] = attrs.field(factory=dict)
    snapshots: deque[PressureSnapshot] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_SNAPSHOTS)
    )
    health: WorkerHealth = attrs.field(factory=WorkerHealth)
    is_removed: bool = False
    last_report_ms: float = -np.inf
    acted_at_ms: float = -np.inf
    throttled_floor_since_ms: float | None = None
    calm_since_ms: float | None = None
