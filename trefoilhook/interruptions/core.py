"""Data classes of the report on interruptions."""

import attrs

__all__ = [
    "ACCEPTED",
    "JOB_ENDED",
    "NOT_LOGGED",
    "NO_OWNER",
    "STARTED",
    "STILL_WAITING",
    "UNKNOWN",
    "Interruption",
    "InterruptionReport",
    "OwnerWait",
    "RunEnd",
    "Wait",
]

NO_OWNER = "no owner"
"""Reason for the time between two owners."""

NOT_LOGGED = "not logged"
"""Reason for the time for which no line tells what the task waited for."""

ACCEPTED = "JOB_ACCEPTED"
"""Evidence for the start of the wait for a first run: the acceptance of the job."""

UNKNOWN = "unknown"
"""Evidence of a run's end of which no line tells."""

STARTED = "started"
STILL_WAITING = "still waiting"
JOB_ENDED = "job ended"


@attrs.frozen(kw_only=True)
class RunEnd:
    """End of a run as far as the logs prove it.

    Parameters
    ----------
    at_s : float
        When the run ended, in s since the Unix epoch. A run that was given up or lost
        is taken to have ended with the last answer of its worker, or when the
        connection was lost. One without evidence has ended no later than this.
    evidence : str
        Event and outcome that prove the end, or `UNKNOWN`.
    """

    at_s: float
    evidence: str


@attrs.frozen(kw_only=True)
class Wait:
    """Time for which a task waited for one thing.

    Parameters
    ----------
    waits_for : str
        Wait reason, as in ``TASK_WAITS``.
    awaits : tuple of str
        Workers of previous owners that the task waited for.
    duration_s : float
        Duration, in s.
    is_mixed : bool
        Whether the time includes waits for other things: only the main reason of the
        whole wait is in the logs.
    """

    waits_for: str
    awaits: tuple[str, ...] = ()
    duration_s: float
    is_mixed: bool = False


@attrs.frozen(kw_only=True)
class OwnerWait:
    """Share of one owner in an interruption.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    instance : str
        Instance that was the owner.
    claimed_s : float
        When it claimed the shard, or its first line if the claim is not in the logs, in
        s since the Unix epoch.
    duration_s : float
        Duration of the interruption under this owner, in s.
    waits : tuple of Wait
        What the task waited for, in order. Shorter in total than ``duration_s`` if
        part of the time was not logged.
    """

    epoch: int
    instance: str
    claimed_s: float
    duration_s: float
    waits: tuple[Wait, ...]


@attrs.frozen(kw_only=True)
class Interruption:
    """Time between two consecutive runs of a service task, or before its first one.

    Parameters
    ----------
    task : str
        Id of the task.
    last_attempt, last_worker : int, str
        The previous run; 0 and empty if there is none.
    end : RunEnd
        End of the previous run, or the acceptance of the job (`ACCEPTED`).
    owners : tuple of OwnerWait
        Owners during the interruption, in order.
    ownerless_s : float
        Time between two of them, in s.
    outcome : str
        `STARTED`, `STILL_WAITING` at the end of the logs, or `JOB_ENDED`.
    until_s : float
        When that was, in s since the Unix epoch.
    next_attempt, next_worker : int or None, str
        The next run; None and empty if there is none.
    duration_s : float
        Time since the end of the previous run, or the acceptance of the job, in s.
    main_reason : str
        What most of the time was spent on over all owners: a wait reason, `NO_OWNER` or
        `NOT_LOGGED`.
    """

    task: str
    last_attempt: int
    last_worker: str
    end: RunEnd
    owners: tuple[OwnerWait, ...]
    ownerless_s: float
    outcome: str
    until_s: float
    next_attempt: int | None = None
    next_worker: str = ""
    duration_s: float
    main_reason: str


@attrs.frozen(kw_only=True)
class InterruptionReport:
    """Interruptions of service tasks, the longest first.

    Parameters
    ----------
    interruptions : tuple of Interruption
        The interruptions.
    longest_s : float
        Duration of the longest one, in s.
    over : dict of str to int
        Number of interruptions that are longer than a time, by that time in s.
    reasons : dict of str to int
        Number of interruptions by main reason, the most frequent first.
    unread : dict of str to int
        Number of skipped lines, by reason.
    first_starts : tuple of Interruption
        Waits of service tasks for their first run, in descending order of duration. The
        other fields do not include them.
    """

    interruptions: tuple[Interruption, ...]
    longest_s: float
    over: dict[str, int]
    reasons: dict[str, int]
    unread: dict[str, int]
    first_starts: tuple[Interruption, ...] = ()
