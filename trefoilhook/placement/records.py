"""Records that a shard's state is made of: tasks, their past, and workers."""

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

_SNAPSHOT_LIMIT = 32
_SAMPLE_LIMIT = 8


class TaskPhase(enum.Enum):
    """Where a task stands on its worker; every phase holds its resources."""

    RESERVED = "reserved"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.frozen(kw_only=True, slots=True)
class SlowdownSample:
    """One measured slowdown.

    Parameters
    ----------
    measured_at_ms : float
        When the measuring window ended, in ms.
    slowdown : float
        Ratio to running alone.
    """

    measured_at_ms: float
    slowdown: float


@attrs.frozen(kw_only=True, slots=True)
class PressureSnapshot:
    """What a worker carried from a time on.

    Parameters
    ----------
    since_ms : float
        From when it held, in ms.
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
        What was declared.
    worker_id : str
        Worker that holds it.
    class_index : int
        Index of its class in the interference model.
    reserved_at_ms : float
        When its resources were reserved, in ms.
    expected_cores : float
        Cores that it is believed to use at full speed.
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
        factory=lambda: deque(maxlen=_SAMPLE_LIMIT)
    )


@attrs.define(kw_only=True)
class TaskHistory:
    """What earlier attempts of a task left behind.

    Parameters
    ----------
    evictions : int
        Times it was evicted for the sake of services.
    evicted_at_ms : float, optional
        When it was last evicted, in ms.
    progress_ms : float
        Run time that its checkpoints hold, in ms.
    failed_on : set of str
        Sound workers that it failed on.
    """

    evictions: int = 0
    evicted_at_ms: float | None = None
    progress_ms: float = 0.0
    failed_on: set[str] = attrs.field(factory=set)


@attrs.define(kw_only=True)
class WorkerHealth:
    """What tells a worker that fails everything from jobs that fail everywhere.

    Parameters
    ----------
    failed_tasks : list of str
        Different tasks that failed in a row, with no success in between.
    quarantined_until_ms : float, optional
        End of the quarantine, in ms; none while the worker is trusted.
    on_probation : bool
        Whether it gets one task at a time until one succeeds.
    quarantines : int
        Quarantines since the last success.
    """

    failed_tasks: list[str] = attrs.field(factory=list)
    quarantined_until_ms: float | None = None
    on_probation: bool = False
    quarantines: int = 0


@attrs.frozen(kw_only=True, slots=True)
class Earmark:
    """Room on a worker that is kept for one urgent task.

    Parameters
    ----------
    task_id : str
        Task that the room is for.
    worker_id : str
        Worker that makes room.
    resources : Resources
        Size of the room.
    until_ms : float
        When the room is given up, in ms.
    """

    task_id: str
    worker_id: str
    resources: Resources
    until_ms: float


@attrs.define(kw_only=True)
class WorkerState:
    """A worker as its shard sees it.

    Parameters
    ----------
    shape : WorkerShape
        What it has.
    slot : int
        Its row in the shard's table.
    residents : dict of str to TaskState
        Tasks that hold resources on it, not proved stopped.
    reserved : Resources
        Sum of the residents' declared sizes.
    """

    shape: WorkerShape
    slot: int
    residents: dict[str, TaskState] = attrs.field(factory=dict)
    reserved: Resources = ZERO
    earmarks: dict[str, Earmark] = attrs.field(factory=dict)
    snapshots: deque[PressureSnapshot] = attrs.field(
        factory=lambda: deque(maxlen=_SNAPSHOT_LIMIT)
    )
    health: WorkerHealth = attrs.field(factory=WorkerHealth)
    withdrawn: bool = False
    last_report_ms: float = -np.inf
    acted_at_ms: float = -np.inf
    throttled_floor_since_ms: float | None = None
    calm_since_ms: float | None = None
