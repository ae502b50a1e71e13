"""Release of runs on silent workers after the expiry of all their leases."""

from trefoilhook.scheduling.colocation import find_step
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crashes import attribute_loss
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import EndKind, LeaseExpiry
from trefoilhook.scheduling.models import TaskId

__all__ = ["release_expired", "release_unstarted"]


def release_expired(scheduler: Scheduler, now_ms: float) -> list[LeaseExpiry]:
    """Release the runs on silent workers whose leases have all expired.

    Returns
    -------
    list of LeaseExpiry
        Outcome for the runs on each worker with a change.
    """
    expiries: list[LeaseExpiry] = []
    for worker in list(scheduler.workers.values()):
        if worker.silence is None and worker.listed:
            continue
        # A worker that has never answered only holds runs of its predecessor.
        if not (worker.has_answered_token or worker.runs):
            continue
        if not worker.has_expired_leases(now_ms):
            continue
        if not worker.listed:
            attribute_loss(scheduler, worker, now_ms)
        expiry = _release_expired(scheduler, worker, now_ms)
        if expiry.given_up or (expiry.awaited and not worker.has_awaited_runs):
            expiries.append(expiry)
        worker.has_awaited_runs = bool(expiry.awaited)
        if not worker.listed:
            scheduler.drop_worker(worker.report.worker_id)
    return expiries


def release_unstarted(scheduler: Scheduler, worker: Worker, run: Run) -> None:
    """Release a run that its worker has not started and never will.

    The other members of its gang are stopped, as they would otherwise wait for it until
    their time-out.
    """
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, "")
    if state is not None and task is not None and task.step.gang:
        for member in state.list_unit(task.unit):
            scheduler.stop_attempts(member)


def _release_expired(
    scheduler: Scheduler, worker: Worker, now_ms: float
) -> LeaseExpiry:
    """Release the runs on a worker with expired leases unless they may be completed.

    Guards against restarting a completed task: the worker lists its end, but the
    answers do not reach the owner for a whole lease. Expired leases prove that nothing
    is running, not that nothing was completed. A worker with an entry in the store is
    alive and will report, so that its tasks wait unless the expiry has ended another
    run there; one without an entry has crashed or shut down, and waiting for it would
    lose its tasks. An owner that misses answers waits in any case: an end counts as
    soon as it is listed in an answer while the network is sound.
    """
    given_up: list[tuple[TaskId, int]] = []
    awaited = 0
    if _has_ended_a_service(scheduler, worker):
        worker.has_lapsed_with_effect = True
    is_awaited = worker.is_known_alive and (
        scheduler.suspects.recoveries.are_frequent(len(scheduler.workers), now_ms)
        or not worker.has_lapsed_with_effect
    )
    for run in list(worker.runs.values()):
        may_have_completed = _may_have_completed(scheduler, run)
        if is_awaited and may_have_completed:
            awaited += 1
            continue
        if worker.is_known_alive and may_have_completed:
            worker.presumed_expired.add((run.task, run.attempt))
        scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, run.checkpoint)
        given_up.append((run.task, run.attempt))
    return LeaseExpiry(
        worker_id=worker.report.worker_id,
        listed=worker.listed,
        silent_ms=now_ms - worker.clock_read_ms,
        given_up=tuple(given_up),
        awaited=awaited,
    )


def _has_ended_a_service(scheduler: Scheduler, worker: Worker) -> bool:
    """Return whether the expired leases of a silent worker have ended a run there.

    The end of another run before the expiry then no longer counts, so that its task may
    be started again. Only a service task can be expected to have run until then. It may
    have failed by itself before; `Worker.record_end_of_released_run` covers that case.
    """
    return any(
        run.phase is RunPhase.RUNNING
        and run.has_been_listed
        and run.seen_ms >= worker.poll_sent_ms
        and (step := find_step(scheduler.jobs, run)) is not None
        and step.long_running
        for run in worker.runs.values()
    )


def _may_have_completed(scheduler: Scheduler, run: Run) -> bool:
    """Return whether a run may have been completed and its job is still open."""
    state = scheduler.jobs.get(run.task.job_id)
    if state is None or not state.is_open:
        return False
    task = state.find_task(run.task)
    return task is not None and not task.done and not task.step.long_running
