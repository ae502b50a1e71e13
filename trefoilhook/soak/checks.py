"""What must hold whatever happens, judged by what workers ran and clients were told."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from trefoilhook.soak.fleet import DECOY, EvacuationRecord
from trefoilhook.soak.ledger import Ledger, SubmissionOutcome, read_place
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["check_runs"]

Runs = Mapping[str, Iterable[TaskRecord]]

Sizes = Mapping[str, Sequence[tuple[float, int]]]
"""Processor that each worker had, in thousandths of a core, and since when, in ms."""

_CRASHES_ALLOWED = 3
_STARTS_ALLOWED = 2
"""After three workers have crashed under it, a task may be started twice more."""

_LEAST_CRASHES = 2
"""A job may be given up once two workers have crashed under a task of it."""

_NOTICE_MS = 4500.0
"""A capacity that has shrunk counts from so much later, in ms: three seconds out of
touch, and a heartbeat."""


_EVACUATION_DEADLINE_MS = 5000.0
"""Time within which an evacuation must take effect, in ms."""


def check_runs(
    ledger: Ledger,
    runs: Runs,
    *,
    cpu: int,
    sizes: Sizes | None = None,
    failure_domains: Mapping[str, str] | None = None,
    evacuations: Iterable[EvacuationRecord] = (),
) -> list[str]:
    """Return what was broken, in words.

    Parameters
    ----------
    ledger : Ledger
        What clients sent and were told.
    runs : mapping of str to iterable of TaskRecord
        What ran, by worker.
    cpu : int
        Thousandths of a core that each worker has at most.
    sizes : mapping of str to sequence of (float, int), optional
        What each worker had, where that changed.
    failure_domains : mapping of str to str, optional
        Failure domain of each worker, by worker id.
    evacuations : iterable of EvacuationRecord, optional
        Evacuations of failure domains by the operator.
    """
    return [
        *ledger.violations,
        *_check_unasked(ledger, runs),
        *_check_decoy(runs),
        *_check_twice(runs),
        *_check_room(ledger, runs, cpu),
        *_check_shrunk(ledger, runs, sizes or {}),
        *_check_evacuated(runs, failure_domains or {}, evacuations),
        *_check_crashes(ledger, runs),
        *_check_order(ledger, runs),
        *_check_completion(ledger, runs),
    ]


def _end_of(run: TaskRecord) -> float:
    return math.inf if run.ended_ms is None else run.ended_ms


def _check_unasked(ledger: Ledger, runs: Runs) -> list[str]:
    """Find runs of jobs that nobody sent, or whose client was told they never run."""
    found = []
    for run in itertools.chain.from_iterable(runs.values()):
        job_id, _, _ = read_place(run.task)
        submission = ledger.submissions.get(job_id)
        if submission is None:
            found.append(f"{run.task} ran, and nobody sent it")
        elif submission.outcome is SubmissionOutcome.REJECTED:
            found.append(f"{run.task} ran, and its client was told it never would")
    return found


def _check_decoy(runs: Runs) -> list[str]:
    """Find runs on the worker that only entries of other writers name."""
    return [f"{run.task} ran on the decoy" for run in runs.get(DECOY, ())]


def _check_twice(runs: Runs) -> list[str]:
    """Find tasks that ran twice at a time, or again after an end that was noted."""
    by_task: dict[str, list[TaskRecord]] = defaultdict(list)
    for run in itertools.chain.from_iterable(runs.values()):
        by_task[run.task].append(run)
    found = []
    for task, tries in by_task.items():
        tries.sort(key=lambda run: run.started_ms)
        for earlier, later in itertools.combinations(tries, 2):
            if later.started_ms < _end_of(earlier):
                found.append(
                    f"{task} ran twice at a time: attempt {earlier.attempt} from "
                    f"{earlier.started_ms:.0f}, {later.attempt} from "
                    f"{later.started_ms:.0f}"
                )
            elif earlier.how == "done" and earlier.acknowledged:
                found.append(f"{task} ran again after it was done")
    return found


def _check_room(ledger: Ledger, runs: Runs, cpu: int) -> list[str]:
    """Find workers that were given more than they have."""
    found = []
    for worker, records in runs.items():
        changes: list[tuple[float, int]] = []
        for run in records:
            job_id, step, _ = read_place(run.task)
            if job_id in ledger.submissions:
                demand = ledger.submissions[job_id].steps[step].cpu
                changes.append((run.started_ms, demand))
                changes.append((_end_of(run), -demand))
        used = 0
        # What ends and what starts in the same moment: the end comes first.
        for at_ms, change in sorted(changes):
            used += change
            if used > cpu:
                found.append(f"worker {worker} held {used} of {cpu} at {at_ms:.0f}")
                break
    return found


def _check_shrunk(ledger: Ledger, runs: Runs, sizes: Sizes) -> list[str]:
    """Find starts that took a worker over a capacity that had shrunk before."""
    found = []
    for worker, history in sizes.items():
        records = [run for run in runs[worker] if read_place(run.task)[0]]
        for run in records:
            at_ms = run.started_ms
            used = sum(
                _read_demand(ledger, other)
                for other in records
                if other.started_ms <= at_ms < _end_of(other)
            )
            most = _find_capacity(history, at_ms)
            if used > most:
                found.append(
                    f"{run.task} was started on {worker} at {at_ms:.0f}, which then "
                    f"held {used} of {most}"
                )
    return found


def _read_demand(ledger: Ledger, run: TaskRecord) -> int:
    job_id, step, _ = read_place(run.task)
    submission = ledger.submissions.get(job_id)
    return submission.steps[step].cpu if submission is not None else 0


def _find_capacity(history: Sequence[tuple[float, int]], at_ms: float) -> int:
    """Return the most that a worker had within the time that counts."""
    most = 0
    for number, (since_ms, cpu) in enumerate(history):
        is_last = number + 1 == len(history)
        until_ms = math.inf if is_last else history[number + 1][0]
        if since_ms <= at_ms and until_ms > at_ms - _NOTICE_MS:
            most = max(most, cpu)
    return most


def _check_evacuated(
    runs: Runs,
    failure_domains: Mapping[str, str],
    evacuations: Iterable[EvacuationRecord],
) -> list[str]:
    """Find tasks started in a failure domain after its evacuation deadline."""
    found = []
    for evacuation in evacuations:
        deadline_ms = evacuation.began_ms + _EVACUATION_DEADLINE_MS
        for worker, records in runs.items():
            if failure_domains.get(worker) != evacuation.failure_domain:
                continue
            found += [
                f"{run.task} was started on {worker} at {run.started_ms:.0f} ms, but "
                f"failure domain {evacuation.failure_domain} was under evacuation "
                f"since {evacuation.began_ms:.0f} ms"
                for run in records
                if deadline_ms < run.started_ms < evacuation.ended_ms
            ]
    return found


def _check_crashes(ledger: Ledger, runs: Runs) -> list[str]:
    """Find tasks that crashed too many workers, and jobs given up without cause."""
    found = []
    by_task: dict[str, list[TaskRecord]] = defaultdict(list)
    for run in itertools.chain.from_iterable(runs.values()):
        by_task[run.task].append(run)
    for submission in ledger.submissions.values():
        tries = by_task[submission.culprit]
        ends = sorted(_end_of(run) for run in tries if run.how == "crashed")
        if submission.crash_ms is not None and len(ends) >= _CRASHES_ALLOWED:
            third_ms = ends[_CRASHES_ALLOWED - 1]
            later = sum(run.started_ms > third_ms for run in tries)
            if later > _STARTS_ALLOWED:
                found.append(
                    f"{submission.culprit} was started {later} times more after "
                    f"{_CRASHES_ALLOWED} workers had crashed under it"
                )
        if submission.state != "failed":
            continue
        if submission.crash_ms is None:
            found.append(f"{submission.job_id} was given up, and could be done")
        elif len(ends) < _LEAST_CRASHES:
            found.append(
                f"{submission.job_id} was given up after {len(ends)} crashes under "
                f"its task"
            )
    return found


def _find_done(runs: Runs) -> dict[tuple[str, int], dict[int, float]]:
    """Return when each task was done first, by job and step."""
    done: dict[tuple[str, int], dict[int, float]] = defaultdict(dict)
    for run in itertools.chain.from_iterable(runs.values()):
        if run.how == "done":
            job_id, step, index = read_place(run.task)
            known = done[job_id, step].get(index, math.inf)
            done[job_id, step][index] = min(known, _end_of(run))
    return done


def _check_order(ledger: Ledger, runs: Runs) -> list[str]:
    """Find runs that began before the step before theirs was done."""
    done = _find_done(runs)
    found = []
    for run in itertools.chain.from_iterable(runs.values()):
        job_id, step, _ = read_place(run.task)
        submission = ledger.submissions.get(job_id)
        if submission is None or not step:
            continue
        ends = done[job_id, step - 1]
        whole = len(ends) == submission.steps[step - 1].count
        if not whole or max(ends.values()) > run.started_ms:
            found.append(f"{run.task} ran before step {step - 1} was done")
    return found


def _check_completion(ledger: Ledger, runs: Runs) -> list[str]:
    """Find jobs that were lost, or told completed without being so."""
    done = _find_done(runs)
    found = []
    for job_id, submission in ledger.submissions.items():
        is_whole = all(
            len(done[job_id, step]) == demand.count
            for step, demand in enumerate(submission.steps)
        )
        if submission.state == "completed" and not is_whole:
            found.append(f"{job_id} was told completed, and isn't")
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        expected = "completed" if submission.crash_ms is None else "failed"
        if not submission.cancel_sent and submission.state != expected:
            found.append(f"{job_id} was accepted, and ended as {submission.state!r}")
    return found
