"""Tracks how long jobs wait for workers, and which later jobs overtake them."""

import bisect
from collections.abc import Iterable, Sequence

import attrs

from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.ranking import TOO_LATE, get_lateness

__all__ = ["JobWait", "LateJob", "OvertakingTracker"]

_MAX_GAP_MS = 1000.0
"""Maximum time between two rounds that is counted as waiting, in ms."""

_STAGES = {1: "late", TOO_LATE: "too late"}


@attrs.define(kw_only=True)
class JobWait:
    """Waits of one job, as seen by the rounds.

    Parameters
    ----------
    seen_ms : float
        Time of the last round in which a task of it was waiting, in ms.
    waited_ms : float
        Time for which at least one task of it was waiting, in ms.
    overtaken : int
        Number of tasks of later jobs of at most its priority that were started in that
        time.
    overtaken_by_smaller : int
        Number of these tasks whose job has less work.
    overtaken_by : str
        Id of the job that overtook it last.
    lateness : int
        Lateness that was reported last.
    """

    seen_ms: float
    waited_ms: float = 0.0
    overtaken: int = 0
    overtaken_by_smaller: int = 0
    overtaken_by: str = ""
    lateness: int = 0


@attrs.frozen(kw_only=True)
class LateJob:
    """A job with waiting tasks that became late.

    Parameters
    ----------
    task : TaskState
        One of its waiting tasks.
    stage : str
        Whether it is late, or too late to be of value.
    wait : JobWait
        Its waits so far.
    """

    task: TaskState
    stage: str
    wait: JobWait


def _get_acceptance(job: JobState) -> float:
    return job.job.accepted_ms


@attrs.define(kw_only=True)
class OvertakingTracker:
    """Waits of all jobs with waiting tasks.

    Attributes
    ----------
    waits : dict of str to JobWait
        Waits by job id; removed when the end of the job is logged.
    late : list of LateJob
        Jobs that became late since the caller last cleared the list.
    """

    waits: dict[str, JobWait] = attrs.field(factory=dict, init=False)
    late: list[LateJob] = attrs.field(factory=list, init=False)

    def record_round(
        self,
        waiting: Iterable[Sequence[TaskState]],
        started: Iterable[TaskState],
        *,
        now_ms: float,
        wall_ms: float,
    ) -> None:
        """Record one round of assignment.

        Parameters
        ----------
        waiting : iterable of sequence of TaskState
            Tasks that the round considered, by step.
        started : iterable of TaskState
            Tasks that it placed.
        now_ms, wall_ms : float
            Current time, in ms.
        """
        starts = sorted((task.job for task in started), key=_get_acceptance)
        seen: set[str] = set()
        for tasks in waiting:
            task = next((each for each in tasks if not each.attempts), None)
            if task is None or task.step.long_running or task.task.job_id in seen:
                continue
            seen.add(task.task.job_id)
            wait = self._extend_wait(task, now_ms)
            _count_overtaking(wait, task.job, starts)
            lateness = get_lateness(task, wall_ms)
            if lateness > wait.lateness:
                wait.lateness = lateness
                self.late.append(LateJob(task=task, stage=_STAGES[lateness], wait=wait))

    def remove(self, job_id: str) -> JobWait | None:
        """Remove and return the waits of a job, or None if it has not waited."""
        return self.waits.pop(job_id, None)

    def _extend_wait(self, task: TaskState, now_ms: float) -> JobWait:
        wait = self.waits.setdefault(task.task.job_id, JobWait(seen_ms=now_ms))
        gap_ms = now_ms - wait.seen_ms
        if gap_ms <= _MAX_GAP_MS:
            wait.waited_ms += gap_ms
        wait.seen_ms = now_ms
        return wait


def _count_overtaking(wait: JobWait, job: JobState, starts: Sequence[JobState]) -> None:
    """Count the tasks of later jobs among the starts of a round, sorted by job."""
    first = bisect.bisect_right(starts, _get_acceptance(job), key=_get_acceptance)
    for other in starts[first:]:
        if other.priority < job.priority:
            continue
        wait.overtaken += 1
        wait.overtaken_by_smaller += other.work < job.work
        wait.overtaken_by = other.job.job_id
