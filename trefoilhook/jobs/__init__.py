"""Job lifecycle: acceptance, placement, execution on one worker, and completion."""

from trefoilhook.jobs.core import Attempt, Job, JobSpec, JobState
from trefoilhook.jobs.journal import JobJournal
from trefoilhook.jobs.messages import JobRecord, RecordKind, WorkerAddress
from trefoilhook.jobs.registry import JobRegistry
from trefoilhook.jobs.runner import ShardRunner
from trefoilhook.jobs.service import JobService
from trefoilhook.jobs.sessions import WorkerSession, compose_epoch
from trefoilhook.jobs.settings import JobSettings

__all__ = [
    "Attempt",
    "Job",
    "JobRegistry",
    "JobJournal",
    "JobRecord",
    "JobService",
    "JobSettings",
    "JobSpec",
    "JobState",
    "RecordKind",
    "ShardRunner",
    "WorkerAddress",
    "WorkerSession",
    "compose_epoch",
]
