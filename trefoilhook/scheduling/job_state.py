"""State of the jobs of a shard: completed and waiting tasks, and unsaved changes."""

from collections.abc import Callable

import attrs

from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.messages import EndKind
from trefoilhook.scheduling.models import Job, Queue, Step, TaskId
from trefoilhook.scheduling.records import JobPhase, JobRecord, Progress
from trefoilhook.scheduling.suspicion import Suspicion, Unit

__all__ = ["Attempt", "JobState", "TaskState", "UnitState"]

_MAX_SEEN_CHECKPOINTS = 64
"""Maximum number of checkpoints of a gang that are remembered. A member that lags
behind by more of them would lower the checkpoint."""


@attrs.frozen(kw_only=True, eq=False)
class Attempt:
    """A run and its worker."""

    worker: Worker
    run: Run


@attrs.define(kw_only=True, eq=False)
class UnitState:
    """State of a task, or of a gang, whose members start and end together.

    Parameters
    ----------
    failed_on : set of str
        Workers on which the task, or a member of the gang, failed.
    failed_in_turn_on : set of str
        Workers on which it failed since it last ran successfully.
    held_until_ms : float
        Time until which it is not started again, in ms. Set if workers were lost while
        it ran there, without proof that they crashed.
    survived_attempt : int
        Attempt that counted last as a run without a crash; 0 for none.
    """

    failed_on: set[str] = attrs.Factory(set)
    failed_in_turn_on: set[str] = attrs.Factory(set)
    held_until_ms: float = 0.0
    survived_attempt: int = 0


@attrs.define(kw_only=True, eq=False)
class TaskState:
    """State of one task.

    Parameters
    ----------
    task : TaskId
        Id of the task.
    step : Step
        Step of the task.
    job : JobState
        Job of the task.
    shared : UnitState
        State that the members of its gang share.
    attempts : list of Attempt
        Attempts that are not proved over.
    last_attempt : int
        Highest attempt number so far.
    done : bool
        Whether it is completed.
    waiting_since_ms : float or None
        Time since when it has waited for a worker, as seen by the rounds, in ms.
    last_worker : str
        Worker of the attempt that ended last; empty if unknown to this owner.
    last_end : EndKind or None
        How that attempt ended; None if unknown to this owner.
    """

    task: TaskId
    step: Step
    job: "JobState"
    shared: UnitState = attrs.Factory(UnitState)
    attempts: list[Attempt] = attrs.Factory(list)
    last_attempt: int = 0
    done: bool = False
    waiting_since_ms: float | None = None
    last_worker: str = ""
    last_end: EndKind | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of this owner or a previous one may have been started.

        Of a job that a previous owner has started, the service tasks that it has placed
        count as having run. If it has not recorded them, all tasks do.
        """
        if self.last_attempt > 0:
            return True
        if not self.job.started or self.job.is_new:
            return False
        placed = self.job.progress.placed.get((self.task.occurrence, self.task.step))
        return placed is None or self.task.index in placed

    @property
    def unit(self) -> Unit:
        """Unit for which crashes are counted: the task, or the gang it belongs to."""
        return (
            self.task.occurrence,
            self.task.step,
            0 if self.step.gang else self.key[2],
        )

    @property
    def suspicion(self) -> Suspicion | None:
        """Evidence that the task crashes its workers, if any."""
        suspicions = self.job.progress.suspicions
        return suspicions.get(self.unit) if suspicions else None

    @property
    def key(self) -> tuple[int, int, int]:
        """Occurrence, step and index."""
        return self.task.occurrence, self.task.step, self.task.index

    def detach(self, run: Run) -> None:
        """Remove an attempt that is over."""
        self.attempts = [a for a in self.attempts if a.run is not run]

    def record_end(self, worker: Worker, kind: EndKind) -> None:
        """Record where and how an attempt ended."""
        self.last_worker = worker.report.worker_id
        self.last_end = kind
        if kind is EndKind.FAILED:
            self.shared.failed_on.add(self.last_worker)


@attrs.define(kw_only=True, eq=False)
class JobState:
    """State of one job.

    Parameters
    ----------
    job : Job
        The job as submitted.
    revision : int
        Revision of its record in the store.
    progress : Progress
        Persistent progress.
    progress_revision : int
        Revision of the progress in the store; 0 if there is none.
    phase : JobPhase
        Phase of the job.
    is_new : bool
        Whether no previous owner can have started a task of it.
    queue : Queue or None
        Its queue in the latest known configuration that contains it.
    accepted_queue : Queue or None
        Its queue at the time of acceptance; None if the record does not contain it.
    version, saved_version : int
        Numbers of the last change to its persistent state and of the last saved one.
        The changes of all jobs share one sequence of numbers.
    min_unsaved_version : int
        Lower bound of the numbers of its unsaved changes, if there are any.
    phase_saved : bool
        Whether the phase is saved.
    is_stale : bool
        Whether it had ended, and all changes were saved, at the last check.
    started : bool
        Whether a task of it was ever started.
    is_listed_waiting : bool
        Whether the store still lists it among the jobs that wait for their first start.
    tasks : dict of TaskId to TaskState
        Tasks of the opened steps.
    opened : set of (int, int)
        Occurrence and index of the opened steps.
    steps_left : int
        Number of incomplete steps over all occurrences.
    work : float
        Estimated work of one occurrence, in core-milliseconds.
    due_ms : float
        End of its latency objective, in ms since the Unix epoch.
    is_guaranteed : bool
        Whether it is served before other jobs of its queue.
    """

    job: Job
    revision: int
    progress: Progress = attrs.Factory(Progress)
    progress_revision: int = 0
    phase: JobPhase = JobPhase.OPEN
    is_new: bool = True
    queue: Queue | None = None
    accepted_queue: Queue | None = None
    version: int = 0
    saved_version: int = 0
    min_unsaved_version: int = 0
    phase_saved: bool = True
    is_stale: bool = False
    started: bool = False
    is_listed_waiting: bool = True
    tasks: dict[TaskId, TaskState] = attrs.Factory(dict)
    opened: set[tuple[int, int]] = attrs.Factory(set)
    steps_left: int = 0
    work: float = 0.0
    due_ms: float = 0.0
    is_guaranteed: bool = False
    _gang_checkpoints: dict[Unit, dict[str, None]] = attrs.field(
        factory=dict, init=False
    )
    _gangs: dict[Unit, UnitState] = attrs.field(factory=dict, init=False)

    @property
    def priority(self) -> int:
        """Priority of its queue; the highest if the queue is unknown."""
        return self.queue.priority if self.queue is not None else 0

    @property
    def is_open(self) -> bool:
        """Whether further tasks of it may be started."""
        return self.phase is JobPhase.OPEN

    @property
    def is_saved(self) -> bool:
        """Whether the persistent state is completely saved."""
        return self.saved_version >= self.version and self.phase_saved

    def track_save(self) -> Callable[[], bool]:
        """Return a function that tells whether the present state is saved."""
        version = self.version
        return lambda: self.saved_version >= version and self.phase_saved

    def record(self) -> JobRecord:
        """Return the record to be stored."""
        return JobRecord(job=self.job, phase=self.phase, queue=self.accepted_queue)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are completed."""
        done = self.progress.done.get((occurrence, step))
        if not done:
            return False
        if self.job.steps[step].gang:
            # The end of one member counts for the whole gang.
            return True
        return len(done) >= self.job.steps[step].count

    def is_step_due(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that a step depends on are completed."""
        after = self.job.steps[step].after
        return all(self.is_step_done(occurrence, earlier) for earlier in after)

    def measure_remaining_work(self, occurrence: int) -> float:
        """Return the estimated work that an occurrence lacks, in core-milliseconds."""
        done = self.progress.done
        work = self.work
        for number, step in enumerate(self.job.steps):
            indices = done.get((occurrence, number))
            if indices:
                # The end of one member counts for the whole gang.
                count = step.count if step.gang else len(indices)
                work -= count * step.estimate_task_work()
        return work

    def record_checkpoint(self, task: TaskState, checkpoint: str) -> None:
        """Record a checkpoint of a task, or of the gang that it belongs to.

        A checkpoint of any member is valid for its gang. Members report the same values
        at different times, so that a value which was seen before is not the latest.
        """
        unit = task.unit
        if task.step.gang:
            seen = self._gang_checkpoints.get(unit)
            if seen is None:
                seen = dict.fromkeys(self._list_checkpoints(unit))
                self._gang_checkpoints[unit] = seen
            if checkpoint in seen:
                return
            seen[checkpoint] = None
            if len(seen) > _MAX_SEEN_CHECKPOINTS:
                del seen[next(iter(seen))]
        self.progress.checkpoints[unit] = checkpoint

    def find_checkpoint(self, task: TaskState) -> str:
        """Return the checkpoint from which a task resumes; empty if there is none.

        It is the same for all members of a gang.
        """
        checkpoint = self.progress.checkpoints.get(task.unit, "")
        if not checkpoint and task.step.gang:
            # Earlier builds stored the checkpoints of gangs by member.
            checkpoint = next(iter(self._list_checkpoints(task.unit)), "")
        return checkpoint

    def remove_checkpoint(self, task: TaskState) -> None:
        """Remove the checkpoint of a completed task or gang."""
        if not task.step.gang:
            self.progress.checkpoints.pop(task.key, None)
            return
        self._gang_checkpoints.pop(task.unit, None)
        for index in range(task.step.count):
            self.progress.checkpoints.pop((*task.unit[:2], index), None)

    def _list_checkpoints(self, unit: Unit) -> list[str]:
        """Return the stored checkpoints of the members of a gang."""
        return [
            checkpoint
            for key, checkpoint in self.progress.checkpoints.items()
            if key[:2] == unit[:2]
        ]

    def list_unit(self, unit: Unit) -> list[TaskState]:
        """Return the tasks of a unit for which crashes are counted."""
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
        """Return the number of failed attempts that count towards the job's failure.

        The members of a gang share the number of each attempt, which counts once.
        """
        failed = self.progress.failed
        if self.job.steps[task.step].gang:
            attempts: set[int] = set()
            for (occurrence, step, _), numbers in failed.items():
                if (occurrence, step) == (task.occurrence, task.step):
                    attempts |= numbers
            return len(attempts)
        return len(failed.get((task.occurrence, task.step, task.index), ()))

    def forget_failures(self, task: TaskState) -> None:
        """Remove the failures of a completed task or gang."""
        indices = range(task.step.count) if task.step.gang else (task.task.index,)
        for index in indices:
            self.progress.failed.pop((*task.unit[:2], index), None)

    def find_task(self, task: TaskId) -> TaskState | None:
        """Return the state of a task, creating it if needed; None for an invalid id."""
        state = self.tasks.get(task)
        if state is not None:
            return state
        if not 0 <= task.step < len(self.job.steps):
            return None
        step = self.job.steps[task.step]
        if not (0 <= task.index < step.count and task.occurrence >= 0):
            return None
        state = TaskState(task=task, step=step, job=self)
        if step.gang:
            state.shared = self._gangs.setdefault(state.unit, state.shared)
        done = self.progress.done.get((task.occurrence, task.step), ())
        state.done = task.index in done or (step.gang and bool(done))
        numbers = self.progress.failed.get(state.key)
        if numbers:
            state.last_attempt = max(numbers)
        self.tasks[task] = state
        return state
