"""Work that no longer fits where it runs, as its worker's capacity has shrunk."""

from collections.abc import Iterator

from trefoilhook.scheduling.book import TaskState
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.rounds import Round

__all__ = ["relieve_shrunk"]

_PATIENCE_MS = 2000.0
"""How long a worker may hold more than it has before work is moved, in ms: a capacity
that is back by then costs nothing but some slowness."""

_NOTHING = Demand()


def relieve_shrunk(turn: Round) -> None:
    """Have work stopped that is too much for its worker and can go on elsewhere.

    Only tasks that keep what they have done, the latest started first; service tasks
    and others stay, and are slowed.
    """
    for worker in turn.scheduler.workers.values():
        if worker.has_room(_NOTHING):
            worker.shrunk_since_ms = None
            continue
        if worker.shrunk_since_ms is None:
            worker.shrunk_since_ms = turn.now_ms
        if turn.now_ms - worker.shrunk_since_ms >= _PATIENCE_MS:
            _relieve(turn, worker)


def _relieve(turn: Round, worker: Worker) -> None:
    excess = _measure_excess(worker)
    for run, task in _list_movable(turn, worker):
        if excess.cpu <= 0 and excess.memory_mb <= 0 and excess.gpus <= 0:
            return
        candidates = turn.rate(task, turn.list_feasible(task))
        if candidates.take(besides=worker) is None:
            continue
        turn.scheduler.request_stop(worker, run, StopReason.NO_ROOM)
        excess = _subtract(excess, run.room)


def _measure_excess(worker: Worker) -> Demand:
    """Return by how much what stays on a worker exceeds what it has."""
    capacity = worker.report.capacity
    excess = Demand(
        cpu=worker.cpu - capacity.cpu,
        memory_mb=worker.memory_mb - capacity.memory_mb,
        gpus=worker.gpus - capacity.gpus,
    )
    for run in worker.runs.values():
        if run.phase is RunPhase.STOPPING:
            excess = _subtract(excess, run.room)
    return excess


def _subtract(left: Demand, right: Demand) -> Demand:
    return Demand(
        cpu=left.cpu - right.cpu,
        memory_mb=left.memory_mb - right.memory_mb,
        gpus=left.gpus - right.gpus,
    )


def _list_movable(turn: Round, worker: Worker) -> Iterator[tuple[Run, TaskState]]:
    """Yield the runs that lose little by moving, the latest started first."""
    runs = sorted(worker.runs.values(), key=lambda run: run.started_ms, reverse=True)
    for run in runs:
        state = turn.scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        if task is None or run.phase is not RunPhase.RUNNING:
            continue
        step = task.step
        if step.checkpointing and not (step.long_running or step.gang):
            yield run, task
