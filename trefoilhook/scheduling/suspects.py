"""The tasks of a shard that are suspected to crash their workers."""

from collections.abc import Callable

import attrs

from trefoilhook.scheduling.book import JobState, TaskState
from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.messages import EndKind, WorkerLoss
from trefoilhook.scheduling.models import TaskId
from trefoilhook.scheduling.suspicion import CrashRate, Suspicion, compute_survival

__all__ = ["SuspectBook"]

_MOST_LOST = 1000
"""Lost workers that are remembered in case they come back."""

_WITHOUT_CRASH = frozenset({EndKind.DONE, EndKind.FAILED, EndKind.STOPPED})


@attrs.define(kw_only=True)
class SuspectBook:
    """What is known of suspected tasks, and of the losses that speak against them.

    The suspicions themselves stand in the progress of their jobs, which outlives the
    owner.

    Parameters
    ----------
    touch : callable
        Called with a job whose progress has changed and is to be written.

    Attributes
    ----------
    jobs : set of JobState
        Open jobs with suspected tasks.
    recorded : list of TaskState
        Tasks with an attempt that an earlier owner recorded, until that is judged.
    drained : set of str
        Workers that are gone and had announced it, while attempts are recorded.
    losses : list of WorkerLoss
        Workers lost since somebody last took them from here.
    crash_rate : CrashRate
        Rate of the crashes for which no task is to blame.
    """

    touch: Callable[[JobState], None]
    jobs: set[JobState] = attrs.field(factory=set, init=False)
    recorded: list[TaskState] = attrs.field(factory=list, init=False)
    drained: set[str] = attrs.field(factory=set, init=False)
    losses: list[WorkerLoss] = attrs.field(factory=list, init=False)
    crash_rate: CrashRate = attrs.field(factory=CrashRate, init=False)
    _lost_under: dict[str, list[TaskState]] = attrs.field(factory=dict, init=False)

    def suspect(self, task: TaskState) -> Suspicion:
        """Return what speaks against a task, for a change that is to be written."""
        self.jobs.add(task.job)
        self.touch(task.job)
        return task.job.progress.suspicions.setdefault(task.unit, Suspicion())

    def clear_blank(self, task: TaskState) -> None:
        """Forget a suspicion of which nothing is left."""
        suspicion = task.suspicion
        if suspicion is not None and suspicion.is_blank:
            self.touch(task.job)
            self.forget(task)

    def forget(self, task: TaskState) -> None:
        """Forget a task that is done or cleared."""
        suspicions = task.job.progress.suspicions
        if suspicions.pop(task.unit, None) is not None and not suspicions:
            self.jobs.discard(task.job)

    def take_recorded(self, state: JobState) -> None:
        """Take in what earlier owners found out about a job's tasks."""
        for (occurrence, step, index), suspicion in state.progress.suspicions.items():
            task = state.find_task(TaskId(state.job.job_id, occurrence, step, index))
            if task is None:
                continue
            self.jobs.add(state)
            if suspicion.attempt:
                task.last_attempt = max(task.last_attempt, suspicion.attempt)
                self.recorded.append(task)
            for note in suspicion.notes.values():
                self.note_lost_under(note.worker_id, task)

    def take_survival(self, task: TaskState, run: Run, kind: EndKind) -> None:
        """Take in that a run has ended without a crash of its worker."""
        suspicion = task.suspicion
        if suspicion is None or not task.job.is_open:
            return
        if kind in _WITHOUT_CRASH:
            suspicion.survive(compute_survival(run.proved_ms))
        # The end of one member of a gang doesn't tell how its other workers fare.
        if not task.step.gang and suspicion.attempt == run.attempt:
            suspicion.settle()
            self.touch(task.job)
        self.clear_blank(task)

    def note_lost_under(self, worker_id: str, task: TaskState) -> None:
        """Note that a worker counts as lost under a task, should it come back."""
        self._lost_under.setdefault(worker_id, []).append(task)
        if len(self._lost_under) > _MOST_LOST:
            del self._lost_under[next(iter(self._lost_under))]

    def retract_losses(self, worker_id: str) -> None:
        """Take back what a worker counted for that answers, and so was never lost."""
        for task in self._lost_under.pop(worker_id, ()):
            suspicion = task.suspicion
            if suspicion is None or not task.job.is_open:
                continue
            for attempt, note in list(suspicion.notes.items()):
                if note.worker_id == worker_id:
                    del suspicion.notes[attempt]
            task.held_until_ms = 0.0
            self.touch(task.job)
            self.clear_blank(task)
