"""The account of lost worth, built out of the lines of all processes."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from trefoilhook.account.core import (
    Account,
    Cause,
    JobLoss,
    Moment,
    QueueAccount,
    ServiceAccount,
    ServiceLoss,
)
from trefoilhook.account.timeline import (
    WAIT_CAUSES,
    Interval,
    JobLines,
    walk_back,
)
from trefoilhook.burn import JobOutcome, judge_each_job
from trefoilhook.results import ResultCode
from trefoilhook.story import LogLine

__all__ = ["build_account"]

_MS_PER_S = 1000.0

_PERIOD_S = 2.0
"""Time that one line on what a service lacks stands for, in s."""

_TASK_EVENTS = frozenset({"TASK_STARTED", "TASK_ENDED", "TASK_GIVEN_UP"})

_REFUSALS = frozenset({ResultCode.STORE_UNAVAILABLE, ResultCode.ANSWER_LOST})


@attrs.define(kw_only=True)
class _Jobs:
    """Lines by job."""

    tasks: dict[str, JobLines] = attrs.Factory(lambda: defaultdict(JobLines))
    accepted_s: dict[str, float] = attrs.Factory(dict)
    first_s: dict[str, float] = attrs.Factory(dict)
    waits: dict[str, Cause] = attrs.Factory(dict)
    crash_loops: set[str] = attrs.Factory(set)

    def take(self, line: LogLine) -> None:
        """Take in a line that names a job or a task."""
        if line.event in _TASK_EVENTS:
            job_id = str(line.fields.get("task")).partition(".")[0]
            self.tasks[job_id].take(line)
            return
        if line.event == "QUEUE_WAITS":
            reason = str(line.fields.get("oldest_waits_for", ""))
            queue = str(line.fields.get("queue"))
            self.waits[queue] = WAIT_CAUSES.get(reason, Cause.UNKNOWN)
        job_id = str(line.fields.get("job", ""))
        if not job_id:
            return
        self.first_s.setdefault(job_id, line.time_s)
        if line.event == "JOB_ACCEPTED":
            self.accepted_s.setdefault(job_id, line.time_s)
        elif line.event == "CRASH_LOOP_FOUND":
            self.crash_loops.add(job_id)


def build_account(
    lines: Iterable[LogLine],
    *,
    bin_s: float,
    unread: Mapping[str, int] | None = None,
) -> Account:
    """Build an account.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order.
    bin_s : float
        Length of the moments that it tells apart, in s.
    unread : mapping of str to int, optional
        Lines that couldn't be read, by reason.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    jobs = _Jobs()
    for line in ordered:
        jobs.take(line)
    began_s = ordered[0].time_s if ordered else 0.0
    ended_s = ordered[-1].time_s if ordered else 0.0
    absences = _find_absences(ordered)
    outcomes = {
        job_id: outcome
        for job_id, outcome in judge_each_job(ordered).items()
        if outcome.code is not ResultCode.BAD_REQUEST
    }
    losses = tuple(
        _explain(job_id, outcome, jobs, absences, ended_s)
        for job_id, outcome in outcomes.items()
        if not _is_good(outcome)
    )
    services = tuple(_list_shortfalls(ordered))
    return Account(
        began_s=began_s,
        ended_s=ended_s,
        queues=_sum_queues(outcomes.values(), losses),
        services=_sum_services(services),
        moments=_sum_moments(losses, services, began_s=began_s, bin_s=bin_s),
        losses=losses,
        unread=dict(unread or {}),
    )


def _is_good(outcome: JobOutcome) -> bool:
    return outcome.code is ResultCode.OK and outcome.spent_ms <= outcome.objective_ms


def _explain(
    job_id: str,
    outcome: JobOutcome,
    jobs: _Jobs,
    absences: Sequence[Interval],
    ended_s: float,
) -> JobLoss:
    """Tell what cost a job most."""
    at_s = jobs.accepted_s.get(job_id, jobs.first_s.get(job_id, outcome.at_s))
    if outcome.code in _REFUSALS:
        return JobLoss(job=job_id, queue=outcome.queue, at_s=at_s, cause=Cause.REFUSED)
    is_done = outcome.code is ResultCode.OK
    spent = walk_back(
        jobs.tasks[job_id],
        accepted_s=at_s,
        end_s=min(outcome.at_s, ended_s),
        absences=absences,
        open_cause=None if is_done else jobs.waits.get(outcome.queue, Cause.UNKNOWN),
    )
    if outcome.code is ResultCode.BACKEND_FAILED:
        looped = job_id in jobs.crash_loops
        cause = Cause.CRASH_LOOP if looped else Cause.FAILED
        return JobLoss(
            job=job_id, queue=outcome.queue, at_s=at_s, cause=cause, spent_ms=spent
        )
    costs = {cause: ms for cause, ms in spent.items() if cause is not Cause.WORK}
    return JobLoss(
        job=job_id,
        queue=outcome.queue,
        at_s=at_s,
        cause=max(costs, key=costs.__getitem__, default=Cause.UNKNOWN),
        late_ms=outcome.spent_ms - outcome.objective_ms,
        spent_ms=spent,
    )


def _find_absences(ordered: Iterable[LogLine]) -> list[Interval]:
    """Return when the shard had no owner, or one that didn't know yet what runs."""
    found: list[Interval] = []
    owner = ""
    last_s = 0.0
    begin_s: float | None = None
    for line in ordered:
        if line.event == "SHARD_CLAIMED":
            begin_s = last_s if owner else line.time_s
            owner = line.instance
        elif line.event == "SHARD_SETTLED" and line.instance == owner:
            if begin_s is not None:
                found.append(Interval(begin_s=begin_s, end_s=line.time_s))
            begin_s = None
        if line.instance == owner and line.event in _OWNER_EVENTS:
            last_s = line.time_s
    return found


_OWNER_EVENTS = frozenset(
    {
        "SHARD_CLAIMED",
        "SHARD_SETTLED",
        "TASK_STARTED",
        "TASK_ENDED",
        "TASK_STOPPED",
        "JOB_FINISHED",
    }
)
"""What only an owner writes: the last of these lines is its last sign of work."""


def _list_shortfalls(ordered: Iterable[LogLine]) -> Iterable[ServiceLoss]:
    for line in ordered:
        if line.event != "SERVICE_SHORT":
            continue
        fields = line.fields
        figures = [fields.get(name) for name in ("tasks", "away", "over", "beside")]
        if not all(isinstance(figure, (int, float)) for figure in figures):
            continue
        tasks, away, over, beside = (
            float(figure) for figure in figures if figure is not None
        )
        waits = WAIT_CAUSES.get(str(fields.get("waited_for", "")), Cause.STARTING)
        lost = {
            waits: away,
            Cause.TAIL_BESIDE: beside,
            Cause.OWN_LOAD: over - beside,
        }
        yield ServiceLoss(
            job=str(fields.get("job")),
            queue=str(fields.get("queue")),
            at_s=line.time_s,
            tasks=int(tasks),
            lost={cause: count for cause, count in lost.items() if count > 0.0},
        )


def _sum_queues(
    outcomes: Iterable[JobOutcome], losses: Sequence[JobLoss]
) -> tuple[QueueAccount, ...]:
    judged: Counter[str] = Counter(outcome.queue for outcome in outcomes)
    lost: dict[str, Counter[Cause]] = defaultdict(Counter)
    late_ms: dict[str, Counter[Cause]] = defaultdict(Counter)
    for loss in losses:
        lost[loss.queue][loss.cause] += 1
        late_ms[loss.queue][loss.cause] += loss.late_ms  # type: ignore[assignment]
    return tuple(
        QueueAccount(
            queue=queue,
            judged=count,
            good=count - lost[queue].total(),
            lost=dict(lost[queue]),
            late_ms=dict(late_ms[queue]),
        )
        for queue, count in sorted(judged.items())
    )


def _sum_services(shortfalls: Sequence[ServiceLoss]) -> tuple[ServiceAccount, ...]:
    by_queue: dict[str, list[ServiceLoss]] = defaultdict(list)
    for shortfall in shortfalls:
        by_queue[shortfall.queue].append(shortfall)
    return tuple(
        ServiceAccount(
            queue=queue,
            jobs=len({row.job for row in rows}),
            periods=len(rows),
            task_s=_sum_tasks(rows),
        )
        for queue, rows in sorted(by_queue.items())
    )


def _sum_tasks(rows: Iterable[ServiceLoss]) -> dict[Cause, float]:
    sums: dict[Cause, float] = defaultdict(float)
    for row in rows:
        for cause, count in row.lost.items():
            sums[cause] += count * _PERIOD_S
    return dict(sums)


def _sum_moments(
    losses: Sequence[JobLoss],
    shortfalls: Sequence[ServiceLoss],
    *,
    began_s: float,
    bin_s: float,
) -> tuple[Moment, ...]:
    jobs: dict[int, Counter[Cause]] = defaultdict(Counter)
    rows: dict[int, list[ServiceLoss]] = defaultdict(list)
    for loss in losses:
        jobs[int((loss.at_s - began_s) // bin_s)][loss.cause] += 1
    for shortfall in shortfalls:
        rows[int((shortfall.at_s - began_s) // bin_s)].append(shortfall)
    return tuple(
        Moment(
            at_s=number * bin_s,
            jobs=dict(jobs[number]),
            task_s=_sum_tasks(rows[number]),
        )
        for number in sorted(jobs.keys() | rows.keys())
    )
