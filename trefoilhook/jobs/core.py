"""Job specifications, attempts and job states."""

import enum

import attrs

from trefoilhook.inner.messages_pb2 import JobSubmit
from trefoilhook.placement import Resources, TaskKind, TaskShape

__all__ = ["Attempt", "Job", "JobSpec", "JobState"]


class JobState(enum.Enum):
    """Lifecycle state of a job."""

    HELD = "held"
    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


@attrs.frozen(kw_only=True, order=True)
class Attempt:
    """Identifier of one attempt to run a job.

    Ordered by the owner's epoch first. Each owner therefore numbers its attempts
    without access to the store, and every attempt of a later owner compares greater.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that started the attempt.
    sequence : int
        Sequence number within the epoch.
    """

    epoch: int
    sequence: int


@attrs.frozen(kw_only=True)
class JobSpec:
    """Specification of a job, as submitted by an operator.

    Parameters
    ----------
    job_id : str
        Unique id, chosen by the operator or by the instance that accepted the request.
    team : str
        Team that the job belongs to.
    name : str
        Human-readable name.
    kind : TaskKind
        Batch job, long-running watcher or service.
    is_urgent : bool
        Whether the job takes precedence over others and may preempt running tasks.
    is_idempotent : bool
        Whether the job may be run again when the outcome of an attempt is unknown.
    resources : Resources
        Declared resource requirements.
    declared_run_ms : int
        Declared run time, in ms.
    payload : str
        Payload passed to the worker.
    task_class : str
        Class whose resource usage and slowdowns are estimated jointly.
    submitted_ms : float
        Time of acceptance, in ms since the Unix epoch.
    """

    job_id: str
    team: str
    name: str
    kind: TaskKind
    is_urgent: bool
    is_idempotent: bool
    resources: Resources
    declared_run_ms: int
    payload: str
    task_class: str
    submitted_ms: float

    @classmethod
    def from_message(cls, message: JobSubmit, *, submitted_ms: float) -> "JobSpec":
        """Build a specification from a submission message.

        Raises
        ------
        ValueError
            If the kind is unknown.
        """
        return cls(
            job_id=message.job_id,
            team=message.team,
            name=message.name,
            kind=TaskKind(message.kind),
            is_urgent=message.is_urgent,
            is_idempotent=message.is_idempotent,
            resources=Resources(
                cores=message.resources.cores,
                memory_bytes=message.resources.memory_bytes,
                accelerators=message.resources.accelerators,
            ),
            declared_run_ms=message.declared_run_ms,
            payload=message.payload,
            task_class=message.task_class or message.name,
            submitted_ms=submitted_ms,
        )

    def build_shape(self) -> TaskShape:
        """Return the task shape that is passed to placement."""
        return TaskShape(
            task_id=self.job_id,
            team=self.team,
            task_class=self.task_class,
            kind=self.kind,
            urgent=self.is_urgent,
            resources=self.resources,
            declared_run_ms=float(self.declared_run_ms),
        )


@attrs.define(kw_only=True)
class Job:
    """State of one job, as known to the owner of its shard.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job.
    state : JobState
        Lifecycle state.
    attempt : Attempt or None
        Most recent attempt.
    worker_id : str
        Worker of the most recent attempt.
    checkpoint : str
        Checkpoint from which the next attempt resumes; empty to start from scratch.
    is_cancelled : bool
        Whether an operator has cancelled the job.
    is_start_recorded : bool
        Whether the journal contains a start record. Only written for jobs that are not
        idempotent.
    result_number : int
        Number of the result code, once the job has ended.
    detail : str
        Reason for the failure, once the job has ended without success.
    result : str
        Result returned by the worker.
    ended_ms : float
        End time, in ms since the Unix epoch; 0 while the job has not ended.
    """

    spec: JobSpec
    state: JobState
    attempt: Attempt | None = None
    worker_id: str = ""
    checkpoint: str = ""
    is_cancelled: bool = False
    is_start_recorded: bool = False
    result_number: int = 0
    detail: str = ""
    result: str = ""
    ended_ms: float = 0.0

    @property
    def is_active(self) -> bool:
        """Whether an attempt may be running on a worker."""
        return self.state in (JobState.STARTING, JobState.RUNNING, JobState.STOPPING)
