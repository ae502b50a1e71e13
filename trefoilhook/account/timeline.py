"""Attributes the time of a job to causes, along its critical path.

The critical path is followed backwards: from the end of the job to the task that was
done last, through the attempts at that task to the time from which it could have been
started, from there to the last task done before, and so on to the job's acceptance.
All time on the path is attributed once, so that the parts add up to the total.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from trefoilhook.account.core import Cause
from trefoilhook.account.sizes import read_number
from trefoilhook.story import LogLine

__all__ = ["WAIT_CAUSES", "Attempt", "Interval", "JobAttempts", "attribute_time"]

_MS_PER_S = 1000.0

_DONE = "done"

_SIMULTANEITY_S = 0.001
"""Log lines about one decision are written at most this far apart, in s."""

WAIT_CAUSES = {
    cause.value: cause
    for cause in (
        Cause.NO_WORKER,
        Cause.EVACUATED,
        Cause.NO_ROOM,
        Cause.FRAGMENTED,
        Cause.RESERVED,
        Cause.INTERFERENCE,
        Cause.BEHIND_OTHERS,
        Cause.ISOLATED,
        Cause.WORKER_LIST_STALE,
    )
} | {"owner new": Cause.NO_OWNER}
"""Causes by the wait reason in log lines."""


@attrs.frozen(kw_only=True)
class Interval:
    """An interval of time, in s since the Unix epoch."""

    begin_s: float
    end_s: float


@attrs.define(kw_only=True)
class Attempt:
    """One attempt at a task, from its log lines.

    Parameters
    ----------
    task : str
        Id of the task.
    number : int
        Number of the attempt.
    started_s : float or None
        When the start was confirmed, in s since the Unix epoch.
    ended_s : float or None
        When the end was reported or the attempt was given up, in s since the Unix
        epoch.
    outcome : str
        How the attempt ended; empty if it has not.
    waited_ms : float
        How long the task waited for its placement, in ms.
    waited_for : str
        The wait reason that lasted longest.
    estimate_ms, slowing_ms : float
        Declared run time, and time lost to throttling, in ms.
    """

    task: str
    number: int
    started_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""
    waited_ms: float = 0.0
    waited_for: str = ""
    estimate_ms: float = 0.0
    slowing_ms: float = 0.0


@attrs.define(kw_only=True)
class JobAttempts:
    """Attempts at the tasks of one job; lines must be added in order of time."""

    attempts: dict[tuple[str, int], Attempt] = attrs.Factory(dict)

    def add_line(self, line: LogLine) -> None:
        """Evaluate a log line about a task."""
        fields = line.fields
        number = fields.get("attempt")
        if not isinstance(number, int):
            return
        task = str(fields.get("task"))
        attempt = self.attempts.setdefault(
            (task, number), Attempt(task=task, number=number)
        )
        if line.event == "TASK_STARTED":
            attempt.started_s = line.time_s
            attempt.waited_ms = read_number(fields.get("waited_ms"))
            attempt.waited_for = str(fields.get("waited_for", ""))
        elif line.event == "TASK_ENDED":
            attempt.ended_s = line.time_s
            attempt.outcome = str(fields.get("how"))
            attempt.estimate_ms = read_number(fields.get("estimate_ms"))
            attempt.slowing_ms = read_number(fields.get("slowing_ms"))
        elif line.event == "TASK_GIVEN_UP" and attempt.ended_s is None:
            attempt.ended_s = line.time_s
            attempt.outcome = str(fields.get("why"))


class _CriticalPath:
    """Position on the way back along a job's critical path, and time by cause."""

    def __init__(
        self, *, begin_s: float, end_s: float, ownerless: Sequence[Interval]
    ) -> None:
        self._begin_s = begin_s
        self.at_s = end_s
        self.spent_ms: dict[Cause, float] = defaultdict(float)
        self._ownerless = ownerless

    def attribute_back_to(self, at_s: float, cause: Cause) -> None:
        """Attribute the time back to ``at_s`` to a cause.

        Of owner overhead and lost attempts, the time without an owner is attributed to
        `Cause.NO_OWNER` instead.
        """
        at_s = max(at_s, self._begin_s)
        if at_s >= self.at_s:
            return
        ownerless_s = 0.0
        if cause in (Cause.OWNER_OVERHEAD, Cause.RESTARTED):
            ownerless_s = _measure_overlap(self._ownerless, at_s, self.at_s)
        total_s = self.at_s - at_s
        self.spent_ms[Cause.NO_OWNER] += ownerless_s * _MS_PER_S
        self.spent_ms[cause] += (total_s - ownerless_s) * _MS_PER_S
        self.at_s = at_s

    def attribute_run(self, attempt: Attempt, started_s: float) -> None:
        """Attribute the time of a run, back to its start."""
        started_s = max(started_s, self._begin_s)
        total_ms = max(0.0, self.at_s - started_s) * _MS_PER_S
        if attempt.ended_s is None:
            self.spent_ms[Cause.RUNNING] += total_ms
            self.at_s = min(self.at_s, started_s)
            return
        throttled_ms = min(total_ms, attempt.slowing_ms)
        work_ms = min(total_ms - throttled_ms, attempt.estimate_ms or total_ms)
        for cause, spent_ms in (
            (Cause.THROTTLED, throttled_ms),
            (Cause.OVERRUN, total_ms - throttled_ms - work_ms),
            (Cause.DECLARED_WORK, work_ms),
        ):
            self.spent_ms[cause] += spent_ms
        self.at_s = min(self.at_s, started_s)


def _measure_overlap(
    intervals: Sequence[Interval], begin_s: float, end_s: float
) -> float:
    return sum(
        max(0.0, min(each.end_s, end_s) - max(each.begin_s, begin_s))
        for each in intervals
    )


def attribute_time(
    job: JobAttempts,
    *,
    accepted_s: float,
    end_s: float,
    ownerless: Sequence[Interval] = (),
    open_cause: Cause | None = None,
) -> dict[Cause, float]:
    """Return the time of a job by cause, in ms.

    Parameters
    ----------
    job : JobAttempts
        Attempts at its tasks.
    accepted_s, end_s : float
        When the job was accepted, and when it or else the log ended, in s since the
        Unix epoch.
    ownerless : sequence of Interval
        Intervals in which the shard had no owner that knew the running tasks.
    open_cause : Cause, optional
        Only for an unfinished or failed job: cause of the time in which none of its
        tasks ran.
    """
    path = _CriticalPath(begin_s=accepted_s, end_s=end_s, ownerless=ownerless)
    by_task = _group_by_task(job.attempts.values())
    done = sorted(
        (
            attempt
            for attempt in job.attempts.values()
            if attempt.outcome == _DONE and attempt.ended_s is not None
        ),
        key=_read_end,
    )
    if open_cause is not None:
        _attribute_unfinished(path, by_task, done, open_cause)
    while path.at_s > accepted_s:
        number = bisect.bisect_right(done, path.at_s + _SIMULTANEITY_S, key=_read_end)
        if not number:
            break
        last = done[number - 1]
        del done[number - 1 :]
        path.attribute_back_to(_read_end(last), Cause.OWNER_OVERHEAD)
        _attribute_attempts(path, last, by_task[last.task])
    path.attribute_back_to(accepted_s, Cause.OWNER_OVERHEAD)
    return {cause: spent for cause, spent in path.spent_ms.items() if spent > 0.0}


def _read_end(attempt: Attempt) -> float:
    return attempt.ended_s if attempt.ended_s is not None else 0.0


def _group_by_task(attempts: Iterable[Attempt]) -> dict[str, list[Attempt]]:
    by_task: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_task[attempt.task].append(attempt)
    for task_attempts in by_task.values():
        task_attempts.sort(key=lambda attempt: attempt.number)
    return by_task


def _attribute_unfinished(
    path: _CriticalPath,
    by_task: dict[str, list[Attempt]],
    done: Sequence[Attempt],
    open_cause: Cause,
) -> None:
    """Attribute the time of unfinished tasks: the latest started one, or the wait."""
    finished = {attempt.task for attempt in done}
    latest = [
        attempts[-1]
        for task, attempts in by_task.items()
        if task not in finished and attempts[-1].started_s is not None
    ]
    if not latest:
        path.attribute_back_to(_read_end(done[-1]) if done else 0.0, open_cause)
        return
    last = max(latest, key=lambda attempt: attempt.started_s or 0.0)
    if last.ended_s is not None:
        path.attribute_back_to(last.ended_s, open_cause)
        path.attribute_back_to(last.started_s or 0.0, Cause.RESTARTED)
    _attribute_attempts(path, last, by_task[last.task])


def _attribute_attempts(
    path: _CriticalPath, last: Attempt, attempts: Sequence[Attempt]
) -> None:
    """Attribute the time of the attempts at one task, from the last to the first."""
    for attempt in reversed(attempts):
        if attempt.number > last.number or attempt.started_s is None:
            continue
        if attempt is not last and attempt.ended_s is not None:
            path.attribute_back_to(attempt.ended_s, Cause.RESTARTED)
        is_copied = attempt.ended_s is not None and attempt.ended_s > path.at_s
        if attempt is last or is_copied:
            # A run that still went on when the next one was started had a copy.
            path.attribute_run(attempt, min(attempt.started_s, path.at_s))
        else:
            path.attribute_back_to(attempt.started_s, Cause.RESTARTED)
        waited_s = attempt.waited_ms / _MS_PER_S
        cause = WAIT_CAUSES.get(attempt.waited_for, Cause.UNKNOWN)
        path.attribute_back_to(attempt.started_s - waited_s, cause)
