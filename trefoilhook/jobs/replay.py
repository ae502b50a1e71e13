"""Reconstruction of jobs and workers from journal records."""

from trefoilhook.jobs.core import Job, JobState
from trefoilhook.jobs.messages import JobRecord, RecordKind, WorkerAddress

__all__ = ["replay_record"]


def replay_record(
    record: JobRecord,
    *,
    jobs: dict[str, Job],
    workers: dict[str, WorkerAddress],
) -> None:
    """Apply one record; must be called for all records in journal order.

    Jobs that have not ended are held, because a previous owner may have started them
    and the workers have not been queried yet.

    Parameters
    ----------
    record : JobRecord
        Record to apply.
    jobs, workers : dict
        Jobs and workers by id, modified in place.
    """
    if record.kind is RecordKind.WORKER_ADDED:
        workers[record.worker_id] = WorkerAddress(
            worker_id=record.worker_id, host=record.host, port=record.port
        )
    elif record.kind is RecordKind.WORKER_REMOVED:
        workers.pop(record.worker_id, None)
    elif record.kind is RecordKind.ACCEPTED and record.spec is not None:
        jobs.setdefault(record.job_id, Job(spec=record.spec, state=JobState.HELD))
    elif record.job_id in jobs:
        _replay_change(jobs[record.job_id], record)


def _replay_change(job: Job, record: JobRecord) -> None:
    if record.kind is RecordKind.STARTING:
        job.is_start_recorded = True
        job.attempt = record.attempt
        job.worker_id = record.worker_id
    elif record.kind is RecordKind.EVICTED:
        job.checkpoint = record.checkpoint
        job.is_start_recorded = False
    elif record.kind is RecordKind.CANCELLED:
        job.is_cancelled = True
    elif record.kind is RecordKind.ENDED:
        job.state = JobState.ENDED
        job.result_number = record.result_number
        job.detail = record.detail
        job.result = record.result
        job.ended_ms = record.at_ms
