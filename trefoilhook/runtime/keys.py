"""Where the system keeps what must last, in the platform's store."""

__all__ = [
    "SHARD",
    "epoch_key",
    "job_key",
    "job_prefix",
    "learned_key",
    "owner_key",
    "ownership_prefix",
    "progress_key",
    "progress_prefix",
    "read_job_id",
    "roster_key",
    "waiting_key",
    "waiting_prefix",
]

SHARD = 0
"""The shard that all jobs and workers of a deployment of today's size belong to."""


def ownership_prefix(shard: int) -> str:
    """Return what the keys of a shard's ownership begin with."""
    return f"shard/{shard}/own/"


def owner_key(shard: int) -> str:
    """Return the key that the owner holds under its lease."""
    return ownership_prefix(shard) + "owner"


def epoch_key(shard: int) -> str:
    """Return the key with the number of the last ownership; it stays."""
    return ownership_prefix(shard) + "epoch"


def roster_key(shard: int) -> str:
    """Return the key with the workers on which the owner may have started a task."""
    return f"shard/{shard}/roster"


def learned_key(shard: int) -> str:
    """Return the key of what the owner has learned about interference."""
    return f"shard/{shard}/learned"


def job_prefix(shard: int) -> str:
    """Return what the keys of job records begin with."""
    return f"shard/{shard}/job/"


def job_key(shard: int, job_id: str) -> str:
    """Return the key of a job's record."""
    return job_prefix(shard) + job_id


def progress_prefix(shard: int) -> str:
    """Return what the keys of jobs' progress begin with."""
    return f"shard/{shard}/progress/"


def progress_key(shard: int, job_id: str) -> str:
    """Return the key of a job's progress."""
    return progress_prefix(shard) + job_id


def waiting_prefix(shard: int, queue: str) -> str:
    """Return what the marks of a queue's jobs without a start begin with."""
    return f"shard/{shard}/waiting/{queue}/"


def waiting_key(shard: int, queue: str, job_id: str) -> str:
    """Return the key of the mark that no task of a job has started."""
    return waiting_prefix(shard, queue) + job_id


def read_job_id(key: str) -> str:
    """Return the job that a key belongs to."""
    return key.rpartition("/")[2]
