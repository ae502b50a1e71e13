"""Invariant checks on the task runs of workers and the responses to clients."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from trefoilhook.soak.fleet import DECOY, EvacuationRecord
from trefoilhook.soak.submissions import (
    SubmissionLog,
    SubmissionOutcome,
    parse_task_name,
)
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["check_runs"]

Runs = Mapping[str, Iterable[TaskRecord]]

CapacityHistory = Mapping[str, Sequence[tuple[float, int]]]
"""By worker: start times, in ms, and CPU capacities, in thousandths of a core."""

_CRASH_LIMIT = 3
_MAX_STARTS_AFTER_LIMIT = 2
"""Starts allowed after a task has crashed as many workers as the limit."""

_MIN_CRASHES_TO_FAIL = 2
"""Crashes under one task before its job may fail."""

_CAPACITY_GRACE_MS = 4500.0
"""Delay until a reduced capacity is enforced, in ms: 3 s without contact, and one
heartbeat."""


_EVACUATION_DEADLINE_MS = 5000.0
"""Time within which an evacuation must take effect, in ms."""


def check_runs(
    submission_log: SubmissionLog,
    runs: Runs,
    *,
    cpu: int,
    capacity_history: CapacityHistory | None = None,
    failure_domains: Mapping[str, str] | None = None,
    evacuations: Iterable[EvacuationRecord] = (),
) -> list[str]:
    """Return descriptions of the violated invariants.

    Parameters
    ----------
    submission_log : SubmissionLog
        Submissions and the responses to them.
    runs : mapping of str to iterable of TaskRecord
        Task runs, by worker.
    cpu : int
        Maximum capacity of each worker, in thousandths of a core.
    capacity_history : mapping of str to sequence of (float, int), optional
        Capacities over time of workers whose capacity changed.
    failure_domains : mapping of str to str, optional
        Failure domain of each worker, by worker id.
    evacuations : iterable of EvacuationRecord, optional
        Evacuations of failure domains by the operator.
    """
    return [
        *submission_log.violations,
        *_check_unsubmitted(submission_log, runs),
        *_check_decoy(runs),
        *_check_duplicates(runs),
        *_check_capacity(submission_log, runs, cpu),
        *_check_reduced_capacity(submission_log, runs, capacity_history or {}),
        *_check_evacuations(runs, failure_domains or {}, evacuations),
        *_check_crashes(submission_log, runs),
        *_check_step_order(submission_log, runs),
        *_check_completion(submission_log, runs),
    ]


def _get_end_ms(run: TaskRecord) -> float:
    return math.inf if run.ended_ms is None else run.ended_ms


def _check_unsubmitted(submission_log: SubmissionLog, runs: Runs) -> list[str]:
    """Find runs of jobs that were never submitted, or that were rejected."""
    violations = []
    for run in itertools.chain.from_iterable(runs.values()):
        job_id, _, _ = parse_task_name(run.task)
        submission = submission_log.submissions.get(job_id)
        if submission is None:
            violations.append(f"{run.task} ran, and nobody sent it")
        elif submission.outcome is SubmissionOutcome.REJECTED:
            violations.append(f"{run.task} ran, and its client was told it never would")
    return violations


def _check_decoy(runs: Runs) -> list[str]:
    """Find runs on the worker that only foreign entries refer to."""
    return [f"{run.task} ran on the decoy" for run in runs.get(DECOY, ())]


def _check_duplicates(runs: Runs) -> list[str]:
    """Find tasks with concurrent runs, or that ran again after acknowledged success."""
    by_task: dict[str, list[TaskRecord]] = defaultdict(list)
    for run in itertools.chain.from_iterable(runs.values()):
        by_task[run.task].append(run)
    violations = []
    for task, attempts in by_task.items():
        attempts.sort(key=lambda run: run.started_ms)
        for earlier, later in itertools.combinations(attempts, 2):
            if later.started_ms < _get_end_ms(earlier):
                violations.append(
                    f"{task} ran twice at a time: attempt {earlier.attempt} from "
                    f"{earlier.started_ms:.0f}, {later.attempt} from "
                    f"{later.started_ms:.0f}"
                )
            elif earlier.how == "done" and earlier.acknowledged:
                violations.append(f"{task} ran again after it was done")
    return violations


def _check_capacity(submission_log: SubmissionLog, runs: Runs, cpu: int) -> list[str]:
    """Find workers that were allocated more CPU than they have."""
    violations = []
    for worker, records in runs.items():
        changes: list[tuple[float, int]] = []
        for run in records:
            job_id, step, _ = parse_task_name(run.task)
            if job_id in submission_log.submissions:
                demand = submission_log.submissions[job_id].steps[step].cpu
                changes.append((run.started_ms, demand))
                changes.append((_get_end_ms(run), -demand))
        used = 0
        # At equal times the negative change sorts first: ends precede starts.
        for at_ms, change in sorted(changes):
            used += change
            if used > cpu:
                violations.append(
                    f"worker {worker} held {used} of {cpu} at {at_ms:.0f}"
                )
                break
    return violations


def _check_reduced_capacity(
    submission_log: SubmissionLog, runs: Runs, capacity_history: CapacityHistory
) -> list[str]:
    """Find starts that exceeded a previously reduced capacity."""
    violations = []
    for worker, history in capacity_history.items():
        records = [run for run in runs[worker] if parse_task_name(run.task)[0]]
        for run in records:
            at_ms = run.started_ms
            used = sum(
                _get_cpu_demand(submission_log, other)
                for other in records
                if other.started_ms <= at_ms < _get_end_ms(other)
            )
            capacity = _get_effective_capacity(history, at_ms)
            if used > capacity:
                violations.append(
                    f"{run.task} was started on {worker} at {at_ms:.0f}, which then "
                    f"held {used} of {capacity}"
                )
    return violations


def _get_cpu_demand(submission_log: SubmissionLog, run: TaskRecord) -> int:
    job_id, step, _ = parse_task_name(run.task)
    submission = submission_log.submissions.get(job_id)
    return submission.steps[step].cpu if submission is not None else 0


def _get_effective_capacity(history: Sequence[tuple[float, int]], at_ms: float) -> int:
    """Return the maximum capacity of a worker within the grace period."""
    capacity = 0
    for number, (since_ms, cpu) in enumerate(history):
        is_last = number + 1 == len(history)
        until_ms = math.inf if is_last else history[number + 1][0]
        if since_ms <= at_ms and until_ms > at_ms - _CAPACITY_GRACE_MS:
            capacity = max(capacity, cpu)
    return capacity


def _check_evacuations(
    runs: Runs,
    failure_domains: Mapping[str, str],
    evacuations: Iterable[EvacuationRecord],
) -> list[str]:
    """Find tasks started in a failure domain after its evacuation deadline."""
    violations = []
    for evacuation in evacuations:
        deadline_ms = evacuation.began_ms + _EVACUATION_DEADLINE_MS
        for worker, records in runs.items():
            if failure_domains.get(worker) != evacuation.failure_domain:
                continue
            violations += [
                f"{run.task} was started on {worker} at {run.started_ms:.0f} ms, but "
                f"failure domain {evacuation.failure_domain} was under evacuation "
                f"since {evacuation.began_ms:.0f} ms"
                for run in records
                if deadline_ms < run.started_ms < evacuation.ended_ms
            ]
    return violations


def _check_crashes(submission_log: SubmissionLog, runs: Runs) -> list[str]:
    """Find tasks started after too many crashes, and jobs failed without cause."""
    violations = []
    by_task: dict[str, list[TaskRecord]] = defaultdict(list)
    for run in itertools.chain.from_iterable(runs.values()):
        by_task[run.task].append(run)
    for submission in submission_log.submissions.values():
        attempts = by_task[submission.crashing_task]
        ends = sorted(_get_end_ms(run) for run in attempts if run.how == "crashed")
        if submission.crash_ms is not None and len(ends) >= _CRASH_LIMIT:
            third_ms = ends[_CRASH_LIMIT - 1]
            later = sum(run.started_ms > third_ms for run in attempts)
            if later > _MAX_STARTS_AFTER_LIMIT:
                violations.append(
                    f"{submission.crashing_task} was started {later} times more after "
                    f"{_CRASH_LIMIT} workers had crashed under it"
                )
        if submission.state != "failed":
            continue
        if submission.crash_ms is None:
            violations.append(f"{submission.job_id} was given up, and could be done")
        elif len(ends) < _MIN_CRASHES_TO_FAIL:
            violations.append(
                f"{submission.job_id} was given up after {len(ends)} crashes under "
                f"its task"
            )
    return violations


def _find_completions(runs: Runs) -> dict[tuple[str, int], dict[int, float]]:
    """Return the first completion time of each task, by job and step."""
    completions: dict[tuple[str, int], dict[int, float]] = defaultdict(dict)
    for run in itertools.chain.from_iterable(runs.values()):
        if run.how == "done":
            job_id, step, index = parse_task_name(run.task)
            known = completions[job_id, step].get(index, math.inf)
            completions[job_id, step][index] = min(known, _get_end_ms(run))
    return completions


def _check_step_order(submission_log: SubmissionLog, runs: Runs) -> list[str]:
    """Find runs that started before the previous step was completed."""
    completions = _find_completions(runs)
    violations = []
    for run in itertools.chain.from_iterable(runs.values()):
        job_id, step, _ = parse_task_name(run.task)
        submission = submission_log.submissions.get(job_id)
        if submission is None or not step:
            continue
        ends = completions[job_id, step - 1]
        is_complete = len(ends) == submission.steps[step - 1].count
        if not is_complete or max(ends.values()) > run.started_ms:
            violations.append(f"{run.task} ran before step {step - 1} was done")
    return violations


def _check_completion(submission_log: SubmissionLog, runs: Runs) -> list[str]:
    """Find jobs that were lost, or reported as completed without being so."""
    completions = _find_completions(runs)
    violations = []
    for job_id, submission in submission_log.submissions.items():
        is_complete = all(
            len(completions[job_id, step]) == demand.count
            for step, demand in enumerate(submission.steps)
        )
        if submission.state == "completed" and not is_complete:
            violations.append(f"{job_id} was told completed, and isn't")
        if submission.outcome is not SubmissionOutcome.ACCEPTED:
            continue
        expected = "completed" if submission.crash_ms is None else "failed"
        if not submission.cancel_sent and submission.state != expected:
            violations.append(
                f"{job_id} was accepted, and ended as {submission.state!r}"
            )
    return violations
