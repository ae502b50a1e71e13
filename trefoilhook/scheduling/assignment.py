"""Assignment of the waiting tasks to workers, in one round over all of them."""

from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.book import Attempt, TaskState
from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.core import ATTEMPTS_PER_EPOCH, Scheduler
from trefoilhook.scheduling.crowds import Crowds
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import is_open
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.watchdog import is_halted

__all__ = ["TOO_LATE", "assign_waiting", "extend_lease", "judge_lateness"]

_MOST_TRIES = 40
"""Steps of fillers without a place after which a round looks at no more of them: it
bounds the time of a round under a burst. The first in order are looked at."""

_FILLER_PAUSE_MS = 80.0
"""Pause between two plans that look for places for fillers, in ms. Hundreds of them may
wait, and a plan for all took 20 ms of an instance with 0.43 of a core, while urgent
tasks waited for it; a filler runs for two seconds and can wait for this."""

_LATE_FACTOR = 3.0
"""Up to so many times its objective a late job is still of some use to its users."""

TOO_LATE = 2
"""Rank of a job past that: it comes after all others of its priority."""


_FILLER_PAUSE_A_WORKER_MS = 1.0
"""The same for each worker, in ms: a round with 176 workers and 1,800 fillers that wait
takes 36 ms of a whole core, so that a fifth of one goes into it."""


@attrs.define(kw_only=True)
class _Round:
    """One round of assignment, and what it has found out.

    Parameters
    ----------
    scheduler : Scheduler
        The shard.
    crowds : Crowds
        Who runs where.
    now_ms : float
        The time, in ms.
    """

    scheduler: Scheduler
    crowds: Crowds
    now_ms: float
    _open: dict[str, list[Worker]] = attrs.Factory(dict)
    _short: dict[tuple[str, str, str | None], list[Demand]] = attrs.Factory(dict)

    def list_open(self, state: TaskState) -> list[Worker]:
        """Return the workers that take new tasks of a task's queue."""
        queue = state.job.queue
        if queue is None:
            return []
        known = self._open.get(queue.service)
        if known is None:
            known = [
                worker
                for worker in self.scheduler.workers.values()
                if worker.report.service == queue.service
                and is_open(worker, self.now_ms)
            ]
            self._open[queue.service] = known
        if queue.advice is None:
            return known
        step = name_step(state.task)
        tickets = self.scheduler.tickets
        return [
            worker
            for worker in known
            if tickets.find(step, worker.report.worker_id, self.now_ms) is not None
        ]

    def rate(self, state: TaskState, workers: Iterable[Worker]) -> Candidates:
        """Rate workers for the step of a task."""
        candidates = Candidates(task=state, crowds=self.crowds)
        for worker in workers:
            candidates.add(worker)
        return candidates

    def is_short(self, state: TaskState) -> bool:
        """Tell whether one that asks for no more has found no place in this round."""
        if _has_advice(state):
            return False
        demand = state.step.demand
        return any(
            short.cpu <= demand.cpu
            and short.memory_mb <= demand.memory_mb
            and short.gpus <= demand.gpus
            for short in self._short.get(_describe_need(state), ())
        )

    def _is_only_spread(self, state: TaskState) -> bool:
        """Tell whether a task has room, but not beside others of its step."""
        step = state.step
        if not step.max_per_worker:
            return False
        return any(worker.has_room(step.room) for worker in self.list_open(state))

    def note_short(self, state: TaskState) -> None:
        """Note that a task found no place."""
        if _has_advice(state):
            self.scheduler.tickets.wanted[name_step(state.task)] = None
        elif not state.step.gang and not self._is_only_spread(state):
            need = _describe_need(state)
            self._short.setdefault(need, []).append(state.step.demand)


def _has_advice(state: TaskState) -> bool:
    """Tell whether only some workers may run a step, so that its places are its own."""
    return state.job.queue is not None and state.job.queue.advice is not None


def _describe_need(state: TaskState) -> tuple[str, str, str | None]:
    """Return what two tasks share that find the same places, but for their size."""
    step = state.step
    queue = state.job.queue
    service = queue.service if queue is not None else ""
    return service, step.required_label, step.image if step.filler else None


def extend_lease(scheduler: Scheduler, worker: Worker, now_ms: float) -> float:
    """Return the deadline for what runs on a worker, and note that it was given."""
    deadline = worker.estimate_clock(now_ms) + scheduler.limits.task_lease_ms
    worker.lease_until_ms = max(worker.lease_until_ms, deadline)
    return deadline


def judge_lateness(state: TaskState, wall_ms: float) -> int:
    """Return 0 for a job that can be in time, 1 for late, `TOO_LATE` past any use."""
    job = state.job
    left_ms = job.due_ms - wall_ms
    if left_ms > state.step.estimate_ms:
        return 0
    objective_ms = job.due_ms - job.job.accepted_ms
    if left_ms + (_LATE_FACTOR - 1.0) * objective_ms > state.step.estimate_ms:
        return 1
    return TOO_LATE


def _rank(
    tasks: list[TaskState], wall_ms: float
) -> tuple[int, bool, bool, int, float, str, int, int]:
    """Order of the waiting steps: by priority, by who can be in time, the small first.

    A job is worth a fixed part and a part by its work, so small ones earn most by the
    core and second.

    Long-running tasks come after the others of their priority: those give their room
    back in a second, and earn several times as much by the core and second. But one
    that ran and ended comes first: on a full fleet the place that it left is the only
    one of its size, and small tasks that keep coming would take it for good.
    """
    state = tasks[0]
    job = state.job
    priority = job.queue.priority if job.queue is not None else 0
    late = judge_lateness(state, wall_ms)
    lasts = state.step.long_running
    is_new = not (lasts and any(task.last_attempt for task in tasks))
    name = state.task
    return (
        priority,
        is_new,
        lasts,
        late,
        job.work,
        name.job_id,
        name.occurrence,
        name.step,
    )


def _is_over_elsewhere(scheduler: Scheduler, state: TaskState, now_ms: float) -> bool:
    """Tell whether an earlier owner's run of a task can neither run nor matter.

    A task that lasts has no end as done, so it needn't wait for a worker that may hold
    one: nothing of an earlier owner runs once the longest lease is over.
    """
    return state.step.long_running and now_ms >= scheduler.limits.settled_at_ms


def assign_waiting(
    scheduler: Scheduler, *, settled: bool, now_ms: float, wall_ms: float
) -> None:
    """Hold room for the waiting tasks that have a place; their orders come due."""
    with_fillers = now_ms >= scheduler.fillers_due_ms
    steps: dict[StepName, list[TaskState]] = {}
    for state in scheduler.waiting:
        if state.job.queue is None or not (
            settled or state.job.certain or _is_over_elsewhere(scheduler, state, now_ms)
        ):
            continue
        if with_fillers or not state.step.filler:
            steps.setdefault(name_step(state.task), []).append(state)
    ready = sorted(steps.values(), key=lambda tasks: _rank(tasks, wall_ms))
    crowds = Crowds(
        jobs=scheduler.jobs, interference=scheduler.interference, now_ms=now_ms
    )
    turn = _Round(scheduler=scheduler, crowds=crowds, now_ms=now_ms)
    if with_fillers:
        pause_ms = max(
            _FILLER_PAUSE_MS, _FILLER_PAUSE_A_WORKER_MS * len(scheduler.workers)
        )
        scheduler.fillers_due_ms = now_ms + pause_ms
        _move_halted(turn)
    _assign_steps(turn, ready)


def _assign_steps(turn: _Round, ready: list[list[TaskState]]) -> None:
    tries = 0
    for tasks in ready:
        if turn.is_short(tasks[0]):
            continue
        if tries >= _MOST_TRIES and tasks[0].step.filler:
            continue
        if tasks[0].step.gang:
            is_placed = _assign_gang(turn, tasks[0])
        else:
            tasks.sort(key=lambda state: state.task.index)
            is_placed = _assign(turn, tasks)
        if not is_placed:
            # Counted for fillers only: dozens of services may each miss a task that
            # must not join those they have, and none may keep another from its turn.
            tries += tasks[0].step.filler
            turn.note_short(tasks[0])


def _move_halted(turn: _Round) -> None:
    """Have fillers that were slowed stopped, if another worker has a place for them."""
    rated: dict[StepName, Candidates] = {}
    for worker in turn.scheduler.workers.values():
        for run in worker.runs.values():
            state = _find_halted(turn, run)
            if state is None or turn.is_short(state):
                continue
            place = name_step(state.task)
            candidates = rated.get(place)
            if candidates is None:
                candidates = turn.rate(state, turn.list_open(state))
                rated[place] = candidates
            target = candidates.take(besides=worker)
            if target is not None:
                # Counted there already, so that not all find the same place.
                turn.crowds.find(target).add(state.step, base=0.0)
                candidates.add(target)
                turn.scheduler.request_stop(run, StopReason.SLOWED)


def _find_halted(turn: _Round, run: Run) -> TaskState | None:
    """Return the task of a run that may gain by moving."""
    job = turn.scheduler.jobs.get(run.task.job_id)
    if job is None or run.phase is not RunPhase.RUNNING:
        return None
    if not is_halted(run, job, turn.now_ms):
        return None
    return job.find_task(run.task)


def _assign(turn: _Round, tasks: list[TaskState]) -> bool:
    """Assign tasks of one step; tell whether all found a place."""
    candidates: Candidates | None = None
    for state in tasks:
        if candidates is None or state.failed_on:
            # One that failed somewhere rates the workers differently.
            candidates = turn.rate(state, turn.list_open(state))
        worker = candidates.take()
        if worker is None:
            return False
        _hold(turn, state, worker, _next_attempt(turn.scheduler, state))
        candidates.add(worker)
        if state.failed_on:
            candidates = None
    return True


def _next_attempt(scheduler: Scheduler, state: TaskState) -> int:
    return max(state.last_attempt, scheduler.epoch * ATTEMPTS_PER_EPOCH) + 1


def _hold(turn: _Round, state: TaskState, worker: Worker, attempt: int) -> Run:
    # Described before it holds the run, which would be counted twice.
    crowd = turn.crowds.find(worker)
    checkpoint = state.job.progress.checkpoints.get(state.key, "")
    run = Run(
        task=state.task,
        attempt=attempt,
        room=state.step.room,
        phase=RunPhase.STARTING,
        started_ms=turn.now_ms,
        checkpoint=checkpoint,
        checkpoint_used=checkpoint if state.step.checkpointing else "",
        progressed_ms=turn.now_ms,
        deadline_ms=extend_lease(turn.scheduler, worker, turn.now_ms),
    )
    worker.hold(run)
    state.last_attempt = attempt
    state.attempts.append(Attempt(worker=worker, run=run))
    turn.scheduler.waiting.discard(state)
    if not state.job.started:
        state.job.started = True
        turn.scheduler.mark_started(state.job)
    crowd.add(state.step, base=turn.crowds.interference.find_trough(state.step.image))
    return run


def _assign_gang(turn: _Round, state: TaskState) -> bool:
    """Assign all members of a gang at once, or none; tell whether all have a place."""
    place = (state.task.occurrence, state.task.step)
    members = [
        task
        for key, task in state.job.tasks.items()
        if (key.occurrence, key.step) == place
    ]
    if any(member.attempts for member in members):
        return True
    attempt = max(_next_attempt(turn.scheduler, member) for member in members)
    everywhere = turn.list_open(state)
    choices = [everywhere]
    if state.step.same_rack:
        racks = {label for worker in everywhere for label in worker.report.labels}
        choices = [
            [worker for worker in everywhere if rack in worker.report.labels]
            for rack in sorted(racks)
        ] + choices
    return any(_hold_members(turn, members, workers, attempt) for workers in choices)


def _hold_members(
    turn: _Round, members: list[TaskState], workers: list[Worker], attempt: int
) -> bool:
    held: list[tuple[TaskState, Worker, Run, int]] = []
    candidates = turn.rate(members[0], workers)
    for member in members:
        worker = candidates.take()
        if worker is None:
            break
        earlier = member.last_attempt
        held.append((member, worker, _hold(turn, member, worker, attempt), earlier))
        candidates.add(worker)
    if len(held) == len(members):
        return True
    for member, worker, run, earlier in held:
        worker.release(run)
        member.detach(run)
        member.last_attempt = earlier
        turn.scheduler.waiting.add(member)
    turn.crowds.recount()
    return False
