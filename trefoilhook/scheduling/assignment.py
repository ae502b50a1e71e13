"""Assignment of waiting tasks to workers in one round over all of them."""

import itertools
from collections.abc import Iterable, Iterator

import attrs

from trefoilhook.scheduling.arrangement import may_spread
from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.colocation import FULL_PACE, ColocationCache
from trefoilhook.scheduling.copies import (
    has_heard_most_workers,
    may_start_unsettled,
    start_copies,
)
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.group_assignment import assign_in_groups
from trefoilhook.scheduling.headroom import record_urgent_demand
from trefoilhook.scheduling.idle_job_rounds import (
    list_idle_candidates,
    record_idle_jobs,
)
from trefoilhook.scheduling.isolation import is_strongly_suspected
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.messages import StopReason
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.overcommitment import relieve_overcommitted
from trefoilhook.scheduling.overdue import AmpleCapacity, record_ample_capacity
from trefoilhook.scheduling.ranking import StepRank, get_lateness, rank_step
from trefoilhook.scheduling.reserving import reserve_workers, update_reservations
from trefoilhook.scheduling.rounds import (
    AssignmentRound,
    next_attempt_number,
    reserve_capacity,
)
from trefoilhook.scheduling.sampling import MAX_CANDIDATES
from trefoilhook.scheduling.service_shares import split_by_share
from trefoilhook.scheduling.starvation import reserve_for_starved_jobs
from trefoilhook.scheduling.takeovers import is_held_for_predecessors
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.waits import WaitReason
from trefoilhook.scheduling.watchdog import is_migration_candidate

__all__ = ["assign_waiting"]


_MAX_INFEASIBLE_FILLER_STEPS = 30
"""Number of infeasible filler steps after which a round tries no more of them by rank,
to limit its duration under a burst."""

_MAX_INFEASIBLE_POSTPONED_STEPS = 10
"""Number of further infeasible filler steps after which a round ends; these are tried
in turn, so that each step is tried after some rounds."""

_FILLER_INTERVAL_MS = 80.0
"""Minimum interval between two rounds that place fillers. With hundreds of waiting
fillers each of these rounds took 20 ms on an instance with 0.43 of a core, during which
urgent tasks waited; a filler runs for about 2 s and can wait this long."""

_FILLER_INTERVAL_PER_WORKER_MS = 1.0
"""Minimum interval per worker: a round with 176 workers and 1,800 waiting fillers takes
36 ms on a whole core, so that these rounds use about a fifth of a core."""


def _is_previous_run_expired(
    scheduler: Scheduler, state: TaskState, now_ms: float
) -> bool:
    """Return whether no run of a previous owner can exist for a long-running task.

    A long-running task is never completed, so that it does not wait for a worker that
    may report its completion: after the longest lease no run of a previous owner is
    left.
    """
    return state.step.long_running and now_ms >= scheduler.limits.settled_at_ms


def _get_placement_group(state: TaskState) -> tuple[StepName, int, int]:
    """Return the key of tasks that are placed together.

    Suspected tasks of a step are placed separately from the others, and each strongly
    suspected task is placed on its own.
    """
    step = name_step(state.task)
    if state.suspicion is None or state.step.gang:
        return step, 0, 0
    if is_strongly_suspected(state):
        return step, 2, state.task.index
    return step, 1, 0


def _find_obstacle(
    scheduler: Scheduler, state: TaskState, *, is_held: bool, now_ms: float
) -> WaitReason | None:
    """Return why a waiting task is not considered in a round, or None if it is."""
    if is_held:
        return WaitReason.OWNER_NEW
    if state.job.queue is None:
        return WaitReason.QUEUE_UNKNOWN
    if scheduler.failures.is_set_aside(state.task.job_id, now_ms):
        return WaitReason.SET_ASIDE
    return None


def assign_waiting(
    scheduler: Scheduler,
    *,
    settled: bool,
    now_ms: float,
    wall_ms: float,
    with_fillers: bool,
) -> None:
    """Reserve capacity for waiting tasks; their start orders become due."""
    waiting: set[StepName] = set()
    steps: dict[tuple[StepName, int, int], list[TaskState]] = {}
    scheduler.holds.retain(scheduler.waiting)
    held: list[TaskState] = []
    has_holds = scheduler.holds.count > 0
    has_most_reports = not settled and has_heard_most_workers(scheduler)
    for state in scheduler.waiting:
        if state.step.filler and not with_fillers:
            continue
        if state.waiting_since_ms is None:
            state.waiting_since_ms = now_ms
        group = _get_placement_group(state)
        is_held = not (
            settled
            or state.job.is_new
            or _is_previous_run_expired(scheduler, state, now_ms)
            or (has_most_reports and may_start_unsettled(scheduler, state))
        ) and is_held_for_predecessors(scheduler, state)
        if is_held:
            scheduler.holds.hold(state, now_ms)
            held.append(state)
        elif has_holds:
            scheduler.holds.release(state, now_ms)
        reason = _find_obstacle(scheduler, state, is_held=is_held, now_ms=now_ms)
        if reason is not None:
            waiting.add(group[0])
            scheduler.waits.record(group[0], reason, now_ms)
            continue
        steps.setdefault(group, []).append(state)
    ready = _rank_steps(scheduler, steps.values(), now_ms=now_ms, wall_ms=wall_ms)
    update_reservations(scheduler, now_ms)
    record_urgent_demand(scheduler, ready, now_ms=now_ms, wall_ms=wall_ms)
    colocations = ColocationCache(
        jobs=scheduler.jobs,
        interference=scheduler.interference,
        now_ms=now_ms,
        spreads_services=(
            scheduler.features.arrangement and may_spread(len(scheduler.workers))
        ),
    )
    assignment_round = AssignmentRound(
        scheduler=scheduler, colocations=colocations, now_ms=now_ms
    )
    if scheduler.places is not None and scheduler.places.is_stalled(now_ms):
        assign_in_groups(assignment_round, ready)
        return
    if with_fillers:
        known = waiting | {group[0] for group in steps}
        scheduler.waits.retain(known)
        scheduler.service_holds.retain(known)
        _measure_held_waits(assignment_round, held)
        scheduler.fillers_due_ms = now_ms + _compute_filler_interval(scheduler)
        migration_candidates = _list_migration_candidates(assignment_round)
        _migrate(
            assignment_round,
            [each for each in migration_candidates if not each.run.is_throttled],
        )
    ready = _assign_steps(assignment_round, ready)
    start_copies(assignment_round, settled=settled)
    if with_fillers:
        relieve_overcommitted(assignment_round)
        # Throttled tasks are considered after all regular assignments.
        _migrate(
            assignment_round,
            [each for each in migration_candidates if each.run.is_throttled],
        )
        _relieve_idle_jobs(assignment_round, ready, held)
    started = [state for state in assignment_round.started if state.attempts]
    _record_starts(scheduler, started, now_ms=now_ms, wall_ms=wall_ms)
    scheduler.overtaking.record_round(
        ready,
        started,
        now_ms=now_ms,
        wall_ms=wall_ms,
    )


def _relieve_idle_jobs(
    assignment_round: AssignmentRound,
    ready: list[list[TaskState]],
    held: Iterable[TaskState],
) -> None:
    """Start a task of each starved job, and record what still waits."""
    scheduler, now_ms = assignment_round.scheduler, assignment_round.now_ms
    jobs = list_idle_candidates(scheduler)
    scheduler.idle_times.update(jobs, now_ms)
    reserve_for_starved_jobs(assignment_round, ready)
    waiting_tasks = itertools.chain(held, _list_unplaced(ready))
    _record_unplaced(scheduler, waiting_tasks, jobs, now_ms)


def _list_unplaced(steps: Iterable[list[TaskState]]) -> Iterator[TaskState]:
    """Yield one unplaced task of each list, whose tasks belong to one step."""
    for tasks in steps:
        unplaced = next((task for task in tasks if not task.attempts), None)
        if unplaced is not None:
            yield unplaced


def _record_unplaced(
    scheduler: Scheduler,
    tasks: Iterable[TaskState],
    jobs: dict[str, JobState],
    now_ms: float,
) -> None:
    """Record which waiting steps have ample capacity, and which jobs have no run."""
    capacity = AmpleCapacity(scheduler=scheduler)
    record_ample_capacity(scheduler, tasks, now_ms, capacity=capacity)
    record_idle_jobs(scheduler, jobs, capacity, now_ms)


def _measure_held_waits(
    assignment_round: AssignmentRound, held: Iterable[TaskState]
) -> None:
    """Record whether new service tasks held for previous owners could be placed.

    Their wait for urgent tasks would begin only once the owner is settled otherwise.
    Not called in all rounds, as the tasks are compared with the workers.
    """
    headroom = assignment_round.headroom
    steps = {name_step(state.task): state for state in held if headroom.concerns(state)}
    for state in steps.values():
        headroom.record_wait(state, assignment_round.list_candidates(state))


def _compute_filler_interval(scheduler: Scheduler) -> float:
    """Return the minimum time until the next round that places fillers, in ms."""
    rated_workers = min(len(scheduler.workers), MAX_CANDIDATES)
    return max(_FILLER_INTERVAL_MS, _FILLER_INTERVAL_PER_WORKER_MS * rated_workers)


def _record_starts(
    scheduler: Scheduler,
    started: Iterable[TaskState],
    *,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Record that the jobs of placed tasks run, and if they can meet their objectives.

    Each round records starts, as a short run may end before the next one with fillers.
    """
    for state in started:
        scheduler.waits.idle_jobs.record_start(state.task.job_id, now_ms)
        if not state.step.long_running:
            state.attempts[-1].run.lateness = get_lateness(state, wall_ms)


def _rank_steps(
    scheduler: Scheduler,
    steps: Iterable[list[TaskState]],
    *,
    now_ms: float,
    wall_ms: float,
) -> list[list[TaskState]]:
    """Return the waiting steps, or parts of them, in the order of their assignment."""
    ranked: list[tuple[StepRank, list[TaskState]]] = []
    for tasks in steps:
        try:
            ranked += [
                (rank_step(part, wall_ms, level=level), part)
                for level, part in split_by_share([tasks], now_ms)
            ]
        except Exception as error:
            scheduler.failures.set_job_aside(tasks[0].task.job_id, error, now_ms)
    ranked.sort(key=lambda pair: pair[0])
    return [part for _, part in ranked]


@attrs.define(kw_only=True)
class _InfeasibleSteps:
    """Steps that could not be placed in a round, which limit what is tried later.

    Only fillers are counted: dozens of services may each lack a task that must not
    share a worker with others of its step, and they must not end the round for other
    steps.
    """

    fillers: int = 0
    max_fillers: int = _MAX_INFEASIBLE_FILLER_STEPS
    services: set[StepName] = attrs.Factory(set)
    postponed: list[list[TaskState]] = attrs.Factory(list)

    def take_postponed(self) -> list[list[TaskState]]:
        """Return the steps that were not tried, and forget them."""
        postponed, self.postponed = self.postponed, []
        return postponed


def _assign_steps(
    assignment_round: AssignmentRound, ready: list[list[TaskState]]
) -> list[list[TaskState]]:
    """Assign the waiting steps; return those of jobs that were not set aside."""
    infeasible = _InfeasibleSteps()
    failed: set[str] = set()
    _try_steps(assignment_round, ready, infeasible, failed)
    steps = infeasible.take_postponed()
    if steps:
        postponed = assignment_round.scheduler.postponed
        infeasible.max_fillers += _MAX_INFEASIBLE_POSTPONED_STEPS
        _try_steps(assignment_round, postponed.sort(steps), infeasible, failed)
        postponed.record_round(steps, infeasible.take_postponed())
    if not failed:
        return ready
    return [tasks for tasks in ready if tasks[0].task.job_id not in failed]


def _try_steps(
    assignment_round: AssignmentRound,
    steps: Iterable[list[TaskState]],
    infeasible: _InfeasibleSteps,
    failed: set[str],
) -> None:
    """Assign steps in order, and add the jobs that are set aside to ``failed``."""
    for tasks in steps:
        if tasks[0].task.job_id in failed:
            continue
        try:
            _assign_step(assignment_round, tasks, infeasible)
        except Exception as error:
            # One job must not keep all others from being served.
            assignment_round.undo_reservations(tasks[0].job)
            assignment_round.scheduler.failures.set_job_aside(
                tasks[0].task.job_id, error, assignment_round.now_ms
            )
            failed.add(tasks[0].task.job_id)


def _assign_step(
    assignment_round: AssignmentRound,
    tasks: list[TaskState],
    infeasible_steps: _InfeasibleSteps,
) -> None:
    """Assign the waiting tasks of a step, or of a part of it."""
    waits = assignment_round.scheduler.waits
    headroom = assignment_round.headroom
    holds = assignment_round.scheduler.service_holds
    step = name_step(tasks[0].task)
    is_overdue = assignment_round.is_overdue(tasks[0])
    is_concerned = headroom.concerns(tasks[0])
    if is_concerned and headroom.is_limited(step):
        return
    if step in infeasible_steps.services or assignment_round.is_known_infeasible(
        tasks[0]
    ):
        waits.record(
            step, assignment_round.explain_wait(tasks[0]), assignment_round.now_ms
        )
        holds.interrupt(step, assignment_round.now_ms)
        reserve_workers(assignment_round, tasks)
        return
    if not assignment_round.isolation.may_start(
        tasks[0], assignment_round.now_ms, is_overdue=is_overdue
    ):
        waits.record(step, WaitReason.ISOLATED, assignment_round.now_ms)
        return
    if (
        infeasible_steps.fillers >= infeasible_steps.max_fillers
        and tasks[0].step.filler
        and not is_overdue
    ):
        infeasible_steps.postponed.append(tasks)
        waits.record(step, WaitReason.BEHIND_OTHERS, assignment_round.now_ms)
        return
    if tasks[0].step.gang:
        infeasible = _assign_gang(assignment_round, tasks[0])
    else:
        tasks.sort(key=lambda state: state.task.index)
        is_for_one = is_overdue and not tasks[0].step.long_running
        assign = _assign_one if is_for_one else _assign
        infeasible = assign(assignment_round, tasks)
    if infeasible is None:
        return
    if is_concerned and headroom.is_limited(step):
        # Says nothing about tasks that the limit does not concern.
        waits.record(step, WaitReason.URGENT_DEMAND, assignment_round.now_ms)
        return
    waits.record(step, assignment_round.explain_wait(tasks[0]), assignment_round.now_ms)
    infeasible_steps.fillers += tasks[0].step.filler
    if tasks[0].step.long_running:
        # The remaining parts of the step are infeasible, too.
        holds.interrupt(step, assignment_round.now_ms)
        infeasible_steps.services.add(step)
    assignment_round.record_infeasible(tasks[0], infeasible)
    reserve_workers(assignment_round, tasks)


@attrs.frozen(kw_only=True)
class _MigrationCandidate:
    """A throttled filler that may benefit from another worker."""

    worker: Worker
    run: Run
    task: TaskState


def _list_migration_candidates(
    assignment_round: AssignmentRound,
) -> list[_MigrationCandidate]:
    return [
        _MigrationCandidate(worker=worker, run=run, task=task)
        for worker in assignment_round.scheduler.workers.values()
        for run in worker.runs.values()
        if (task := _find_migration_task(assignment_round, run)) is not None
    ]


def _migrate(
    assignment_round: AssignmentRound, migration_candidates: list[_MigrationCandidate]
) -> None:
    """Stop throttled fillers for which another worker is suitable."""
    rated: dict[StepName, Candidates] = {}
    for each in migration_candidates:
        if assignment_round.is_known_infeasible(each.task):
            continue
        step_key = name_step(each.task.task)
        candidates = rated.get(step_key)
        if candidates is None:
            candidates = assignment_round.rate(
                each.task, assignment_round.list_feasible(each.task)
            )
            rated[step_key] = candidates
        target = candidates.pop_best(exclude=each.worker)
        if target is not None:
            # Added to the target so that the next candidates account for it.
            assignment_round.colocations.lookup(target).add_task(
                each.task.step, base=0.0
            )
            candidates.add_worker(target)
            assignment_round.scheduler.request_stop(
                each.worker, each.run, StopReason.THROTTLED
            )


def _find_migration_task(
    assignment_round: AssignmentRound, run: Run
) -> TaskState | None:
    """Return the task of a run that may benefit from another worker, else None."""
    if run.pace >= FULL_PACE or run.phase is not RunPhase.RUNNING:
        return None
    job = assignment_round.scheduler.jobs.get(run.task.job_id)
    if job is None or not is_migration_candidate(run, job, assignment_round.now_ms):
        return None
    return job.find_task(run.task)


def _assign(assignment_round: AssignmentRound, tasks: list[TaskState]) -> Demand | None:
    """Assign tasks of one step; return the demand that proved infeasible, if any."""
    candidates: Candidates | None = None
    limit = None
    if assignment_round.headroom.concerns(tasks[0]) and not (
        assignment_round.is_overdue(tasks[0])
    ):
        limit = assignment_round.headroom.find_limit(
            tasks[0], assignment_round.list_open(tasks[0])
        )
    if limit is not None and assignment_round.headroom.is_known_limited(tasks[0]):
        assignment_round.headroom.record_limited(tasks[0])
        return tasks[0].step.demand
    for state in tasks:
        if candidates is None or state.shared.failed_on:
            # Failed tasks rate the workers on which they failed differently.
            candidates = assignment_round.rate(
                state, assignment_round.list_feasible(state), limit=limit
            )
        worker = candidates.pop_best()
        if worker is None and not state.step.filler:
            # On a large fleet only a sample of the workers was considered.
            candidates = _rate_remaining(assignment_round, state, candidates)
            worker = candidates.pop_best()
        if worker is None and candidates.was_barred:
            # Says nothing about tasks that have not failed there.
            candidates = None
            continue
        if worker is None:
            return _reject(assignment_round, state, candidates)
        if limit is not None:
            limit.take(worker, state.step.room)
        reserve_capacity(
            assignment_round,
            state,
            worker,
            next_attempt_number(assignment_round.scheduler, state),
        )
        candidates.add_worker(worker)
        if state.shared.failed_on:
            candidates = None
    return None


def _assign_one(
    assignment_round: AssignmentRound, tasks: list[TaskState]
) -> Demand | None:
    """Assign the first task that finds a worker; the others compete by rank.

    Tasks may be excluded from workers on which they have failed.
    """
    for state in tasks:
        infeasible = _assign(assignment_round, [state])
        if state.attempts or infeasible is not None:
            return infeasible
    return None


def _reject(
    assignment_round: AssignmentRound, state: TaskState, candidates: Candidates
) -> Demand:
    """Record that a task finds no worker; return the demand that is infeasible."""
    if candidates.was_limited:
        assignment_round.headroom.record_limited(state)
    return _find_infeasible_demand(state, candidates)


def _rate_remaining(
    assignment_round: AssignmentRound, state: TaskState, candidates: Candidates
) -> Candidates:
    """Return all open workers as candidates if only some of them were considered.

    Not used for fillers: they are tried again in the next round, with another sample.
    """
    workers = assignment_round.list_open(state)
    if len(workers) <= MAX_CANDIDATES:
        return candidates
    return assignment_round.rate(state, workers, limit=candidates.limit)


def _find_infeasible_demand(state: TaskState, candidates: Candidates) -> Demand:
    """Return the minimum demand that is infeasible, given one infeasible task.

    If a filler is rejected where capacity is left, the reason is its processor time and
    not its memory. With hundreds of waiting fillers most of them need not be tried.
    """
    demand = state.step.demand
    if state.step.filler and not candidates.lacked_capacity:
        return Demand(cpu=demand.cpu)
    return demand


def _assign_gang(assignment_round: AssignmentRound, state: TaskState) -> Demand | None:
    """Assign all members of a gang or none; return the demand of one if infeasible."""
    step_key = (state.task.occurrence, state.task.step)
    members = [
        task
        for key, task in state.job.tasks.items()
        if (key.occurrence, key.step) == step_key
    ]
    if any(member.attempts for member in members):
        return None
    attempt = max(
        next_attempt_number(assignment_round.scheduler, member) for member in members
    )
    all_workers = assignment_round.list_open(state)
    choices = [all_workers]
    if state.step.same_rack:
        racks = {label for worker in all_workers for label in worker.report.labels}
        choices = [
            [worker for worker in all_workers if rack in worker.report.labels]
            for rack in sorted(racks)
        ] + choices
    if any(
        _reserve_gang(assignment_round, members, workers, attempt)
        for workers in choices
    ):
        return None
    return state.step.demand


def _reserve_gang(
    assignment_round: AssignmentRound,
    members: list[TaskState],
    workers: list[Worker],
    attempt: int,
) -> bool:
    held: list[tuple[TaskState, Worker, Run, int]] = []
    candidates = assignment_round.rate(members[0], workers)
    for member in members:
        worker = candidates.pop_best()
        if worker is None:
            break
        earlier = member.last_attempt
        held.append(
            (
                member,
                worker,
                reserve_capacity(assignment_round, member, worker, attempt),
                earlier,
            )
        )
        candidates.add_worker(worker)
    if len(held) == len(members):
        return True
    for member, worker, run, earlier in held:
        worker.release(run)
        member.detach(run)
        member.last_attempt = earlier
        assignment_round.scheduler.waiting.add(member)
    assignment_round.invalidate()
    return False
