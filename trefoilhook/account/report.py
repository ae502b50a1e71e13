"""Builds the loss report from the log lines of all processes."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from trefoilhook.account.copies import sum_copies
from trefoilhook.account.core import (
    Cause,
    JobLoss,
    LossReport,
    QueueLosses,
    ServiceLosses,
    ServiceShortfall,
    TimeBin,
)
from trefoilhook.account.sizes import REFUSED_CODES, count_by_size
from trefoilhook.account.timeline import (
    WAIT_CAUSES,
    Interval,
    JobAttempts,
    attribute_time,
)
from trefoilhook.burn import JobOutcome, classify_jobs_by_id
from trefoilhook.results import ResultCode
from trefoilhook.story import LogLine

__all__ = ["build_loss_report"]

_MS_PER_S = 1000.0

_SHORTFALL_PERIOD_S = 2.0
"""Length of the period that a ``SERVICE_SHORT`` line covers, in s."""

_ATTEMPT_EVENTS = frozenset({"TASK_STARTED", "TASK_ENDED", "TASK_GIVEN_UP"})


@attrs.define(kw_only=True)
class _JobEvents:
    """What the log lines say of each job, and of each queue's latest wait."""

    attempts: dict[str, JobAttempts] = attrs.Factory(lambda: defaultdict(JobAttempts))
    accepted_s: dict[str, float] = attrs.Factory(dict)
    first_s: dict[str, float] = attrs.Factory(dict)
    wait_causes: dict[str, Cause] = attrs.Factory(dict)
    crash_loops: set[str] = attrs.Factory(set)

    def add_line(self, line: LogLine) -> None:
        """Evaluate a log line."""
        if line.event in _ATTEMPT_EVENTS:
            job_id = str(line.fields.get("task")).partition(".")[0]
            self.attempts[job_id].add_line(line)
            return
        if line.event == "QUEUE_WAITS":
            reason = str(line.fields.get("oldest_waits_for", ""))
            queue = str(line.fields.get("queue"))
            self.wait_causes[queue] = WAIT_CAUSES.get(reason, Cause.UNKNOWN)
        job_id = str(line.fields.get("job", ""))
        if not job_id:
            return
        self.first_s.setdefault(job_id, line.time_s)
        if line.event == "JOB_ACCEPTED":
            self.accepted_s.setdefault(job_id, line.time_s)
        elif line.event == "CRASH_LOOP_FOUND":
            self.crash_loops.add(job_id)


def build_loss_report(
    lines: Iterable[LogLine],
    *,
    bin_s: float,
    unread: Mapping[str, int] | None = None,
) -> LossReport:
    """Build the loss report.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order.
    bin_s : float
        Length of the intervals of the losses over time, in s.
    unread : mapping of str to int, optional
        Number of skipped lines, by reason.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    jobs = _JobEvents()
    for line in ordered:
        jobs.add_line(line)
    began_s = ordered[0].time_s if ordered else 0.0
    ended_s = ordered[-1].time_s if ordered else 0.0
    ownerless = _find_ownerless_intervals(ordered)
    outcomes = {
        job_id: outcome
        for job_id, outcome in classify_jobs_by_id(ordered).items()
        if outcome.code is not ResultCode.BAD_REQUEST
    }
    losses = tuple(
        _attribute_loss(job_id, outcome, jobs, ownerless, ended_s)
        for job_id, outcome in outcomes.items()
        if not _is_good(outcome)
    )
    services = tuple(_list_shortfalls(ordered))
    return LossReport(
        began_s=began_s,
        ended_s=ended_s,
        queues=_sum_queues(outcomes.values(), losses),
        services=_sum_services(services),
        moments=_bin_losses(losses, services, began_s=began_s, bin_s=bin_s),
        losses=losses,
        unread=dict(unread or {}),
        copies=sum_copies(ordered),
        sizes=count_by_size(ordered, outcomes),
    )


def _is_good(outcome: JobOutcome) -> bool:
    return outcome.code is ResultCode.OK and outcome.elapsed_ms <= outcome.objective_ms


def _attribute_loss(
    job_id: str,
    outcome: JobOutcome,
    jobs: _JobEvents,
    ownerless: Sequence[Interval],
    ended_s: float,
) -> JobLoss:
    """Return the loss of a job, with its most expensive cause."""
    at_s = jobs.accepted_s.get(job_id, jobs.first_s.get(job_id, outcome.at_s))
    if outcome.code in REFUSED_CODES:
        return JobLoss(job=job_id, queue=outcome.queue, at_s=at_s, cause=Cause.REFUSED)
    is_done = outcome.code is ResultCode.OK
    spent = attribute_time(
        jobs.attempts[job_id],
        accepted_s=at_s,
        end_s=min(outcome.at_s, ended_s),
        ownerless=ownerless,
        open_cause=None
        if is_done
        else jobs.wait_causes.get(outcome.queue, Cause.UNKNOWN),
    )
    if outcome.code is ResultCode.BACKEND_FAILED:
        is_crash_loop = job_id in jobs.crash_loops
        cause = Cause.CRASH_LOOP if is_crash_loop else Cause.FAILED
        return JobLoss(
            job=job_id, queue=outcome.queue, at_s=at_s, cause=cause, spent_ms=spent
        )
    costs = {
        cause: ms for cause, ms in spent.items() if cause is not Cause.DECLARED_WORK
    }
    return JobLoss(
        job=job_id,
        queue=outcome.queue,
        at_s=at_s,
        cause=max(costs, key=costs.__getitem__, default=Cause.UNKNOWN),
        late_ms=outcome.elapsed_ms - outcome.objective_ms,
        spent_ms=spent,
    )


def _find_ownerless_intervals(ordered: Iterable[LogLine]) -> list[Interval]:
    """Return intervals without an owner that knows the running tasks.

    Such an interval lasts from the last line of the previous owner until the new owner
    logs ``SHARD_SETTLED``.
    """
    intervals: list[Interval] = []
    owner = ""
    last_seen_s = 0.0
    begin_s: float | None = None
    for line in ordered:
        if line.event == "SHARD_CLAIMED":
            begin_s = last_seen_s if owner else line.time_s
            owner = line.instance
        elif line.event == "SHARD_SETTLED" and line.instance == owner:
            if begin_s is not None:
                intervals.append(Interval(begin_s=begin_s, end_s=line.time_s))
            begin_s = None
        if line.instance == owner and line.event in _OWNER_EVENTS:
            last_seen_s = line.time_s
    return intervals


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
"""Events that only an owner logs. The last one is taken as the end of its work."""


def _list_shortfalls(ordered: Iterable[LogLine]) -> Iterable[ServiceShortfall]:
    for line in ordered:
        if line.event != "SERVICE_SHORT":
            continue
        fields = line.fields
        values = [fields.get(name) for name in ("tasks", "away", "over", "beside")]
        if not all(isinstance(value, (int, float)) for value in values):
            continue
        tasks, away, over, beside = (
            float(value) for value in values if value is not None
        )
        wait_cause = WAIT_CAUSES.get(str(fields.get("waited_for", "")), Cause.STARTING)
        lost = {
            wait_cause: away,
            Cause.LATENCY_BESIDE_BATCH: beside,
            Cause.LATENCY_OWN_LOAD: over - beside,
        }
        yield ServiceShortfall(
            job=str(fields.get("job")),
            queue=str(fields.get("queue")),
            at_s=line.time_s,
            tasks=int(tasks),
            lost={cause: count for cause, count in lost.items() if count > 0.0},
        )


def _sum_queues(
    outcomes: Iterable[JobOutcome], losses: Sequence[JobLoss]
) -> tuple[QueueLosses, ...]:
    judged: Counter[str] = Counter(outcome.queue for outcome in outcomes)
    lost: dict[str, Counter[Cause]] = defaultdict(Counter)
    late_ms: dict[str, Counter[Cause]] = defaultdict(Counter)
    for loss in losses:
        lost[loss.queue][loss.cause] += 1
        late_ms[loss.queue][loss.cause] += loss.late_ms  # type: ignore[assignment]
    return tuple(
        QueueLosses(
            queue=queue,
            judged=count,
            good=count - lost[queue].total(),
            lost=dict(lost[queue]),
            late_ms=dict(late_ms[queue]),
        )
        for queue, count in sorted(judged.items())
    )


def _sum_services(shortfalls: Sequence[ServiceShortfall]) -> tuple[ServiceLosses, ...]:
    by_queue: dict[str, list[ServiceShortfall]] = defaultdict(list)
    for shortfall in shortfalls:
        by_queue[shortfall.queue].append(shortfall)
    return tuple(
        ServiceLosses(
            queue=queue,
            jobs=len({row.job for row in rows}),
            periods=len(rows),
            task_s=_sum_tasks(rows),
        )
        for queue, rows in sorted(by_queue.items())
    )


def _sum_tasks(rows: Iterable[ServiceShortfall]) -> dict[Cause, float]:
    sums: dict[Cause, float] = defaultdict(float)
    for row in rows:
        for cause, count in row.lost.items():
            sums[cause] += count * _SHORTFALL_PERIOD_S
    return dict(sums)


def _bin_losses(
    losses: Sequence[JobLoss],
    shortfalls: Sequence[ServiceShortfall],
    *,
    began_s: float,
    bin_s: float,
) -> tuple[TimeBin, ...]:
    jobs_by_bin: dict[int, Counter[Cause]] = defaultdict(Counter)
    shortfalls_by_bin: dict[int, list[ServiceShortfall]] = defaultdict(list)
    for loss in losses:
        jobs_by_bin[int((loss.at_s - began_s) // bin_s)][loss.cause] += 1
    for shortfall in shortfalls:
        shortfalls_by_bin[int((shortfall.at_s - began_s) // bin_s)].append(shortfall)
    return tuple(
        TimeBin(
            at_s=number * bin_s,
            jobs=dict(jobs_by_bin[number]),
            task_s=_sum_tasks(shortfalls_by_bin[number]),
        )
        for number in sorted(jobs_by_bin.keys() | shortfalls_by_bin.keys())
    )
