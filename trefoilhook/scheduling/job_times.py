"""Where the time of completed jobs went, by stage of their critical path.

The objective of an urgent job leaves little time beside the declared duration of its
tasks. Each stage between acceptance and completion can use it up: the owner learns of
the job, a round considers its tasks, they wait for a worker, their orders are sent,
they run, and the end of the job is recorded.
"""

import enum
from collections import Counter

import attrs

from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.job_state import JobState, TaskState

__all__ = ["JobTimes", "QueueTimes", "Stage", "TimeTracker"]


class Stage(enum.Enum):
    """Stage of a job's critical path."""

    LEARNING = "learning"
    """From the acceptance until this owner knew the job."""

    PLANNING = "planning"
    """From there, or from the end of the step before, to the first round."""

    WAITING = "waiting"
    """For a worker, after the first round."""

    RETRYING = "retrying"
    """From there to the wait of the last attempt, if earlier attempts have ended."""

    ORDERING = "ordering"
    """From the placement until the start order was sent."""

    RUNNING = "running"
    """Run time up to the declared duration."""

    OVERRUN = "overrun"
    """Further run time until the owner applied the end. It includes the report of the
    end, which is late by the lag of the event loop."""

    RECORDING = "recording"
    """From the end of the last step until the end of the job was stored."""


@attrs.define(kw_only=True)
class JobTimes:
    """Times of one job.

    Parameters
    ----------
    at_ms : float
        Time up to which the job's time is attributed, in ms.
    by_stage : Counter of Stage
        Time by stage, in ms.
    waited_for : Counter of str
        Waiting time by reason, in ms.
    """

    at_ms: float
    by_stage: Counter[Stage] = attrs.Factory(Counter)
    waited_for: Counter[str] = attrs.Factory(Counter)

    def add(self, stage: Stage, duration_ms: float) -> None:
        """Attribute a duration to a stage, in ms."""
        if duration_ms > 0.0:
            self.by_stage[stage] += duration_ms  # type: ignore[assignment]

    def record_step_end(self, task: TaskState, run: Run, now_ms: float) -> None:
        """Attribute the time of a step to the run that completed it."""
        waited_ms = min(run.waited_ms, max(0.0, run.placed_ms - self.at_ms))
        before = Stage.RETRYING if run.is_retry else Stage.PLANNING
        self.add(before, run.placed_ms - waited_ms - self.at_ms)
        self.add(Stage.WAITING, waited_ms)
        if waited_ms > 0.0:
            reason = run.wait_reason.value if run.wait_reason is not None else ""
            self.waited_for[reason] += waited_ms  # type: ignore[assignment]
        sent_ms = max(run.started_ms, self.at_ms)
        self.add(Stage.ORDERING, sent_ms - max(run.placed_ms, self.at_ms))
        ran_ms = now_ms - sent_ms
        self.add(Stage.RUNNING, min(ran_ms, task.step.estimate_ms))
        self.add(Stage.OVERRUN, ran_ms - task.step.estimate_ms)
        self.at_ms = now_ms


@attrs.define(kw_only=True)
class QueueTimes:
    """Times of the jobs of one queue that were completed in a period.

    Parameters
    ----------
    jobs, late : int
        Number of jobs, and of those that missed their objective.
    by_stage : Counter of Stage
        Total time by stage, in ms.
    waited_for : Counter of str
        Total waiting time by reason, in ms.
    """

    jobs: int = 0
    late: int = 0
    by_stage: Counter[Stage] = attrs.Factory(Counter)
    waited_for: Counter[str] = attrs.Factory(Counter)


@attrs.define(kw_only=True)
class TimeTracker:
    """Times of the open jobs that this owner has learned of, and totals by queue."""

    _jobs: dict[str, JobTimes] = attrs.field(factory=dict, init=False)
    _queues: dict[str, QueueTimes] = attrs.field(factory=dict, init=False)

    def begin(self, state: JobState, *, now_ms: float, wall_ms: float) -> None:
        """Record that this owner has learned of a new job.

        Scheduled jobs have no acceptance to count from, and jobs of previous owners
        have times that this one does not know.
        """
        if state.is_new and state.is_open and not state.job.repeats:
            times = JobTimes(at_ms=now_ms)
            times.add(Stage.LEARNING, wall_ms - state.job.accepted_ms)
            self._jobs[state.job.job_id] = times

    def record_step_end(self, task: TaskState, run: Run, now_ms: float) -> None:
        """Record that a run has completed a step of its job."""
        times = self._jobs.get(task.task.job_id)
        if times is not None:
            times.record_step_end(task, run, now_ms)

    def finish(
        self, state: JobState, *, now_ms: float, is_late: bool
    ) -> JobTimes | None:
        """Remove and return the times of a job whose end is stored, if they are known.

        The times of completed jobs are added to the totals of their queue.
        """
        times = self._jobs.pop(state.job.job_id, None)
        if times is None:
            return None
        times.add(Stage.RECORDING, now_ms - times.at_ms)
        totals = self._queues.setdefault(state.job.queue, QueueTimes())
        totals.jobs += 1
        totals.late += is_late
        totals.by_stage.update(times.by_stage)
        totals.waited_for.update(times.waited_for)
        return times

    def forget(self, job_id: str) -> None:
        """Remove the times of a job that is no longer known."""
        self._jobs.pop(job_id, None)

    def take_totals(self) -> dict[str, QueueTimes]:
        """Return the totals by queue since the last call."""
        totals = self._queues
        self._queues = {}
        return totals
