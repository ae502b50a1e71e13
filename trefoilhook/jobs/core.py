"""What a job is and the states it goes through."""

import enum

import attrs

from trefoilhook.inner.messages_pb2 import JobSubmit
from trefoilhook.placement import Resources, TaskKind, TaskShape

__all__ = ["Attempt", "Job", "JobSpec", "JobState"]


class JobState(enum.Enum):
    """Where a job stands."""

    HELD = "held"
    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


@attrs.frozen(kw_only=True, order=True)
class Attempt:
    """Number of one try at running a job.

    The owner's epoch stands in front, so that each owner numbers its attempts alone,
    without the store, and every attempt of a later owner is larger.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that started it.
    sequence : int
        Count within the epoch.
    """

    epoch: int
    sequence: int


@attrs.frozen(kw_only=True)
class JobSpec:
    """What an operator asked for.

    Parameters
    ----------
    job_id : str
        Identity, chosen by the operator or by the instance that took the request.
    team : str
        Team that the job belongs to.
    name : str
        Name for people.
    kind : TaskKind
        Batch job, long-lived watcher or service.
    is_urgent : bool
        Starts ahead of others, also when the workers are full.
    is_idempotent : bool
        May be run again when it isn't known whether an attempt ran to its end.
    resources : Resources
        Declared size.
    declared_run_ms : int
        Declared run time, in ms.
    payload : str
        What the worker is handed.
    task_class : str
        Class whose usage and slowdowns are learned together.
    submitted_ms : float
        When it was accepted, in ms since the Unix epoch.
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
        """Read a submitted job.

        Raises
        ------
        ValueError
            If the kind is none of the known ones.
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
        """Return what placement needs to know of the job."""
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
    """One job as its owner knows it.

    Parameters
    ----------
    spec : JobSpec
        What was asked for.
    state : JobState
        Where it stands.
    attempt : Attempt or None
        Latest attempt.
    worker_id : str
        Worker of the latest attempt.
    checkpoint : str
        Where the next attempt resumes from; empty for the beginning.
    is_cancelled : bool
        An operator wants it stopped.
    is_start_recorded : bool
        The journal says that a start was about to be sent; kept only for jobs that are
        not idempotent.
    result_number : int
        Number of the result code, once ended.
    detail : str
        Reason, once ended without success.
    result : str
        What the worker returned.
    ended_ms : float
        When it ended, in ms since the Unix epoch; 0 before.
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
        """Whether an attempt may be running."""
        return self.state in (JobState.STARTING, JobState.RUNNING, JobState.STOPPING)
