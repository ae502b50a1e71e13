"""Typed messages between the owner of a worker and the worker.

A worker obeys one owner at a time: the one that took its lease at the highest epoch.
Whatever carries an older epoch is refused. A task is one attempt of a job, named by the
job and the attempt's epoch and sequence; a later attempt compares greater.
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
    """Where a task stands at its worker; all but RUNNING are final."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"


class CommandKind(enum.Enum):
    """What a worker is told to do with one task."""

    START = "start"
    CHECKPOINT_EVICT = "checkpoint_evict"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"
    ACKNOWLEDGE = "acknowledge"


class CommandStatus(enum.Enum):
    """What came of a command.

    DONE: carried out. ALREADY_DONE: an earlier command has had this effect, or the task
    has ended. NO_CAPACITY: a start that the worker has no room for. UNKNOWN_TASK: no
    such task; a stop is remembered, so that its start is refused if it comes later.
    STALE_ATTEMPT: a start of an attempt that was stopped or acknowledged, or that is
    older than one known. NOT_POSSIBLE: makes no sense for the task's state.
    """

    DONE = "done"
    ALREADY_DONE = "already_done"
    NO_CAPACITY = "no_capacity"
    UNKNOWN_TASK = "unknown_task"
    STALE_ATTEMPT = "stale_attempt"
    NOT_POSSIBLE = "not_possible"


@attrs.frozen(kw_only=True)
class WorkerTask:
    """One task as its worker knows it.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    state : TaskState
        Where it stands.
    resources : Resources
        What it holds while it runs.
    task_class : str, optional
        Class that it was started under.
    checkpoint : str, optional
        What a later attempt resumes from, once evicted.
    result : str, optional
        What it answered, or why it failed.
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
    """All that a worker holds, told to an owner that takes its lease.

    Parameters
    ----------
    worker_id : str
        The worker.
    capacity : Resources
        All that it has.
    tasks : tuple of WorkerTask
        What runs, and what has ended and was not acknowledged.
    """

    worker_id: str
    capacity: Resources
    tasks: tuple[WorkerTask, ...]


@attrs.frozen(kw_only=True)
class TaskUsage:
    """What one task was measured to use.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    task_class : str
        Class that it was started under.
    resources : Resources
        What it used.
    slowdown : float
        Time for a piece of its work over the time when running alone; at least 1.
    is_throttled : bool
        Whether it was throttled then.
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
    """A measurement of all tasks of a worker.

    Parameters
    ----------
    age_ms : float
        How long ago it was made when the worker sent it, in ms.
    usages : tuple of TaskUsage
        One for each task that ran then.
    """

    age_ms: float
    usages: tuple[TaskUsage, ...]


@attrs.frozen(kw_only=True)
class WorkerHeartbeat:
    """Answer to a renewal.

    Parameters
    ----------
    tasks : tuple of WorkerTask
        Tasks that have ended and were not acknowledged.
    report : UsageReport, optional
        The newest measurement; None before there is one.
    """

    tasks: tuple[WorkerTask, ...]
    report: UsageReport | None = None


@attrs.frozen(kw_only=True)
class WorkerCommand:
    """One thing to do with one task.

    Parameters
    ----------
    kind : CommandKind
        What to do.
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    resources : Resources, optional
        START: what the task may hold.
    task_class : str, optional
        START: class of the task.
    declared_run_ms : float, optional
        START: how long it is said to run, in ms; 0 for no end.
    payload : str, optional
        START: what to run.
    checkpoint : str, optional
        START: where to resume.
    throttle_factor : float, optional
        THROTTLE: share of its processor time that the task keeps, over 0 and below 1.
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
    """What came of one command, in the order of the commands.

    Parameters
    ----------
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    status : CommandStatus
        What came of it.
    task : WorkerTask, optional
        The task afterwards; None when the worker holds none.
    """

    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    status: CommandStatus
    task: WorkerTask | None = None
