"""Message types exchanged between a worker and its owner.

A worker has one owner at a time: the holder of its lease at the highest epoch. Messages
with a lower epoch are refused. A task is one attempt of a job, identified by the job id
and the epoch and sequence of the attempt; later attempts compare greater.
"""

import enum

import attrs

from trefoilhook.placement import Resources

__all__ = [
    "CommandKind",
    "CommandResult",
    "CommandStatus",
    "Resources",
    "TaskState",
    "TaskUsage",
    "UsageReport",
    "WorkerCommand",
    "WorkerHeartbeat",
    "WorkerInventory",
    "WorkerTask",
]


class TaskState(enum.Enum):
    """State of a task on its worker; all states except RUNNING are final."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"


class CommandKind(enum.Enum):
    """Kind of a command for one task."""

    START = "start"
    CHECKPOINT_EVICT = "checkpoint_evict"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"
    ACKNOWLEDGE = "acknowledge"


class CommandStatus(enum.Enum):
    """Outcome of a command.

    DONE: the command was executed. ALREADY_DONE: an earlier command had the same
    effect, or the task has ended. NO_CAPACITY: the worker lacks capacity for a start.
    UNKNOWN_TASK: the task does not exist; a stop is remembered, so that a delayed start
    of the task is refused. STALE_ATTEMPT: start of an attempt that was stopped or
    acknowledged, or is older than a known one. NOT_POSSIBLE: the command is invalid in
    the task's current state.
    """

    DONE = "done"
    ALREADY_DONE = "already_done"
    NO_CAPACITY = "no_capacity"
    UNKNOWN_TASK = "unknown_task"
    STALE_ATTEMPT = "stale_attempt"
    NOT_POSSIBLE = "not_possible"


@attrs.frozen(kw_only=True)
class WorkerTask:
    """State of one task, as known to its worker.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    state : TaskState
        State of the task.
    resources : Resources
        Resources reserved while the task runs.
    task_class : str, optional
        Class of the task, as given at its start.
    checkpoint : str, optional
        Checkpoint from which a later attempt resumes, once evicted.
    result : str, optional
        Result of the task, or the reason for its failure.
    """

    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    state: TaskState
    resources: Resources
    task_class: str = ""
    checkpoint: str = ""
    result: str = ""


@attrs.frozen(kw_only=True)
class WorkerInventory:
    """Capacity and tasks of a worker, returned when its lease is acquired.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    capacity : Resources
        Total capacity of the worker.
    tasks : tuple of WorkerTask
        Running tasks, and ended tasks that have not been acknowledged.
    """

    worker_id: str
    capacity: Resources
    tasks: tuple[WorkerTask, ...]


@attrs.frozen(kw_only=True)
class TaskUsage:
    """Measured resource usage of one task.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    task_class : str
        Class of the task, as given at its start.
    resources : Resources
        Resources used.
    slowdown : float
        Time per unit of work, relative to running alone; at least 1.
    is_throttled : bool
        Whether the task was throttled at the time of the measurement.
    """

    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    task_class: str
    resources: Resources
    slowdown: float
    is_throttled: bool


@attrs.frozen(kw_only=True)
class UsageReport:
    """Usage measurements of all tasks of a worker.

    Parameters
    ----------
    age_ms : float
        Age of the measurement when the worker sent it, in ms.
    usages : tuple of TaskUsage
        One entry per task that was running at the time.
    """

    age_ms: float
    usages: tuple[TaskUsage, ...]


@attrs.frozen(kw_only=True)
class WorkerHeartbeat:
    """Response to a lease renewal.

    Parameters
    ----------
    tasks : tuple of WorkerTask
        Ended tasks that have not been acknowledged.
    report : UsageReport, optional
        Latest usage report; None if there is none yet.
    """

    tasks: tuple[WorkerTask, ...]
    report: UsageReport | None = None


@attrs.frozen(kw_only=True)
class WorkerCommand:
    """Command for one task.

    Parameters
    ----------
    kind : CommandKind
        Kind of the command.
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    resources : Resources, optional
        START: resources that the task may use.
    task_class : str, optional
        START: class of the task.
    declared_run_ms : float, optional
        START: declared run time, in ms; 0 if unlimited.
    payload : str, optional
        START: payload of the job.
    checkpoint : str, optional
        START: checkpoint to resume from.
    throttle_factor : float, optional
        THROTTLE: fraction of its CPU time that the task keeps, above 0 and below 1.
    """

    kind: CommandKind
    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    resources: Resources | None = None
    task_class: str = ""
    declared_run_ms: float = 0.0
    payload: str = ""
    checkpoint: str = ""
    throttle_factor: float = 0.5


@attrs.frozen(kw_only=True)
class CommandResult:
    """Result of one command; results are in the order of the commands.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    status : CommandStatus
        Outcome of the command.
    task : WorkerTask, optional
        State of the task afterwards; None if the worker does not have the task.
    """

    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    status: CommandStatus
    task: WorkerTask | None = None
