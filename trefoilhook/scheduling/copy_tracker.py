"""Tracks the copies of speculative tasks and their outcomes."""

import enum

import attrs

from trefoilhook.scheduling.fleet import Run
from trefoilhook.scheduling.job_state import Attempt, TaskState
from trefoilhook.scheduling.messages import EndKind
from trefoilhook.scheduling.models import Step, TaskId

__all__ = [
    "CopyOutcome",
    "CopySettlement",
    "CopyStart",
    "CopyTracker",
    "get_max_runs",
    "is_copyable",
    "project_total",
]

_MAX_RUNS = 2
"""Maximum number of runs of a speculative task: the original run and one copy."""


def is_copyable(step: Step) -> bool:
    """Return whether tasks of a step may have a copy.

    Gang members must run together, and long-running tasks do not complete. Fillers have
    no latency objective, and their copies would slow down other tasks.
    """
    return step.speculative and not (step.gang or step.long_running or step.filler)


def get_max_runs(step: Step) -> int:
    """Return the number of runs that a task may have at a time."""
    return _MAX_RUNS if is_copyable(step) else 1


def project_total(run: Run) -> float | None:
    """Return the projected total duration of a run at its reported rate, in ms.

    None if no progress has been reported.
    """
    if run.percent <= 0.0 or run.proved_ms <= 0.0:
        return None
    return run.proved_ms * 100.0 / run.percent


class CopyOutcome(enum.Enum):
    """How a task with a copy was settled."""

    COPY_FIRST = "copy first"
    """The copy completed first."""

    ORIGINAL_FIRST = "original first"
    """The original run completed first."""

    LOST = "lost"
    """One of the two ended without completing the task; the other continues."""

    NOT_NEEDED = "not needed"
    """The job ended, or an attempt that was considered lost completed the task."""


@attrs.frozen(kw_only=True)
class CopyStart:
    """A copy that was started.

    Parameters
    ----------
    task : TaskId
        The task.
    original, attempt : int
        Numbers of the copied attempt and of the copy.
    worker_id : str
        Worker of the copy.
    ran_ms, expected_ms : float
        Run time of the copied attempt so far, and its usual duration, in ms.
    rest_ms : float
        Expected remaining time of the copied attempt, in ms.
    started_ms : float
        Time of the decision, in ms.
    is_silent : bool
        Whether the worker of the copied attempt did not answer.
    """

    task: TaskId
    original: int
    attempt: int
    worker_id: str
    ran_ms: float
    expected_ms: float
    rest_ms: float
    started_ms: float
    is_silent: bool


@attrs.frozen(kw_only=True)
class CopySettlement:
    """How a task with a copy was settled.

    Parameters
    ----------
    start : CopyStart
        Start of the copy.
    outcome : CopyOutcome
        Which attempt completed the task, if any.
    saved_ms : float
        Estimated time that the copy saved its task, in ms.
    wasted_ms : float
        Run time of the attempt that was not needed, in ms.
    """

    start: CopyStart
    outcome: CopyOutcome
    saved_ms: float
    wasted_ms: float


@attrs.define(kw_only=True)
class CopyTracker:
    """Tasks that may get a copy or have one.

    This state is used only for the log and the metrics. The running attempts are part
    of the state of the tasks, which a new owner rebuilds from the answers of the
    workers.

    Attributes
    ----------
    watched : dict of TaskState to bool
        Running tasks that may have copies, and whether a copy was started.
    started : list of CopyStart
        Copies that the caller has not fetched yet.
    settled : list of CopySettlement
        Settled copies that the caller has not fetched yet.
    due_ms : float
        Time of the next round that starts copies, in ms.
    """

    watched: dict[TaskState, bool] = attrs.field(factory=dict, init=False)
    started: list[CopyStart] = attrs.field(factory=list, init=False)
    settled: list[CopySettlement] = attrs.field(factory=list, init=False)
    due_ms: float = attrs.field(default=0.0, init=False)
    _running: dict[TaskState, CopyStart] = attrs.field(factory=dict, init=False)

    def watch(self, task: TaskState) -> None:
        """Record that an attempt of a task was started or adopted."""
        if is_copyable(task.step):
            self.watched[task] = len(task.attempts) > 1

    def record_start(self, task: TaskState, start: CopyStart) -> None:
        """Record the start of a copy."""
        self.watched[task] = True
        self._running[task] = start
        self.started.append(start)

    def record_end(self, task: TaskState, run: Run, kind: EndKind) -> None:
        """Record the end of an attempt at a task, before it is applied."""
        start = self._running.get(task)
        if start is None or run.attempt not in (start.original, start.attempt):
            return
        del self._running[task]
        other = _find_other(task, run)
        if kind is not EndKind.DONE:
            is_needed = task.job.is_open and not task.done
            outcome = CopyOutcome.LOST if is_needed else CopyOutcome.NOT_NEEDED
            self._settle(start, outcome, 0.0, run.proved_ms)
            return
        wasted_ms = other.run.proved_ms if other is not None else 0.0
        if run.attempt == start.original:
            self._settle(start, CopyOutcome.ORIGINAL_FIRST, 0.0, wasted_ms)
            return
        saved_ms = _estimate_saving(start, run, other)
        self._settle(start, CopyOutcome.COPY_FIRST, saved_ms, wasted_ms)

    def retain_running(self) -> None:
        """Discard the tasks that have no attempt left."""
        for task in [t for t in self.watched if t.done or not t.attempts]:
            del self.watched[task]

    def _settle(
        self, start: CopyStart, outcome: CopyOutcome, saved_ms: float, wasted_ms: float
    ) -> None:
        self.settled.append(
            CopySettlement(
                start=start, outcome=outcome, saved_ms=saved_ms, wasted_ms=wasted_ms
            )
        )


def _find_other(task: TaskState, run: Run) -> Attempt | None:
    return next((each for each in task.attempts if each.run is not run), None)


def _estimate_saving(start: CopyStart, run: Run, other: Attempt | None) -> float:
    """Return an estimate of the time that a copy saved its task, in ms."""
    copied_ms = max(run.seen_ms, run.progressed_ms) - start.started_ms
    total_ms = project_total(other.run) if other is not None else None
    rest_ms = start.rest_ms
    if total_ms is not None:
        rest_ms = total_ms - start.ran_ms
    return max(0.0, rest_ms - max(copied_ms, 0.0))
