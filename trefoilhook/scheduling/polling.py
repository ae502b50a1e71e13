"""Applies the answers of polled workers to the state of a shard."""

from collections.abc import Collection

from trefoilhook.scheduling.colocation import learn_interference
from trefoilhook.scheduling.copy_tracker import get_max_runs
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crash_records import retract_exposure
from trefoilhook.scheduling.duration_records import record_duration
from trefoilhook.scheduling.faults import record_end, record_service
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.incarnations import resolve_incarnation
from trefoilhook.scheduling.job_state import Attempt
from trefoilhook.scheduling.lease_expiry import release_unstarted
from trefoilhook.scheduling.messages import AttemptEnd, EndKind, PollAnswer, Running
from trefoilhook.scheduling.models import Demand, Step, TaskId
from trefoilhook.scheduling.takeovers import request_place
from trefoilhook.scheduling.unread import (
    find_hidden_attempts,
    identifies_all_attempts,
    record_unreadable,
)
from trefoilhook.scheduling.urgent_demand import is_urgent

__all__ = ["has_fillers_beside_services", "apply_poll_answer"]

_ENDS_PAGE_SIZE = 500
"""Maximum number of ends in an answer; if it is reached, a missing end may follow
later."""

_COUNTED_ENDS = frozenset({EndKind.DONE, EndKind.FAILED})
"""Kinds of ends that count towards the completion or the attempts of a task."""

_SERVING_AGE_MS = 10_000.0
"""Assumed age of an adopted long-running task that serves requests: past its start-up,
in which most crashes caused by a task occur."""

_UNKNOWN_PACE = 99
"""Pace assumed for an attempt that a previous owner started: any value except full
speed."""


def apply_poll_answer(
    scheduler: Scheduler,
    worker_id: str,
    answer: PollAnswer,
    *,
    sent_ms: float,
    now_ms: float,
) -> None:
    """Apply the answer of a worker to a poll."""
    known = scheduler.workers.get(worker_id)
    if known is None:
        return
    worker = resolve_incarnation(scheduler, known, answer.born_ms, now_ms)
    if worker is None:
        return
    _record_answer(scheduler, worker, answer, now_ms)
    worker.poll_sent_ms = sent_ms
    for end in answer.ends:
        _apply_end(scheduler, worker, end, now_ms)
    listed: set[Run] = set()
    for running in answer.running:
        listed.add(_apply_running(scheduler, worker, running, now_ms))
    for row in answer.unreadable:
        if row.attempt is not None:
            _hold_unreadable(scheduler, worker, row.attempt, now_ms)
    learn_interference(worker, scheduler.jobs, scheduler.interference, now_ms)
    hidden = _find_hidden(worker, answer, now_ms)
    if len(answer.ends) + len(answer.unreadable) >= _ENDS_PAGE_SIZE:
        return
    worker.has_reported_all = worker.has_reported_all or identifies_all_attempts(answer)
    for key, run in list(worker.runs.items()):
        # The worker answered an order for this run before this poll was sent: if it is
        # neither running nor ended now, it will never run there.
        is_listed = run in listed or key in hidden
        if not is_listed and run.confirmed_ms < sent_ms:
            _release_unlisted(scheduler, worker, run)


def _find_hidden(
    worker: Worker, answer: PollAnswer, now_ms: float
) -> Collection[tuple[TaskId, int]]:
    if not answer.unreadable:
        return ()
    listed = {(running.task, running.attempt) for running in answer.running}
    return find_hidden_attempts(worker, answer, listed, now_ms)


def _release_unlisted(scheduler: Scheduler, worker: Worker, run: Run) -> None:
    if run.has_been_listed:
        scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, run.checkpoint)
    else:
        release_unstarted(scheduler, worker, run)


def _record_answer(
    scheduler: Scheduler, worker: Worker, answer: PollAnswer, now_ms: float
) -> None:
    """Record that a worker answers, independently of the content."""
    worker.read_clock(answer, now_ms)
    if not worker.has_answered_token:
        scheduler.suspects.retract_losses(worker.incarnation)
        # A previous owner may have just renewed the leases here. Without assuming a
        # full lease, the runs would count as expired and be started again immediately.
        limits = scheduler.limits
        # Before the first answer, a worker holds runs only if late starts for its
        # previous incarnation may have been executed here.
        lease_ms = limits.max_task_lease_ms if worker.runs else limits.task_lease_ms
        earlier_ms = answer.clock_ms + lease_ms
        worker.lease_until_ms = max(worker.lease_until_ms, earlier_ms)
    worker.has_answered_token = True
    if worker.silence is not None:
        retract_exposure(scheduler, worker)
        scheduler.suspects.recoveries.record(now_ms)
        worker.silence = None
    worker.has_awaited_runs = worker.has_lapsed_with_effect = False
    worker.has_changed = True
    record_unreadable(worker, answer)


def _apply_end(
    scheduler: Scheduler, worker: Worker, end: AttemptEnd, now_ms: float
) -> None:
    if not worker.is_new_end(end.number):
        return
    if end.kind is EndKind.LEASE_EXPIRED:
        worker.record_expired_end(end.number)
    elif end.kind in _COUNTED_ENDS and _has_been_repeated(scheduler, worker, end):
        worker.record_end_of_released_run(end.number)
    worker.presumed_expired.discard((end.task, end.attempt))
    state = scheduler.jobs.get(end.task.job_id)
    run = worker.runs.get((end.task, end.attempt))
    if run is not None:
        record_duration(scheduler, run, end.kind, now_ms)
        _finish_listed_run(scheduler, worker, run, end, now_ms)
    elif state is not None:
        # An attempt of a previous owner, or one that counted as expired.
        task = state.find_task(end.task)
        if task is not None:
            task.last_attempt = max(task.last_attempt, end.attempt)
            task.record_end(worker, end.kind)
            scheduler.apply_end(task, end.attempt, end.kind, end.checkpoint)
            scheduler.extend_release(worker)
    record_end(scheduler, worker, end, now_ms)
    worker.record_end(end.number, scheduler.track_save(end.task.job_id))


def _has_been_repeated(scheduler: Scheduler, worker: Worker, end: AttemptEnd) -> bool:
    """Return whether a task was started again after its attempt had been released."""
    if (end.task, end.attempt) not in worker.presumed_expired:
        return False
    state = scheduler.jobs.get(end.task.job_id)
    task = state.find_task(end.task) if state is not None else None
    return task is None or task.last_attempt > end.attempt


def _finish_listed_run(
    scheduler: Scheduler, worker: Worker, run: Run, end: AttemptEnd, now_ms: float
) -> None:
    """Finish a run with a listed end; attribute its step's time if it was the last."""
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    is_open = task is not None and not task.done
    scheduler.finish_run(worker, run, end.kind, end.checkpoint)
    if state is None or task is None or not (is_open and task.done):
        return
    if state.is_step_done(run.task.occurrence, run.task.step):
        scheduler.times.record_step_end(task, run, now_ms)


def _apply_running(
    scheduler: Scheduler, worker: Worker, running: Running, now_ms: float
) -> Run:
    """Apply a row and return the run that it lists."""
    run = worker.runs.get((running.task, running.attempt))
    if run is None:
        run = _adopt(scheduler, worker, running, now_ms)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.confirmed_ms = now_ms
    if not run.is_confirmed or running.percent != run.percent:
        run.progressed_ms = now_ms
    run.is_confirmed = run.has_been_listed = True
    run.seen_ms = now_ms
    record_service(scheduler, worker, run)
    if running.percent is not None:
        run.percent = running.percent
    if running.load is not None:
        run.load = running.load
    if running.checkpoint and running.checkpoint != run.checkpoint:
        run.checkpoint = running.checkpoint
        _share_checkpoint(scheduler, run)
    return run


def _share_checkpoint(scheduler: Scheduler, run: Run) -> None:
    """Record the checkpoint of a running member for its gang."""
    state = scheduler.jobs.get(run.task.job_id)
    task = state.find_task(run.task) if state is not None else None
    if state is None or task is None or not task.step.gang:
        return
    if state.is_open and not task.done:
        state.record_checkpoint(task, run.checkpoint)


def _hold_unreadable(
    scheduler: Scheduler, worker: Worker, key: tuple[TaskId, int], now_ms: float
) -> None:
    """Hold an attempt with an unreadable end as if it ran, while its job is open.

    Guards against restarting a completed task at a takeover: the end is the new owner's
    only evidence of it. After the end of the job the result of the attempt no longer
    matters, and holding it would only repeat stop orders forever.
    """
    name, attempt = key
    state = scheduler.jobs.get(name.job_id)
    task = state.find_task(name) if state is not None else None
    if state is None or task is None:
        return
    run = worker.runs.get(key)
    if not state.is_open or task.done:
        if run is not None:
            scheduler.finish_run(worker, run, EndKind.LEASE_EXPIRED, "")
        return
    if run is None and not task.attempts and attempt >= task.last_attempt:
        running = Running(
            task=name, attempt=attempt, checkpoint="", percent=None, load=None
        )
        _apply_running(scheduler, worker, running, now_ms)


def _estimate_age(step: Step, running: Running) -> float:
    """Return the approximate running time of a previous owner's attempt, in ms.

    Guards against a task that appears to have just started when its worker crashes only
    because the owner has changed.
    """
    if running.percent is None:
        return 0.0
    if step.long_running:
        return _SERVING_AGE_MS if running.percent >= 100 else 0.0
    return step.estimate_ms * running.percent / 100.0


def _adopt(
    scheduler: Scheduler, worker: Worker, running: Running, now_ms: float
) -> Run:
    """Add an attempt that a previous owner started."""
    state = scheduler.jobs.get(running.task.job_id)
    task = state.find_task(running.task) if state is not None else None
    run = Run(
        task=running.task,
        attempt=running.attempt,
        room=task.step.room if task is not None else Demand(),
        borrowed_cpu=task.step.borrowed_cpu if task is not None else 0,
        urgent_priority=(
            state.priority
            if state is not None and task is not None and is_urgent(task.step)
            else None
        ),
        phase=RunPhase.RUNNING,
        started_ms=now_ms - (_estimate_age(task.step, running) if task else 0.0),
        confirmed_ms=now_ms,
        # It may have been throttled by the previous owner; this has its pace ordered
        # again.
        pace=_UNKNOWN_PACE,
    )
    worker.hold(run)
    if running.task.job_id in scheduler.unreadable_jobs:
        return run
    if state is None or task is None:
        run.phase = RunPhase.STOPPING
        worker.pending_runs[run] = None
        return run
    request_place(scheduler, worker, run)
    state.started = True
    task.last_attempt = max(task.last_attempt, running.attempt)
    task.attempts.append(Attempt(worker=worker, run=run))
    scheduler.waiting.discard(task)
    task.waiting_since_ms = None
    scheduler.copies.watch(task)
    max_runs = get_max_runs(task.step)
    if not state.is_open or task.done or len(task.attempts) > max_runs:
        scheduler.stop_attempts(task, keep=max_runs if state.is_open else 0)
    return run


def has_fillers_beside_services(scheduler: Scheduler, worker: Worker) -> bool:
    """Return whether a worker runs both fillers and tasks with a latency limit."""
    fillers = serving = False
    for job_id, _, number in worker.step_runs:
        state = scheduler.jobs.get(job_id)
        if state is not None and number < len(state.job.steps):
            step = state.job.steps[number]
            fillers = fillers or step.filler
            serving = serving or bool(step.latency_limit_ms)
            if fillers and serving:
                return True
    return False
