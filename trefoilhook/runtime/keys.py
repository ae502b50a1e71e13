"""Keys of the persistent state in the platform's store."""

__all__ = [
    "SHARD",
    "durations_key",
    "epoch_key",
    "groups_key",
    "job_key",
    "job_prefix",
    "interference_key",
    "owner_key",
    "ownership_prefix",
    "page_key",
    "page_prefix",
    "placed_prefix",
    "progress_key",
    "progress_prefix",
    "queues_key",
    "urgent_demands_key",
    "read_job_id",
    "roster_key",
    "waits_key",
    "waiting_key",
    "waiting_prefix",
]

SHARD = 0
"""The only shard: all jobs and workers of a deployment belong to it."""


def ownership_prefix(shard: int) -> str:
    """Return the prefix of a shard's ownership keys."""
    return f"shard/{shard}/own/"


def owner_key(shard: int) -> str:
    """Return the key of the owner, which is attached to its lease."""
    return ownership_prefix(shard) + "owner"


def epoch_key(shard: int) -> str:
    """Return the persistent key of the last ownership's epoch."""
    return ownership_prefix(shard) + "epoch"


def roster_key(shard: int) -> str:
    """Return the key of the workers on which the owner may have started a task."""
    return f"shard/{shard}/roster"


def placed_prefix(shard: int) -> str:
    """Return the prefix of the keys that tell where tasks may have been started."""
    return f"shard/{shard}/placed/"


def groups_key(shard: int) -> str:
    """Return the key of the groups inside which starts need no place."""
    return placed_prefix(shard) + "head"


def page_prefix(shard: int) -> str:
    """Return the prefix of the pages of places."""
    return placed_prefix(shard) + "page/"


def page_key(shard: int, epoch: int, number: int) -> str:
    """Return the key of a page of places."""
    return f"{page_prefix(shard)}{epoch}/{number}"


def interference_key(shard: int) -> str:
    """Return the key of the interference estimates."""
    return f"shard/{shard}/learned"


def durations_key(shard: int) -> str:
    """Return the key of the learned durations of tasks."""
    return f"shard/{shard}/durations"


def urgent_demands_key(shard: int) -> str:
    """Return the key of the recent demands of urgent tasks."""
    return f"shard/{shard}/demands"


def queues_key(shard: int) -> str:
    """Return the key of the known queues."""
    return f"shard/{shard}/queues"


def waits_key(shard: int) -> str:
    """Return the key of the waiting times at the end of the last planned ownership."""
    return f"shard/{shard}/waits"


def job_prefix(shard: int) -> str:
    """Return the prefix of job record keys."""
    return f"shard/{shard}/job/"


def job_key(shard: int, job_id: str) -> str:
    """Return the key of a job's record."""
    return job_prefix(shard) + job_id


def progress_prefix(shard: int) -> str:
    """Return the prefix of job progress keys."""
    return f"shard/{shard}/progress/"


def progress_key(shard: int, job_id: str) -> str:
    """Return the key of a job's progress."""
    return progress_prefix(shard) + job_id


def waiting_prefix(shard: int, queue: str) -> str:
    """Return the prefix of the markers of a queue's jobs that have not started."""
    return f"shard/{shard}/waiting/{queue}/"


def waiting_key(shard: int, queue: str, job_id: str) -> str:
    """Return the key of the marker that no task of a job has started."""
    return waiting_prefix(shard, queue) + job_id


def read_job_id(key: str) -> str:
    """Return the id of the job that a key belongs to."""
    return key.rpartition("/")[2]
