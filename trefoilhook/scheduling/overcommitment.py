"""Relieves workers whose capacity has shrunk below what their runs hold."""

from collections.abc import Iterator

from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.rounds import AssignmentRound

__all__ = ["relieve_overcommitted"]

_RELIEF_DELAY_MS = 2000.0
"""Time for which a worker may be overcommitted before tasks are moved: if the capacity
returns within it, the only cost is some slowdown."""

_NO_DEMAND = Demand()


def relieve_overcommitted(assignment_round: AssignmentRound) -> None:
    """Stop excess tasks of overcommitted workers that can resume elsewhere.

    Only checkpointing tasks are stopped, the latest started first; service tasks and
    others stay and run slower.
    """
    for worker in assignment_round.scheduler.workers.values():
        if worker.has_room(_NO_DEMAND):
            worker.overcommitted_since_ms = None
            continue
        if worker.overcommitted_since_ms is None:
            worker.overcommitted_since_ms = assignment_round.now_ms
        if assignment_round.now_ms - worker.overcommitted_since_ms >= _RELIEF_DELAY_MS:
            _stop_excess(assignment_round, worker)


def _stop_excess(assignment_round: AssignmentRound, worker: Worker) -> None:
    excess = _measure_excess(worker)
    for run, task in _list_movable(assignment_round, worker):
        if excess.cpu <= 0 and excess.memory_mb <= 0 and excess.gpus <= 0:
            return
        candidates = assignment_round.rate(task, assignment_round.list_feasible(task))
        if candidates.pop_best(exclude=worker) is None:
            continue
        assignment_round.scheduler.request_stop(worker, run, StopReason.NO_ROOM)
        excess = _subtract(excess, run.room)


def _measure_excess(worker: Worker) -> Demand:
    """Return by how much the runs that are not being stopped exceed the capacity."""
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


def _list_movable(
    assignment_round: AssignmentRound, worker: Worker
) -> Iterator[tuple[Run, TaskState]]:
    """Yield the runs that lose little by being moved, the latest started first."""
    runs = sorted(worker.runs.values(), key=lambda run: run.started_ms, reverse=True)
    for run in runs:
        state = assignment_round.scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        if task is None or run.phase is not RunPhase.RUNNING:
            continue
        step = task.step
        if step.checkpointing and not (step.long_running or step.gang):
            yield run, task
