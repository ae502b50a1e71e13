"""Times for which nothing of a batch job runs although a task of it is due."""

import heapq
import math
from collections.abc import Collection, Iterable
from typing import TypeVar

import attrs

from trefoilhook.scheduling.reason_times import ReasonTimes

__all__ = [
    "PREVIOUS_OWNER",
    "EndedIdleJob",
    "IdleJob",
    "IdleJobTracker",
    "select_longest",
]

_INTERVAL_PER_JOB_MS = 1.0
_MAX_INTERVAL_MS = 800.0
"""Minimum time between two records per idle job, and its maximum, in ms. A record of
600 jobs takes 7 ms, which is 1 % of a core each 600 ms. A time between two rounds of
over a second counts for no reason."""

_MAX_REASONS = 4
"""Maximum number of wait reasons in a description."""

_MAX_ENDED = 100
"""Maximum number of ended times that are kept until they are logged."""

_MIN_ENDED_MS = 1000.0
"""Minimum duration of an ended time that is kept, in ms."""

PREVIOUS_OWNER = "previous owner"
"""Reason for the time before this owner."""


STARTED = "started"
FOUND_RUNNING = "found running"
NOT_WAITING = "not waiting"


@attrs.frozen(kw_only=True)
class IdleJob:
    """A batch job with nothing running, as its owner sees it.

    Parameters
    ----------
    job, queue : str
        Ids of the job and of its queue.
    idle_ms : int
        Time for which nothing of it has run while a task was due, in ms. Includes what
        the previous owner handed on.
    entitled_ms : int
        Time for which, without interruption until now, its service has been mostly idle
        with capacity for two of its tasks, in ms.
    longest_entitled_ms : int
        Longest such time within the whole one, in ms.
    waits_for : str
        Reason for which its first waiting step was not placed in the last round.
    reasons_ms : dict of str to int
        Time by reason, in ms; the four longest.
    idle_share : float
        Fraction of its service's processors without reservation in the last round.
    silent_runs : int
        Number of its tasks with runs on workers that don't answer, in the last round.
    """

    job: str
    queue: str
    idle_ms: int
    entitled_ms: int
    longest_entitled_ms: int
    waits_for: str
    reasons_ms: dict[str, int]
    idle_share: float
    silent_runs: int = 0


@attrs.frozen(kw_only=True)
class EndedIdleJob(IdleJob):
    """A batch job that was idle.

    Parameters
    ----------
    outcome : str
        `STARTED`, `FOUND_RUNNING` (a previous owner had started it) or `NOT_WAITING`
        (it has ended, or no task of it is due).
    ended_ago_ms : int
        Time since then, in ms.
    """

    outcome: str
    ended_ago_ms: int


@attrs.define(kw_only=True)
class _Wait:
    queue: str
    since_ms: float
    times: ReasonTimes[str]
    idle_share: float = 0.0
    silent_runs: int = 0
    entitled_since_ms: float | None = None
    longest_entitled_ms: float = 0.0

    def advance(self, now_ms: float) -> None:
        """Count the time since the last call for the last reason."""
        if now_ms > self.times.recorded_ms:
            self.times.record(self.times.reason, now_ms)
        self.longest_entitled_ms = max(
            self.longest_entitled_ms, self.measure_entitled(now_ms)
        )

    def measure_entitled(self, now_ms: float) -> float:
        """Return for how long the conditions of an entitlement have held, in ms."""
        if self.entitled_since_ms is None:
            return 0.0
        return max(0.0, now_ms - self.entitled_since_ms)


@attrs.frozen(kw_only=True)
class _End:
    job: IdleJob
    outcome: str
    at_ms: float


@attrs.define(kw_only=True)
class IdleJobTracker:
    """Batch jobs with due tasks and no run, and for how long and why."""

    _waits: dict[str, _Wait] = attrs.Factory(dict)
    _ended: list[tuple[float, int, _End]] = attrs.Factory(list)
    _ends: int = 0
    _recorded_ms: float = -math.inf
    _dropped: int = 0

    def record(
        self,
        job_id: str,
        *,
        queue: str,
        reason: str,
        idle_share: float,
        is_entitled: bool,
        since_ms: float,
        now_ms: float,
        silent_runs: int = 0,
        earlier_reason: str = PREVIOUS_OWNER,
    ) -> None:
        """Record that nothing of a job runs after a round.

        Parameters
        ----------
        job_id, queue : str
            Ids of the job and of its queue.
        reason : str
            Why its first waiting step was not placed.
        idle_share : float
            Fraction of its service's processors without reservation.
        is_entitled : bool
            Whether its service is mostly idle with capacity for two of its tasks.
        since_ms : float
            Time since when nothing of it has run, if this is not known yet, in ms.
        now_ms : float
            Current time, in ms.
        silent_runs : int, optional
            Number of its tasks with runs on workers that don't answer.
        earlier_reason : str, optional
            Reason for the time since ``since_ms``. Unless a previous owner has handed
            it on, the conditions of an entitlement count as met in it.
        """
        wait = self._waits.get(job_id)
        if wait is None:
            since_ms = min(since_ms, now_ms)
            times = ReasonTimes(recorded_ms=now_ms, reason=reason)
            if since_ms < now_ms:
                times.by_reason[earlier_reason] += round(now_ms - since_ms)
            wait = _Wait(queue=queue, since_ms=since_ms, times=times)
            if is_entitled and earlier_reason != PREVIOUS_OWNER:
                wait.entitled_since_ms = since_ms
            self._waits[job_id] = wait
        wait.advance(now_ms)
        wait.times.reason = reason
        wait.idle_share = idle_share
        wait.silent_runs = silent_runs
        if not is_entitled:
            wait.entitled_since_ms = None
        elif wait.entitled_since_ms is None:
            wait.entitled_since_ms = now_ms

    def record_start(self, job_id: str, now_ms: float) -> None:
        """Record that a task of a job was placed."""
        if job_id in self._waits:
            self.end(job_id, placed_ms=now_ms, now_ms=now_ms)

    def is_due(self, now_ms: float) -> bool:
        """Return whether the jobs are to be recorded after a round, and note that."""
        interval_ms = min(len(self._waits) * _INTERVAL_PER_JOB_MS, _MAX_INTERVAL_MS)
        if now_ms - self._recorded_ms < interval_ms:
            return False
        self._recorded_ms = now_ms
        return True

    def list_others(self, idle: Collection[str]) -> list[str]:
        """Return the recorded jobs that are not in ``idle``."""
        return [job_id for job_id in self._waits if job_id not in idle]

    def end(self, job_id: str, *, placed_ms: float | None, now_ms: float) -> None:
        """Record that a job runs again, or that no task of it is due any more.

        Parameters
        ----------
        job_id : str
            Id of the job.
        placed_ms : float or None
            Time at which the first of its runs was placed, in ms; None without a run.
        now_ms : float
            Current time, in ms.
        """
        wait = self._waits.pop(job_id)
        outcome, at_ms = NOT_WAITING, now_ms
        if placed_ms is not None and placed_ms < wait.since_ms:
            outcome = FOUND_RUNNING
        elif placed_ms is not None:
            outcome, at_ms = STARTED, placed_ms
        if at_ms - wait.since_ms < _MIN_ENDED_MS:
            return
        job = _describe(job_id, wait, at_ms)
        ended = _End(job=job, outcome=outcome, at_ms=at_ms)
        self._ends += 1
        entry = (at_ms - wait.since_ms, self._ends, ended)
        if len(self._ended) < _MAX_ENDED:
            heapq.heappush(self._ended, entry)
        else:
            heapq.heappushpop(self._ended, entry)
            self._dropped += 1

    def list_jobs(self, *, min_idle_ms: float, now_ms: float) -> list[IdleJob]:
        """Return the jobs of which nothing has run for a time, in any order."""
        return [
            _describe(job_id, wait, now_ms)
            for job_id, wait in self._waits.items()
            if now_ms - wait.since_ms >= min_idle_ms
        ]

    def take_ended(self, now_ms: float) -> tuple[list[EndedIdleJob], int]:
        """Return the longest ended times and the number of others, and forget them."""
        ended = [
            EndedIdleJob(
                **attrs.asdict(end.job),
                outcome=end.outcome,
                ended_ago_ms=round(now_ms - end.at_ms),
            )
            for _, _, end in self._ended
        ]
        dropped, self._dropped = self._dropped, 0
        self._ended.clear()
        return ended, dropped


_JobT = TypeVar("_JobT", bound=IdleJob)


def select_longest(jobs: Iterable[_JobT], count: int) -> list[_JobT]:
    """Return the jobs to log, those longest entitled to a run first.

    Half of them are those with the longest entitlement, which the users' rule concerns;
    the others have waited longest.
    """
    by_entitlement = sorted(
        jobs, key=lambda job: (-job.longest_entitled_ms, -job.idle_ms, job.job)
    )
    selected = by_entitlement[: count // 2]
    rest = sorted(by_entitlement[count // 2 :], key=lambda job: (-job.idle_ms, job.job))
    return selected + rest[: count - len(selected)]


def _describe(job_id: str, wait: _Wait, now_ms: float) -> IdleJob:
    wait.advance(now_ms)
    return IdleJob(
        job=job_id,
        queue=wait.queue,
        idle_ms=round(now_ms - wait.since_ms),
        entitled_ms=round(wait.measure_entitled(now_ms)),
        longest_entitled_ms=round(wait.longest_entitled_ms),
        waits_for=wait.times.reason,
        reasons_ms={
            reason: round(waited_ms)
            for reason, waited_ms in wait.times.list_times()[:_MAX_REASONS]
        },
        idle_share=round(wait.idle_share, 3),
        silent_runs=wait.silent_runs,
    )
