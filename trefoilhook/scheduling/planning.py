"""What to order next, from the state of a shard."""

from collections.abc import Iterable

from trefoilhook.scheduling.book import Attempt, TaskState
from trefoilhook.scheduling.core import ATTEMPTS_PER_EPOCH, Scheduler
from trefoilhook.scheduling.crowds import Crowds
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import Order, StartOrder, StopOrder, StopReason
from trefoilhook.scheduling.pacing import plan_paces
from trefoilhook.scheduling.placing import choose_worker
from trefoilhook.scheduling.watchdog import is_halted, stop_misplaced

__all__ = ["extend_lease", "is_settled", "plan_orders"]

_MOST_TRIES = 40
"""Steps without a place after which a plan ends: it bounds the time of a plan under a
burst. Those first in order are looked at, the others wait for the next plan."""

_FILLER_PAUSE_MS = 80.0
"""Pause between two plans that look for places for fillers, in ms. Hundreds of them may
wait, and a plan for all took 20 ms of an instance with 0.43 of a core, while urgent
tasks waited for it; a filler runs for two seconds and can wait for this."""

_LATE_FACTOR = 3.0
"""Up to so many times its objective a late job is still of some use to its users."""

_ORDER_DUE_MS = 20.0
"""A run's order is due when its time has come, or within this of it."""


def extend_lease(scheduler: Scheduler, worker: Worker, now_ms: float) -> float:
    """Return the deadline for what runs on a worker, and note that it was given."""
    deadline = worker.estimate_clock(now_ms) + scheduler.limits.task_lease_ms
    worker.lease_until_ms = max(worker.lease_until_ms, deadline)
    return deadline


def is_settled(scheduler: Scheduler, unfenced: Iterable[str], now_ms: float) -> bool:
    """Tell whether every task that an earlier owner started is known.

    Its orders are ruled out once a worker has answered under this owner's fencing
    token; for a worker that can't be reached, once the longest lease has run out.
    """
    if now_ms >= scheduler.limits.settled_at_ms:
        return True
    for worker_id in unfenced:
        worker = scheduler.workers.get(worker_id)
        if worker is None or not worker.fenced:
            return False
    return True


def plan_orders(
    scheduler: Scheduler, *, settled: bool, now_ms: float, wall_ms: float
) -> list[Order]:
    """Tell what to order now.

    Parameters
    ----------
    scheduler : Scheduler
        The shard; the orders returned are noted in it as under way.
    settled : bool
        Whether every task that an earlier owner started is known.
    now_ms, wall_ms : float
        The time, in ms.
    """
    scheduler.open_due_steps(wall_ms)
    for worker in scheduler.workers.values():
        if worker.is_news:
            stop_misplaced(scheduler, worker, now_ms)
    _place_waiting(scheduler, settled=settled, now_ms=now_ms, wall_ms=wall_ms)
    orders: list[Order] = []
    for worker in scheduler.workers.values():
        for run in worker.runs.values():
            order = _repeat_order(scheduler, worker, run, now_ms)
            if order is not None:
                orders.append(order)
        if worker.is_news:
            worker.is_news = False
            orders.extend(plan_paces(scheduler, worker, now_ms))
    return orders


def _repeat_order(
    scheduler: Scheduler, worker: Worker, run: Run, now_ms: float
) -> Order | None:
    if run.phase is RunPhase.RUNNING or run.in_flight:
        return None
    if run.order_due_ms > now_ms + _ORDER_DUE_MS or not worker.fenced:
        return None
    run.in_flight = True
    if run.phase is RunPhase.STOPPING:
        return StopOrder(
            worker_id=worker.report.worker_id,
            task=run.task,
            attempt=run.attempt,
            token=scheduler.epoch,
            reason=run.stop_reason,
        )
    return StartOrder(
        worker_id=worker.report.worker_id,
        task=run.task,
        attempt=run.attempt,
        spec=scheduler.jobs[run.task.job_id].job.spec,
        deadline_ms=run.deadline_ms,
        token=scheduler.epoch,
        checkpoint=run.checkpoint_used,
    )


def _judge_lateness(state: TaskState, wall_ms: float) -> int:
    """Return 0 for a job that can be in time, 1 for late, 2 for too late to matter."""
    job = state.job
    left_ms = job.due_ms - wall_ms
    if left_ms > state.step.estimate_ms:
        return 0
    objective_ms = job.due_ms - job.job.accepted_ms
    if left_ms + (_LATE_FACTOR - 1.0) * objective_ms > state.step.estimate_ms:
        return 1
    return 2


def _rank(state: TaskState, wall_ms: float) -> tuple[int, bool, int, float, str, int]:
    """Order of the waiting tasks: by priority, by who can be in time, the small first.

    A job is worth a fixed part and a part by its work, so small ones earn most by the
    core and second.

    Long-running tasks come after the others of their priority: those give their room
    back in a second, and earn several times as much by the core and second.
    """
    job = state.job
    priority = job.queue.priority if job.queue is not None else 0
    late = _judge_lateness(state, wall_ms)
    lasts = state.step.long_running
    return priority, lasts, late, job.work, job.job.job_id, state.task.index


def _place_waiting(
    scheduler: Scheduler, *, settled: bool, now_ms: float, wall_ms: float
) -> None:
    with_fillers = now_ms >= scheduler.fillers_due_ms
    ready = [
        state
        for state in scheduler.waiting
        if state.job.queue is not None
        and (settled or state.job.certain)
        and (with_fillers or not state.step.filler)
    ]
    ready.sort(key=lambda state: _rank(state, wall_ms))
    crowds = Crowds(
        jobs=scheduler.jobs, interference=scheduler.interference, now_ms=now_ms
    )
    if with_fillers:
        scheduler.fillers_due_ms = now_ms + _FILLER_PAUSE_MS
        _move_halted(scheduler, crowds, now_ms)
    tried: set[tuple[str, int, int]] = set()
    for state in ready:
        place = (state.task.job_id, state.task.occurrence, state.task.step)
        if place in tried:
            continue
        if len(tried) >= _MOST_TRIES:
            return
        if state.step.gang:
            tried.add(place)
            _place_gang(scheduler, state, crowds, now_ms)
        elif not _place(scheduler, state, crowds, now_ms):
            tried.add(place)


def _move_halted(scheduler: Scheduler, crowds: Crowds, now_ms: float) -> None:
    """Have fillers that were slowed stopped, if another worker has a place for them."""
    for worker in scheduler.workers.values():
        others = [other for other in scheduler.workers.values() if other is not worker]
        for run in worker.runs.values():
            job = scheduler.jobs.get(run.task.job_id)
            if job is None or run.phase is not RunPhase.RUNNING:
                continue
            if not is_halted(run, job, now_ms):
                continue
            state = job.find_task(run.task)
            if state is None:
                continue
            target = _choose(scheduler, state, others, crowds, now_ms)
            if target is not None:
                # Counted there already, so that not all find the same place.
                crowds.find(target).add(state.step, base=0.0)
                scheduler.request_stop(run, StopReason.SLOWED)


def _place(
    scheduler: Scheduler, state: TaskState, crowds: Crowds, now_ms: float
) -> bool:
    worker = _choose(scheduler, state, scheduler.workers.values(), crowds, now_ms)
    if worker is None:
        return False
    attempt = _next_attempt(scheduler, state)
    _hold(scheduler, state, worker, attempt, crowds, now_ms)
    return True


def _choose(
    scheduler: Scheduler,
    state: TaskState,
    workers: Iterable[Worker],
    crowds: Crowds,
    now_ms: float,
) -> Worker | None:
    queue = state.job.queue
    if queue is None or queue.advice is not None:
        return None
    return choose_worker(state, queue.service, workers, crowds, now_ms)


def _next_attempt(scheduler: Scheduler, state: TaskState) -> int:
    return max(state.last_attempt, scheduler.epoch * ATTEMPTS_PER_EPOCH) + 1


def _hold(
    scheduler: Scheduler,
    state: TaskState,
    worker: Worker,
    attempt: int,
    crowds: Crowds,
    now_ms: float,
) -> Run:
    checkpoint = state.job.progress.checkpoints.get(state.key, "")
    run = Run(
        task=state.task,
        attempt=attempt,
        room=state.step.room,
        phase=RunPhase.STARTING,
        started_ms=now_ms,
        checkpoint=checkpoint,
        checkpoint_used=checkpoint if state.step.checkpointing else "",
        progressed_ms=now_ms,
        deadline_ms=extend_lease(scheduler, worker, now_ms),
    )
    worker.hold(run)
    state.last_attempt = attempt
    state.attempts.append(Attempt(worker=worker, run=run))
    scheduler.waiting.discard(state)
    if not state.job.started:
        state.job.started = True
        scheduler.mark_started(state.job)
    base = scheduler.interference.find_base(state.step.image)
    crowds.find(worker).add(state.step, base=base)
    return run


def _place_gang(
    scheduler: Scheduler, state: TaskState, crowds: Crowds, now_ms: float
) -> None:
    """Place all members of a gang at once, or none."""
    place = (state.task.occurrence, state.task.step)
    members = [
        task
        for key, task in state.job.tasks.items()
        if (key.occurrence, key.step) == place
    ]
    if any(member.attempts for member in members):
        return
    attempt = max(_next_attempt(scheduler, member) for member in members)
    everywhere = list(scheduler.workers.values())
    choices = [everywhere]
    if state.step.same_rack:
        racks = {label for worker in everywhere for label in worker.report.labels}
        choices = [
            [worker for worker in everywhere if rack in worker.report.labels]
            for rack in sorted(racks)
        ] + choices
    for workers in choices:
        if _hold_members(scheduler, members, workers, attempt, crowds, now_ms):
            return


def _hold_members(
    scheduler: Scheduler,
    members: list[TaskState],
    workers: list[Worker],
    attempt: int,
    crowds: Crowds,
    now_ms: float,
) -> bool:
    held: list[tuple[TaskState, Worker, Run, int]] = []
    for member in members:
        worker = _choose(scheduler, member, workers, crowds, now_ms)
        if worker is None:
            break
        earlier = member.last_attempt
        run = _hold(scheduler, member, worker, attempt, crowds, now_ms)
        held.append((member, worker, run, earlier))
    if len(held) == len(members):
        return True
    for member, worker, run, earlier in held:
        worker.release(run)
        member.detach(run)
        member.last_attempt = earlier
        scheduler.waiting.add(member)
    crowds.recount()
    return False
