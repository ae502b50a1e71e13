"""Moves of service tasks off workers that hold too many of one service.

Losses, drains and crowded starts leave services concentrated, and service tasks stay
where they are for hours. One task of a service is moved at a time, and only while all
others are at work, so that no more are absent than the job permits.

The owner stops the task; it then waits and is started like any restarted task. An owner
that takes over in between finds it waiting or running, and needs to know nothing of the
move.
"""

from trefoilhook.scheduling.arrangement.concentration import Cluster, list_clusters
from trefoilhook.scheduling.arrangement.spread import compute_max_together
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.placing import score_worker
from trefoilhook.scheduling.rounds import AssignmentRound
from trefoilhook.scheduling.tickets import name_step

__all__ = ["move_concentrated"]

_MOVE_INTERVAL_MS = 1000.0
"""Minimum interval between two searches for moves, which go over all workers."""

_MAX_MOVES = 2
"""Maximum number of tasks that are being moved at a time. Their restarts compete with
urgent tasks for the owner and for capacity."""

_MIN_EXCESS = 2
"""Minimum number of tasks beyond the bound from which tasks are moved. Placement allows
one where it saves capacity; moving for one would undo its choices."""

_MIN_STAY_MS = 10_000.0
"""Minimum time that a task stays where it is before it is moved, in ms: losses often
come in groups, and the places that they leave are taken anew for some seconds."""

_MAX_STARTUP_SHARE = 0.05
"""Maximum start-up time of a task that is moved, as a fraction of the time that it has
run. A service is expected to run on for about as long as it has run."""

_MAX_RATED = 2
"""Maximum number of steps per search for which all workers are rated."""

_RETRY_MS = 5000.0
"""Time until a step that found no better worker is tried again, in ms, so that it does
not keep the others from being tried."""

_MIN_GAIN = 5000.0
"""Minimum gain in score, in thousandths of a core: about one service task."""

_FRESH_MS = 2000.0
"""Maximum age of the answer that shows a task at work, in ms; polls are at most 1.5 s
apart."""

_SERVING_PERCENT = 100.0
"""Progress of a long-running task that has finished its start-up, in percent."""


def move_concentrated(assignment_round: AssignmentRound, *, settled: bool) -> None:
    """Stop tasks of concentrated services that have a better worker.

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
    clusters = [
        each
        for each in list_clusters(
            scheduler.workers.values(), scheduler.jobs, min_count=1 + _MIN_EXCESS
        )
        if each.excess >= _MIN_EXCESS
    ]
    moves.retain(each.name for each in clusters)
    moves.tasks = {
        task
        for task in moves.tasks
        if task.job.is_open and not _is_at_work(task, now_ms)
    }
    clusters.sort(key=lambda each: each.share, reverse=True)
    rated = 0
    for cluster in clusters:
        if len(moves.tasks) >= _MAX_MOVES or rated >= _MAX_RATED:
            return
        if now_ms < moves.retry_ms.get(cluster.name, 0.0):
            continue
        found = _find_movable(assignment_round, cluster)
        if found is None:
            continue
        rated += 1
        _move(assignment_round, cluster, *found)


def _move(
    assignment_round: AssignmentRound, cluster: Cluster, task: TaskState, run: Run
) -> None:
    """Stop a task of a cluster if it has a better worker."""
    scheduler = assignment_round.scheduler
    moves = scheduler.service_moves
    if _has_better_worker(assignment_round, cluster, task, run):
        scheduler.request_stop(cluster.worker, run, StopReason.CONCENTRATED)
        moves.tasks.add(task)
    else:
        moves.retry_ms[cluster.name] = assignment_round.now_ms + _RETRY_MS


def _find_movable(
    assignment_round: AssignmentRound, cluster: Cluster
) -> tuple[TaskState, Run] | None:
    """Return the task of a cluster that was started last, if it may be stopped now."""
    scheduler = assignment_round.scheduler
    state = scheduler.jobs[cluster.name[0]]
    if state.job.job_id in scheduler.unreadable_jobs:
        return None
    if not _may_miss_one(state, cluster, assignment_round.now_ms):
        return None
    here = [
        (task, task.attempts[0].run)
        for task in state.tasks.values()
        if name_step(task.task) == cluster.name
        and task.attempts[0].worker is cluster.worker
    ]
    if not here:
        return None
    task, run = max(here, key=lambda pair: (pair[1].started_ms, pair[0].task.index))
    min_stay_ms = max(_MIN_STAY_MS, task.step.estimate_ms / _MAX_STARTUP_SHARE)
    has_stayed = assignment_round.now_ms - run.started_ms >= min_stay_ms
    return (task, run) if has_stayed else None


def _may_miss_one(state: JobState, cluster: Cluster, now_ms: float) -> bool:
    """Return whether all tasks of a step are at work and one may be absent."""
    if not state.is_open or cluster.step.max_absent == 0:
        return False
    tasks = [
        task for task in state.tasks.values() if name_step(task.task) == cluster.name
    ]
    return len(tasks) == cluster.step.count and all(
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
        and now_ms - worker.clock_read_ms < _FRESH_MS
    )


def _has_better_worker(
    assignment_round: AssignmentRound, cluster: Cluster, task: TaskState, run: Run
) -> bool:
    """Return whether placement would choose another worker, now and by a margin."""
    candidates = assignment_round.rate(task, assignment_round.list_open(task))
    target = candidates.pop_best(exclude=cluster.worker)
    if target is None or not _takes_without_harm(assignment_round, target, cluster):
        return False
    scored = score_worker(target, task, assignment_round.colocations)
    stays = _score_without(assignment_round, cluster.worker, task, run)
    return scored is not None and stays is not None and scored > stays + _MIN_GAIN


def _takes_without_harm(
    assignment_round: AssignmentRound, target: Worker, cluster: Cluster
) -> bool:
    """Return whether a worker stays within the bound and serves the same image."""
    if target.step_runs[cluster.name] >= compute_max_together(cluster.step):
        return False
    victims = assignment_round.colocations.lookup(target).victims
    return target.over_limit_since_ms is None and all(
        victim.image == cluster.step.image for victim in victims
    )


def _score_without(
    assignment_round: AssignmentRound, worker: Worker, task: TaskState, run: Run
) -> float | None:
    """Return the score of a worker for a task of its own, as if it had left."""
    # Cached with the task before it is released for the rating.
    assignment_round.colocations.lookup(worker)
    worker.release(run)
    try:
        return score_worker(worker, task, assignment_round.colocations)
    finally:
        worker.hold(run)
