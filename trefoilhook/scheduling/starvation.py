"""Starts one throttled task of each batch job that would otherwise starve.

A filler is placed where the service tasks tolerate it at full speed. If no worker runs
images that tolerate it, there is no such worker even if much of the fleet is idle: on
one day with 24 workers, 258 to 534 fillers waited while 61 % of the processors were
idle, as each would have cost 0.9 to 1.5 of a slack of 1.5. The cost is proportional to
the filler's speed. Therefore a job that has waited with nothing running gets one
throttled task, which stays throttled and is moved once a worker tolerates it at full
speed.

Throttled tasks also keep the interference model of their images up to date: a pair that
is never tried cannot be learned again.
"""

from collections.abc import Iterable

from trefoilhook.scheduling.colocation import Colocation
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.placing import can_host
from trefoilhook.scheduling.rounds import (
    AssignmentRound,
    next_attempt_number,
    reserve_capacity,
)

__all__ = ["STARVATION_DELAY_MS", "THROTTLED_PACE", "reserve_for_starved_jobs"]

STARVATION_DELAY_MS = 2000.0
"""Time without a running task after which a job is starved, in ms. On a mostly idle
fleet, users take a job with nothing running for 3 s as lost; before this time, only the
rank of the jobs is decisive."""

THROTTLED_PACE = 5
"""Pace of a throttled task, in percent. Slack is assigned by rank to jobs that can meet
their objectives. Faster throttled tasks would take slack from these jobs, and fewer of
them would be on time."""

_IDLE_FLEET_SHARE = 0.5
"""Minimum fraction of a service's processors without reservation for a waiting job to
be starved. With less, jobs compete and some have to wait."""

_MIN_SLACK = 1.0
"""Slack that service tasks beside a throttled task must keep; 1 is at the limit."""

_MAX_JOBS_PER_ROUND = 4
"""Number of jobs for which one round searches all workers; the cost of a throttled task
shows in the following rounds."""

_RETRY_DELAY_MS = 1000.0
"""Delay before a job without a suitable worker is tried again, in ms."""


def reserve_for_starved_jobs(
    assignment_round: AssignmentRound,
    ready: list[list[TaskState]],
    *,
    held: Iterable[TaskState] = (),
) -> None:
    """Reserve capacity for one throttled task of each starved job.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round, after all regular assignments.
    ready : list of list of TaskState
        Waiting tasks by step, in the order of their ranks.
    held : iterable of TaskState, optional
        Waiting tasks that previous owners may have started. The waiting times of their
        jobs are kept.
    """
    waiting = _list_idle_jobs(ready)
    held_jobs = _list_idle_jobs([task] for task in held)
    idle_since = assignment_round.scheduler.idle_since_ms
    for job_id in idle_since.keys() - waiting.keys() - held_jobs.keys():
        del idle_since[job_id]
    jobs_tried = 0
    idle_by_service: dict[str, bool] = {}
    for job_id, task in waiting.items():
        if (
            assignment_round.now_ms
            - idle_since.setdefault(job_id, assignment_round.now_ms)
            < STARVATION_DELAY_MS
        ):
            continue
        if jobs_tried >= _MAX_JOBS_PER_ROUND or not _is_fleet_idle(
            assignment_round, task, idle_by_service
        ):
            continue
        if not assignment_round.isolation.may_start(task, assignment_round.now_ms):
            continue
        jobs_tried += 1
        worker = _find_worker(assignment_round, task)
        if worker is None:
            # Other jobs are tried first, as they may require less.
            idle_since[job_id] = (
                assignment_round.now_ms - STARVATION_DELAY_MS + _RETRY_DELAY_MS
            )
            continue
        attempt = next_attempt_number(assignment_round.scheduler, task)
        reserve_capacity(
            assignment_round, task, worker, attempt, initial_pace=THROTTLED_PACE
        )


def _list_idle_jobs(ready: Iterable[list[TaskState]]) -> dict[str, TaskState]:
    """Return a waiting filler of each job without runs, by job id, in order.

    Members of a gang run only together with all others, so that they are not throttled.
    """
    found: dict[str, TaskState] = {}
    running: dict[str, bool] = {}
    for tasks in ready:
        # Tasks that were placed in this round are skipped.
        task = next((each for each in tasks if not each.attempts), None)
        if task is None or not task.step.filler or task.step.gang:
            continue
        job_id = task.task.job_id
        if job_id not in running:
            running[job_id] = _has_runs(task.job)
        if not running[job_id]:
            found.setdefault(job_id, task)
    return found


def _has_runs(job: JobState) -> bool:
    return any(task.attempts for task in job.tasks.values())


def _is_fleet_idle(
    assignment_round: AssignmentRound, task: TaskState, known: dict[str, bool]
) -> bool:
    """Return whether most processors of a task's service have no reservation."""
    service = task.job.queue.service if task.job.queue is not None else ""
    if service not in known:
        workers = assignment_round.list_open(task)
        capacity = sum(worker.report.capacity.cpu for worker in workers)
        held = sum(worker.cpu for worker in workers)
        known[service] = capacity - held > _IDLE_FLEET_SHARE * capacity
    return known[service]


def _find_worker(assignment_round: AssignmentRound, task: TaskState) -> Worker | None:
    """Return the worker whose service tasks keep the most slack beside a task."""
    best: Worker | None = None
    max_slack = _MIN_SLACK
    for worker in assignment_round.list_candidates(task):
        if worker.over_limit_since_ms is not None or not can_host(worker, task):
            continue
        if worker.report.worker_id in task.shared.failed_on:
            # Waiting is preferable to using up the task's attempts on this worker.
            continue
        colocation = assignment_round.colocations.lookup(worker)
        if not _has_spare_cpu(colocation, task):
            continue
        slack = colocation.predict_slack(
            assignment_round.colocations.interference, task.step, pace=THROTTLED_PACE
        )
        if slack > max_slack:
            best, max_slack = worker, slack
    return best


def _has_spare_cpu(colocation: Colocation, task: TaskState) -> bool:
    return colocation.spare_cpu >= task.step.demand.cpu * THROTTLED_PACE / 100.0
