"""What the admin API needs of the rest of the instance, and its messages."""

from typing import Literal, Protocol

import attrs

from trefoilhook.burn.core import BurnReport
from trefoilhook.settings import declare, declare_section, is_name, is_within

__all__ = [
    "AdminBackend",
    "CancelRefusal",
    "CancelReport",
    "ClusterStatus",
    "InForceReport",
    "InstanceRevision",
    "InstanceStatus",
    "JobBody",
    "JobListing",
    "JobQuery",
    "JobRecord",
    "JobResources",
    "JobSubmission",
    "Kind",
    "ReadyReport",
    "ShardStatus",
    "StoreStatus",
]

Kind = Literal["batch", "watcher", "service"]

_MAX_CORES = 100_000
_MAX_BYTES = 1 << 50
_MAX_RUN_MS = 31_536_000_000
_MAX_PAYLOAD_CHARACTERS = 65_536
_MAX_LABEL_CHARACTERS = 128


def _is_label(value: str) -> str | None:
    if 1 <= len(value) <= _MAX_LABEL_CHARACTERS and value.isprintable():
        return None
    return f"must be 1 to {_MAX_LABEL_CHARACTERS} printable characters"


def _is_payload(value: str) -> str | None:
    if len(value) <= _MAX_PAYLOAD_CHARACTERS:
        return None
    return f"must have at most {_MAX_PAYLOAD_CHARACTERS} characters"


@attrs.frozen(kw_only=True)
class JobResources:
    """Declared size of a job's task."""

    cores: float = declare(
        default=1.0,
        unit="cores",
        description="Processor.",
        check=is_within(0.001, _MAX_CORES),
    )
    memory_bytes: int = declare(
        default=268_435_456,
        unit="bytes",
        description="Memory.",
        check=is_within(1, _MAX_BYTES),
    )
    accelerators: int = declare(
        default=0, description="Accelerators.", check=is_within(0, _MAX_CORES)
    )


@attrs.frozen(kw_only=True)
class JobBody:
    """What an operator sends to create a job, a watcher or a service."""

    name: str = declare(description="Name for people.", check=_is_label)
    job_id: str | None = declare(
        default=None,
        description="Id chosen by the operator; the same submission sent again is the "
        "same job. Made by the system when not given.",
        check=is_name,
    )
    task_class: str = declare(
        default="default",
        description="Tasks of one class are alike in size, run time and interference.",
        check=_is_label,
    )
    is_urgent: bool = declare(
        default=False, description="Whether the task goes before others."
    )
    is_idempotent: bool = declare(
        default=False,
        description="Whether the task may run again after an unknown outcome.",
    )
    resources: JobResources = declare_section(
        JobResources, description="Declared size of the task."
    )
    declared_run_ms: int = declare(
        default=60_000,
        unit="ms",
        description="Expected run time.",
        check=is_within(0, _MAX_RUN_MS),
    )
    payload: str = declare(
        default="", description="What the task gets on its start.", check=_is_payload
    )


@attrs.frozen(kw_only=True)
class JobSubmission:
    """A job to record.

    Parameters
    ----------
    job_id : str
        Id of the job; recorded once, however often it is submitted.
    team : str
        Whose job.
    kind : str
        ``batch``, ``watcher`` or ``service``.
    body : JobBody
        What the operator sent.
    """

    job_id: str
    team: str
    kind: Kind
    body: JobBody


@attrs.frozen(kw_only=True)
class JobRecord:
    """A job as its owner sees it.

    Parameters
    ----------
    job_id, team, name : str
        Which job.
    kind : str
        ``batch``, ``watcher`` or ``service``.
    state : str
        State of the job, such as ``queued``, ``running`` or ``finished``.
    worker_id : str, optional
        Where its latest attempt was placed.
    attempt_epoch, attempt_sequence : int, optional
        Number of the latest attempt.
    result_number : int, optional
        Number of the result code; 0 until the job ended.
    detail, result, explanation : str, optional
        Why it ended, what it brought, and why it waits or where it was placed.
    submitted_ms : int, optional
        When it was recorded, in ms since the Unix epoch.
    is_ended : bool, optional
        Whether nothing more will happen to it.
    """

    job_id: str
    team: str
    name: str
    kind: str
    state: str
    worker_id: str = ""
    attempt_epoch: int = 0
    attempt_sequence: int = 0
    result_number: int = 0
    detail: str = ""
    result: str = ""
    explanation: str = ""
    submitted_ms: int = 0
    is_ended: bool = False


@attrs.frozen(kw_only=True)
class JobQuery:
    """Which page of a team's jobs.

    Parameters
    ----------
    team : str
        Whose jobs.
    kind : str
        Which kind.
    after_job_id : str
        Id after which the page begins; empty for the first page.
    limit : int
        Most jobs of the page.
    """

    team: str
    kind: Kind
    after_job_id: str
    limit: int


@attrs.frozen(kw_only=True)
class JobListing:
    """A page of jobs; ``next_after`` is empty on the last one."""

    jobs: tuple[JobRecord, ...]
    next_after: str = ""


@attrs.frozen(kw_only=True)
class CancelRefusal:
    """A job that was not cancelled, with the number of the result code."""

    job_id: str
    result_number: int
    detail: str


@attrs.frozen(kw_only=True)
class CancelReport:
    """What became of a batch of cancellations."""

    cancelled: tuple[str, ...]
    refused: tuple[CancelRefusal, ...] = ()


@attrs.frozen(kw_only=True)
class InstanceStatus:
    """An instance as the answering one sees it.

    Parameters
    ----------
    instance_id, failure_domain, region : str
        Which instance, and where.
    address : str
        Inner address.
    state : str
        ``live``, ``leaving`` or ``unreachable``.
    applied_revision : int
        Store revision up to which it has applied changes.
    is_store_reachable : bool
        Whether it reaches the store.
    shard_count : int
        Number of shards it owns.
    """

    instance_id: str
    failure_domain: str
    region: str
    address: str
    state: str
    applied_revision: int
    is_store_reachable: bool
    shard_count: int


@attrs.frozen(kw_only=True)
class ShardStatus:
    """A shard with its owner's instance id, empty without one, and its epoch."""

    shard_id: str
    owner_instance_id: str
    epoch: int


@attrs.frozen(kw_only=True)
class StoreStatus:
    """Health of the store as the answering instance sees it.

    Parameters
    ----------
    is_reachable : bool
        Whether the latest call was answered.
    revision : int
        Newest revision seen.
    unreachable_for_ms : float
        How long no call was answered, in ms.
    """

    is_reachable: bool
    revision: int
    unreachable_for_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ClusterStatus:
    """Instances, shards, revision in force and health of the store.

    Parameters
    ----------
    instance_id : str
        The answering instance.
    instances : tuple of InstanceStatus
        All known instances.
    shards : tuple of ShardStatus
        All shards.
    store : StoreStatus
        Health of the store.
    revision_in_force : int
        Revision that every live instance has applied.
    """

    instance_id: str
    instances: tuple[InstanceStatus, ...]
    shards: tuple[ShardStatus, ...]
    store: StoreStatus
    revision_in_force: int


@attrs.frozen(kw_only=True)
class InstanceRevision:
    """Revision up to which one instance has applied changes."""

    instance_id: str
    revision: int


@attrs.frozen(kw_only=True)
class InForceReport:
    """Whether a revision is in force on every live instance."""

    revision: int
    is_in_force: bool
    instances: tuple[InstanceRevision, ...] = ()


@attrs.frozen(kw_only=True)
class ReadyReport:
    """Whether a balancer should send to this instance, and why not."""

    is_ready: bool
    reason: str = ""


class AdminBackend(Protocol):
    """What the instance does for the admin API.

    Every method may raise a ``TrefoilhookError``; its code is what the operator gets.
    """

    async def read_status(self) -> ClusterStatus:
        """Return instances, shards, revision and store health."""

    async def drain_instance(self, instance_id: str) -> None:
        """Make an instance hand over its shards and leave."""

    async def declare_gone(self, instance_id: str) -> None:
        """Record that an instance is gone for good."""

    async def submit_job(self, submission: JobSubmission) -> JobRecord:
        """Record a job durably; the same id again returns the job recorded first."""

    async def list_jobs(self, query: JobQuery) -> JobListing:
        """Return a page of a team's jobs."""

    async def read_job(
        self, *, team: str, job_id: str, is_explained: bool
    ) -> JobRecord:
        """Return one job; raises RequestError with NOT_FOUND for an unknown one."""

    async def cancel_jobs(self, *, team: str, job_ids: tuple[str, ...]) -> CancelReport:
        """Cancel jobs and tell what became of each."""

    async def wait_in_force(self, *, revision: int, timeout_ms: float) -> InForceReport:
        """Wait until a revision is in force on every live instance, or for a time."""

    async def read_burn(self, *, team: str | None) -> BurnReport:
        """Return the report on service-level burn of a team, or of all."""

    def check_ready(self) -> ReadyReport:
        """Tell whether a balancer should send to this instance."""

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
