"""Assignment of the waiting tasks to workers, in one round over all of them."""

import attrs

from trefoilhook.scheduling.book import TaskState
from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crowds import FULL_PACE, Crowds
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.isolation import is_strongly_suspected
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.overflow import relieve_shrunk
from trefoilhook.scheduling.ranking import rank_step
from trefoilhook.scheduling.rounds import Round, hold_place, number_attempt
from trefoilhook.scheduling.starvation import admit_starved
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.waits import WaitReason
from trefoilhook.scheduling.watchdog import is_halted

__all__ = ["assign_waiting"]


_MOST_TRIES = 40
"""Steps of fillers without a place after which a round looks at no more of them: it
bounds the time of a round under a burst. The first in order are looked at."""

_FILLER_PAUSE_MS = 80.0
"""Pause between two plans that look for places for fillers, in ms. Hundreds of them may
wait, and a plan for all took 20 ms of an instance with 0.43 of a core, while urgent
tasks waited for it; a filler runs for two seconds and can wait for this."""

_FILLER_PAUSE_A_WORKER_MS = 1.0
"""The same for each worker, in ms: a round with 176 workers and 1,800 fillers that wait
takes 36 ms of a whole core, so that a fifth of one goes into it."""


def _is_over_elsewhere(scheduler: Scheduler, state: TaskState, now_ms: float) -> bool:
    """Tell whether an earlier owner's run of a task can neither run nor matter.

    A task that lasts has no end as done, so it needn't wait for a worker that may hold
    one: nothing of an earlier owner runs once the longest lease is over.
    """
    return state.step.long_running and now_ms >= scheduler.limits.settled_at_ms


def _group(state: TaskState) -> tuple[StepName, int, int]:
    """Return what tasks share that are placed alike.

    Suspected ones of a step find other places than the rest, strongly suspected ones
    each its own.
    """
    step = name_step(state.task)
    if state.suspicion is None or state.step.gang:
        return step, 0, 0
    if is_strongly_suspected(state):
        return step, 2, state.task.index
    return step, 1, 0


def assign_waiting(
    scheduler: Scheduler, *, settled: bool, now_ms: float, wall_ms: float
) -> None:
    """Hold room for the waiting tasks that have a place; their orders come due."""
    with_fillers = now_ms >= scheduler.fillers_due_ms
    waiting: set[StepName] = set()
    steps: dict[tuple[StepName, int, int], list[TaskState]] = {}
    for state in scheduler.waiting:
        if state.step.filler and not with_fillers:
            continue
        if state.waiting_since_ms is None:
            state.waiting_since_ms = now_ms
        group = _group(state)
        if state.job.queue is None or not (
            settled or state.job.certain or _is_over_elsewhere(scheduler, state, now_ms)
        ):
            waiting.add(group[0])
            scheduler.waits.note(group[0], WaitReason.OWNER_NEW, now_ms)
            continue
        steps.setdefault(group, []).append(state)
    ready = sorted(steps.values(), key=lambda tasks: rank_step(tasks, wall_ms))
    crowds = Crowds(
        jobs=scheduler.jobs, interference=scheduler.interference, now_ms=now_ms
    )
    turn = Round(scheduler=scheduler, crowds=crowds, now_ms=now_ms)
    if with_fillers:
        scheduler.waits.forget_all_but(waiting | {group[0] for group in steps})
        pause_ms = max(
            _FILLER_PAUSE_MS, _FILLER_PAUSE_A_WORKER_MS * len(scheduler.workers)
        )
        scheduler.fillers_due_ms = now_ms + pause_ms
        halted = _list_halted(turn)
        _move_halted(turn, [each for each in halted if not each.run.is_throttled])
    _assign_steps(turn, ready)
    relieve_shrunk(turn)
    if with_fillers:
        # Only now: throttled tasks come after all that wait in turn.
        _move_halted(turn, [each for each in halted if each.run.is_throttled])
        admit_starved(turn, ready)


def _assign_steps(turn: Round, ready: list[list[TaskState]]) -> None:
    waits = turn.scheduler.waits
    tries = 0
    for tasks in ready:
        step = name_step(tasks[0].task)
        if turn.is_short(tasks[0]):
            waits.note(step, turn.explain_wait(tasks[0]), turn.now_ms)
            continue
        if not turn.isolation.may_start(tasks[0], turn.now_ms):
            waits.note(step, WaitReason.APART, turn.now_ms)
            continue
        if tries >= _MOST_TRIES and tasks[0].step.filler:
            waits.note(step, WaitReason.BEHIND, turn.now_ms)
            continue
        if tasks[0].step.gang:
            missing = _assign_gang(turn, tasks[0])
        else:
            tasks.sort(key=lambda state: state.task.index)
            missing = _assign(turn, tasks)
        if missing is not None:
            # Counted for fillers only: dozens of services may each miss a task that
            # must not join those they have, and none may keep another from its turn.
            waits.note(step, turn.explain_wait(tasks[0]), turn.now_ms)
            tries += tasks[0].step.filler
            turn.note_short(tasks[0], missing)


@attrs.frozen(kw_only=True)
class _Halted:
    """A filler that was slowed and may gain by moving, and where it is."""

    worker: Worker
    run: Run
    task: TaskState


def _list_halted(turn: Round) -> list[_Halted]:
    return [
        _Halted(worker=worker, run=run, task=task)
        for worker in turn.scheduler.workers.values()
        for run in worker.runs.values()
        if (task := _find_halted(turn, run)) is not None
    ]


def _move_halted(turn: Round, halted: list[_Halted]) -> None:
    """Have slowed fillers stopped, if another worker has a place for them."""
    rated: dict[StepName, Candidates] = {}
    for each in halted:
        if turn.is_short(each.task):
            continue
        place = name_step(each.task.task)
        candidates = rated.get(place)
        if candidates is None:
            candidates = turn.rate(each.task, turn.list_feasible(each.task))
            rated[place] = candidates
        target = candidates.take(besides=each.worker)
        if target is not None:
            # Counted there already, so that not all find the same place.
            turn.crowds.find(target).add(each.task.step, base=0.0)
            candidates.add(target)
            turn.scheduler.request_stop(each.worker, each.run, StopReason.SLOWED)


def _find_halted(turn: Round, run: Run) -> TaskState | None:
    """Return the task of a run that may gain by moving."""
    if run.pace >= FULL_PACE or run.phase is not RunPhase.RUNNING:
        return None
    job = turn.scheduler.jobs.get(run.task.job_id)
    if job is None or not is_halted(run, job, turn.now_ms):
        return None
    return job.find_task(run.task)


def _assign(turn: Round, tasks: list[TaskState]) -> Demand | None:
    """Assign tasks of one step; return the size for which there is no place left."""
    candidates: Candidates | None = None
    for state in tasks:
        if candidates is None or state.failed_on:
            # One that failed somewhere rates the workers differently.
            candidates = turn.rate(state, turn.list_feasible(state))
        worker = candidates.take()
        if worker is None:
            return _find_missing(state, candidates)
        hold_place(turn, state, worker, number_attempt(turn.scheduler, state))
        candidates.add(worker)
        if state.failed_on:
            candidates = None
    return None


def _find_missing(state: TaskState, candidates: Candidates) -> Demand:
    """Return the size that finds no place, as one of these tasks found none.

    What keeps a filler out where there is room grows with the processor time that it
    asks for, whatever its memory. With hundreds of them waiting, most needn't be tried.
    """
    demand = state.step.demand
    if state.step.filler and not candidates.lacked_room:
        return Demand(cpu=demand.cpu)
    return demand


def _assign_gang(turn: Round, state: TaskState) -> Demand | None:
    """Assign all members of a gang at once, or none; then return the size of one."""
    place = (state.task.occurrence, state.task.step)
    members = [
        task
        for key, task in state.job.tasks.items()
        if (key.occurrence, key.step) == place
    ]
    if any(member.attempts for member in members):
        return None
    attempt = max(number_attempt(turn.scheduler, member) for member in members)
    everywhere = turn.list_open(state)
    choices = [everywhere]
    if state.step.same_rack:
        racks = {label for worker in everywhere for label in worker.report.labels}
        choices = [
            [worker for worker in everywhere if rack in worker.report.labels]
            for rack in sorted(racks)
        ] + choices
    if any(_hold_members(turn, members, workers, attempt) for workers in choices):
        return None
    return state.step.demand


def _hold_members(
    turn: Round, members: list[TaskState], workers: list[Worker], attempt: int
) -> bool:
    held: list[tuple[TaskState, Worker, Run, int]] = []
    candidates = turn.rate(members[0], workers)
    for member in members:
        worker = candidates.take()
        if worker is None:
            break
        earlier = member.last_attempt
        held.append(
            (member, worker, hold_place(turn, member, worker, attempt), earlier)
        )
        candidates.add(worker)
    if len(held) == len(members):
        return True
    for member, worker, run, earlier in held:
        worker.release(run)
        member.detach(run)
        member.last_attempt = earlier
        turn.scheduler.waiting.add(member)
    turn.recount()
    return False
