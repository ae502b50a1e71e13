"""What must hold whatever happens, judged by what workers ran and clients were told."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from trefoilhook.soak.fleet import DECOY
from trefoilhook.soak.ledger import Ledger, SubmissionOutcome, read_place
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["check_runs"]

Runs = Mapping[str, Iterable[TaskRecord]]


def check_runs(ledger: Ledger, runs: Runs, *, cpu: int) -> list[str]:
    """Return what was broken, in words.

    Parameters
    ----------
    ledger : Ledger
        What clients sent and were told.
    runs : mapping of str to iterable of TaskRecord
        What ran, by worker.
    cpu : int
        Thousandths of a core that each worker has.
    """
    return [
        *ledger.violations,
        *_check_unasked(ledger, runs),
        *_check_decoy(runs),
        *_check_twice(runs),
        *_check_room(ledger, runs, cpu),
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
        if not submission.cancel_sent and submission.state != "completed":
            found.append(f"{job_id} was accepted, and ended as {submission.state!r}")
    return found
