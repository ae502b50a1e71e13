"""What the time of one job went into, walked back along its critical path.

From its end, the walk goes to the task that was done last, through that task's attempts
to when it could first have been started, from there to the task of an earlier step that
was done last, and so on to the job's acceptance. Whatever lies on the way is counted
once, so that the parts add up to the whole.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs

from trefoilhook.account.core import Cause
from trefoilhook.story import LogLine

__all__ = ["WAIT_CAUSES", "Attempt", "Interval", "JobLines", "walk_back"]

_MS_PER_S = 1000.0

_DONE = "done"

_SAME_MOMENT_S = 0.001
"""Lines of one decision are written within so much of each other, in s."""

WAIT_CAUSES = {
    cause.value: cause
    for cause in (
        Cause.NO_WORKER,
        Cause.EVACUATED,
        Cause.NO_ROOM,
        Cause.IN_PIECES,
        Cause.NOT_BORNE,
        Cause.BEHIND,
        Cause.APART,
        Cause.LIST_STALE,
    )
} | {"owner new": Cause.OWNER_AWAY}
"""Causes by the reason for waiting that log lines give."""


@attrs.frozen(kw_only=True)
class Interval:
    """A stretch of time, in s since the Unix epoch."""

    begin_s: float
    end_s: float


@attrs.define(kw_only=True)
class Attempt:
    """One attempt at a task, as its lines tell of it.

    Parameters
    ----------
    task : str
        The task.
    number : int
        Of the attempt.
    started_s : float or None
        When its start was confirmed.
    ended_s : float or None
        When its end was learned, or it was given up.
    how : str
        How it ended.
    waited_ms : float
        How long its task waited for the place before, in ms.
    waited_for : str
        What for longest.
    estimate_ms, slowing_ms : float
        Declared time, and time lost by its pace, in ms.
    """

    task: str
    number: int
    started_s: float | None = None
    ended_s: float | None = None
    how: str = ""
    waited_ms: float = 0.0
    waited_for: str = ""
    estimate_ms: float = 0.0
    slowing_ms: float = 0.0


@attrs.define(kw_only=True)
class JobLines:
    """The lines on one job's tasks, taken in the order of time."""

    attempts: dict[tuple[str, int], Attempt] = attrs.Factory(dict)

    def take(self, line: LogLine) -> None:
        """Take in a line on a task."""
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
            attempt.waited_ms = _read_number(fields.get("waited_ms"))
            attempt.waited_for = str(fields.get("waited_for", ""))
        elif line.event == "TASK_ENDED":
            attempt.ended_s = line.time_s
            attempt.how = str(fields.get("how"))
            attempt.estimate_ms = _read_number(fields.get("estimate_ms"))
            attempt.slowing_ms = _read_number(fields.get("slowing_ms"))
        elif line.event == "TASK_GIVEN_UP" and attempt.ended_s is None:
            attempt.ended_s = line.time_s
            attempt.how = str(fields.get("why"))


def _read_number(value: object) -> float:
    return float(value) if isinstance(value, (int, float)) else 0.0


class _Walk:
    """The way back along a job's critical path, and what lay on it."""

    def __init__(
        self, *, least_s: float, end_s: float, absences: Sequence[Interval]
    ) -> None:
        self._least_s = least_s
        self.at_s = end_s
        self.spent_ms: dict[Cause, float] = defaultdict(float)
        self._absences = absences

    def go_to(self, at_s: float, cause: Cause) -> None:
        """Go back to a time; what lies between went into ``cause``."""
        at_s = max(at_s, self._least_s)
        if at_s >= self.at_s:
            return
        away_s = 0.0
        if cause in (Cause.OWNER, Cause.RESTARTED):
            away_s = _measure_overlap(self._absences, at_s, self.at_s)
        whole_s = self.at_s - at_s
        self.spent_ms[Cause.OWNER_AWAY] += away_s * _MS_PER_S
        self.spent_ms[cause] += (whole_s - away_s) * _MS_PER_S
        self.at_s = at_s

    def pass_work(self, attempt: Attempt, started_s: float) -> None:
        """Go back through the run that was done."""
        started_s = max(started_s, self._least_s)
        whole_ms = max(0.0, self.at_s - started_s) * _MS_PER_S
        if attempt.ended_s is None:
            self.spent_ms[Cause.RUNNING] += whole_ms
            self.at_s = min(self.at_s, started_s)
            return
        slowed_ms = min(whole_ms, attempt.slowing_ms)
        work_ms = min(whole_ms - slowed_ms, attempt.estimate_ms or whole_ms)
        for cause, spent_ms in (
            (Cause.SLOWED, slowed_ms),
            (Cause.LONGER, whole_ms - slowed_ms - work_ms),
            (Cause.WORK, work_ms),
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


def walk_back(
    lines: JobLines,
    *,
    accepted_s: float,
    end_s: float,
    absences: Sequence[Interval] = (),
    open_cause: Cause | None = None,
) -> dict[Cause, float]:
    """Return what a job's time went into, in ms, by cause.

    Parameters
    ----------
    lines : JobLines
        The lines on its tasks.
    accepted_s, end_s : float
        When it was accepted and when it ended, or the logs did, in s.
    absences : sequence of Interval
        When nobody owned the shard.
    open_cause : Cause, optional
        For a job that isn't done: what its tasks wait for if none of them runs.
    """
    walk = _Walk(least_s=accepted_s, end_s=end_s, absences=absences)
    by_task = _sort_attempts(lines.attempts.values())
    done = sorted(
        (
            attempt
            for attempt in lines.attempts.values()
            if attempt.how == _DONE and attempt.ended_s is not None
        ),
        key=_read_end,
    )
    if open_cause is not None:
        _pass_open(walk, by_task, done, open_cause)
    while walk.at_s > accepted_s:
        number = bisect.bisect_right(done, walk.at_s + _SAME_MOMENT_S, key=_read_end)
        if not number:
            break
        last = done[number - 1]
        del done[number - 1 :]
        walk.go_to(_read_end(last), Cause.OWNER)
        _pass_attempts(walk, last, by_task[last.task])
    walk.go_to(accepted_s, Cause.OWNER)
    return {cause: spent for cause, spent in walk.spent_ms.items() if spent > 0.0}


def _read_end(attempt: Attempt) -> float:
    return attempt.ended_s if attempt.ended_s is not None else 0.0


def _sort_attempts(attempts: Iterable[Attempt]) -> dict[str, list[Attempt]]:
    by_task: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_task[attempt.task].append(attempt)
    for tries in by_task.values():
        tries.sort(key=lambda attempt: attempt.number)
    return by_task


def _pass_open(
    walk: _Walk,
    by_task: dict[str, list[Attempt]],
    done: Sequence[Attempt],
    open_cause: Cause,
) -> None:
    """Go back through what isn't done: the task that was started last, or the wait."""
    finished = {attempt.task for attempt in done}
    latest = [
        tries[-1]
        for task, tries in by_task.items()
        if task not in finished and tries[-1].started_s is not None
    ]
    if not latest:
        walk.go_to(_read_end(done[-1]) if done else 0.0, open_cause)
        return
    last = max(latest, key=lambda attempt: attempt.started_s or 0.0)
    if last.ended_s is not None:
        walk.go_to(last.ended_s, open_cause)
        walk.go_to(last.started_s or 0.0, Cause.RESTARTED)
    _pass_attempts(walk, last, by_task[last.task])


def _pass_attempts(walk: _Walk, last: Attempt, tries: Sequence[Attempt]) -> None:
    """Go back through the attempts at one task, from the last to the first."""
    for attempt in reversed(tries):
        if attempt.number > last.number or attempt.started_s is None:
            continue
        if attempt is not last and attempt.ended_s is not None:
            walk.go_to(attempt.ended_s, Cause.RESTARTED)
        if attempt is last:
            walk.pass_work(attempt, min(attempt.started_s, walk.at_s))
        else:
            walk.go_to(attempt.started_s, Cause.RESTARTED)
        waited_s = attempt.waited_ms / _MS_PER_S
        cause = WAIT_CAUSES.get(attempt.waited_for, Cause.UNKNOWN)
        walk.go_to(attempt.started_s - waited_s, cause)
