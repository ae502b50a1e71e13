"""The report on burn out of the logs of processes on the users' platform.

There is no service to count answers at: a job is good when it ends in time, and which
time that is depends on the job. The processes log both; here a ledger counts them, a
source for each process, as instances do that serve requests.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator

import attrs

from trefoilhook.burn.core import BurnReport
from trefoilhook.burn.ledger import BurnLedger
from trefoilhook.burn.report import PERIOD, build_report
from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.configuration import Objective
from trefoilhook.results import ResultCode
from trefoilhook.story import LogLine

__all__ = ["JobOutcome", "judge_each_job", "judge_jobs", "report_jobs"]

_MS_PER_S = 1000.0

_TEAM = "jobs"
"""Stands in the report where others have a team: a queue belongs to none."""

_CLIENT_ERROR_STATUS = 400

_LEAST_OBJECTIVE_MS = 1.0
"""Stands for the objective of a job that was turned away, which is bad in any case; an
objective below it is invalid."""


@attrs.frozen(kw_only=True)
class JobOutcome:
    """What became of one job.

    Parameters
    ----------
    at_s : float
        When that was known, in s since the Unix epoch.
    instance : str
        Who told so.
    queue : str
        Its queue.
    code : ResultCode
        How it ended.
    spent_ms : float
        Time from its acceptance, in ms.
    objective_ms : float
        Time that it should have taken, in ms; 0 where it isn't known.
    """

    at_s: float
    instance: str
    queue: str
    code: ResultCode
    spent_ms: float = 0.0
    objective_ms: float = 0.0


@attrs.define(kw_only=True)
class _Job:
    """The lines on one job that decide, each the first or the last of its kind."""

    accepted: LogLine | None = None
    finished: LogLine | None = None
    cancelled: bool = False
    turned_away: LogLine | None = None

    def take(self, line: LogLine) -> None:
        if line.event == "JOB_ACCEPTED":
            self.accepted = self.accepted or line
        elif line.event == "JOB_FINISHED":
            self.finished = self.finished or line
        elif line.event == "JOB_CANCELLED":
            self.cancelled = True
        elif line.event in ("REQUEST_REFUSED", "REQUEST_FAILED"):
            self.turned_away = line

    def judge(self, end_s: float) -> JobOutcome | None:
        """Return what became of the job; None if that says nothing about the system."""
        if self.cancelled:
            return None
        if self.finished is not None:
            return _judge_finished(self.finished)
        if self.accepted is not None:
            return _judge_open(self.accepted, end_s)
        if self.turned_away is not None:
            return _judge_turned_away(self.turned_away)
        return None


def _judge_finished(line: LogLine) -> JobOutcome | None:
    fields = line.fields
    phase = fields.get("phase")
    if phase == "cancelled" or not {"objective_ms", "late_ms"} <= fields.keys():
        return None
    objective_ms = float(fields["objective_ms"])
    return JobOutcome(
        at_s=line.time_s,
        instance=line.instance,
        queue=str(fields.get("queue")),
        code=ResultCode.OK if phase == "completed" else ResultCode.BACKEND_FAILED,
        spent_ms=objective_ms + float(fields["late_ms"]),
        objective_ms=objective_ms,
    )


def _judge_open(line: LogLine, end_s: float) -> JobOutcome | None:
    """Judge a job that hasn't ended: it is late already, or still has time.

    Failure guarded against: a job that is never run has no last line. Judged by ends
    alone, a queue that stands still would look as good as one without jobs.
    """
    if "objective_ms" not in line.fields:
        return None
    objective_ms = float(line.fields["objective_ms"])
    spent_ms = (end_s - line.time_s) * _MS_PER_S
    if spent_ms <= objective_ms:
        return None
    return JobOutcome(
        at_s=end_s,
        instance=line.instance,
        queue=str(line.fields.get("queue")),
        code=ResultCode.QUEUE_DEADLINE,
        spent_ms=spent_ms,
        objective_ms=objective_ms,
    )


def _judge_turned_away(line: LogLine) -> JobOutcome:
    code = ResultCode.STORE_UNAVAILABLE
    if line.event == "REQUEST_FAILED":
        is_clients = line.fields.get("status") == _CLIENT_ERROR_STATUS
        code = ResultCode.BAD_REQUEST if is_clients else ResultCode.ANSWER_LOST
    return JobOutcome(
        at_s=line.time_s,
        instance=line.instance,
        queue=str(line.fields.get("queue")),
        code=code,
    )


def judge_jobs(lines: Iterable[LogLine]) -> Iterator[JobOutcome]:
    """Yield what became of each job, once for each, whoever told of it how often.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order.
    """
    yield from judge_each_job(lines).values()


def judge_each_job(lines: Iterable[LogLine]) -> dict[str, JobOutcome]:
    """Return what became of each job that says something about the system, by job."""
    jobs: dict[str, _Job] = defaultdict(_Job)
    end_s = 0.0
    for line in sorted(lines, key=lambda line: line.time_s):
        end_s = line.time_s
        if "job" in line.fields:
            jobs[str(line.fields["job"])].take(line)
    outcomes = {job_id: job.judge(end_s) for job_id, job in jobs.items()}
    return {job_id: found for job_id, found in outcomes.items() if found is not None}


def report_jobs(lines: Iterable[LogLine], *, target: float) -> BurnReport:
    """Build the report on jobs out of logs.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order; the report's windows end with the last.
    target : float
        Share of jobs that must be good.
    """
    kept = sorted(lines, key=lambda line: line.time_s)
    outcomes = sorted(judge_jobs(kept), key=lambda outcome: outcome.at_s)
    end_ms = kept[-1].time_s * _MS_PER_S if kept else 0.0
    if not outcomes:
        return BurnReport(at_ms=end_ms, period=PERIOD)
    first, *others = _count(outcomes, _find_starts(kept), target)
    for other in others:
        first.merge(other.encode())
    objectives = _find_objectives(outcomes, target)
    return build_report(
        ledger=first,
        find_objective=lambda team, queue: objectives.get(queue),
        now_ms=end_ms,
    )


def _find_starts(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the time of each process's first line, in ms since the Unix epoch."""
    starts: dict[str, float] = {}
    for line in lines:
        starts.setdefault(line.instance, line.time_s * _MS_PER_S)
    return starts


def _count(
    outcomes: Iterable[JobOutcome], starts: dict[str, float], target: float
) -> list[BurnLedger]:
    """Count outcomes, which come in order of time, at the processes that told them."""
    time = ManualTime(epoch_ms=0.0)
    clock = build_manual_clock(time)
    ledgers: dict[str, BurnLedger] = {}
    for outcome in outcomes:
        name = outcome.instance
        if name not in ledgers:
            time.now_ms = starts[name]
            ledgers[name] = BurnLedger(instance_id=name, clock=clock)
        time.now_ms = outcome.at_s * _MS_PER_S
        ledgers[name].record(
            team=_TEAM,
            service=outcome.queue,
            code=outcome.code,
            latency_ms=outcome.spent_ms,
            objective=_build_objective(outcome.objective_ms, target),
        )
    return list(ledgers.values())


def _find_objectives(
    outcomes: Iterable[JobOutcome], target: float
) -> dict[str, Objective]:
    """Return what the report shows as a queue's objective: the middle of its jobs'."""
    found: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        known = [outcome.objective_ms] if outcome.objective_ms else []
        found[outcome.queue].extend(known)
    return {
        queue: _build_objective(statistics.median(times or [0.0]), target)
        for queue, times in found.items()
    }


def _build_objective(latency_ms: float, target: float) -> Objective:
    return Objective(latency_ms=max(latency_ms, _LEAST_OBJECTIVE_MS), target=target)
