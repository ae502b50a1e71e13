"""Moves of service tasks off workers that run too many tasks of one service.

Services become concentrated after worker losses, drains and starts on a busy fleet, and
service tasks run for hours. One task of a service is moved at a time, and only while
all others are at work, so that no more are absent than the job permits.

The owner stops the task, which then waits and is started like any restarted task. An
owner that takes over during the move sees a waiting or running task and needs no other
state.
"""

from trefoilhook.scheduling.arrangement.concentration import StepGroup, list_step_groups
from trefoilhook.scheduling.arrangement.spread import compute_max_together
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.placing import score_worker
from trefoilhook.scheduling.rounds import AssignmentRound
from trefoilhook.scheduling.tickets import name_step

__all__ = ["move_concentrated"]

_MOVE_INTERVAL_MS = 1000.0
"""Minimum interval between two searches for moves, in ms. Each search iterates over all
workers."""

_MAX_MOVES = 2
"""Maximum number of tasks that are moved at a time. Their restarts compete with urgent
tasks for capacity and for the owner's time."""

_MIN_EXCESS = 2
"""Minimum number of excess tasks on a worker from which tasks are moved. Placement may
exceed the maximum by one to save capacity; moving for one would undo that."""

_MIN_STAY_MS = 10_000.0
"""Minimum run time of a task before it is moved, in ms. Workers are often lost in
groups, and their tasks are still being placed for some seconds."""

_MAX_STARTUP_SHARE = 0.05
"""Maximum start-up time of a task that is moved, as a fraction of its run time so far.
A service is expected to run for about as long again."""

_MAX_RATED_STEPS = 2
"""Maximum number of steps per search for which workers are rated."""

_RETRY_MS = 5000.0
"""Delay before a step without a better worker is tried again, in ms, so that other
steps are tried first."""

_MIN_GAIN = 5000.0
"""Minimum gain in score that justifies a move, in thousandths of a core."""

_MAX_ANSWER_AGE_MS = 2000.0
"""Maximum age of the poll answer that shows a task at work, in ms. Polls are at most
1.5 s apart."""

_SERVING_PERCENT = 100.0
"""Progress of a long-running task that has finished its start-up, in percent."""


def move_concentrated(assignment_round: AssignmentRound, *, settled: bool) -> None:
    """Stop tasks of concentrated services for which a better worker is available.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round, after all waiting tasks have been assigned.
    settled : bool
        Whether the outcome of all tasks started by previous owners is known. Without
        it, an absent task may be mistaken for one at work elsewhere.
    """
    scheduler = assignment_round.scheduler
    moves = scheduler.service_moves
    now_ms = assignment_round.now_ms
    spreads_services = assignment_round.colocations.spreads_services
    if not (settled and spreads_services) or now_ms < moves.due_ms:
        return
    moves.due_ms = now_ms + _MOVE_INTERVAL_MS
    groups = [
        each
        for each in list_step_groups(
            scheduler.workers.values(), scheduler.jobs, min_count=1 + _MIN_EXCESS
        )
        if each.excess >= _MIN_EXCESS
    ]
    moves.retain(each.name for each in groups)
    moves.tasks = {
        task
        for task in moves.tasks
        if task.job.is_open and not _is_at_work(task, now_ms)
    }
    groups.sort(key=lambda each: each.share, reverse=True)
    rated_steps = 0
    for group in groups:
        if len(moves.tasks) >= _MAX_MOVES or rated_steps >= _MAX_RATED_STEPS:
            return
        if now_ms < moves.retry_ms.get(group.name, 0.0):
            continue
        found = _find_movable(assignment_round, group)
        if found is None:
            continue
        rated_steps += 1
        _move(assignment_round, group, *found)


def _move(
    assignment_round: AssignmentRound, group: StepGroup, task: TaskState, run: Run
) -> None:
    """Stop a task of a group if a better worker is available."""
    scheduler = assignment_round.scheduler
    moves = scheduler.service_moves
    if _has_better_worker(assignment_round, group, task, run):
        scheduler.request_stop(group.worker, run, StopReason.CONCENTRATED)
        moves.tasks.add(task)
    else:
        moves.retry_ms[group.name] = assignment_round.now_ms + _RETRY_MS


def _find_movable(
    assignment_round: AssignmentRound, group: StepGroup
) -> tuple[TaskState, Run] | None:
    """Return the task of a group that was started last, if it may be stopped now."""
    scheduler = assignment_round.scheduler
    state = scheduler.jobs[group.name[0]]
    if state.job.job_id in scheduler.unreadable_jobs:
        return None
    if not _permits_absence(state, group, assignment_round.now_ms):
        return None
    local = [
        (task, task.attempts[0].run)
        for task in state.tasks.values()
        if name_step(task.task) == group.name
        and task.attempts[0].worker is group.worker
    ]
    if not local:
        return None
    task, run = max(local, key=lambda pair: (pair[1].started_ms, pair[0].task.index))
    min_stay_ms = max(_MIN_STAY_MS, task.step.estimate_ms / _MAX_STARTUP_SHARE)
    has_stayed = assignment_round.now_ms - run.started_ms >= min_stay_ms
    return (task, run) if has_stayed else None


def _permits_absence(state: JobState, group: StepGroup, now_ms: float) -> bool:
    """Return whether all tasks of a step are at work and one may be absent."""
    if not state.is_open or group.step.max_absent == 0:
        return False
    tasks = [
        task for task in state.tasks.values() if name_step(task.task) == group.name
    ]
    return len(tasks) == group.step.count and all(
        _is_at_work(task, now_ms) for task in tasks
    )


def _is_at_work(task: TaskState, now_ms: float) -> bool:
    if len(task.attempts) != 1:
        return False
    worker, run = task.attempts[0].worker, task.attempts[0].run
    return (
        run.phase is RunPhase.RUNNING
        and run.percent >= _SERVING_PERCENT
        and worker.listed
        and not worker.report.draining
        and not worker.is_state_unknown(run)
        and now_ms - worker.clock_read_ms < _MAX_ANSWER_AGE_MS
    )


def _has_better_worker(
    assignment_round: AssignmentRound, group: StepGroup, task: TaskState, run: Run
) -> bool:
    """Return whether another worker has a score that is higher by the minimum gain."""
    candidates = assignment_round.rate(task, assignment_round.list_open(task))
    target = candidates.pop_best(exclude=group.worker)
    if target is None or not _is_suitable_target(assignment_round, target, group):
        return False
    target_score = score_worker(target, task, assignment_round.colocations)
    current_score = _score_without(assignment_round, group.worker, task, run)
    return (
        target_score is not None
        and current_score is not None
        and target_score > current_score + _MIN_GAIN
    )


def _is_suitable_target(
    assignment_round: AssignmentRound, target: Worker, group: StepGroup
) -> bool:
    """Return whether a worker can take one more task within its limits and image."""
    if target.step_runs[group.name] >= compute_max_together(group.step):
        return False
    victims = assignment_round.colocations.lookup(target).victims
    return target.over_limit_since_ms is None and all(
        victim.image == group.step.image for victim in victims
    )


def _score_without(
    assignment_round: AssignmentRound, worker: Worker, task: TaskState, run: Run
) -> float | None:
    """Return the score of a worker for a task that it runs, as if it did not."""
    # Fills the cache before the run is released for the rating.
    assignment_round.colocations.lookup(worker)
    worker.release(run)
    try:
        return score_worker(worker, task, assignment_round.colocations)
    finally:
        worker.hold(run)
