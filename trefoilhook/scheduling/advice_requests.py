"""Choice of the step and the workers for the next request to the advice service."""

from trefoilhook.scheduling.colocation import ColocationCache
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Advice
from trefoilhook.scheduling.placing import list_open_workers, rate_worker
from trefoilhook.scheduling.tickets import AdviceRequest, StepName, name_step

__all__ = ["choose_advice_request"]

_MAX_WORKERS_PER_REQUEST = 30
"""Maximum number of workers per request: a job's objective allows for one request of
this size, and each worker takes time of the service."""


def choose_advice_request(
    scheduler: Scheduler, now_ms: float
) -> tuple[AdviceRequest, Advice] | None:
    """Choose a step, and workers with capacity for it, for the next request."""
    while scheduler.tickets.wanted:
        step = next(iter(scheduler.tickets.wanted))
        del scheduler.tickets.wanted[step]
        state = _find_waiting(scheduler, step)
        queue = state.job.queue if state is not None else None
        if state is None or queue is None or queue.advice is None:
            continue
        workers = _rank_unadvised_workers(scheduler, state, queue.service, now_ms)
        if workers:
            request = AdviceRequest(step=step, workers=tuple(workers))
            return request, queue.advice
    return None


def _find_waiting(scheduler: Scheduler, step: StepName) -> TaskState | None:
    for state in scheduler.waiting:
        if name_step(state.task) == step:
            return state
    return None


def _rank_unadvised_workers(
    scheduler: Scheduler, state: TaskState, service: str, now_ms: float
) -> list[str]:
    """Return the best workers for a step without a known decision, best first."""
    colocations = ColocationCache(
        jobs=scheduler.jobs, interference=scheduler.interference, now_ms=now_ms
    )
    step = name_step(state.task)
    rated: list[tuple[float, str]] = []
    for worker in list_open_workers(scheduler, service, now_ms):
        worker_id = worker.report.worker_id
        if scheduler.tickets.is_refused(step, worker_id):
            continue
        if scheduler.tickets.find(step, worker_id, now_ms) is not None:
            continue
        score = rate_worker(worker, state, colocations)
        if score is not None:
            rated.append((-score, worker_id))
    return [worker_id for _, worker_id in sorted(rated)[:_MAX_WORKERS_PER_REQUEST]]
