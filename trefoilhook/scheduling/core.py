"""The scheduler of one shard: takes in what happened, tells what to order next.

It does no input or output. Times are handed in, in ms: ``now_ms`` on a steady clock
that goes on while the process is frozen, ``wall_ms`` since the Unix epoch.
"""

import attrs

from trefoilhook.scheduling.book import Attempt, JobState, TaskState
from trefoilhook.scheduling.crowds import learn_crowd
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker, build_worker, read_load
from trefoilhook.scheduling.interference import Interference
from trefoilhook.scheduling.messages import End, EndKind, Look, OrderOutcome, Running
from trefoilhook.scheduling.models import (
    Configuration,
    Demand,
    TaskId,
    WorkerReport,
)
from trefoilhook.scheduling.records import JobPhase, JobRecord, Progress

__all__ = ["JobChange", "Scheduler", "SchedulerLimits"]

ATTEMPTS_PER_EPOCH = 1000
"""Attempts of one task that one owner may make. Starts aren't written down, so a new
owner begins at its epoch times this: above whatever an earlier one has used."""

_FULL_PAGE_OF_ENDS = 500
"""A look lists so many ends at most: then one that is missing may come later."""

_RETRY_PAUSE_MS = 80.0
"""Pause before an order without an answer is sent again; the platform's round trip is
2 ms, and an order may be repeated without harm."""

_UNHEALTHY_PAUSE_MS = 1000.0
"""How long a worker that turned an order away gets no new task."""

_FAULTS_TO_AVOID = 2
"""Jobs of which attempts failed on a worker, with none done between, after which it is
avoided: at 3 % of attempts that fail by themselves, chance does that once in 1,100."""

_FAULT_PAUSE_MS = 3000.0
"""How long a worker that fails what it starts gets no new task; doubles each time."""

_UNSURE_PACE = 99
"""Pace noted of an attempt that an earlier owner started: any but the full one."""

_LONGEST_FAULT_PAUSE_MS = 12_000.0
"""Bound of that doubling: a worker that has been mended is tried again within it."""


@attrs.frozen(kw_only=True)
class SchedulerLimits:
    """Time limits of a shard's scheduler.

    Parameters
    ----------
    task_lease_ms : float
        Lease that each look gives to what runs on a worker, in ms.
    stop_grace_ms : float
        Longest time that a task takes to stop, in ms.
    settled_at_ms : float
        From then on nothing that an earlier owner started can still run unseen, in ms.
    """

    task_lease_ms: float
    stop_grace_ms: float
    settled_at_ms: float


@attrs.frozen(kw_only=True)
class JobChange:
    """What has to be written of a job.

    Parameters
    ----------
    state : JobState
        The job.
    version : int
        Its version that the change stands for.
    is_end : bool
        Whether its record changes, because it ended.
    is_first_start : bool
        Whether its mark among the waiting jobs goes.
    """

    state: JobState
    version: int
    is_end: bool
    is_first_start: bool


class Scheduler:
    """The state of one shard under one owner.

    Parameters
    ----------
    epoch : int
        Number of the ownership; the fencing token of its orders.
    limits : SchedulerLimits
        Time limits.
    configuration : Configuration
        The operator's configuration.

    Attributes
    ----------
    jobs, workers : dict
        By id.
    waiting : set of TaskState
        Tasks of open jobs whose turn has come and that have no attempt.
    deposed : bool
        Whether a worker has seen a later owner.
    interference : Interference
        How much fillers disturb service tasks.
    dirty : set of JobState
        Jobs with something to be written.
    """

    def __init__(
        self, *, epoch: int, limits: SchedulerLimits, configuration: Configuration
    ) -> None:
        self.epoch = epoch
        self.limits = limits
        self.configuration = configuration
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, Worker] = {}
        self.waiting: set[TaskState] = set()
        self.deposed = False
        self.dirty: set[JobState] = set()
        self.interference = Interference()
        self._timed: set[JobState] = set()

    # What clients and operators did.

    def set_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        for state in self.jobs.values():
            self._set_queue(state)

    def add_job(
        self,
        record: JobRecord,
        *,
        revision: int,
        certain: bool,
        wall_ms: float,
        progress: Progress | None = None,
        progress_revision: int = 0,
    ) -> None:
        """Take a job in, as it stands in the store; one already known is left alone."""
        job = record.job
        if job.job_id in self.jobs:
            return
        state = JobState(
            job=job,
            revision=revision,
            phase=record.phase,
            certain=certain,
            progress=progress or Progress(),
            progress_revision=progress_revision,
            started=progress is not None,
            marked=progress is None,
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
        state.due_ms = job.accepted_ms
        if state.queue is not None:
            state.due_ms += state.queue.stretch * job.estimate_chain()
            state.due_ms += state.queue.objective_ms
        if job.repeats:
            self._timed.add(state)
        self._check_end(state)
        self.open_steps(state, wall_ms)

    def cancel_job(self, job_id: str, *, revision: int) -> None:
        """Note that a client cancelled a job; its tasks are stopped."""
        state = self.jobs.get(job_id)
        if state is None or state.phase is JobPhase.CANCELLED:
            return
        state.revision = revision
        # Written once more, so that the record goes with the lease of ended jobs.
        state.phase_saved = False
        self._touch(state)
        self._close(state, JobPhase.CANCELLED)

    def _set_queue(self, state: JobState) -> None:
        queue = self.configuration.find_queue(state.job.queue)
        if queue is not None:
            state.queue = queue

    def _close(self, state: JobState, phase: JobPhase) -> None:
        state.phase = phase
        self._timed.discard(state)
        for task in state.tasks.values():
            self.waiting.discard(task)
            self._stop_attempts(task)

    def open_steps(self, state: JobState, wall_ms: float) -> None:
        """Make the tasks of the steps whose turn has come wait for a worker."""
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
        """Make the occurrences that have come due wait for a worker."""
        for state in list(self._timed):
            self.open_steps(state, wall_ms)

    # What the workers did.

    def update_worker(self, report: WorkerReport) -> None:
        """Take in what a worker says of itself.

        A report at the address of another worker proves nothing about that one: what a
        life that has ended wrote last may reach the store after its successor's first
        report. Which of them is alive tells the answer to a look.
        """
        worker = self.workers.get(report.worker_id)
        if worker is None:
            self.workers[report.worker_id] = build_worker(report)
            return
        worker.report = report
        worker.listed = True

    def unlist_worker(self, worker_id: str) -> None:
        """Note that the store lists a worker no more; it may still run its tasks."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False

    def drop_worker(self, worker_id: str) -> None:
        """Forget a worker that is proved to run nothing; its tasks wait anew."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self._release_all(worker)

    def _release_all(self, worker: Worker) -> None:
        for run in list(worker.runs.values()):
            self._finish_run(worker, run, EndKind.LAPSED, run.checkpoint)

    def release_lapsed(self, now_ms: float) -> list[str]:
        """Free what ran on workers whose leases have all run out; tell which."""
        lapsed: list[str] = []
        for worker in list(self.workers.values()):
            if not (worker.suspect or not worker.listed) or not worker.fenced:
                continue
            if not worker.is_lapsed(now_ms):
                continue
            if worker.runs:
                lapsed.append(worker.report.worker_id)
                self._release_all(worker)
            if not worker.listed:
                del self.workers[worker.report.worker_id]
        return lapsed

    def take_look(
        self, worker_id: str, look: Look, *, sent_ms: float, now_ms: float
    ) -> None:
        """Take in what a worker listed."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.read_clock(look, now_ms)
        worker.fenced = True
        worker.suspect = False
        for end in look.ends:
            self._take_end(worker, end, now_ms)
        for running in look.running:
            self._take_running(worker, running, now_ms)
        learn_crowd(worker, self.jobs, self.interference)
        if len(look.ends) >= _FULL_PAGE_OF_ENDS:
            return
        listed = {(running.task, running.attempt) for running in look.running}
        for key, run in list(worker.runs.items()):
            # The worker answered for this run before it was asked for this look: if
            # it neither runs nor has ended there, it never will run there.
            if key not in listed and run.confirmed_ms < sent_ms:
                self._finish_run(worker, run, EndKind.LAPSED, run.checkpoint)

    def _take_end(self, worker: Worker, end: End, now_ms: float) -> None:
        if end.number <= worker.last_end:
            return
        worker.last_end = end.number
        state = self.jobs.get(end.task.job_id)
        run = worker.runs.get((end.task, end.attempt))
        if run is not None:
            self._finish_run(worker, run, end.kind, end.checkpoint)
        elif state is not None:
            # An attempt of an earlier owner, or one that was given up as lapsed.
            task = state.find_task(end.task)
            if task is not None:
                task.last_attempt = max(task.last_attempt, end.attempt)
                self._take_effect(task, end.attempt, end.kind, end.checkpoint)
        self._judge(worker, end, now_ms)
        version = state.version if state is not None else 0

        def is_saved() -> bool:
            return state is None or (
                state.saved_version >= version and state.phase_saved
            )

        worker.unacknowledged.append((end.number, is_saved))

    def _judge(self, worker: Worker, end: End, now_ms: float) -> None:
        if end.kind is EndKind.DONE:
            worker.faulty_jobs.clear()
        elif end.kind is EndKind.FAILED:
            # Jobs and not attempts: a job that can't be done fails wherever it is.
            worker.faulty_jobs.add(end.task.job_id)
            faults = len(worker.faulty_jobs)
            if faults >= _FAULTS_TO_AVOID:
                pause = _FAULT_PAUSE_MS * 2 ** (faults - _FAULTS_TO_AVOID)
                pause = min(pause, _LONGEST_FAULT_PAUSE_MS)
                worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + pause)

    def _take_running(self, worker: Worker, running: Running, now_ms: float) -> None:
        run = worker.runs.get((running.task, running.attempt))
        if run is None:
            run = self._adopt(worker, running, now_ms)
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.confirmed_ms = now_ms
        if not run.seen or running.percent != run.percent:
            run.progressed_ms = now_ms
        run.seen = True
        run.percent = running.percent
        read_load(run, running.load, now_ms)
        run.checkpoint = running.checkpoint or run.checkpoint

    def _adopt(self, worker: Worker, running: Running, now_ms: float) -> Run:
        """Take in an attempt that an earlier owner started."""
        state = self.jobs.get(running.task.job_id)
        task = state.find_task(running.task) if state is not None else None
        run = Run(
            task=running.task,
            attempt=running.attempt,
            room=task.step.room if task is not None else Demand(),
            phase=RunPhase.RUNNING,
            started_ms=now_ms,
            confirmed_ms=now_ms,
            # The earlier owner may have slowed it; this has its pace ordered anew.
            pace=_UNSURE_PACE,
        )
        worker.hold(run)
        if state is None or task is None:
            run.phase = RunPhase.STOPPING
            return run
        state.started = True
        task.last_attempt = max(task.last_attempt, running.attempt)
        task.attempts.append(Attempt(worker=worker, run=run))
        self.waiting.discard(task)
        if not state.is_open or task.done or len(task.attempts) > 1:
            self._stop_attempts(task, keep=1 if state.is_open else 0)
        return run

    def _finish_run(
        self, worker: Worker, run: Run, kind: EndKind, checkpoint: str
    ) -> None:
        """Let go of an attempt that is over, and take in what follows from it."""
        worker.release(run)
        state = self.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        if task is None:
            return
        task.detach(run)
        if kind is EndKind.FAILED:
            task.failed_on.add(worker.report.worker_id)
        self._take_effect(task, run.attempt, kind, checkpoint)

    def _take_effect(
        self, task: TaskState, attempt: int, kind: EndKind, checkpoint: str
    ) -> None:
        state = task.job
        if not state.is_open or task.done:
            return
        progress = state.progress
        if kind is EndKind.DONE and not task.step.long_running:
            self._mark_done(task)
            return
        if kind is EndKind.FAILED and not task.step.long_running:
            progress.failed.setdefault(task.key, set()).add(attempt)
            self._touch(state)
            if state.queue is not None and (
                state.count_failures(task.task) >= state.queue.max_attempts
            ):
                state.phase_saved = False
                self._close(state, JobPhase.FAILED)
                return
        if checkpoint:
            progress.checkpoints[task.key] = checkpoint
        if not task.attempts:
            self.waiting.add(task)

    def _mark_done(self, task: TaskState) -> None:
        state = task.job
        place = (task.task.occurrence, task.task.step)
        state.progress.done.setdefault(place, set()).add(task.task.index)
        state.progress.failed.pop(task.key, None)
        state.progress.checkpoints.pop(task.key, None)
        self._touch(state)
        members = [task]
        if task.step.gang:
            members = [
                t for i, t in state.tasks.items() if (i.occurrence, i.step) == place
            ]
        for member in members:
            member.done = True
            self.waiting.discard(member)
            self._stop_attempts(member)
        if not state.is_step_done(*place):
            return
        state.steps_left -= 1
        self._check_end(state)
        # Whatever comes after this step was due before, or becomes so now.
        self.open_steps(
            state, state.job.first_due_ms + place[0] * state.job.interval_ms
        )

    def _check_end(self, state: JobState) -> None:
        if state.steps_left <= 0 and state.is_open:
            state.phase_saved = False
            self._touch(state)
            self._close(state, JobPhase.COMPLETED)

    def mark_started(self, state: JobState) -> None:
        """Note that the first task of a job is started."""
        self._touch(state)

    def _touch(self, state: JobState) -> None:
        state.version += 1
        self.dirty.add(state)

    def _stop_attempts(self, task: TaskState, *, keep: int = 0) -> None:
        """Have a task's attempts stopped, but for the ``keep`` latest."""
        attempts = sorted(task.attempts, key=lambda a: a.run.attempt, reverse=True)
        for attempt in attempts[keep:]:
            self.request_stop(attempt.run)

    def request_stop(self, run: Run) -> None:
        """Have an attempt stopped; it holds its room until it is proved over."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.confirmed_ms = float("inf")
            run.order_due_ms = 0.0

    # What became of the orders.

    def take_start_outcome(
        self,
        worker_id: str,
        task: TaskId,
        attempt: int,
        outcome: OrderOutcome,
        now_ms: float,
    ) -> None:
        """Take in what became of an order to start."""
        found = self._settle_order(worker_id, task, attempt, outcome, now_ms)
        if found is None:
            return
        worker, run = found
        if outcome is OrderOutcome.DONE:
            run.confirmed_ms = (
                now_ms if run.phase is not RunPhase.STOPPING else run.confirmed_ms
            )
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
                run.progressed_ms = now_ms
            return
        if outcome is OrderOutcome.NO_ANSWER:
            run.ambiguous = True
            return
        if outcome is OrderOutcome.SUPERSEDED:
            run.confirmed_ms = now_ms
            return
        if outcome is not OrderOutcome.TOO_LATE:
            pause = (
                _UNHEALTHY_PAUSE_MS
                if outcome is OrderOutcome.UNHEALTHY
                else _RETRY_PAUSE_MS
            )
            worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + pause)
        if run.ambiguous:
            # A copy that went without an answer may still be carried out: only a stop
            # that the worker has answered rules that out.
            self.request_stop(run)
            return
        self._finish_run(worker, run, EndKind.LAPSED, "")

    def take_stop_outcome(
        self,
        worker_id: str,
        task: TaskId,
        attempt: int,
        outcome: OrderOutcome,
        now_ms: float,
    ) -> None:
        """Take in what became of an order to stop."""
        found = self._settle_order(worker_id, task, attempt, outcome, now_ms)
        if found is None:
            return
        _, run = found
        if outcome in (
            OrderOutcome.NO_ANSWER,
            OrderOutcome.NOT_SENT,
            OrderOutcome.UNHEALTHY,
        ):
            return
        run.confirmed_ms = now_ms
        run.order_due_ms = now_ms + self.limits.stop_grace_ms + _RETRY_PAUSE_MS

    def _settle_order(
        self,
        worker_id: str,
        task: TaskId,
        attempt: int,
        outcome: OrderOutcome,
        now_ms: float,
    ) -> tuple[Worker, Run] | None:
        if outcome is OrderOutcome.FENCED:
            self.deposed = True
            return None
        if outcome is OrderOutcome.OTHER_LIFE:
            self.drop_worker(worker_id)
            return None
        worker = self.workers.get(worker_id)
        run = worker.runs.get((task, attempt)) if worker is not None else None
        if worker is None or run is None:
            return None
        run.in_flight = False
        run.order_due_ms = now_ms + _RETRY_PAUSE_MS
        if outcome in (OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT):
            worker.suspect = True
        return worker, run

    def shares_with_services(self, worker: Worker) -> bool:
        """Tell whether fillers run beside tasks with a latency limit on a worker."""
        fillers = serving = False
        for run in worker.runs.values():
            state = self.jobs.get(run.task.job_id)
            if state is not None:
                step = state.job.steps[run.task.step]
                fillers = fillers or step.filler
                serving = serving or bool(step.latency_limit_ms)
        return fillers and serving

    # What must last.

    def collect_changes(self) -> list[JobChange]:
        """List what has to be written, the ends of jobs first."""
        changes = [
            JobChange(
                state=state,
                version=state.version,
                is_end=not state.phase_saved,
                is_first_start=state.marked and (state.started or not state.is_open),
            )
            for state in self.dirty
        ]
        changes.sort(key=lambda change: not change.is_end)
        return changes

    def confirm_change(self, change: JobChange, *, revision: int) -> None:
        """Note that a change is in the store."""
        state = change.state
        state.saved_version = max(state.saved_version, change.version)
        if change.is_first_start:
            state.marked = False
        if change.is_end:
            state.phase_saved = True
            state.revision = revision
            state.progress_revision = 0
        else:
            state.progress_revision = revision
        if state.saved_version >= state.version and state.phase_saved:
            self.dirty.discard(state)

    def acknowledge(self, worker: Worker) -> int:
        """Return up to which number the worker may forget its ends."""
        while worker.unacknowledged and worker.unacknowledged[0][1]():
            worker.acknowledged = worker.unacknowledged.popleft()[0]
        return worker.acknowledged
