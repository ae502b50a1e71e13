"""Tasks of a shard that are suspected of crashing their workers."""

from collections.abc import Callable

import attrs

from trefoilhook.scheduling.concurrent_losses import ConcurrentLosses
from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.messages import EndKind, WorkerLoss
from trefoilhook.scheduling.models import TaskId
from trefoilhook.scheduling.ordered_set import OrderedSet
from trefoilhook.scheduling.recoveries import Recoveries
from trefoilhook.scheduling.suspicion import (
    LONG_RUN_MS,
    CrashRate,
    Suspicion,
    compute_survival,
)

__all__ = ["SuspectTracker"]

_MAX_LOST_WORKERS = 1000
"""Number of lost workers that are remembered in case they answer again."""

_REPEATED_LOSSES = 2
"""Number of losses from which a task may explain the loss of another worker."""

_CRASH_FREE_ENDS = frozenset({EndKind.DONE, EndKind.FAILED, EndKind.STOPPED})


@attrs.define(kw_only=True)
class SuspectTracker:
    """Suspected tasks, and the losses that count against them.

    The suspicions are part of the jobs' progress, which is persistent.

    Parameters
    ----------
    mark_dirty : callable
        Called with a job whose progress has changed and must be saved.
    find_job : callable
        Returns the job with an id, or None.

    Attributes
    ----------
    jobs : OrderedSet of JobState
        Open jobs with suspected tasks.
    recorded : list of TaskState
        Tasks with an attempt recorded by a previous owner, until it is evaluated.
    drained : set of str
        Removed workers that had announced their shutdown; kept while recorded attempts
        exist.
    losses : list of WorkerLoss
        Lost workers that the caller has not fetched yet.
    crash_rate : CrashRate
        Rate of crashes that no task causes.
    concurrent_losses : ConcurrentLosses
        Workers that fell silent at about the same time.
    recoveries : Recoveries
        Workers that answered again after a silence.
    """

    mark_dirty: Callable[[JobState], None]
    find_job: Callable[[str], JobState | None]
    jobs: OrderedSet[JobState] = attrs.field(factory=OrderedSet, init=False)
    recorded: list[TaskState] = attrs.field(factory=list, init=False)
    drained: set[str] = attrs.field(factory=set, init=False)
    losses: list[WorkerLoss] = attrs.field(factory=list, init=False)
    crash_rate: CrashRate = attrs.field(factory=CrashRate, init=False)
    concurrent_losses: ConcurrentLosses = attrs.field(init=False)
    recoveries: Recoveries = attrs.field(factory=Recoveries, init=False)
    _tasks_by_lost_worker: dict[str, list[TaskState]] = attrs.field(
        factory=dict, init=False
    )

    @concurrent_losses.default
    def _build_concurrent_losses(self) -> ConcurrentLosses:
        return ConcurrentLosses(is_suspect=self._was_lost_repeatedly)

    def _was_lost_repeatedly(self, run: Run) -> bool:
        job = self.find_job(run.task.job_id)
        task = job.find_task(run.task) if job is not None else None
        suspicion = task.suspicion if task is not None else None
        return suspicion is not None and len(suspicion.notes) >= _REPEATED_LOSSES

    def get_or_add(self, task: TaskState) -> Suspicion:
        """Return the suspicion of a task for modification, adding one if needed."""
        self.jobs.add(task.job)
        self.mark_dirty(task.job)
        return task.job.progress.suspicions.setdefault(task.unit, Suspicion())

    def discard_negligible(self, task: TaskState) -> None:
        """Remove the suspicion of a task if no evidence is left."""
        suspicion = task.suspicion
        if suspicion is not None and suspicion.is_negligible:
            self.mark_dirty(task.job)
            self.forget(task)

    def forget(self, task: TaskState) -> None:
        """Remove the suspicion of a task that is completed or cleared."""
        suspicions = task.job.progress.suspicions
        if suspicions.pop(task.unit, None) is not None and not suspicions:
            self.jobs.discard(task.job)

    def load_suspicions(self, state: JobState) -> None:
        """Load the suspicions that previous owners recorded for a job's tasks."""
        for (occurrence, step, index), suspicion in state.progress.suspicions.items():
            task = state.find_task(TaskId(state.job.job_id, occurrence, step, index))
            if task is None:
                continue
            self.jobs.add(state)
            if suspicion.attempt:
                task.last_attempt = max(task.last_attempt, suspicion.attempt)
                self.recorded.append(task)
            for note in suspicion.notes.values():
                self.record_lost_worker(note.worker_id, task)

    def record_run_end(self, task: TaskState, run: Run, kind: EndKind) -> None:
        """Record that a run ended without a crash of its worker."""
        suspicion = task.suspicion
        if suspicion is None or not task.job.is_open:
            return
        if kind in _CRASH_FREE_ENDS and task.shared.survived_attempt != run.attempt:
            task.shared.survived_attempt = run.attempt
            suspicion.record_survival(compute_survival(run.proved_ms))
            if run.proved_ms >= LONG_RUN_MS:
                suspicion.excuse_losses(run.proved_ms)
                self.mark_dirty(task.job)
        # The end of one member does not show whether the gang's other workers survive.
        if not task.step.gang and suspicion.attempt == run.attempt:
            suspicion.clear_attempt()
            self.mark_dirty(task.job)
        self.discard_negligible(task)

    def record_lost_worker(self, worker_id: str, task: TaskState) -> None:
        """Record the loss of a worker under a task, in case it answers again."""
        self._tasks_by_lost_worker.setdefault(worker_id, []).append(task)
        if len(self._tasks_by_lost_worker) > _MAX_LOST_WORKERS:
            del self._tasks_by_lost_worker[next(iter(self._tasks_by_lost_worker))]

    def retract_losses(self, worker_id: str) -> None:
        """Remove the evidence from a worker that answers and was therefore not lost."""
        for task in self._tasks_by_lost_worker.pop(worker_id, ()):
            suspicion = task.suspicion
            if suspicion is None or not task.job.is_open:
                continue
            for attempt, note in list(suspicion.notes.items()):
                if note.worker_id == worker_id:
                    del suspicion.notes[attempt]
            task.shared.held_until_ms = 0.0
            self.mark_dirty(task.job)
            self.discard_negligible(task)
