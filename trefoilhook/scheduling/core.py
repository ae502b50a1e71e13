"""Scheduler of one shard: records events and determines the orders that follow.

It performs no input or output. Times are arguments, in ms: ``now_ms`` on a monotonic
clock that also advances while the process is suspended, ``wall_ms`` since the Unix
epoch.
"""

import random
from collections.abc import Callable

import attrs

from trefoilhook.scheduling.copy_tracker import CopyTracker, is_copyable
from trefoilhook.scheduling.durations import Durations
from trefoilhook.scheduling.entry_freshness import EntryFreshness
from trefoilhook.scheduling.evacuations import Evacuations
from trefoilhook.scheduling.failures import FailureTracker
from trefoilhook.scheduling.features import Features
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker, get_worker_id
from trefoilhook.scheduling.freshness import Freshness
from trefoilhook.scheduling.guarantees import Guarantees
from trefoilhook.scheduling.holds import TakeoverHolds
from trefoilhook.scheduling.interference import Interference
from trefoilhook.scheduling.job_activity import IdleTimes, find_last_sign
from trefoilhook.scheduling.job_state import JobState, TaskState
from trefoilhook.scheduling.job_times import TimeTracker
from trefoilhook.scheduling.messages import EndKind, StopReason
from trefoilhook.scheduling.models import Configuration, TaskId, WorkerReport
from trefoilhook.scheduling.ordered_set import OrderedSet
from trefoilhook.scheduling.overtaking import OvertakingTracker
from trefoilhook.scheduling.postponed import PostponedSteps
from trefoilhook.scheduling.queues import KnownQueues
from trefoilhook.scheduling.records import JobPhase, JobRecord, Progress
from trefoilhook.scheduling.reservations import Reservations
from trefoilhook.scheduling.service_holds import OverdueSteps, ServiceHolds
from trefoilhook.scheduling.suspects import SuspectTracker
from trefoilhook.scheduling.tickets import TicketCache
from trefoilhook.scheduling.urgent_demand import UrgentDemands
from trefoilhook.scheduling.waits import WaitTracker
from trefoilhook.takeover import PlaceLedger, Predecessors, WorkerGroups

__all__ = ["ATTEMPTS_PER_EPOCH", "Scheduler", "SchedulerLimits"]

ATTEMPTS_PER_EPOCH = 1_000_000
"""Number of attempts of one task reserved for each owner. Starts are not persisted, so
a new owner numbers attempts from its epoch times this value, above all numbers used by
previous owners. At one failure per second a task would need eleven days to use them up.
"""


@attrs.frozen(kw_only=True)
class SchedulerLimits:
    """Time limits of a shard's scheduler.

    Parameters
    ----------
    task_lease_ms : float
        Duration of the lease that each poll renews for the runs of a worker, in ms.
    longest_stop_ms : float
        Maximum time that a task takes to stop, in ms.
    max_task_lease_ms : float
        Maximum lease that a worker grants, in ms.
    settled_at_ms : float
        Time from which no unknown run of a previous owner can still exist, in ms.
    overload_ms : float
        Maximum time for which a service task may exceed its latency limit, in ms.
    drain_notice_ms : float
        Minimum time between a worker's announcement of a drain in the store and its
        exit, in ms.
    entry_life_ms : float
        Time for which the entry of a dead worker remains in the store, in ms.
    """

    task_lease_ms: float
    longest_stop_ms: float
    settled_at_ms: float
    overload_ms: float = 4000.0
    drain_notice_ms: float = 2000.0
    entry_life_ms: float = 4500.0
    max_task_lease_ms: float = 10_000.0


class Scheduler:
    """State of one shard under one owner.

    Parameters
    ----------
    epoch : int
        Number of the ownership, used as the fencing token of its orders.
    limits : SchedulerLimits
        Time limits.
    configuration : Configuration
        The operator's configuration.
    configuration_freshness, job_freshness : Freshness, optional
        How current the configuration and the jobs are; updated by the caller.
    evacuations : Evacuations, optional
        Failure domains evacuated by the operator; updated by the caller.
    features : Features, optional
        Optional decisions in force; all by default.

    Attributes
    ----------
    jobs, workers : dict
        By id.
    waiting : OrderedSet of TaskState
        Tasks of open jobs whose step is due and that have no attempt.
    is_superseded : bool
        Whether a worker has answered a later owner.
    interference : Interference
        Learned interference between fillers and service tasks.
    durations : Durations
        Learned durations of tasks.
    queues : KnownQueues
        Queues of the configuration, and earlier ones of open jobs.
    services : set of str
        Services of the queues of the jobs seen so far.
    failures : FailureTracker
        Errors in planning, and the jobs that are set aside because of them.
    roster_size : float
        Number of workers on which previous owners may have started tasks; infinite if
        it is unknown.
    copies : CopyTracker
        Copies of speculative tasks.
    tickets : TicketCache
        Workers that may run the steps of queues with advice.
    fillers_due_ms : float
        Time of the next round that places fillers, in ms.
    postponed : PostponedSteps
        Waiting fillers that the rounds do not reach by rank.
    idle_times : IdleTimes
        Since when nothing of batch jobs has run.
    unreadable_jobs : set of str
        Jobs with unreadable records: none of their tasks is started, stopped or
        acknowledged.
    dirty : OrderedSet of JobState
        Jobs with unsaved changes.
    waits : WaitTracker
        Reasons and durations of the waits of steps, and of jobs without runs.
    guarantees : Guarantees
        Selects the jobs that are served before others of their queue.
    overtaking : OvertakingTracker
        Waits of jobs, and later jobs that were served before them.
    times : TimeTracker
        Where the time of jobs goes, by stage.
    holds : TakeoverHolds
        Tasks held until the tasks started by previous owners are known.
    reservations : Reservations
        Workers reserved for waiting tasks.
    urgent_demands : UrgentDemands
        Recent use of workers by urgent tasks.
    service_holds : ServiceHolds
        Service steps that are held for the capacity that urgent tasks need.
    overdue : OverdueSteps
        Service steps that have waited too long while capacity was available.
    entries : EntryFreshness
        Freshness of the worker entries read from the store.
    suspects : SuspectTracker
        Tasks suspected of crashing their workers.
    random : Random
        Random number generator for samples of a large fleet.
    predecessors : Predecessors
        What previous owners may have started. By default this is unknown, and all tasks
        of earlier jobs are held until the shard is settled.
    find_lease_expiry : callable
        Returns the time by which all leases of previous owners on an incarnation have
        expired, in ms.
    lease_limits : dict of str to float
        By incarnation, time by which all leases of previous owners have expired, as the
        last of them recorded it, in ms.
    places : PlaceLedger or None
        Places of starts that the next owner must know; None if no starts are recorded.
    groups : WorkerGroups or None
        Groups in the store, inside which tasks are started while no places can be
        recorded; None while they are not known to be in the store.
    has_group_starts : bool
        Whether a start without a place relies on the groups, which then keep their
        number.
    group_starts : dict of Run to str
        Runs that were started without a place and still have none, each with the
        incarnation on which it was started.
    group_ends : list of callable
        For each of them that ended before it had one, whether its end is saved.
    ended_incarnations : set of str
        Incarnations that were proved over during this ownership.
    last_change : int
        Number of the last change to any job.
    unreleased : dict of str to int
        Incarnations that the next owner must still know although they are accounted
        for, each with the number up to which all changes must be saved first.
    end_changes : dict of str to int
        By id of a worker that reported an end, number up to which all changes must be
        saved before its incarnations are released.
    """

    def __init__(
        self,
        *,
        epoch: int,
        limits: SchedulerLimits,
        configuration: Configuration,
        configuration_freshness: Freshness | None = None,
        job_freshness: Freshness | None = None,
        evacuations: Evacuations | None = None,
        features: Features | None = None,
    ) -> None:
        self.epoch = epoch
        self.limits = limits
        self.configuration = configuration
        self.configuration_freshness = configuration_freshness or Freshness()
        self.job_freshness = job_freshness or Freshness()
        self.evacuations = evacuations or Evacuations()
        self.features = features or Features()
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, Worker] = {}
        self.waiting: OrderedSet[TaskState] = OrderedSet()
        self.is_superseded = False
        self.unreadable_jobs: set[str] = set()
        self.dirty: OrderedSet[JobState] = OrderedSet()
        self.interference = Interference()
        self.durations = Durations()
        self.queues = KnownQueues()
        self.queues.update(configuration.queues, used=())
        self.services: set[str] = set()
        self.failures = FailureTracker()
        self.roster_size = 0.0
        self.copies = CopyTracker()
        self.tickets = TicketCache()
        self.fillers_due_ms = 0.0
        self.postponed = PostponedSteps()
        self.idle_times = IdleTimes()
        self.waits = WaitTracker()
        self.guarantees = Guarantees()
        self.overtaking = OvertakingTracker()
        self.times = TimeTracker()
        self.holds = TakeoverHolds()
        self.reservations = Reservations()
        self.urgent_demands = UrgentDemands()
        self.service_holds = ServiceHolds()
        self.overdue = OverdueSteps()
        self.entries = EntryFreshness()
        self.suspects = SuspectTracker(
            mark_dirty=self._mark_dirty, find_job=self.jobs.get
        )
        self.random = random.Random(epoch)
        self.predecessors = Predecessors(
            unrecorded_epoch=epoch - 1, unrecorded_workers=("",)
        )
        self.find_lease_expiry: Callable[[str], float] = lambda name: (
            limits.settled_at_ms
        )
        self.lease_limits: dict[str, float] = {}
        self.places: PlaceLedger | None = None
        self.groups: WorkerGroups | None = None
        self.has_group_starts = False
        self.group_starts: dict[Run, str] = {}
        self.group_ends: list[Callable[[], bool]] = []
        self.ended_incarnations: set[str] = set()
        self.last_change = 0
        self.unreleased: dict[str, int] = {}
        self.end_changes: dict[str, int] = {}
        self._timed: OrderedSet[JobState] = OrderedSet()

    # Events from clients and operators.

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        used = {state.job.queue for state in self.jobs.values() if state.is_open}
        self.queues.update(configuration.queues, used=used)
        for state in self.jobs.values():
            self._set_queue(state)

    def add_job(
        self,
        record: JobRecord,
        *,
        revision: int,
        is_new: bool,
        wall_ms: float,
        progress: Progress | None = None,
        progress_revision: int = 0,
    ) -> None:
        """Add a job as it is stored; a known job is left unchanged."""
        job = record.job
        if job.job_id in self.jobs:
            return
        state = JobState(
            job=job,
            revision=revision,
            phase=record.phase,
            accepted_queue=record.queue,
            is_new=is_new,
            progress=progress or Progress(),
            progress_revision=progress_revision,
            started=progress is not None,
            is_listed_waiting=progress is None,
        )
        self.jobs[job.job_id] = state
        self._set_queue(state)
        if not state.is_open:
            return
        steps = range(len(job.steps))
        state.steps_left = sum(
            not state.is_step_done(occurrence, step)
            for occurrence in range(job.occurrences)
            for step in steps
        )
        state.work = job.estimate_work()
        state.is_guaranteed = self.guarantees.admit(job.queue, state.work)
        if job.repeats:
            self._timed.add(state)
        self.suspects.load_suspicions(state)
        self._check_end(state)
        self.open_steps(state, wall_ms)

    def discard_job(self, job_id: str) -> None:
        """Remove a job that could not be added completely; it has no attempts yet."""
        state = self.jobs.pop(job_id, None)
        if state is None:
            return
        self._timed.discard(state)
        self.suspects.jobs.discard(state)
        self.times.forget(job_id)
        self.dirty.discard(state)
        for task in state.tasks.values():
            self.waiting.discard(task)

    def cancel_job(self, job_id: str, *, revision: int) -> None:
        """Cancel a job at a client's request; its tasks are stopped."""
        state = self.jobs.get(job_id)
        if state is None or state.phase is JobPhase.CANCELLED:
            return
        state.revision = revision
        # Saved again so that the record is attached to the lease of ended jobs.
        state.phase_saved = False
        self._mark_dirty(state)
        self._close(state, JobPhase.CANCELLED)

    def _set_queue(self, state: JobState) -> None:
        queue = self.queues.by_name.get(state.job.queue) or state.accepted_queue
        if queue is None:
            return
        if state.queue is None:
            # The queue may be configured after the job was added. The objective is that
            # of the acceptance, so that it does not change with the owner.
            basis = state.accepted_queue or queue
            chain_ms = state.job.estimate_chain()
            state.due_ms = (
                state.job.accepted_ms + basis.stretch * chain_ms + basis.objective_ms
            )
        state.queue = queue
        if state.is_open:
            self.services.add(queue.service)

    def remove_ended_jobs(self) -> None:
        """Remove the jobs that had already ended at the previous call.

        Only jobs with no unsaved change and no attempt left are removed. Jobs are kept
        for one more call because workers may report an end late. Reports on an unknown
        job are acknowledged and its tasks are stopped, but a late end should still be
        applied to its job.
        """
        for job_id, state in list(self.jobs.items()):
            is_idle = not state.is_open and state.is_saved
            if not is_idle or any(task.attempts for task in state.tasks.values()):
                continue
            if state.is_stale:
                del self.jobs[job_id]
                self.overtaking.remove(job_id)
                self.times.forget(job_id)
            state.is_stale = True

    def _close(self, state: JobState, phase: JobPhase) -> None:
        state.phase = phase
        self._timed.discard(state)
        self.suspects.jobs.discard(state)
        self.tickets.forget(state.job.job_id)
        for task in state.tasks.values():
            self.waiting.discard(task)
            self.stop_attempts(task)

    def open_steps(self, state: JobState, wall_ms: float) -> None:
        """Add the tasks of all due steps of a job to the waiting tasks."""
        if not state.is_open:
            return
        job = state.job
        for occurrence in range(job.occurrences):
            if (
                job.repeats
                and job.first_due_ms + occurrence * job.interval_ms > wall_ms
            ):
                break
            for number in range(len(job.steps)):
                if (occurrence, number) in state.opened:
                    continue
                if state.is_step_due(occurrence, number):
                    self._open_step(state, occurrence, number)

    def _open_step(self, state: JobState, occurrence: int, number: int) -> None:
        state.opened.add((occurrence, number))
        for index in range(state.job.steps[number].count):
            task = state.find_task(TaskId(state.job.job_id, occurrence, number, index))
            if task is not None and not task.done and not task.attempts:
                self.waiting.add(task)

    def open_due_steps(self, wall_ms: float) -> None:
        """Add the tasks of occurrences that have become due to the waiting tasks."""
        for state in list(self._timed):
            self.open_steps(state, wall_ms)

    # Events from workers.

    def update_worker(self, report: WorkerReport) -> None:
        """Apply an entry that a worker wrote to the store.

        An entry with the address of another worker does not prove that the other worker
        has ended: the last entry of an ended incarnation may reach the store after the
        first one of its successor. The answer to a poll shows which of them is alive.
        """
        worker = self.workers.get(report.worker_id)
        if worker is None:
            self.workers[report.worker_id] = Worker(report=report)
            return
        worker.report = report
        if worker.born_ms is None:
            worker.born_ms = report.born_ms
        worker.usable = True
        worker.listed = True
        worker.has_changed = True

    def exclude_worker(self, worker_id: str) -> None:
        """Exclude a worker whose entry is unusable from new tasks.

        The entry proves nothing about the runs there. They keep their capacity, and the
        worker is polled, until they are proved to be over.
        """
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.usable = False

    def mark_unlisted(self, worker_id: str) -> None:
        """Record that a worker left the store; it may still run its tasks."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False

    def find_incarnation(self, name: str) -> Worker | None:
        """Return the worker with a named incarnation, or None if it is not current.

        A name without the start time of the process matches any incarnation.
        """
        worker = self.workers.get(get_worker_id(name))
        if worker is None or name not in (worker.incarnation, worker.report.worker_id):
            return None
        return worker

    def note_departure(self, name: str) -> None:
        """Record that an incarnation of previous owners has left as planned.

        Everything on it has ended. A later process under its id may still execute late
        starts of previous owners, and is awaited instead.
        """
        if get_worker_id(name) not in self.workers:
            self.ended_incarnations.add(name)

    def drop_worker(self, worker_id: str, *, has_restarted: bool = False) -> None:
        """Remove a worker that is proved to run nothing; its tasks wait again.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        has_restarted : bool, optional
            Whether its next incarnation has the same id, and may execute late starts
            of previous owners until it has answered this one.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        if worker.report.draining and self.suspects.recorded:
            self.suspects.drained.add(worker.incarnation)
        self._release_all(worker)
        if not has_restarted:
            self.ended_incarnations.add(worker.incarnation)
        if worker.is_in_roster:
            self.unreleased[worker.incarnation] = self.last_change

    def extend_release(self, worker: Worker) -> None:
        """Delay the release of a worker until the ends that it reported are saved."""
        if self.unreleased:
            self.end_changes[worker.report.worker_id] = self.last_change

    def find_last_saved_change(self) -> int:
        """Return the number up to which all changes are saved."""
        unsaved = (state.min_unsaved_version for state in self.dirty)
        return min(unsaved, default=self.last_change + 1) - 1

    def _release_all(self, worker: Worker) -> None:
        for run in list(worker.runs.values()):
            self.finish_run(worker, run, EndKind.LEASE_EXPIRED, run.checkpoint)

    def finish_run(
        self, worker: Worker, run: Run, kind: EndKind, checkpoint: str
    ) -> None:
        """Release an attempt that is over and apply the consequences."""
        worker.release(run)
        state = self.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        if task is None:
            self._retire_place(run)
            return
        task.detach(run)
        if run.may_have_run:
            self.record_start(task)
        self.idle_times.record_end(run.task.job_id, find_last_sign(worker, run))
        task.record_end(worker, kind)
        self.copies.record_end(task, run, kind)
        self.suspects.record_run_end(task, run, kind)
        self.apply_end(task, run.attempt, kind, checkpoint)
        self._retire_place(run)
        self.extend_release(worker)

    def _retire_place(self, run: Run) -> None:
        if self.places is not None:
            is_saved = self.track_save(run.task.job_id)
            self.places.retire(str(run.task), run.attempt, is_saved)
            if self.group_starts.pop(run, None) is not None:
                self.group_ends.append(is_saved)

    def track_save(self, job_id: str) -> Callable[[], bool]:
        """Return a function that tells whether the present state of a job is saved.

        Nothing is known to be saved of a job with an unreadable record.
        """
        state = self.jobs.get(job_id)
        if state is not None:
            return state.track_save()
        return lambda: job_id not in self.unreadable_jobs

    def apply_end(
        self, task: TaskState, attempt: int, kind: EndKind, checkpoint: str
    ) -> None:
        """Apply the end of an attempt to its task and its job."""
        state = task.job
        if not state.is_open or task.done:
            return
        progress = state.progress
        if kind is EndKind.DONE and not task.step.long_running:
            self._mark_done(task)
            return
        if kind is EndKind.FAILED and not task.step.long_running:
            progress.failed.setdefault(task.key, set()).add(attempt)
            self._mark_dirty(state)
            if state.queue is not None and (
                state.count_failures(task.task) >= state.queue.max_attempts
            ):
                self.fail_job(state)
                return
        if checkpoint:
            state.record_checkpoint(task, checkpoint)
        if not task.attempts:
            self.waiting.add(task)

    def _mark_done(self, task: TaskState) -> None:
        state = task.job
        step_key = (task.task.occurrence, task.task.step)
        state.progress.done.setdefault(step_key, set()).add(task.task.index)
        state.forget_failures(task)
        state.remove_checkpoint(task)
        self._mark_dirty(state)
        self.suspects.forget(task)
        members = [task]
        if task.step.gang:
            members = [
                t for i, t in state.tasks.items() if (i.occurrence, i.step) == step_key
            ]
        for member in members:
            member.done = True
            self.waiting.discard(member)
            self.stop_attempts(member)
        if not state.is_step_done(*step_key):
            return
        state.steps_left -= 1
        self._check_end(state)
        # All steps that depend on this one are due now, if not before.
        self.open_steps(
            state, state.job.first_due_ms + step_key[0] * state.job.interval_ms
        )

    def _check_end(self, state: JobState) -> None:
        if state.steps_left <= 0 and state.is_open:
            state.phase_saved = False
            self._mark_dirty(state)
            self._close(state, JobPhase.COMPLETED)

    def fail_job(self, state: JobState) -> None:
        """End a job as failed because one of its tasks cannot be completed."""
        state.phase_saved = False
        self._mark_dirty(state)
        self._close(state, JobPhase.FAILED)

    def mark_started(self, state: JobState) -> None:
        """Record that the first task of a job is started."""
        state.started = True
        self._mark_dirty(state)

    def record_start(self, task: TaskState) -> None:
        """Record what the next owner has to know of a task that may have been started.

        Not called for reserved capacity, which may be released before an order is sent.
        """
        state = task.job
        if not state.is_open:
            return
        if task.step.long_running:
            step = (task.task.occurrence, task.task.step)
            placed = state.progress.placed.setdefault(step, set())
            if task.task.index not in placed:
                placed.add(task.task.index)
                self._mark_dirty(state)
        if not state.started:
            self.mark_started(state)

    def _mark_dirty(self, state: JobState) -> None:
        self.last_change += 1
        state.version = self.last_change
        if state not in self.dirty:
            state.min_unsaved_version = self.last_change
            self.dirty.add(state)

    def stop_attempts(self, task: TaskState, *, keep: int = 0) -> None:
        """Stop the attempts of a task except for the ``keep`` latest."""
        is_superseded = task.done and is_copyable(task.step)
        reason = StopReason.COPY_NOT_NEEDED if is_superseded else StopReason.NOT_NEEDED
        attempts = sorted(task.attempts, key=lambda a: a.run.attempt, reverse=True)
        for attempt in attempts[keep:]:
            self.request_stop(attempt.worker, attempt.run, reason)

    def request_stop(self, worker: Worker, run: Run, reason: StopReason) -> None:
        """Mark an attempt to be stopped; it holds capacity until proved over."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            worker.pending_runs[run] = None
            run.stop_reason = reason
            run.confirmed_ms = float("inf")
            run.order_due_ms = 0.0
