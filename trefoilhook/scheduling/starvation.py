"""One slowed task for each batch job that would wait for good beside free processors.

A filler is placed where the service tasks bear it at full speed. When the images that
bear it have left, or never were, there is no such worker, however much of the fleet is
free: on a day with 24 workers 258 to 534 fillers waited beside 61 % of the processors,
as each would have cost 0.9 to 1.5 of a slack of 1.5. What it costs falls with its
speed. So a job that has waited and has nothing running gets one throttled task: it is
started slowed, stays so, and moves on as soon as there is a place that bears it.

Throttled tasks also keep what is known of their images true: a pair that is never tried
again can't be learned anew.
"""

from trefoilhook.scheduling.book import JobState, TaskState
from trefoilhook.scheduling.crowds import Crowd
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.placing import has_place
from trefoilhook.scheduling.rounds import Round, hold_place, number_attempt

__all__ = ["THROTTLED_PACE", "STARVED_MS", "admit_starved"]

STARVED_MS = 5000.0
"""A job that has had nothing running for so long is starved, in ms. The longest that a
batch job waits on a busy fleet and is still in time is about this; before it, the order
of the jobs decides alone."""

THROTTLED_PACE = 5
"""Pace of a throttled task, in percent. What service tasks bear is spent in order, on
jobs that can be in time: let go as far as the slack allows, throttled tasks take it
from them, and fewer jobs end in time."""

_IDLE_SHARE = 0.5
"""Share of a service's processors that nothing reserves, over which a job that waits is
starved. With less of it left, jobs compete, and some of them have to wait."""

_LEAST_SLACK = 1.0
"""Slack that the service tasks beside a throttled task must keep; 1 is at the limit."""

_MOST_TRIES = 4
"""Jobs for which one round looks for a worker: each takes a look at all of them, and
what a throttled task costs shows in the next rounds."""

_RETRY_MS = 1000.0
"""Pause until a job for which there was no worker is looked at again, in ms."""


def admit_starved(turn: Round, ready: list[list[TaskState]]) -> None:
    """Hold a place for one slowed task of each job that is starved.

    Parameters
    ----------
    turn : Round
        The round, after all that found a place has got one.
    ready : list of list of TaskState
        The waiting tasks by step, in the order in which they get their places.
    """
    waiting = _list_idle_jobs(ready)
    since = turn.scheduler.idle_since_ms
    for job_id in since.keys() - waiting.keys():
        del since[job_id]
    tries = 0
    idle: dict[str, bool] = {}
    for job_id, task in waiting.items():
        if turn.now_ms - since.setdefault(job_id, turn.now_ms) < STARVED_MS:
            continue
        if tries >= _MOST_TRIES or not _is_fleet_idle(turn, task, idle):
            continue
        if not turn.isolation.may_start(task, turn.now_ms):
            continue
        tries += 1
        worker = _find_worker(turn, task)
        if worker is None:
            # Others have their turn first: one may ask for less than this one.
            since[job_id] = turn.now_ms - STARVED_MS + _RETRY_MS
            continue
        attempt = number_attempt(turn.scheduler, task)
        hold_place(turn, task, worker, attempt, first_pace=THROTTLED_PACE)


def _list_idle_jobs(ready: list[list[TaskState]]) -> dict[str, TaskState]:
    """Return a filler of each job of which nothing runs, by job, in order.

    A member of a gang works only together with all others, so that it isn't throttled.
    """
    found: dict[str, TaskState] = {}
    running: dict[str, bool] = {}
    for tasks in ready:
        # One that has got its place in this round waits no more.
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


def _is_fleet_idle(turn: Round, task: TaskState, known: dict[str, bool]) -> bool:
    """Tell whether nobody reserves most of the processors of a task's service."""
    service = task.job.queue.service if task.job.queue is not None else ""
    if service not in known:
        workers = turn.list_open(task)
        capacity = sum(worker.report.capacity.cpu for worker in workers)
        held = sum(worker.cpu for worker in workers)
        known[service] = capacity - held > _IDLE_SHARE * capacity
    return known[service]


def _find_worker(turn: Round, task: TaskState) -> Worker | None:
    """Return the worker whose service tasks keep the most slack beside a task."""
    best: Worker | None = None
    most = _LEAST_SLACK
    for worker in turn.list_open(task):
        if worker.over_since_ms is not None or not has_place(worker, task):
            continue
        if worker.report.worker_id in task.failed_on:
            # Elsewhere it waits for another chance; here it may use up its attempts.
            continue
        crowd = turn.crowds.find(worker)
        if not _has_time(crowd, task):
            continue
        slack = crowd.predict_slack(
            turn.crowds.interference, task.step, pace=THROTTLED_PACE
        )
        if slack > most:
            best, most = worker, slack
    return best


def _has_time(crowd: Crowd, task: TaskState) -> bool:
    return crowd.left >= task.step.demand.cpu * THROTTLED_PACE / 100.0
