"""Restarts of workers under the same id.

One incarnation of a worker is identified by its id and the start of its process. A
restarted worker runs nothing, has seen no fencing token, and resets its clock and the
numbers of its ends. A `Worker` therefore describes one incarnation and is replaced
as a whole. Only starts that may still be executed are transferred to the successor: an
order contains only the id, so that the new process would accept a start intended for
its predecessor.
"""

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crashes import attribute_loss
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.job_state import Attempt
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import WorkerReport
from trefoilhook.takeover import Place

__all__ = [
    "apply_report",
    "has_restarted",
    "is_outdated_answer",
    "may_still_start",
    "resolve_incarnation",
]


def has_restarted(worker: Worker, born_ms: int | None) -> bool:
    """Return whether ``born_ms`` belongs to a later incarnation than ``worker``."""
    return (
        born_ms is not None and worker.born_ms is not None and born_ms > worker.born_ms
    )


def is_outdated_answer(worker: Worker, born_ms: int | None) -> bool:
    """Return whether an answer was given by an earlier incarnation than ``worker``.

    Until the worker answers, its incarnation is only known from its entry, which may
    have been written by another process; the first answer takes precedence.
    """
    return (
        worker.has_answered_token
        and born_ms is not None
        and worker.born_ms is not None
        and born_ms < worker.born_ms
    )


def apply_report(scheduler: Scheduler, report: WorkerReport, now_ms: float) -> bool:
    """Apply an entry that a worker wrote to the store.

    Returns
    -------
    bool
        Whether the entry describes the worker's current incarnation. Otherwise it is
        outdated or was written by another process, and only prevents starts on the
        worker.
    """
    worker = scheduler.workers.get(report.worker_id)
    if worker is not None and has_restarted(worker, report.born_ms):
        _replace(scheduler, worker, report, now_ms)
        return True
    if worker is None or worker.born_ms in (None, report.born_ms):
        scheduler.update_worker(report)
        return True
    scheduler.exclude_worker(report.worker_id)
    return False


def resolve_incarnation(
    scheduler: Scheduler, worker: Worker, born_ms: int | None, now_ms: float
) -> Worker | None:
    """Return the incarnation that gave an answer, replacing the worker if needed.

    Returns
    -------
    Worker or None
        The current incarnation, or None if an earlier one gave the answer.
    """
    if is_outdated_answer(worker, born_ms):
        return None
    if has_restarted(worker, born_ms):
        # The entry still describes the predecessor, which may have been draining and
        # had another capacity.
        report = attrs.evolve(
            worker.report, born_ms=born_ms, draining=False, remaining_ms=0.0
        )
        successor = _replace(scheduler, worker, report, now_ms)
        successor.usable = False
        successor.listed = worker.listed
        return successor
    if born_ms is not None and worker.born_ms != born_ms:
        worker.born_ms = born_ms
        worker.usable = worker.usable and worker.report.born_ms == born_ms
    return worker


def _replace(
    scheduler: Scheduler, worker: Worker, report: WorkerReport, now_ms: float
) -> Worker:
    """Replace a worker by its next incarnation and requeue its tasks."""
    attribute_loss(scheduler, worker, now_ms)
    limits = scheduler.limits
    # The deadline of a late order is on the clock of the previous process, so that the
    # new one grants the longest possible lease.
    valid_ms = limits.task_lease_ms + limits.max_task_lease_ms
    held = [run for run in worker.runs.values() if may_still_start(run)]
    unresolved = [
        run
        for run in [*worker.unanswered_starts, *held]
        if now_ms - run.started_ms < valid_ms
    ]
    for run in unresolved:
        worker.release(run)
    scheduler.drop_worker(report.worker_id, has_restarted=True)
    scheduler.tickets.drop_worker(report.worker_id)
    scheduler.update_worker(report)
    successor = scheduler.workers[report.worker_id]
    if unresolved:
        successor.clock_read_ms = now_ms
        successor.lease_until_ms = valid_ms
    for run in unresolved:
        _transfer(scheduler, successor, run)
        if scheduler.places is not None:
            # The next owner knows the previous incarnation, and not yet this one.
            scheduler.places.restore(
                Place(
                    task=str(run.task), attempt=run.attempt, worker=worker.incarnation
                )
            )
    return successor


def may_still_start(run: Run) -> bool:
    """Return whether the next incarnation may have received a start order."""
    if run.ambiguous or (run.in_flight and run.is_sent and not run.is_confirmed):
        return True
    # The answer to the order may have come from the new process; only polls tell.
    return run.is_confirmed and not run.has_been_listed


def _transfer(scheduler: Scheduler, successor: Worker, run: Run) -> None:
    """Hold a start on the next incarnation until it has confirmed a stop order.

    Guards against two runs of a task: a start order delayed beyond the restart is
    executed by the new process while the task already runs elsewhere.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if task is not None:
        if all(attempt.run is not run for attempt in task.attempts):
            # Already released; later attempts may have progressed further.
            run.checkpoint = ""
        task.detach(run)
        if not task.done and not task.attempts:
            task.attempts.append(Attempt(worker=successor, run=run))
            scheduler.waiting.discard(task)
    run.ambiguous = True
    run.is_confirmed = run.in_flight = run.is_sent = False
    # The group contains the previous incarnation.
    run.is_group_start = False
    run.phase = RunPhase.STARTING
    successor.hold(run)
    scheduler.request_stop(successor, run, StopReason.UNCERTAIN)
