"""One round of assignment: open workers, infeasible demands and reserved capacity."""

import itertools
from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.candidates import Candidates
from trefoilhook.scheduling.colocation import FULL_PACE, ColocationCache
from trefoilhook.scheduling.core import ATTEMPTS_PER_EPOCH, Scheduler
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.headroom import PartLimit, RoundHeadroom
from trefoilhook.scheduling.isolation import Isolation
from trefoilhook.scheduling.job_state import Attempt, JobState, TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.overdue import can_become_overdue
from trefoilhook.scheduling.placing import (
    compute_max_filler_cpu,
    list_open_workers,
    list_usable_workers,
)
from trefoilhook.scheduling.sampling import MAX_CANDIDATES, sample_workers
from trefoilhook.scheduling.tickets import name_step
from trefoilhook.scheduling.urgent_demand import is_urgent
from trefoilhook.scheduling.waits import FreeRoom, WaitReason

__all__ = ["AssignmentRound", "extend_lease", "next_attempt_number", "reserve_capacity"]


@attrs.define(kw_only=True)
class AssignmentRound:
    """One round of assignment and its intermediate results.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    colocations : ColocationCache
        Tasks that share each worker.
    now_ms : float
        Current time, in ms.
    isolation : Isolation
        Isolated runs and the workers reserved for them.
    headroom : RoundHeadroom
        Capacity that new service tasks leave to urgent tasks.
    reservation_searches : int
        Number of searches for workers to reserve in this round.
    started : list of TaskState
        Tasks that were placed in this round.
    """

    scheduler: Scheduler
    colocations: ColocationCache
    now_ms: float
    isolation: Isolation = attrs.field()
    headroom: RoundHeadroom = attrs.field()
    reservation_searches: int = 0
    started: list[TaskState] = attrs.Factory(list)
    _open: dict[tuple[str, str | None], list[Worker]] = attrs.Factory(dict)
    _usable: dict[str, list[Worker]] = attrs.Factory(dict)
    _samples: dict[tuple[str, str, str, bool, bool], list[Worker]] = attrs.Factory(dict)
    _feasible: dict[tuple[str, str, str, str, bool], list[tuple[float, Worker]]] = (
        attrs.Factory(dict)
    )
    _free: dict[tuple[str, str, bool, bool], FreeRoom] = attrs.Factory(dict)
    _infeasible: dict[tuple[str, str, str | None, bool], list[tuple[Demand, float]]] = (
        attrs.Factory(dict)
    )

    @isolation.default
    def _collect_isolation(self) -> Isolation:
        return Isolation.collect(self.scheduler)

    @headroom.default
    def _build_headroom(self) -> RoundHeadroom:
        return RoundHeadroom(scheduler=self.scheduler, now_ms=self.now_ms)

    def is_overdue(self, state: TaskState) -> bool:
        """Return whether a task has waited too long while capacity was available."""
        overdue = self.scheduler.overdue
        return overdue.contains(name_step(state.task)) and can_become_overdue(state)

    def list_open(
        self, state: TaskState, *, includes_avoided: bool = False
    ) -> list[Worker]:
        """Return the workers that accept new tasks of a task's queue.

        Parameters
        ----------
        state : TaskState
            Task of the queue.
        includes_avoided : bool, optional
            Whether to include faulty workers, and for long-running tasks those reserved
            for isolated runs. They are always included for overdue tasks, and never for
            queues with advice.
        """
        queue = state.job.queue
        if queue is None:
            return []
        if queue.advice is None and (includes_avoided or self.is_overdue(state)):
            usable = self._list_usable(queue.service)
            if state.step.long_running:
                return usable
            # A task that crashes together with a suspect may be given up in its place.
            return [each for each in usable if each not in self.isolation.hosts]
        step = state.step
        pool = (queue.service, None if step.long_running else step.required_label)
        known = self._open.get(pool)
        if known is None:
            known = list_open_workers(self.scheduler, queue.service, self.now_ms)
            if not step.long_running:
                known = _exclude_faulty(known, step.required_label, self.now_ms)
            self._open[pool] = known
        if queue.advice is None:
            return known
        step_name = name_step(state.task)
        tickets = self.scheduler.tickets
        return [
            worker
            for worker in known
            if tickets.find(step_name, worker.report.worker_id, self.now_ms) is not None
        ]

    def _list_usable(self, service: str) -> list[Worker]:
        known = self._usable.get(service)
        if known is None:
            known = list_usable_workers(self.scheduler, service, self.now_ms)
            self._usable[service] = known
        return known

    def list_candidates(
        self, state: TaskState, *, includes_avoided: bool = False
    ) -> list[Worker]:
        """Return the open workers to consider first for a task.

        These are all open workers, or a sample of them on a large fleet. The parameters
        are those of `list_open`.
        """
        workers = self.list_open(state, includes_avoided=includes_avoided)
        queue = state.job.queue
        if len(workers) <= MAX_CANDIDATES or queue is None or queue.advice is not None:
            return workers
        step = state.step
        includes_avoided = includes_avoided or self.is_overdue(state)
        sample_key = (
            queue.service,
            step.required_label,
            step.data_rack,
            step.long_running,
            includes_avoided,
        )
        sample = self._samples.get(sample_key)
        if sample is None:
            sample = self._samples[sample_key] = sample_workers(
                workers,
                self.scheduler.random,
                required_label=step.required_label,
                data_rack=step.data_rack,
            )
        return [
            worker for worker in sample if includes_avoided or not worker.is_reserved
        ]

    def list_feasible(self, state: TaskState) -> list[Worker]:
        """Return the open workers that may be able to run a task.

        For a filler these are the workers with enough processor time and slack, as with
        hundreds of workers and dozens of waiting steps most pairs need not be rated.
        The limit of a worker is computed once per round and image; reservations can
        only lower it.
        """
        step = state.step
        queue = state.job.queue
        if not step.filler or queue is None or queue.advice is not None:
            return self.list_candidates(state)
        # The candidates on a large fleet depend on the label and the rack, too.
        placement_key = (
            queue.service,
            step.image,
            step.required_label,
            step.data_rack,
            step.long_running,
        )
        feasible = self._feasible.get(placement_key)
        if feasible is None:
            limits = [
                (compute_max_filler_cpu(worker, step.image, self.colocations), worker)
                for worker in self.list_candidates(state)
            ]
            limits.sort(key=lambda pair: pair[0], reverse=True)
            feasible = self._feasible[placement_key] = limits
        return [
            worker
            for _, worker in itertools.takewhile(
                lambda pair: pair[0] >= step.demand.cpu, feasible
            )
            if not worker.is_reserved
        ]

    def explain_wait(self, state: TaskState) -> WaitReason:
        """Return why a task could not be placed in this round."""
        service = state.job.queue.service if state.job.queue is not None else ""
        label = state.step.required_label
        placement_key = (
            service,
            label,
            state.step.long_running,
            self.is_overdue(state),
        )
        free = self._free.get(placement_key)
        if free is None:
            free = self._free[placement_key] = _measure_free(
                self.list_open(state),
                label,
                has_evacuated_workers=self._has_evacuated_workers(service, label),
            )
        reason = free.explain(state.step.room, filler=state.step.filler)
        if reason is WaitReason.FRAGMENTED and self._fits_on_reserved_worker(state):
            return WaitReason.RESERVED
        return reason

    def _fits_on_reserved_worker(self, state: TaskState) -> bool:
        """Return whether a worker reserved for another step has enough capacity."""
        step = name_step(state.task)
        return any(
            reservation.step != step
            and (worker := self.scheduler.workers.get(worker_id)) is not None
            and worker.has_room(state.step.room)
            for worker_id, reservation in self.scheduler.reservations.by_worker.items()
        )

    def _has_evacuated_workers(self, service: str, label: str) -> bool:
        """Return whether any worker of a service with a label is evacuated."""
        evacuations = self.scheduler.evacuations
        return any(
            worker.report.service == service
            and (not label or label in worker.report.labels)
            and evacuations.covers(worker)
            for worker in self.scheduler.workers.values()
        )

    def invalidate(self) -> None:
        """Discard cached results after reservations were undone."""
        self.colocations.invalidate()
        self.isolation = Isolation.collect(self.scheduler)
        self._open.clear()
        self._usable.clear()
        self._samples.clear()
        self._feasible.clear()

    def undo_reservations(self, job: JobState) -> None:
        """Release what this round has reserved for a job; no order was planned yet.

        Also releases a run that was added to its worker, but not yet to its task.
        """
        job_id = job.job.job_id
        for worker in self.scheduler.workers.values():
            for run in list(worker.runs.values()):
                if run.task.job_id != job_id or not self._is_reserved_here(run):
                    continue
                worker.release(run)
                task = job.find_task(run.task)
                if task is not None:
                    task.detach(run)
                    self.scheduler.waiting.add(task)
        self.started = [
            state for state in self.started if state.job is not job or state.attempts
        ]
        self.invalidate()

    def _is_reserved_here(self, run: Run) -> bool:
        """Return whether a run was reserved in this round."""
        return (
            run.phase is RunPhase.STARTING
            and run.started_ms == self.now_ms
            and not (run.in_flight or run.may_have_run)
        )

    def record_suspected_start(
        self, state: TaskState, worker: Worker, run: Run
    ) -> None:
        """Record the start of a suspected task, which may reserve its worker."""
        self.isolation.add(state, worker, run)
        if not worker.is_reserved:
            return
        for workers in self._open.values():
            if worker in workers:
                workers.remove(worker)

    def rate(
        self,
        state: TaskState,
        workers: Iterable[Worker],
        *,
        limit: PartLimit | None = None,
    ) -> Candidates:
        """Return candidate workers for the step of a task."""
        candidates = Candidates(
            task=state,
            colocations=self.colocations,
            limit=limit,
            is_overdue=self.is_overdue(state),
        )
        for worker in workers:
            candidates.add_worker(worker)
        return candidates

    def is_known_infeasible(self, state: TaskState) -> bool:
        """Return whether an equal or smaller demand was infeasible in this round.

        A task is infeasible if one with the same placement key and at most the same
        demand and duration could not be placed. The duration matters only on reserved
        workers. Steps that are overdue or have a reserved worker are never known to be
        infeasible.
        """
        if _requires_advice(state) or self.is_overdue(state):
            return False
        demand = state.step.demand
        estimate_ms = _get_estimate(state)
        is_infeasible = any(
            infeasible_ms <= estimate_ms and demand.covers(infeasible)
            for infeasible, infeasible_ms in self._infeasible.get(
                _get_placement_key(state), ()
            )
        )
        return is_infeasible and not self._has_reservation(state)

    def _has_reservation(self, state: TaskState) -> bool:
        reservations = self.scheduler.reservations
        return not state.step.filler and bool(
            reservations.count and reservations.count_step(name_step(state.task))
        )

    def _is_blocked_by_spread(self, state: TaskState) -> bool:
        """Return whether a task fits only beside other tasks of its step."""
        step = state.step
        if not step.max_per_worker:
            return False
        return any(worker.has_room(step.room) for worker in self.list_open(state))

    def record_infeasible(self, state: TaskState, size: Demand) -> None:
        """Record that a task cannot be placed, nor any of at least ``size``."""
        if _requires_advice(state):
            self.scheduler.tickets.wanted[name_step(state.task)] = None
        elif not state.step.gang and not self._is_blocked_by_spread(state):
            placement_key = _get_placement_key(state)
            estimate_ms = (
                _get_estimate(state) if self.scheduler.reservations.count else 0.0
            )
            self._infeasible.setdefault(placement_key, []).append((size, estimate_ms))


def _exclude_faulty(workers: list[Worker], label: str, now_ms: float) -> list[Worker]:
    """Return the workers for tasks that end, whose failures are limited.

    These are the ones without those that fail other tasks, if any with the label are
    left. If all of several workers are faulty, tasks that fail everywhere are the
    likelier cause. Long-running tasks use a faulty worker whenever no other has room.
    """
    sound = [each for each in workers if not each.is_faulty(now_ms)]
    if any(not label or label in each.report.labels for each in sound):
        return sound
    labelled = sum(not label or label in each.report.labels for each in workers)
    return workers if labelled > 1 else sound


def _measure_free(
    workers: Iterable[Worker], label: str, *, has_evacuated_workers: bool
) -> FreeRoom:
    """Return the free capacity of the workers with a label."""
    labelled = [w for w in workers if not label or label in w.report.labels]
    cpu = [max(0, w.report.capacity.cpu - w.cpu) for w in labelled]
    memory_mb = [max(0, w.report.capacity.memory_mb - w.memory_mb) for w in labelled]
    return FreeRoom(
        workers=len(labelled),
        total_cpu=sum(cpu),
        total_mb=sum(memory_mb),
        most_mb=max(memory_mb, default=0),
        has_evacuated_workers=has_evacuated_workers,
    )


def _requires_advice(state: TaskState) -> bool:
    """Return whether a step may run on certain workers only."""
    return state.job.queue is not None and state.job.queue.advice is not None


def _get_estimate(state: TaskState) -> float:
    """Return the estimated duration of a task, in ms; infinite if it is unknown."""
    step = state.step
    if step.long_running or step.estimate_ms <= 0.0:
        return float("inf")
    return step.estimate_ms


def _get_placement_key(state: TaskState) -> tuple[str, str, str | None, bool]:
    """Return the key of tasks that are eligible for the same workers.

    Their demands may differ.
    """
    step = state.step
    queue = state.job.queue
    service = queue.service if queue is not None else ""
    image = step.image if step.filler else None
    return service, step.required_label, image, step.long_running


def extend_lease(scheduler: Scheduler, worker: Worker, now_ms: float) -> float:
    """Return the new lease deadline for the runs of a worker, and record it."""
    deadline = worker.estimate_clock(now_ms) + scheduler.limits.task_lease_ms
    worker.lease_until_ms = max(worker.lease_until_ms, deadline)
    return deadline


def next_attempt_number(scheduler: Scheduler, state: TaskState) -> int:
    """Return the number of the next attempt of a task."""
    return max(state.last_attempt, scheduler.epoch * ATTEMPTS_PER_EPOCH) + 1


def reserve_capacity(
    assignment_round: AssignmentRound,
    state: TaskState,
    worker: Worker,
    attempt: int,
    *,
    initial_pace: int = FULL_PACE,
) -> Run:
    """Reserve capacity for a task on a worker; its start order becomes due.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round.
    state : TaskState
        Task to start.
    worker : Worker
        Worker that runs it.
    attempt : int
        Number of the attempt.
    initial_pace : int
        Pace in percent that is ordered as soon as the start is confirmed.
    """
    # Computed before the run is added to the worker, which would count it twice.
    colocation = assignment_round.colocations.lookup(worker)
    checkpoint = state.job.find_checkpoint(state)
    run = Run(
        task=state.task,
        attempt=attempt,
        room=state.step.room,
        borrowed_cpu=state.step.borrowed_cpu,
        phase=RunPhase.STARTING,
        started_ms=assignment_round.now_ms,
        checkpoint=checkpoint,
        checkpoint_used=checkpoint if state.step.checkpointing else "",
        progressed_ms=assignment_round.now_ms,
        initial_pace=initial_pace,
        pace=initial_pace,
        throttled_since_ms=assignment_round.now_ms,
        is_retry=state.last_attempt > 0,
        urgent_priority=state.job.priority if is_urgent(state.step) else None,
        deadline_ms=extend_lease(
            assignment_round.scheduler, worker, assignment_round.now_ms
        ),
    )
    worker.hold(run)
    # Fillers of the worker may have to be throttled by this plan.
    worker.has_changed = True
    _record_wait(assignment_round, state, run)
    state.last_attempt = attempt
    state.attempts.append(Attempt(worker=worker, run=run))
    if state.suspicion is not None:
        assignment_round.record_suspected_start(state, worker, run)
    assignment_round.scheduler.waiting.discard(state)
    assignment_round.started.append(state)
    assignment_round.scheduler.copies.watch(state)
    colocation.add_task(
        state.step,
        base=assignment_round.colocations.interference.get_trough(state.step.image),
        pace=initial_pace,
    )
    return run


def _record_wait(assignment_round: AssignmentRound, state: TaskState, run: Run) -> None:
    """Record the duration and reasons of a task's wait in its run, and end the wait."""
    if state.waiting_since_ms is None:
        return
    now_ms = assignment_round.now_ms
    scheduler = assignment_round.scheduler
    step = name_step(state.task)
    run.waited_ms = now_ms - state.waiting_since_ms
    run.wait_reason = scheduler.waits.get_main_reason(step)
    if state.step.long_running:
        run.wait_reasons = scheduler.waits.list_reasons(step)
        run.ample_ms = scheduler.overdue.measure(step, now_ms)
        run.was_overdue = scheduler.overdue.contains(step)
    state.waiting_since_ms = None
