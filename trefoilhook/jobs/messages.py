"""What workers tell of tasks, what they are told, and what must be recorded."""

import enum

import attrs

from trefoilhook.jobs.core import Attempt, JobSpec

__all__ = [
    "Commit",
    "Order",
    "OrderKind",
    "RecordKind",
    "JobRecord",
    "TaskNews",
    "TaskRef",
    "TaskStatus",
    "WorkerAddress",
]


@attrs.frozen(kw_only=True)
class WorkerAddress:
    """Where a worker is reached.

    Parameters
    ----------
    worker_id : str
        The worker.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    """

    worker_id: str
    host: str
    port: int


class TaskStatus(enum.Enum):
    """State of a task at its worker; a refused one was never started."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class TaskRef:
    """One attempt at one worker.

    Parameters
    ----------
    worker_id : str
        The worker.
    job_id : str
        The job.
    attempt : Attempt
        The attempt.
    """

    worker_id: str
    job_id: str
    attempt: Attempt


@attrs.frozen(kw_only=True)
class TaskNews:
    """What a worker says of one attempt.

    Parameters
    ----------
    ref : TaskRef
        The attempt.
    status : TaskStatus
        Its state.
    checkpoint : str
        Where it can resume from, once evicted.
    result : str
        What it returned, once finished or failed.
    """

    ref: TaskRef
    status: TaskStatus
    checkpoint: str = ""
    result: str = ""


class OrderKind(enum.Enum):
    """What a worker can be told."""

    START = "start"
    STOP = "stop"
    EVICT = "evict"
    THROTTLE = "throttle"
    ACKNOWLEDGE = "acknowledge"


@attrs.frozen(kw_only=True)
class Order:
    """One command to a worker.

    Parameters
    ----------
    kind : OrderKind
        What to do.
    ref : TaskRef
        The attempt it is about.
    spec : JobSpec or None
        The job to start.
    checkpoint : str
        Where to resume from; empty for the beginning.
    speed : float
        Part of full speed to run at, from 0 to 1, when throttling.
    """

    kind: OrderKind
    ref: TaskRef
    spec: JobSpec | None = None
    checkpoint: str = ""
    speed: float = 1.0


class RecordKind(enum.Enum):
    """Changes that must outlast the shard's owner."""

    ACCEPTED = "accepted"
    STARTING = "starting"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    ENDED = "ended"
    WORKER_ADDED = "worker added"
    WORKER_REMOVED = "worker removed"


@attrs.frozen(kw_only=True)
class JobRecord:
    """One recorded change.

    Parameters
    ----------
    kind : RecordKind
        Which change.
    job_id : str
        The job; empty when the change is about a worker.
    spec : JobSpec or None
        What was asked for, when accepted.
    attempt : Attempt or None
        The attempt, when starting or evicted.
    worker_id : str
        Its worker, when starting; the worker added or removed.
    host, port : str, int
        Address of the worker added.
    checkpoint : str
        Where the next attempt resumes from, when evicted.
    result_number : int
        Number of the result code, when ended.
    detail : str
        Reason, when ended without success.
    result : str
        What the worker returned, when ended.
    at_ms : float
        When it happened, in ms since the Unix epoch.
    """

    kind: RecordKind
    job_id: str
    spec: JobSpec | None = None
    attempt: Attempt | None = None
    worker_id: str = ""
    host: str = ""
    port: int = 0
    checkpoint: str = ""
    result_number: int = 0
    detail: str = ""
    result: str = ""
    at_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Commit:
    """A record to be committed, and what may be sent only once it is.

    Parameters
    ----------
    record : JobRecord
        The record.
    orders : tuple of Order
        Commands that wait for the commit. A result is acknowledged only then, since
        the worker forgets it on the acknowledgement; an attempt that must not be
        repeated is started only then, since a later owner must know of it.
    """

    record: JobRecord
    orders: tuple[Order, ...] = ()
