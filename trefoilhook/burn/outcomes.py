"""Burn report on jobs, built from the logs of processes on the users' platform.

A job is good if it completes within its objective, which is set per job. The processes
log both. The outcomes are counted in one `BurnLedger` per process, as instances count
the requests that they serve.
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

__all__ = ["JobOutcome", "build_job_report", "classify_jobs", "classify_jobs_by_id"]

_MS_PER_S = 1000.0

_TEAM = "jobs"
"""Team name in the report: queues belong to no team."""

_CLIENT_ERROR_STATUS = 400

_MIN_OBJECTIVE_MS = 1.0
"""Objective used for rejected jobs, which count as bad in any case. `Objective` accepts
no lower value."""


@attrs.frozen(kw_only=True)
class JobOutcome:
    """Outcome of one job.

    Parameters
    ----------
    at_s : float
        When the outcome was logged, in s since the Unix epoch.
    instance : str
        Instance that logged it.
    queue : str
        Queue of the job.
    code : ResultCode
        Result of the job.
    spent_ms : float
        Time since the job was accepted, in ms.
    objective_ms : float
        Objective for the time to completion, in ms; 0 if unknown.
    """

    at_s: float
    instance: str
    queue: str
    code: ResultCode
    elapsed_ms: float = 0.0
    objective_ms: float = 0.0


@attrs.define(kw_only=True)
class _JobEvents:
    """The log lines that decide the outcome of one job.

    Of acceptances and ends the first line is kept, of rejections the last.
    """

    accepted: LogLine | None = None
    finished: LogLine | None = None
    cancelled: bool = False
    rejected: LogLine | None = None

    def add_line(self, line: LogLine) -> None:
        if line.event == "JOB_ACCEPTED":
            self.accepted = self.accepted or line
        elif line.event == "JOB_FINISHED":
            self.finished = self.finished or line
        elif line.event == "JOB_CANCELLED":
            self.cancelled = True
        elif line.event in ("REQUEST_REFUSED", "REQUEST_FAILED"):
            self.rejected = line

    def classify(self, end_s: float) -> JobOutcome | None:
        """Return the outcome; None if the job doesn't count, or not yet."""
        if self.cancelled:
            return None
        if self.finished is not None:
            return _classify_finished(self.finished)
        if self.accepted is not None:
            return _classify_unfinished(self.accepted, end_s)
        if self.rejected is not None:
            return _classify_rejected(self.rejected)
        return None


def _classify_finished(line: LogLine) -> JobOutcome | None:
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
        elapsed_ms=objective_ms + float(fields["late_ms"]),
        objective_ms=objective_ms,
    )


def _classify_unfinished(line: LogLine, end_s: float) -> JobOutcome | None:
    """Classify a job that hasn't ended: overdue jobs count as bad, others not yet.

    A job that is never run logs no end. If only ended jobs counted, a stalled queue
    would look as good as an empty one.
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
        elapsed_ms=spent_ms,
        objective_ms=objective_ms,
    )


def _classify_rejected(line: LogLine) -> JobOutcome:
    code = ResultCode.STORE_UNAVAILABLE
    if line.event == "REQUEST_FAILED":
        is_client_error = line.fields.get("status") == _CLIENT_ERROR_STATUS
        code = ResultCode.BAD_REQUEST if is_client_error else ResultCode.ANSWER_LOST
    return JobOutcome(
        at_s=line.time_s,
        instance=line.instance,
        queue=str(line.fields.get("queue")),
        code=code,
    )


def classify_jobs(lines: Iterable[LogLine]) -> Iterator[JobOutcome]:
    """Yield the outcome of each job, once even if it was logged several times.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order.
    """
    yield from classify_jobs_by_id(lines).values()


def classify_jobs_by_id(lines: Iterable[LogLine]) -> dict[str, JobOutcome]:
    """Return the outcomes of the jobs that count, by job id."""
    jobs: dict[str, _JobEvents] = defaultdict(_JobEvents)
    end_s = 0.0
    for line in sorted(lines, key=lambda line: line.time_s):
        end_s = line.time_s
        if "job" in line.fields:
            jobs[str(line.fields["job"])].add_line(line)
    outcomes = {job_id: job.classify(end_s) for job_id, job in jobs.items()}
    return {
        job_id: outcome for job_id, outcome in outcomes.items() if outcome is not None
    }


def build_job_report(lines: Iterable[LogLine], *, target: float) -> BurnReport:
    """Build the burn report on jobs from logs.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes, in any order; the windows of the report end at the
        latest line.
    target : float
        Share of jobs that must be good.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    outcomes = sorted(classify_jobs(ordered), key=lambda outcome: outcome.at_s)
    end_ms = ordered[-1].time_s * _MS_PER_S if ordered else 0.0
    if not outcomes:
        return BurnReport(at_ms=end_ms, period=PERIOD)
    first, *others = _count_outcomes(outcomes, _find_starts(ordered), target)
    for other in others:
        first.merge(other.encode())
    objectives = _find_objectives(outcomes, target)
    return build_report(
        ledger=first,
        find_objective=lambda team, queue: objectives.get(queue),
        now_ms=end_ms,
    )


def _find_starts(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the time of each instance's first line, in ms since the Unix epoch."""
    starts: dict[str, float] = {}
    for line in lines:
        starts.setdefault(line.instance, line.time_s * _MS_PER_S)
    return starts


def _count_outcomes(
    outcomes: Iterable[JobOutcome], starts: dict[str, float], target: float
) -> list[BurnLedger]:
    """Count outcomes, sorted by time, in one ledger per instance that logged them."""
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
            latency_ms=outcome.elapsed_ms,
            objective=_build_objective(outcome.objective_ms, target),
        )
    return list(ledgers.values())


def _find_objectives(
    outcomes: Iterable[JobOutcome], target: float
) -> dict[str, Objective]:
    """Return the objective shown for each queue: the median over its jobs."""
    objectives: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        known = [outcome.objective_ms] if outcome.objective_ms else []
        objectives[outcome.queue].extend(known)
    return {
        queue: _build_objective(statistics.median(objectives_ms or [0.0]), target)
        for queue, objectives_ms in objectives.items()
    }


def _build_objective(latency_ms: float, target: float) -> Objective:
    return Objective(latency_ms=max(latency_ms, _MIN_OBJECTIVE_MS), target=target)
