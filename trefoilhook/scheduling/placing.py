"""Choice of a worker for a task.

A worker's counted room is never given twice. Among those with room, the one with the
most processor time left wins: fillers run on what is left, and a task that shares a
worker with little else is disturbed least.
"""

from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.book import TaskState
from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.models import TaskId

__all__ = ["Crowd", "choose_worker", "describe_crowd"]

_SILENCE_LIMIT_MS = 2600.0
"""A worker not heard for so long gets no new task: one look may wait 1,500 ms and its
answer be 600 ms late, so one lost look is not yet silence."""

_SERVING_COST = 9000
"""Thousandths of a core that a filler would rather go without than disturb a service
task: more than any filler of the users' asks for (7,000)."""

_CROWDING_COST = 6000
"""What a service task would rather go without than share with another or a filler."""

_LEAST_SHARE = 0.5
"""A filler starts only where it finds this share of what it asks for: below it, it
would hold memory and slow the fillers beside it without ending any sooner."""

_STRANGER_COST = 100_000
"""Keeps a task from a worker where it failed before, while there is any other."""

_FAULT_COST = 2000
"""Thousandths of a core that one failed attempt counts for: a worker that fails all it
starts always looks free, and would draw one task after the other."""


@attrs.frozen(kw_only=True)
class Crowd:
    """Who runs on a worker.

    Parameters
    ----------
    filler_cpu : int
        Thousandths of a core that its fillers ask for.
    serving : int
        Number of its tasks with a latency limit.
    fillers : int
        Number of its fillers.
    """

    filler_cpu: int
    serving: int
    fillers: int


def describe_crowd(worker: Worker, tasks: dict[TaskId, TaskState]) -> Crowd:
    """Count who runs on a worker."""
    filler_cpu = serving = fillers = 0
    for task, _ in worker.runs:
        state = tasks.get(task)
        if state is None:
            continue
        if state.step.filler:
            filler_cpu += state.step.demand.cpu
            fillers += 1
        if state.step.latency_limit_ms:
            serving += 1
    return Crowd(filler_cpu=filler_cpu, serving=serving, fillers=fillers)


def _is_open(worker: Worker, now_ms: float) -> bool:
    return (
        worker.listed
        and worker.fenced
        and worker.rostered
        and not worker.suspect
        and not worker.report.draining
        and worker.avoid_until_ms <= now_ms
        and now_ms - worker.clock_read_ms < _SILENCE_LIMIT_MS
    )


def _fits(worker: Worker, state: TaskState) -> bool:
    step = state.step
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    if not worker.has_room(step.room):
        return False
    if not step.max_per_worker:
        return True
    return worker.count_step(state.task) < step.max_per_worker


def _score(worker: Worker, crowd: Crowd, state: TaskState) -> float | None:
    """Rate a worker for a task; higher is better, None is no choice."""
    step = state.step
    left = worker.report.capacity.cpu - worker.cpu - crowd.filler_cpu
    score = float(left)
    if step.filler:
        if left < _LEAST_SHARE * step.demand.cpu:
            return None
        score -= _SERVING_COST * crowd.serving
    elif step.latency_limit_ms:
        score -= _CROWDING_COST * (crowd.serving + crowd.fillers)
    if step.data_rack and step.data_rack not in worker.report.labels:
        score -= _STRANGER_COST / 2
    if worker.report.worker_id in state.failed_on:
        score -= _STRANGER_COST
    return score - _FAULT_COST * len(worker.faulty_jobs)


def choose_worker(
    state: TaskState,
    service: str,
    workers: Iterable[Worker],
    crowds: dict[str, Crowd],
    now_ms: float,
) -> Worker | None:
    """Choose the worker for a task; None when it has to wait."""
    best: Worker | None = None
    best_score = float("-inf")
    for worker in workers:
        if worker.report.service != service or not _is_open(worker, now_ms):
            continue
        if not _fits(worker, state):
            continue
        score = _score(worker, crowds[worker.report.worker_id], state)
        if score is not None and score > best_score:
            best, best_score = worker, score
    return best
