"""Counts the outcomes of jobs by size, from the log lines of all processes."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from trefoilhook.burn import JobOutcome
from trefoilhook.results import ResultCode
from trefoilhook.scheduling.ranking import MAX_LATENESS_FACTOR
from trefoilhook.story import LogLine

__all__ = ["REFUSED_CODES", "SizeOutcomes", "count_by_size", "read_number"]

_PARTS = (
    ("smallest tenths, 1 to 7", 0.0, 0.7),
    ("next fifth", 0.7, 0.9),
    ("largest tenth", 0.9, 1.0),
)
"""Name of each part of a queue's jobs in ascending order of their work, and where it
begins and ends."""

REFUSED_CODES = frozenset({ResultCode.STORE_UNAVAILABLE, ResultCode.ANSWER_LOST})
"""Results of jobs that were never accepted."""


@attrs.define(kw_only=True)
class SizeOutcomes:
    """Outcomes of the jobs of one queue and size.

    Parameters
    ----------
    queue : str
        Id of the queue.
    size : str
        Part of the queue's jobs, in ascending order of their work.
    jobs : int
        Number of jobs with a known outcome and size.
    in_time, late, too_late, failed, refused : int
        Number that met their objective, completed within three times of it, took
        longer or are overdue, failed, and were never accepted.
    waited_s : float
        Mean time for which a job had tasks that waited for a worker, in s.
    overtaken : float
        Mean number of tasks of later jobs that were started in that time.
    overtaken_by_smaller : float
        Mean number of these tasks whose job has less work.
    """

    queue: str
    size: str
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    too_late: int = 0
    failed: int = 0
    refused: int = 0
    waited_s: float = 0.0
    overtaken: float = 0.0
    overtaken_by_smaller: float = 0.0


def count_by_size(
    lines: Iterable[LogLine], outcomes: Mapping[str, JobOutcome]
) -> tuple[SizeOutcomes, ...]:
    """Count the outcomes of jobs whose size was logged, by queue and size.

    Parameters
    ----------
    lines : iterable of LogLine
        Logs of all processes.
    outcomes : mapping of str to JobOutcome
        Outcomes by job id.
    """
    work: dict[str, float] = {}
    waits: dict[str, LogLine] = {}
    for line in lines:
        job_id = str(line.fields.get("job", ""))
        if isinstance(line.fields.get("work_ms"), (int, float)):
            work.setdefault(job_id, float(line.fields["work_ms"]))
        if line.event in ("JOB_FINISHED", "JOB_LATE"):
            waits[job_id] = line
    by_queue: dict[str, list[str]] = defaultdict(list)
    for job_id in sorted(outcomes.keys() & work.keys(), key=lambda each: work[each]):
        by_queue[outcomes[job_id].queue].append(job_id)
    return tuple(
        _count_part(
            queue,
            name,
            jobs[int(begin * len(jobs)) : int(end * len(jobs))],
            outcomes,
            waits,
        )
        for queue, jobs in sorted(by_queue.items())
        for name, begin, end in _PARTS
    )


def _count_part(
    queue: str,
    name: str,
    jobs: Sequence[str],
    outcomes: Mapping[str, JobOutcome],
    waits: Mapping[str, LogLine],
) -> SizeOutcomes:
    part = SizeOutcomes(queue=queue, size=name, jobs=len(jobs))
    for job_id in jobs:
        _count_outcome(part, outcomes[job_id])
        if job_id in waits:
            fields = waits[job_id].fields
            part.waited_s += read_number(fields.get("waited_ms")) / 1000.0 / len(jobs)
            part.overtaken += read_number(fields.get("overtaken")) / len(jobs)
            smaller = read_number(fields.get("overtaken_by_smaller"))
            part.overtaken_by_smaller += smaller / len(jobs)
    return part


def _count_outcome(part: SizeOutcomes, outcome: JobOutcome) -> None:
    if outcome.code in REFUSED_CODES:
        part.refused += 1
    elif outcome.code is ResultCode.BACKEND_FAILED:
        part.failed += 1
    elif outcome.elapsed_ms > MAX_LATENESS_FACTOR * outcome.objective_ms:
        part.too_late += 1
    elif outcome.code is not ResultCode.OK or (
        outcome.elapsed_ms > outcome.objective_ms
    ):
        part.late += 1
    else:
        part.in_time += 1


def read_number(value: object) -> float:
    """Return a field of a log line as a number; 0 if it is none."""
    return float(value) if isinstance(value, (int, float)) else 0.0
