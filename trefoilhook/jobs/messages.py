"""Task updates from workers, orders to workers, and journal records."""

import enum

import attrs

from trefoilhook.jobs.core import Attempt, JobSpec

__all__ = [
    "Commit",
    "Order",
    "OrderKind",
    "RecordKind",
    "JobRecord",
    "TaskUpdate",
    "TaskRef",
    "TaskStatus",
    "WorkerAddress",
]


@attrs.frozen(kw_only=True)
class WorkerAddress:
    """Network address of a worker.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    host : str
        IP address.
    port : int
        TCP port.
    """

    worker_id: str
    host: str
    port: int


class TaskStatus(enum.Enum):
    """State of a task on its worker; a refused task was never started."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class TaskRef:
    """Reference to one attempt on one worker.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    job_id : str
        Id of the job.
    attempt : Attempt
        Attempt of the job.
    """

    worker_id: str
    job_id: str
    attempt: Attempt


@attrs.frozen(kw_only=True)
class TaskUpdate:
    """State of one attempt as reported by its worker.

    Parameters
    ----------
    ref : TaskRef
        Reference to the attempt.
    status : TaskStatus
        State of the task.
    checkpoint : str
        Checkpoint to resume from, once evicted.
    result : str
        Result, once finished or failed.
    """

    ref: TaskRef
    status: TaskStatus
    checkpoint: str = ""
    result: str = ""


class OrderKind(enum.Enum):
    """Kind of an order to a worker."""

    START = "start"
    STOP = "stop"
    EVICT = "evict"
    THROTTLE = "throttle"
    ACKNOWLEDGE = "acknowledge"


@attrs.frozen(kw_only=True)
class Order:
    """Command to be sent to a worker.

    Parameters
    ----------
    kind : OrderKind
        Kind of the order.
    ref : TaskRef
        Attempt that the order applies to.
    spec : JobSpec or None
        Job to start, for start orders.
    checkpoint : str
        Checkpoint to resume from; empty to start from scratch.
    speed : float
        Fraction of full speed to run at, from 0 to 1, for throttle orders.
    """

    kind: OrderKind
    ref: TaskRef
    spec: JobSpec | None = None
    checkpoint: str = ""
    speed: float = 1.0


class RecordKind(enum.Enum):
    """Kind of a state change that must survive the loss of the shard's owner."""

    ACCEPTED = "accepted"
    STARTING = "starting"
    EVICTED = "evicted"
    CANCELLED = "cancelled"
    ENDED = "ended"
    WORKER_ADDED = "worker added"
    WORKER_REMOVED = "worker removed"


@attrs.frozen(kw_only=True)
class JobRecord:
    """Journal record of one state change.

    Parameters
    ----------
    kind : RecordKind
        Kind of the change.
    job_id : str
        Id of the job; empty if the change concerns a worker.
    spec : JobSpec or None
        Specification of the job, when accepted.
    attempt : Attempt or None
        Attempt of the job, when starting or evicted.
    worker_id : str
        Worker of the attempt, when starting; otherwise the worker added or removed.
    host, port : str, int
        Address of the worker added.
    checkpoint : str
        Checkpoint from which the next attempt resumes, when evicted.
    result_number : int
        Number of the result code, when ended.
    detail : str
        Reason for the failure, when ended without success.
    result : str
        Result returned by the worker, when ended.
    at_ms : float
        Time of the change, in ms since the Unix epoch.
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
    """Record to be committed, with the orders that depend on its commit.

    Parameters
    ----------
    record : JobRecord
        Record to commit.
    orders : tuple of Order
        Orders that are sent only after the commit: acknowledgements of results, since
        the worker discards an acknowledged result, and starts of jobs that are not
        idempotent, since a later owner must know of them.
    """

    record: JobRecord
    orders: tuple[Order, ...] = ()
