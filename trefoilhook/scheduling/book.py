"""The jobs of a shard: what is done, what waits, what must be written."""

import attrs

from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.models import Job, Queue, Step, TaskId
from trefoilhook.scheduling.records import JobPhase, JobRecord, Progress
from trefoilhook.scheduling.suspicion import Suspicion, Unit

__all__ = ["Attempt", "JobState", "TaskState"]


@attrs.frozen(kw_only=True, eq=False)
class Attempt:
    """A run and the worker that it is on."""

    worker: Worker
    run: Run


@attrs.define(kw_only=True, eq=False)
class TaskState:
    """One task.

    Parameters
    ----------
    task : TaskId
        Its name.
    step : Step
        Its step.
    job : JobState
        Its job.
    attempts : list of Attempt
        Attempts that aren't proved over.
    last_attempt : int
        Highest number of an attempt so far.
    failed_on : set of str
        Workers where it failed.
    done : bool
        Whether it is done.
    waiting_since_ms : float or None
        Since when it has waited for a place, in ms, as far as rounds have seen it.
    held_until_ms : float
        It isn't started again before, in ms: workers were lost under it, and it is not
        proved that they crashed.
    """

    task: TaskId
    step: Step
    job: "JobState"
    attempts: list[Attempt] = attrs.Factory(list)
    last_attempt: int = 0
    failed_on: set[str] = attrs.Factory(set)
    done: bool = False
    waiting_since_ms: float | None = None
    held_until_ms: float = 0.0

    @property
    def unit(self) -> Unit:
        """What crashes are counted by: the task, or the gang that it is a member of."""
        return (
            self.task.occurrence,
            self.task.step,
            0 if self.step.gang else self.key[2],
        )

    @property
    def suspicion(self) -> Suspicion | None:
        """What speaks for it that it crashes its workers."""
        suspicions = self.job.progress.suspicions
        return suspicions.get(self.unit) if suspicions else None

    @property
    def key(self) -> tuple[int, int, int]:
        """Occurrence, step and index."""
        return self.task.occurrence, self.task.step, self.task.index

    def detach(self, run: Run) -> None:
        """Forget an attempt that is over."""
        self.attempts = [a for a in self.attempts if a.run is not run]


@attrs.define(kw_only=True, eq=False)
class JobState:
    """One job.

    Parameters
    ----------
    job : Job
        As it was submitted.
    revision : int
        Revision of its record in the store.
    progress : Progress
        What outlives this instance.
    progress_revision : int
        Revision of the progress in the store; 0 when there is none.
    phase : JobPhase
        How far it is.
    certain : bool
        Whether no earlier owner can have started a task of it.
    queue : Queue or None
        Its queue as last configured.
    version, saved_version : int
        Count of changes to what must last, and how many of them are in the store.
    phase_saved : bool
        Whether the phase is in the store.
    is_stale : bool
        Whether it had ended, with nothing left to do, when that was last looked at.
    started : bool
        Whether a task was ever started.
    marked : bool
        Whether the store still counts it among those that wait for their first start.
    tasks : dict of TaskId to TaskState
        Tasks of the steps that have begun.
    opened : set of (int, int)
        Steps that have begun, by occurrence.
    steps_left : int
        Steps that aren't done, over all occurrences.
    work : float
        Estimated work of one run of its steps, in core-milliseconds.
    due_ms : float
        Latest time of its latency objective, in ms since the Unix epoch.
    """

    job: Job
    revision: int
    progress: Progress = attrs.Factory(Progress)
    progress_revision: int = 0
    phase: JobPhase = JobPhase.OPEN
    certain: bool = True
    queue: Queue | None = None
    version: int = 0
    saved_version: int = 0
    phase_saved: bool = True
    is_stale: bool = False
    started: bool = False
    marked: bool = True
    tasks: dict[TaskId, TaskState] = attrs.Factory(dict)
    opened: set[tuple[int, int]] = attrs.Factory(set)
    steps_left: int = 0
    work: float = 0.0
    due_ms: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether tasks of it may still be started."""
        return self.phase is JobPhase.OPEN

    @property
    def is_saved(self) -> bool:
        """Whether the store holds all that must last."""
        return self.saved_version >= self.version and self.phase_saved

    def record(self) -> JobRecord:
        """Return the record as it should stand in the store."""
        return JobRecord(job=self.job, phase=self.phase)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        done = self.progress.done.get((occurrence, step))
        if not done:
            return False
        if self.job.steps[step].gang:
            # One end of a gang stands for all of its members.
            return True
        return len(done) >= self.job.steps[step].count

    def is_step_due(self, occurrence: int, step: int) -> bool:
        """Tell whether the tasks of a step may start, as far as order goes."""
        after = self.job.steps[step].after
        return all(self.is_step_done(occurrence, earlier) for earlier in after)

    def list_unit(self, unit: Unit) -> list[TaskState]:
        """Return the tasks that crashes are counted for together."""
        occurrence, step, index = unit
        if self.job.steps[step].gang:
            return [
                task
                for name, task in self.tasks.items()
                if (name.occurrence, name.step) == (occurrence, step)
            ]
        task = self.tasks.get(TaskId(self.job.job_id, occurrence, step, index))
        return [task] if task is not None else []

    def count_failures(self, task: TaskId) -> int:
        """Count the failed attempts that lead to the job's failure."""
        failed = self.progress.failed
        if self.job.steps[task.step].gang:
            return sum(
                len(numbers)
                for (occurrence, step, _), numbers in failed.items()
                if (occurrence, step) == (task.occurrence, task.step)
            )
        return len(failed.get((task.occurrence, task.step, task.index), ()))

    def find_task(self, task: TaskId) -> TaskState | None:
        """Return the state of a task, made anew for one known from elsewhere."""
        state = self.tasks.get(task)
        if state is not None:
            return state
        if not 0 <= task.step < len(self.job.steps):
            return None
        step = self.job.steps[task.step]
        if not (0 <= task.index < step.count and task.occurrence >= 0):
            return None
        state = TaskState(task=task, step=step, job=self)
        done = self.progress.done.get((task.occurrence, task.step), ())
        state.done = task.index in done or (step.gang and bool(done))
        numbers = self.progress.failed.get(state.key)
        if numbers:
            state.last_attempt = max(numbers)
        self.tasks[task] = state
        return state
