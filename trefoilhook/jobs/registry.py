"""In-memory state of the jobs of one worker shard.

Performs no I/O: inputs are operator requests, worker updates and journal records;
outputs are orders to workers and records for the journal, which the caller fetches.
Accessed only by the task that runs the shard.
"""

from collections import deque
from collections.abc import Iterable

import attrs

from trefoilhook.jobs.core import Attempt, Job, JobSpec, JobState
from trefoilhook.jobs.messages import (
    Commit,
    JobRecord,
    Order,
    OrderKind,
    RecordKind,
    TaskRef,
    TaskStatus,
    TaskUpdate,
    WorkerAddress,
)
from trefoilhook.jobs.outbox import Outbox
from trefoilhook.jobs.replay import replay_record
from trefoilhook.placement import ShardState, StopOutcome
from trefoilhook.results import ResultCode

__all__ = ["JobRegistry"]

_FAILED_DETAIL = "the attempt failed"


@attrs.define(kw_only=True)
class JobRegistry:
    """Jobs and attempts of a shard, with pending orders and journal records.

    Parameters
    ----------
    epoch : int
        Epoch of the shard's claim, used as the epoch of new attempts.
    placement : ShardState
        Workers and their reservations.
    jobs : dict of str to Job
        Jobs by id, including the most recent ended ones.
    workers : dict of str to WorkerAddress
        Workers that may run tasks of the shard, according to the journal.
    kept_ended : int
        Maximum number of ended jobs kept in memory.
    starts, evictions : int
        Number of starts and evictions ordered since the claim.
    """

    epoch: int
    placement: ShardState = attrs.field(factory=ShardState)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: dict[str, WorkerAddress] = attrs.field(factory=dict)
    kept_ended: int = 10_000
    starts: int = 0
    evictions: int = 0
    _sequence: int = 0
    _outbox: Outbox = attrs.field(factory=Outbox)
    _ended: deque[str] = attrs.field(factory=deque)
    # Index of jobs by the worker of their active attempt. After a takeover the jobs of
    # every worker are looked up; scanning all jobs each time would be quadratic.
    _active_by_worker: dict[str, dict[str, None]] = attrs.field(factory=dict)

    def restore(self, records: Iterable[JobRecord]) -> None:
        """Restore the state from the records of the journal.

        Jobs that have not ended are held, because a previous owner may have started
        them and the workers have not been queried yet.
        """
        for record in records:
            replay_record(record, jobs=self.jobs, workers=self.workers)
        self._ended.extend(
            job_id for job_id, job in self.jobs.items() if job.state is JobState.ENDED
        )

    def accept(self, spec: JobSpec) -> None:
        """Queue a job whose acceptance record has been committed."""
        self.jobs.setdefault(spec.job_id, Job(spec=spec, state=JobState.QUEUED))

    def cancel(self, job_id: str, now_ms: float, wall_ms: float) -> None:
        """Cancel a job: stop its active attempt, or end it if it is queued."""
        job = self.jobs.get(job_id)
        if job is None or job.state is JobState.ENDED or job.is_cancelled:
            return
        job.is_cancelled = True
        if job.state is JobState.QUEUED:
            self._end_cancelled(job, wall_ms)
        elif job.is_active:
            self._outbox.record(JobRecord(kind=RecordKind.CANCELLED, job_id=job_id))
            self._stop(job, now_ms)
        else:
            self._outbox.record(JobRecord(kind=RecordKind.CANCELLED, job_id=job_id))

    def number_attempt(self, job: Job, worker_id: str) -> TaskRef:
        """Create a new attempt of a job on a worker."""
        self._sequence += 1
        job.attempt = Attempt(epoch=self.epoch, sequence=self._sequence)
        self._assign_worker(job, worker_id)
        job.state = JobState.STARTING
        return TaskRef(worker_id=worker_id, job_id=job.spec.job_id, attempt=job.attempt)

    def start(self, job: Job, worker_id: str, wall_ms: float) -> None:
        """Order the next attempt of a job, whose resources are already reserved.

        An idempotent job is started immediately: if the owner fails, its successor
        finds the attempt on the worker or waits until the worker's lease has expired.
        Any other job is started only after its start record is committed; otherwise a
        later owner could not tell a job that was never started from one whose worker
        was lost.
        """
        ref = self.number_attempt(job, worker_id)
        self.starts += 1
        order = Order(
            kind=OrderKind.START, ref=ref, spec=job.spec, checkpoint=job.checkpoint
        )
        if job.spec.is_idempotent:
            self._outbox.send(order)
            return
        job.is_start_recorded = True
        record = JobRecord(
            kind=RecordKind.STARTING,
            job_id=ref.job_id,
            attempt=ref.attempt,
            worker_id=worker_id,
            at_ms=wall_ms,
        )
        self._outbox.record(record, order)

    def order_eviction(self, job: Job) -> None:
        """Order a running attempt to write a checkpoint and stop."""
        if job.attempt is None:
            return
        job.state = JobState.STOPPING
        self.evictions += 1
        self._outbox.order(OrderKind.EVICT, self._build_ref(job))

    def order_throttle(self, job: Job, speed: float) -> None:
        """Order a running attempt to run at a fraction of its full speed."""
        ref = self._build_ref(job)
        order = Order(kind=OrderKind.THROTTLE, ref=ref, speed=speed)
        self._outbox.send(order)

    def apply_inventory(
        self,
        worker_id: str,
        updates: Iterable[TaskUpdate],
        *,
        now_ms: float,
        wall_ms: float,
    ) -> None:
        """Apply the complete task list of a worker, after acquiring its lease.

        An attempt missing from the list either never started on the worker or was lost
        in a restart of the worker. Commands still in flight are fenced by the new
        lease, so the attempt cannot start later either.
        """
        received = list(updates)
        for item in received:
            self.apply_update(item, now_ms=now_ms, wall_ms=wall_ms)
        present = {item.ref.job_id for item in received}
        for job in self._list_active_jobs(worker_id):
            if job.spec.job_id not in present:
                self._handle_lost(job, now_ms=now_ms, wall_ms=wall_ms)

    def apply_update(
        self, update: TaskUpdate, *, now_ms: float, wall_ms: float
    ) -> None:
        """Apply the state of one attempt as reported by its worker.

        A worker repeats an update until it is acknowledged, which happens only after
        the journal commit. Repetitions received in between are ignored.
        """
        if self._outbox.is_uncommitted(update.ref):
            return
        job = self.jobs.get(update.ref.job_id)
        if job is None or job.state is JobState.ENDED:
            self._discard_attempt(update)
            return
        if update.status is TaskStatus.FINISHED:
            self._finish(job, update, now_ms=now_ms, wall_ms=wall_ms)
            return
        if job.attempt is not None and update.ref.attempt < job.attempt:
            self._discard_attempt(update)
            return
        if update.status is TaskStatus.RUNNING:
            self._adopt_attempt(job, update.ref, now_ms)
            return
        self._handle_stopped(job, update, now_ms=now_ms, wall_ms=wall_ms)

    def handle_worker_loss(
        self, worker_id: str, *, now_ms: float, wall_ms: float
    ) -> None:
        """Handle the loss of a worker whose leases have all expired.

        Its tasks have stopped by then.
        """
        for job in self._list_active_jobs(worker_id):
            self._handle_lost(job, now_ms=now_ms, wall_ms=wall_ms)

    def release_held(self, wall_ms: float) -> None:
        """Requeue held jobs that no worker reported, once none can be running them."""
        for job in list(self.jobs.values()):
            if job.state is JobState.HELD:
                self._requeue(job, wall_ms)

    def add_worker(self, address: WorkerAddress) -> None:
        """Record a worker before its first start, so that a later owner queries it."""
        self.workers[address.worker_id] = address
        record = JobRecord(
            kind=RecordKind.WORKER_ADDED,
            job_id="",
            worker_id=address.worker_id,
            host=address.host,
            port=address.port,
        )
        self._outbox.record(record)

    def remove_worker(self, worker_id: str) -> None:
        """Record the removal of a worker on which no task is running."""
        self.workers.pop(worker_id, None)
        record = JobRecord(
            kind=RecordKind.WORKER_REMOVED, job_id="", worker_id=worker_id
        )
        self._outbox.record(record)

    def release_unstarted(self) -> None:
        """Queue held jobs that have provably never been started."""
        for job in self.jobs.values():
            is_unstarted = not job.spec.is_idempotent and not job.is_start_recorded
            if job.state is JobState.HELD and is_unstarted:
                job.state = JobState.QUEUED

    def refuse(self, job: Job, code: ResultCode, detail: str, wall_ms: float) -> None:
        """End a queued job that no worker can ever run."""
        self._end(job, code, wall_ms, detail=detail)

    def take_orders(self) -> dict[str, list[Order]]:
        """Return and clear the pending orders, by worker."""
        return self._outbox.take_orders()

    def take_commits(self) -> tuple[Commit, ...]:
        """Return and clear the pending commits."""
        return self._outbox.take_commits()

    def confirm(self, commits: Iterable[Commit]) -> None:
        """Release the orders that were waiting for records that are now committed.

        Only the most recent ended jobs are kept. Otherwise the memory of an owner that
        holds a shard for months would grow with every job it has run.
        """
        committed = tuple(commits)
        self._outbox.confirm(committed)
        self._ended.extend(
            commit.record.job_id
            for commit in committed
            if commit.record.kind is RecordKind.ENDED
        )
        while len(self._ended) > self.kept_ended:
            self.jobs.pop(self._ended.popleft(), None)

    def _discard_attempt(self, update: TaskUpdate) -> None:
        """Stop an obsolete attempt, or acknowledge it if it has already ended."""
        is_running = update.status is TaskStatus.RUNNING
        kind = OrderKind.STOP if is_running else OrderKind.ACKNOWLEDGE
        self._outbox.order(kind, update.ref)

    def _adopt_attempt(self, job: Job, ref: TaskRef, now_ms: float) -> None:
        """Adopt a running attempt as the current attempt of its job."""
        if job.attempt is not None and ref.attempt > job.attempt and job.is_active:
            # Two workers run the job, which can only be caused by an owner that was
            # fenced too late. The attempt with the higher number is kept.
            self._outbox.order(OrderKind.STOP, self._build_ref(job))
            self._release_resources(job, now_ms, StopOutcome.LOST)
        is_new = not job.is_active
        job.attempt = ref.attempt
        self._assign_worker(job, ref.worker_id)
        if job.state is not JobState.STOPPING:
            job.state = JobState.RUNNING
        if is_new and ref.job_id not in self.placement.tasks:
            self.placement.restore(job.spec.build_shape(), ref.worker_id, now_ms)
        else:
            self.placement.confirm_started(ref.job_id, now_ms)
        if job.is_cancelled and is_new:
            self._stop(job, now_ms)

    def _finish(
        self, job: Job, update: TaskUpdate, *, now_ms: float, wall_ms: float
    ) -> None:
        """End a job with the result of any of its attempts.

        A worker that was partitioned may reconnect with a result after the job was
        restarted on another worker. The later attempt is then redundant and stopped.
        """
        is_elsewhere = job.is_active and job.attempt != update.ref.attempt
        if is_elsewhere:
            self._outbox.order(OrderKind.STOP, self._build_ref(job))
        self._release_resources(job, now_ms, StopOutcome.FINISHED)
        self._end(job, ResultCode.OK, wall_ms, result=update.result, update=update)

    def _handle_stopped(
        self, job: Job, update: TaskUpdate, *, now_ms: float, wall_ms: float
    ) -> None:
        """Handle an attempt that stopped running without finishing."""
        outcomes = {
            TaskStatus.FAILED: StopOutcome.FAILED,
            TaskStatus.EVICTED: StopOutcome.EVICTED,
            TaskStatus.STOPPED: StopOutcome.LOST,
            TaskStatus.REFUSED: StopOutcome.CANCELLED,
        }
        self._release_resources(job, now_ms, outcomes[update.status])
        job.attempt = update.ref.attempt
        if update.status is TaskStatus.REFUSED:
            job.is_start_recorded = False
            self._requeue(job, wall_ms)
        elif job.is_cancelled:
            self._end_cancelled(job, wall_ms, update=update)
        elif update.status is TaskStatus.EVICTED:
            self._requeue_evicted(job, update, wall_ms)
        elif job.spec.is_idempotent:
            self._outbox.order(OrderKind.ACKNOWLEDGE, update.ref)
            job.state = JobState.QUEUED
        elif update.status is TaskStatus.FAILED:
            self._end(
                job,
                ResultCode.BACKEND_FAILED,
                wall_ms,
                detail=_FAILED_DETAIL,
                update=update,
            )
        else:
            self._end(job, ResultCode.OUTCOME_UNKNOWN, wall_ms, update=update)

    def _requeue_evicted(self, job: Job, update: TaskUpdate, wall_ms: float) -> None:
        """Requeue an evicted job and record the checkpoint to resume from.

        The next attempt need not wait for the commit: the worker keeps the checkpoint
        until it is acknowledged, so a later owner can still retrieve it.
        """
        job.checkpoint = update.checkpoint
        job.state = JobState.QUEUED
        job.is_start_recorded = False
        record = JobRecord(
            kind=RecordKind.EVICTED,
            job_id=job.spec.job_id,
            attempt=update.ref.attempt,
            checkpoint=update.checkpoint,
            at_ms=wall_ms,
        )
        self._outbox.record_and_acknowledge(record, update)

    def _handle_lost(self, job: Job, *, now_ms: float, wall_ms: float) -> None:
        self._release_resources(job, now_ms, StopOutcome.LOST)
        self._requeue(job, wall_ms)

    def _requeue(self, job: Job, wall_ms: float) -> None:
        """Requeue a job that is not running, unless it might be executed twice."""
        if job.is_cancelled:
            self._end_cancelled(job, wall_ms)
        elif job.spec.is_idempotent or not job.is_start_recorded:
            job.state = JobState.QUEUED
        else:
            self._end(job, ResultCode.OUTCOME_UNKNOWN, wall_ms)

    def _stop(self, job: Job, now_ms: float) -> None:
        job.state = JobState.STOPPING
        ref = self._build_ref(job)
        if ref.job_id in self.placement.tasks:
            self.placement.begin_stop(ref.job_id)
        self._outbox.order(OrderKind.STOP, ref)

    def _assign_worker(self, job: Job, worker_id: str) -> None:
        job.worker_id = worker_id
        self._active_by_worker.setdefault(worker_id, {})[job.spec.job_id] = None

    def _list_active_jobs(self, worker_id: str) -> list[Job]:
        """Return the jobs whose active attempt is on a worker."""
        return [
            self.jobs[job_id] for job_id in self._active_by_worker.get(worker_id, ())
        ]

    def _release_resources(self, job: Job, now_ms: float, outcome: StopOutcome) -> None:
        active = self._active_by_worker.get(job.worker_id)
        if active is not None:
            active.pop(job.spec.job_id, None)
            if not active:
                del self._active_by_worker[job.worker_id]
        if job.spec.job_id in self.placement.tasks:
            self.placement.confirm_stopped(job.spec.job_id, now_ms, outcome)

    def _build_ref(self, job: Job) -> TaskRef:
        if job.attempt is None:
            raise ValueError(f"job {job.spec.job_id} has no attempt")
        return TaskRef(
            worker_id=job.worker_id, job_id=job.spec.job_id, attempt=job.attempt
        )

    def _end_cancelled(
        self, job: Job, wall_ms: float, *, update: TaskUpdate | None = None
    ) -> None:
        was_started = job.attempt is not None
        code = ResultCode.CANCELLED if was_started else ResultCode.CANCELLED_UNSTARTED
        self._end(job, code, wall_ms, update=update)

    def _end(
        self,
        job: Job,
        code: ResultCode,
        wall_ms: float,
        *,
        detail: str = "",
        result: str = "",
        update: TaskUpdate | None = None,
    ) -> None:
        job.state = JobState.ENDED
        job.result_number = code.number
        job.detail = detail
        job.result = result
        job.ended_ms = wall_ms
        self.placement.forget_task(job.spec.job_id)
        record = JobRecord(
            kind=RecordKind.ENDED,
            job_id=job.spec.job_id,
            result_number=code.number,
            detail=detail,
            result=result,
            at_ms=wall_ms,
        )
        if update is None:
            self._outbox.record(record)
        else:
            self._outbox.record_and_acknowledge(record, update)
