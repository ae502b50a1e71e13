"""Starts copies of speculative tasks that take unusually long.

A copy is worth its capacity only if the first run is expected to need longer than the
copy. A run is compared with the tasks of its step that have been completed: declared
durations are wrong for all tasks of a step alike, and then a copy takes as long as the
run. Only a step with too few tasks is compared with the declared duration, corrected by
what is learned of its kind. Reported progress tells best how long a run still needs.
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
"""Minimum interval between two rounds, in ms: a small part of what a run has lasted
that is copied, and all running speculative tasks are looked at."""

_HIGH_QUANTILE = 0.95
"""Quantile of the usual durations. Stragglers are rarer than one in twenty, so that
they do not raise it."""

_DECLARED_QUANTILE = 0.99
"""The same for the ratios to declared durations, which differ more by the declaration
than by the run."""

_QUANTILE_MARGIN = 1.25
"""Factor by which a run must exceed that quantile: a distribution has a tail without
stragglers, too."""

_MIN_RATIO = 1.5
"""Least ratio to the usual duration at which a run counts as unusually long."""

_UNKNOWN_SPREAD = 2.0
_UNKNOWN_RATIO = 8.0
"""The same without evidence on the kind of task, for a run that is compared with the
other tasks of its step and with its declared duration, which is a rough estimate."""

_MIN_RUN_MS = 200.0
"""Least usual duration that is assumed, in ms. A copy takes two round trips and a
start, and is decided at intervals."""

_SILENCE_MS = 1500.0
"""Silence of a worker after which its runs may be copied, in ms. At least two calls in
succession were not answered by then, each of which times out after 600 ms; the runs are
otherwise started again after their leases, some seconds later."""

_MAX_SILENT_SHARE = 0.1
"""Maximum fraction of the workers that may be silent for such copies. If more are, the
owner may be too slow to read their answers, which may list the ends of the runs."""

_MAX_CPU_SHARE = 0.02
"""Maximum fraction of the processors of a service's open workers that copies hold. One
copy is always permitted. Three tasks in a hundred that take seven times as long hold a
sixth of the processors themselves, and their copies 2.5 % at full load."""

_HEARD_SHARE = 0.9
"""Fraction of the workers that must have reported their runs to a new owner before it
starts speculative tasks that the others may be running. At most one in ten of these
starts is then a second run."""

_OTHER_RACK_BONUS = 2000.0
"""Preference for a worker on another rack, in thousandths of a core, over one that is
packed tighter."""


@attrs.frozen(kw_only=True)
class _Reference:
    """What the runs of a step are compared with.

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
    """What is expected of a run, in ms.

    Parameters
    ----------
    usual_ms : float
        Typical duration, which the copy is expected to take.
    rest_ms : float
        How much longer it will run.
    """

    usual_ms: float
    rest_ms: float


@attrs.define(kw_only=True)
class _Budget:
    """Processor time that copies may hold on the workers of one service."""

    max_cpu: float
    cpu: int = 0

    def has_room(self, cpu: int) -> bool:
        return not self.cpu or self.cpu + cpu <= self.max_cpu


def start_copies(assignment_round: AssignmentRound, *, settled: bool) -> None:
    """Reserve capacity for copies; their start orders become due.

    Called after all waiting tasks were tried. Nothing is started before the runs of
    previous owners are known, which may include a copy.
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
    trusts_silence = _are_few_silent(scheduler)
    due = [
        (task, expectation)
        for task, is_copied in tracker.watched.items()
        if not is_copied
        and (trusts_silence or task.attempts[0].worker.silence is None)
        and (expectation := _find_due(assignment_round, task, references)) is not None
    ]
    if not due:
        return
    wanted = _find_wanted_priorities(assignment_round)
    budgets: dict[str, _Budget] = {}
    for task, expectation in due:
        queue = task.job.queue
        if queue is None or queue.priority >= wanted.get(queue.service, float("inf")):
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

    Entries may be missing after an outage of the store, so that the workers used by
    previous owners count, too.
    """
    workers = scheduler.workers.values()
    heard = sum(worker.has_reported_all for worker in workers)
    expected = max(len(workers), scheduler.roster_size)
    return heard > 0 and heard >= _HEARD_SHARE * expected


def may_start_unsettled(scheduler: Scheduler, task: TaskState) -> bool:
    """Return whether a task may start while a previous owner's run of it may exist.

    A single worker that does not answer would otherwise delay all urgent tasks of a
    takeover. The unknown run, if any, is adopted as the second one.
    """
    is_permitted = scheduler.features.copies and is_copyable(task.step)
    return is_permitted and task.suspicion is None


def _find_wanted_priorities(assignment_round: AssignmentRound) -> dict[str, int]:
    """Return the highest priority that waits for counted capacity, by service."""
    wanted: dict[str, int] = {}
    for task in assignment_round.scheduler.waiting:
        queue = task.job.queue
        if queue is None or task.step.filler:
            continue
        known = wanted.get(queue.service, queue.priority)
        wanted[queue.service] = min(known, queue.priority)
    return wanted


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
    """Return the expectation of a task's run if it should have a copy, else None.

    The references of steps are computed once per round.
    """
    queue = task.job.queue
    if queue is None or len(task.attempts) != 1:
        return None
    attempt = task.attempts[0]
    now_ms = assignment_round.now_ms
    is_silent = _is_silent(attempt.worker, now_ms)
    ran_ms = _measure_run(attempt.run, now_ms)
    # A call without an answer may have listed the end of the run.
    is_unclear = attempt.worker.silence is not None
    if not is_silent and (is_unclear or ran_ms < _MIN_RATIO * _MIN_RUN_MS):
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


def _measure_run(run: Run, now_ms: float) -> float:
    """Return the least time that a run has worked so far, in ms.

    The start of an adopted run is a guess from its progress, so that it counts from the
    takeover.
    """
    if run.phase is not RunPhase.RUNNING:
        return 0.0
    begin_ms = min(now_ms, run.confirmed_ms)
    return max(0.0, now_ms - begin_ms - run.measure_throttling_loss(now_ms))


def _are_few_silent(scheduler: Scheduler) -> bool:
    """Return whether silence tells of the workers and not of this owner."""
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
        longest = _find_longest_ratio(histogram, _HIGH_QUANTILE, _UNKNOWN_SPREAD)
        return _Reference(
            base_ms=median_ms,
            usual_ms=median_ms,
            longest_ms=longest * max(_MIN_RUN_MS, median_ms),
            histogram=histogram,
        )
    histogram = durations.find_declared(queue, step)
    longest = _find_longest_ratio(histogram, _DECLARED_QUANTILE, _UNKNOWN_RATIO)
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
    histogram: RatioHistogram | None, quantile: float, unknown_ratio: float
) -> float:
    if histogram is None:
        return unknown_ratio
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
            ran_ms=_measure_run(original.run, now_ms),
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
    taken = set(original.worker.report.labels)
    for worker in assignment_round.list_open(task):
        if worker is original.worker or not _is_trusted(worker, task):
            continue
        score = rate_worker(worker, task, assignment_round.colocations)
        if score is None:
            continue
        if not taken.issuperset(worker.report.labels):
            score += _OTHER_RACK_BONUS
        if best is None or score > best[0]:
            best = score, worker
    return best[1] if best is not None else None


def _is_trusted(worker: Worker, task: TaskState) -> bool:
    """Return whether nothing speaks against a worker."""
    return not (
        worker.report.worker_id in task.failed_on
        or worker.faulty_jobs
        or worker.suspected_runs
    )
