"""Whether batch jobs run, and since when nothing of them has run.

A run on a worker that does not answer may be over long before the owner can prove it.
Until then its task is not started again, but for clients nothing of it runs. A job
therefore runs only while one of its runs is on a worker that answers.
"""

import math
from collections.abc import Iterator

import attrs

from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import Attempt, JobState

__all__ = [
    "IdleTimes",
    "find_last_sign",
    "has_confirmed_runs",
    "has_live_runs",
    "list_silent_attempts",
]


def has_live_runs(job: JobState) -> bool:
    """Return whether a run of a job, or its start, is on a worker that answers."""
    return any(_is_live(attempt) for attempt in _list_attempts(job))


def has_confirmed_runs(job: JobState) -> bool:
    """Return whether a worker that answers has confirmed a run of a job."""
    return any(
        _is_live(attempt) and attempt.run.is_confirmed
        for attempt in _list_attempts(job)
    )


def list_silent_attempts(job: JobState) -> list[Attempt]:
    """Return the attempts of a job on workers that don't answer."""
    return [
        attempt for attempt in _list_attempts(job) if attempt.worker.silence is not None
    ]


def find_last_sign(worker: Worker, run: Run) -> float:
    """Return the time of the last answer that shows a run, in ms.

    It is minus infinity if no answer does.
    """
    if not run.is_confirmed:
        return -math.inf
    if run.confirmed_ms == math.inf:
        return worker.clock_read_ms
    return max(worker.clock_read_ms, run.confirmed_ms)


def _list_attempts(job: JobState) -> Iterator[Attempt]:
    for task in job.tasks.values():
        yield from task.attempts


def _is_live(attempt: Attempt) -> bool:
    return attempt.worker.silence is None and attempt.run.phase is not RunPhase.STOPPING


@attrs.define(kw_only=True)
class IdleTimes:
    """Since when nothing of batch jobs with due tasks has run.

    Such a time begins with the last answer that shows a run of the job, and lasts until
    a worker confirms another one, whoever is the owner then.
    """

    _since_ms: dict[str, float] = attrs.field(factory=dict, init=False)
    _ended_ms: dict[str, float] = attrs.field(factory=dict, init=False)
    _inherited: set[str] = attrs.field(factory=set, init=False)
    _unowned_since_ms: float = attrs.field(default=math.inf, init=False)

    def find_since(self, job_id: str) -> float | None:
        """Return since when nothing of a job has run, in ms; None if it runs."""
        return self._since_ms.get(job_id)

    def is_inherited(self, job_id: str) -> bool:
        """Return whether the time of a job began under a previous owner."""
        return job_id in self._inherited

    def list_since(self) -> dict[str, float]:
        """Return since when nothing of jobs has run, by job id, in ms."""
        return dict(self._since_ms)

    def record_end(self, job_id: str, last_sign_ms: float) -> None:
        """Record the release of a run.

        Parameters
        ----------
        job_id : str
            Id of its job.
        last_sign_ms : float
            Time of the last answer that shows the run, in ms.
        """
        if last_sign_ms == -math.inf:
            return
        times = self._since_ms if job_id in self._since_ms else self._ended_ms
        times[job_id] = max(times.get(job_id, last_sign_ms), last_sign_ms)

    def restore(self, job_id: str, since_ms: float) -> None:
        """Restore the time that the previous owner has recorded, in ms."""
        self._since_ms[job_id] = since_ms
        self._inherited.add(job_id)

    def assume_unowned(self, since_ms: float) -> None:
        """Record that no owner has started anything since a time, in ms.

        Applies to the jobs that the next update finds without runs.
        """
        self._unowned_since_ms = since_ms

    def update(self, jobs: dict[str, JobState], now_ms: float) -> None:
        """Record which jobs are due in a round; all others are forgotten.

        Parameters
        ----------
        jobs : dict of str to JobState
            Batch jobs with tasks that wait, with runs on workers that don't answer, or
            with starts that no worker has confirmed, by id.
        now_ms : float
            Current time, in ms.
        """
        idle = {
            job_id: job for job_id, job in jobs.items() if not has_confirmed_runs(job)
        }
        for job_id in self._since_ms.keys() - idle.keys():
            del self._since_ms[job_id]
            self._inherited.discard(job_id)
        for job_id, job in idle.items():
            if job_id not in self._since_ms:
                self._begin(job, now_ms)
        self._ended_ms.clear()
        self._unowned_since_ms = math.inf

    def _begin(self, job: JobState, now_ms: float) -> None:
        job_id = job.job.job_id
        last_sign_ms = self._find_last_sign(job)
        if last_sign_ms > -math.inf:
            self._since_ms[job_id] = min(last_sign_ms, now_ms)
        elif job.is_new or self._unowned_since_ms > now_ms:
            self._since_ms[job_id] = now_ms
        else:
            self.restore(job_id, self._unowned_since_ms)

    def _find_last_sign(self, job: JobState) -> float:
        signs = [
            find_last_sign(attempt.worker, attempt.run)
            for attempt in list_silent_attempts(job)
        ]
        signs.append(self._ended_ms.get(job.job.job_id, -math.inf))
        return max(signs)
