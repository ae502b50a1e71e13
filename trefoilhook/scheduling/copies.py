"""Starts copies of speculative tasks that take unusually long.

A copy is started only if the first run is expected to take longer than the copy. A run
is compared with the completed tasks of its step: if the declared duration is wrong, it
is wrong for all tasks of the step, and a copy takes as long as the run. Only a step
with too few tasks is compared with its declared duration, corrected by the learned
durations of its queue and image. Reported progress takes precedence where it is
available.
"""

import attrs

from trefoilhook.scheduling.copy_tracker import CopyStart, is_copyable, project_total
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.durations import MIN_SIBLINGS, Durations, estimate_excess
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import Attempt, TaskState
from trefoilhook.scheduling.placing import rate_worker
from trefoilhook.scheduling.ratios import RatioHistogram
from trefoilhook.scheduling.rounds import (
    AssignmentRound,
    next_attempt_number,
    reserve_capacity,
)
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["has_heard_most_workers", "may_start_unsettled", "start_copies"]

_INTERVAL_MS = 100.0
"""Minimum interval between two rounds, in ms. Each round examines all running
speculative tasks."""

_HIGH_QUANTILE = 0.95
"""Quantile of the durations of a step that counts as usual. It must not be raised by
stragglers, which are assumed to be rarer than one in twenty."""

_DECLARED_QUANTILE = 0.99
"""The same for the ratios to declared durations, which vary more with the declaration
than with the run."""

_QUANTILE_MARGIN = 1.25
"""Factor by which a run must exceed that quantile, as durations also vary without
stragglers."""

_MIN_RATIO = 1.5
"""Minimum ratio to the usual duration at which a run counts as unusually long."""

_DEFAULT_MEDIAN_RATIO = 2.0
"""Minimum ratio without learned durations, relative to the median of the step."""

_DEFAULT_DECLARED_RATIO = 8.0
"""Minimum ratio without learned durations, relative to the declared duration, which is
a rough estimate."""

_MIN_RUN_MS = 200.0
"""Lower bound on the usual duration, in ms. The decision on a copy and its start take a
comparable time."""

_SILENCE_MS = 1500.0
"""Time without an answer from a worker after which its runs may be copied, in ms. At
least two successive calls, which time out after 600 ms, have failed by then. Without a
copy, the tasks are restarted when their leases expire, some seconds later."""

_MAX_SILENT_SHARE = 0.1
"""Maximum fraction of silent workers at which their runs are copied. If more are
silent, the owner itself may be too slow to read the answers, which may list ends of the
runs."""

_MAX_CPU_SHARE = 0.02
"""Maximum fraction of the cores of a service's open workers that copies may use. One
copy is always permitted."""

_MIN_REPORTED_SHARE = 0.9
"""Minimum fraction of the workers that must have reported their runs to a new owner
before it starts speculative tasks that the other workers may be running. It bounds the
number of tasks that are run twice."""

_OTHER_RACK_BONUS = 2000.0
"""Bonus in the score of a worker on another rack, in thousandths of a core."""


@attrs.frozen(kw_only=True)
class _Reference:
    """Durations with which the runs of a step are compared.

    Parameters
    ----------
    base_ms : float
        Duration to which the ratios refer, in ms.
    usual_ms : float
        Typical duration, which a copy is expected to take, in ms.
    longest_ms : float
        Duration beyond which a run is unusually long, in ms.
    histogram : RatioHistogram or None
        Ratios of other durations to the base; None if unknown.
    """

    base_ms: float
    usual_ms: float
    longest_ms: float
    histogram: RatioHistogram | None


@attrs.frozen(kw_only=True)
class _Expectation:
    """Expected durations for a run and its copy.

    Parameters
    ----------
    usual_ms : float
        Typical duration, which the copy is expected to take, in ms.
    rest_ms : float
        Expected remaining time of the run, in ms.
    """

    usual_ms: float
    rest_ms: float


@attrs.define(kw_only=True)
class _Budget:
    """Capacity for copies on the workers of one service, in thousandths of a core."""

    max_cpu: float
    cpu: int = 0

    def has_room(self, cpu: int) -> bool:
        return not self.cpu or self.cpu + cpu <= self.max_cpu


def start_copies(assignment_round: AssignmentRound, *, settled: bool) -> None:
    """Reserve capacity for copies, whose start orders become due.

    Called after the assignment of all waiting tasks. No copy is started before the runs
    of previous owners are known, as these may include a copy.
    """
    scheduler = assignment_round.scheduler
    features = scheduler.features
    now_ms = assignment_round.now_ms
    tracker = scheduler.copies
    if now_ms < tracker.due_ms:
        return
    tracker.due_ms = now_ms + _INTERVAL_MS
    tracker.retain_running()
    if not (settled and features.copies):
        return
    references: dict[StepName, _Reference] = {}
    are_few_silent = _are_few_silent(scheduler)
    due = [
        (task, expectation)
        for task, is_copied in tracker.watched.items()
        if not is_copied
        and (are_few_silent or task.attempts[0].worker.silence is None)
        and (expectation := _find_due(assignment_round, task, references)) is not None
    ]
    if not due:
        return
    waiting_priorities = _find_waiting_priorities(assignment_round)
    budgets: dict[str, _Budget] = {}
    for task, expectation in due:
        queue = task.job.queue
        if queue is None or queue.priority >= waiting_priorities.get(
            queue.service, float("inf")
        ):
            continue
        budget = budgets.get(queue.service)
        if budget is None:
            budget = budgets[queue.service] = _measure_budget(assignment_round, task)
        if budget.has_room(task.step.room.cpu) and _start_copy(
            assignment_round, task, expectation
        ):
            budget.cpu += task.step.room.cpu


def has_heard_most_workers(scheduler: Scheduler) -> bool:
    """Return whether nearly all workers have reported their runs to the owner.

    Worker entries may be missing after an outage of the store, so the number of workers
    used by previous owners is a lower bound.
    """
    workers = scheduler.workers.values()
    reported = sum(worker.has_reported_all for worker in workers)
    expected = max(len(workers), scheduler.roster_size)
    return reported > 0 and reported >= _MIN_REPORTED_SHARE * expected


def may_start_unsettled(scheduler: Scheduler, task: TaskState) -> bool:
    """Return whether a task may start while a previous owner's run of it may exist.

    Otherwise a single worker that does not answer would delay all urgent tasks after a
    takeover. The previous run, if it exists, is adopted as the second run.
    """
    is_permitted = scheduler.features.copies and is_copyable(task.step)
    return is_permitted and task.suspicion is None


def _find_waiting_priorities(assignment_round: AssignmentRound) -> dict[str, int]:
    """Return the highest priority of the waiting tasks except fillers, by service."""
    waiting_priorities: dict[str, int] = {}
    for task in assignment_round.scheduler.waiting:
        queue = task.job.queue
        if queue is None or task.step.filler:
            continue
        known = waiting_priorities.get(queue.service, queue.priority)
        waiting_priorities[queue.service] = min(known, queue.priority)
    return waiting_priorities


def _measure_budget(assignment_round: AssignmentRound, task: TaskState) -> _Budget:
    """Return the budget of the service of a task."""
    queue = task.job.queue
    capacity = sum(
        worker.report.capacity.cpu for worker in assignment_round.list_open(task)
    )
    held = sum(
        other.step.room.cpu
        for other in assignment_round.scheduler.copies.watched
        if len(other.attempts) > 1
        and other.job.queue is not None
        and queue is not None
        and other.job.queue.service == queue.service
    )
    return _Budget(max_cpu=_MAX_CPU_SHARE * capacity, cpu=held)


def _find_due(
    assignment_round: AssignmentRound,
    task: TaskState,
    references: dict[StepName, _Reference],
) -> _Expectation | None:
    """Return the expected durations if a task should have a copy, else None.

    ``references`` caches the references of steps for the current round.
    """
    queue = task.job.queue
    if queue is None or len(task.attempts) != 1:
        return None
    attempt = task.attempts[0]
    now_ms = assignment_round.now_ms
    is_silent = _is_silent(attempt.worker, now_ms)
    ran_ms = _measure_run_time(attempt.run, now_ms)
    # The missing answer may have listed the end of the run.
    has_unanswered_call = attempt.worker.silence is not None
    if not is_silent and (has_unanswered_call or ran_ms < _MIN_RATIO * _MIN_RUN_MS):
        return None
    if not _may_be_copied(task, queue.max_attempts):
        return None
    step = name_step(task.task)
    reference = references.get(step)
    if reference is None:
        reference = references[step] = _find_reference(
            assignment_round.scheduler.durations, task
        )
    if not is_silent and ran_ms < reference.longest_ms:
        return None
    expectation = _expect(reference, attempt.run, ran_ms)
    return expectation if is_silent or _is_worth(expectation) else None


def _may_be_copied(task: TaskState, max_attempts: int) -> bool:
    """Return whether the state of a task permits a copy.

    No copy is started for the last attempt that its queue allows: the failure of the
    copy would fail the job while the first run could still complete it.
    """
    state = task.job
    return (
        state.is_open
        and not task.done
        and task.suspicion is None
        and state.count_failures(task.task) + 1 < max_attempts
    )


def _measure_run_time(run: Run, now_ms: float) -> float:
    """Return a lower bound on the effective run time so far, in ms.

    The start time of an adopted run is only estimated from its progress, so its time is
    counted from the takeover.
    """
    if run.phase is not RunPhase.RUNNING:
        return 0.0
    begin_ms = min(now_ms, run.confirmed_ms)
    return max(0.0, now_ms - begin_ms - run.measure_throttling_loss(now_ms))


def _are_few_silent(scheduler: Scheduler) -> bool:
    """Return whether so few workers are silent that this owner is not the cause."""
    workers = scheduler.workers.values()
    silent = sum(worker.silence is not None for worker in workers)
    return silent <= max(1.0, _MAX_SILENT_SHARE * len(workers))


def _is_silent(worker: Worker, now_ms: float) -> bool:
    silence = worker.silence
    return silence is not None and now_ms - silence.began_ms >= _SILENCE_MS


def _is_worth(expectation: _Expectation) -> bool:
    return expectation.rest_ms > expectation.usual_ms


def _find_reference(durations: Durations, task: TaskState) -> _Reference:
    step = task.step
    queue = task.job.job.queue
    median_ms = durations.find_median(step, name_step(task.task))
    if median_ms is not None:
        histogram = durations.find_spread(queue, step)
        longest = _find_longest_ratio(histogram, _HIGH_QUANTILE, _DEFAULT_MEDIAN_RATIO)
        return _Reference(
            base_ms=median_ms,
            usual_ms=median_ms,
            longest_ms=longest * max(_MIN_RUN_MS, median_ms),
            histogram=histogram,
        )
    histogram = durations.find_declared(queue, step)
    longest = _find_longest_ratio(
        histogram, _DECLARED_QUANTILE, _DEFAULT_DECLARED_RATIO
    )
    if step.count >= MIN_SIBLINGS:
        longest = float("inf")
    return _Reference(
        base_ms=step.estimate_ms,
        usual_ms=durations.estimate(queue, step),
        longest_ms=longest * max(_MIN_RUN_MS, step.estimate_ms),
        histogram=histogram,
    )


def _expect(reference: _Reference, run: Run, ran_ms: float) -> _Expectation:
    base_ms = reference.base_ms
    rest_ms = ran_ms
    if base_ms > 0.0:
        rest_ms = base_ms * estimate_excess(reference.histogram, ran_ms / base_ms)
    total_ms = project_total(run)
    if total_ms is not None:
        rest_ms = max(0.0, total_ms - ran_ms)
    return _Expectation(usual_ms=reference.usual_ms, rest_ms=rest_ms)


def _find_longest_ratio(
    histogram: RatioHistogram | None, quantile: float, default_ratio: float
) -> float:
    if histogram is None:
        return default_ratio
    high = histogram.compute_quantile(quantile)
    return max(_MIN_RATIO, _QUANTILE_MARGIN * high)


def _start_copy(
    assignment_round: AssignmentRound, task: TaskState, expectation: _Expectation
) -> bool:
    """Reserve capacity for a copy; return whether a worker was found."""
    scheduler = assignment_round.scheduler
    now_ms = assignment_round.now_ms
    original = task.attempts[0]
    worker = _find_worker(assignment_round, task, original)
    if worker is None:
        return False
    attempt = next_attempt_number(scheduler, task)
    reserve_capacity(assignment_round, task, worker, attempt)
    scheduler.copies.record_start(
        task,
        CopyStart(
            task=task.task,
            original=original.run.attempt,
            attempt=attempt,
            worker_id=worker.report.worker_id,
            ran_ms=_measure_run_time(original.run, now_ms),
            expected_ms=expectation.usual_ms,
            rest_ms=expectation.rest_ms,
            started_ms=now_ms,
            is_silent=_is_silent(original.worker, now_ms),
        ),
    )
    return True


def _find_worker(
    assignment_round: AssignmentRound, task: TaskState, original: Attempt
) -> Worker | None:
    """Return the best worker for a copy, or None."""
    best: tuple[float, Worker] | None = None
    original_labels = set(original.worker.report.labels)
    for worker in assignment_round.list_open(task):
        if worker is original.worker or not _is_trusted(worker, task):
            continue
        score = rate_worker(worker, task, assignment_round.colocations)
        if score is None:
            continue
        if not original_labels.issuperset(worker.report.labels):
            score += _OTHER_RACK_BONUS
        if best is None or score > best[0]:
            best = score, worker
    return best[1] if best is not None else None


def _is_trusted(worker: Worker, task: TaskState) -> bool:
    """Return whether a worker has no failures or suspected runs that affect a copy."""
    return not (
        worker.report.worker_id in task.shared.failed_on
        or worker.faulty_jobs
        or worker.suspected_runs
    )
