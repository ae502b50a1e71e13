"""Data classes of the loss report: causes, losses and their totals."""

import enum

import attrs

from trefoilhook.account.copies import CopyTotals
from trefoilhook.account.sizes import SizeOutcomes

__all__ = [
    "Cause",
    "JobLoss",
    "LossReport",
    "QueueLosses",
    "ServiceLosses",
    "ServiceShortfall",
    "TimeBin",
]


class Cause(enum.Enum):
    """Cause of a late or failed job, or of a service's missing or slow tasks."""

    REFUSED = "refused"
    """Never accepted: each attempt to submit was refused or got no answer."""

    CRASH_LOOP = "crash loop"
    """Failed because one of its tasks crashes the workers that start it."""

    FAILED = "failed"
    """Failed because one of its tasks failed too often."""

    NO_OWNER = "owner away"
    """The shard had no owner, or a new owner that didn't know the running tasks yet."""

    OWNER_OVERHEAD = "owner"
    """Placement, orders and writes of the owner, between the tasks."""

    NO_WORKER = "no worker"
    """No suitable worker accepted new tasks."""

    EVACUATED = "evacuated"
    """All suitable workers were in evacuated failure domains."""

    NO_ROOM = "no room"
    """The free capacity of all workers together was too small."""

    FRAGMENTED = "room in pieces"
    """The free capacity was sufficient in total, but not on any one worker."""

    RESERVED = "reserved"
    """The only worker with the capacity was reserved for another task."""

    INTERFERENCE = "not borne"
    """The task would have slowed service tasks on the same worker too much."""

    BEHIND_OTHERS = "behind others"
    """Too many similar tasks before it could not be placed."""

    ISOLATED = "kept apart"
    """Suspected of crashing its workers, the task waited to run alone."""

    WORKER_LIST_STALE = "list stale"
    """The list of workers had not been read from the store for too long."""

    RESTARTED = "restarted"
    """Attempts that failed, were stopped, or were lost with their worker."""

    THROTTLED = "slowed"
    """Runs throttled to protect service tasks on the same worker."""

    OVERRUN = "longer than declared"
    """Time that runs took beyond the client's estimate, without throttling."""

    RUNNING = "still running"
    """Runs that have not ended."""

    DECLARED_WORK = "declared work"
    """Time of runs within the client's estimate; not a loss."""

    LATENCY_BESIDE_BATCH = "tail beside batch work"
    """Service tasks over their latency limit beside batch tasks on the same worker."""

    LATENCY_OWN_LOAD = "own load"
    """Service tasks over their latency limit without batch tasks beside them."""

    STARTING = "starting"
    """Service tasks that are placed but not running yet."""

    UNKNOWN = "unknown"
    """Not determined by the logs."""


@attrs.frozen(kw_only=True)
class JobLoss:
    """A job that was late, failed or refused, or is overdue.

    Parameters
    ----------
    job, queue : str
        Ids of the job and of its queue.
    at_s : float
        When it was accepted or first refused, in s since the Unix epoch.
    cause : Cause
        The most expensive cause.
    late_ms : float
        Time past its objective, in ms; 0 for failed and refused jobs.
    spent_ms : dict of Cause to float
        All of its time by cause, in ms.
    """

    job: str
    queue: str
    at_s: float
    cause: Cause
    late_ms: float = 0.0
    spent_ms: dict[Cause, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class ServiceShortfall:
    """Missing and slow tasks of a long-running job in one period.

    Parameters
    ----------
    job, queue : str
        Ids of the job and of its queue.
    at_s : float
        When the period ended, in s since the Unix epoch.
    tasks : int
        Number of its tasks.
    lost : dict of Cause to float
        Tasks that were missing or over their latency limit, as means over the
        period.
    """

    job: str
    queue: str
    at_s: float
    tasks: int
    lost: dict[Cause, float]


@attrs.frozen(kw_only=True)
class QueueLosses:
    """Losses among the jobs of one queue that have an objective.

    Parameters
    ----------
    queue : str
        Id of the queue.
    judged : int
        Jobs with a known outcome.
    good : int
        Jobs that met their objective.
    lost : dict of Cause to int
        The other jobs, by their most expensive cause.
    late_ms : dict of Cause to float
        Time of these jobs past their objectives, in ms, by the same cause.
    """

    queue: str
    judged: int
    good: int
    lost: dict[Cause, int]
    late_ms: dict[Cause, float]


@attrs.frozen(kw_only=True)
class ServiceLosses:
    """Losses among the long-running jobs of one queue.

    Parameters
    ----------
    queue : str
        Id of the queue.
    jobs, periods : int
        Jobs with missing or slow tasks, and log periods in which they had some.
    task_s : dict of Cause to float
        Time for which tasks were missing or over their latency limit, in s.
    """

    queue: str
    jobs: int
    periods: int
    task_s: dict[Cause, float]


@attrs.frozen(kw_only=True)
class TimeBin:
    """Losses in one interval of time.

    Parameters
    ----------
    at_s : float
        Begin of the interval, in s from the first line.
    jobs : dict of Cause to int
        Lost jobs that were accepted or first refused in it.
    task_s : dict of Cause to float
        Time for which service tasks were missing or over their latency limit in it,
        in s.
    """

    at_s: float
    jobs: dict[Cause, int]
    task_s: dict[Cause, float]


@attrs.frozen(kw_only=True)
class LossReport:
    """Losses of jobs and services, by queue and over time.

    Parameters
    ----------
    began_s, ended_s : float
        Times of the first and the last line, in s since the Unix epoch.
    queues : tuple of QueueLosses
        Losses of jobs with an objective.
    services : tuple of ServiceLosses
        Losses of long-running jobs.
    moments : tuple of TimeBin
        Losses over time; intervals without any are left out.
    losses : tuple of JobLoss
        The lost jobs.
    unread : dict of str to int
        Number of skipped lines, by reason.
    copies : tuple of CopyTotals
        What copies of speculative tasks saved and cost, by outcome.
    sizes : tuple of SizeOutcomes
        Outcomes of jobs by queue and size.
    """

    began_s: float
    ended_s: float
    queues: tuple[QueueLosses, ...]
    services: tuple[ServiceLosses, ...]
    moments: tuple[TimeBin, ...]
    losses: tuple[JobLoss, ...]
    unread: dict[str, int]
    copies: tuple[CopyTotals, ...] = ()
    sizes: tuple[SizeOutcomes, ...] = ()
