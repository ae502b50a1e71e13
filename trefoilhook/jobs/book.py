"""The jobs of one worker shard, as their owner knows them.

Pure state: it takes in what operators, workers and the journal say, and leaves orders
for workers and records for the journal to be fetched. The shard's task owns it.
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
    TaskNews,
    TaskRef,
    TaskStatus,
    WorkerAddress,
)
from trefoilhook.jobs.outbox import Outbox
from trefoilhook.jobs.replay import replay_record
from trefoilhook.placement import ShardState, StopOutcome
from trefoilhook.results import ResultCode

__all__ = ["JobBook"]

_FAILED_DETAIL = "the attempt failed"


@attrs.define(kw_only=True)
class JobBook:
    """Jobs, attempts and what is to be told and recorded about them.

    Parameters
    ----------
    epoch : int
        Epoch of the shard's claim, in front of each attempt's number.
    placement : ShardState
        Workers and reservations.
    jobs : dict of str to Job
        Jobs by id, ended ones included for as long as the journal keeps them.
    workers : dict of str to WorkerAddress
        Workers that may hold tasks of the shard, as the journal says.
    kept_ended : int
        Ended jobs that are remembered.
    starts, evictions : int
        Starts and evictions ordered since the claim.
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
    # Jobs by the worker of their active attempt: after a takeover every worker asks for
    # its own, which over all jobs would grow with the square of the shard.
    _placed: dict[str, dict[str, None]] = attrs.field(factory=dict)

    def restore(self, records: Iterable[JobRecord]) -> None:
        """Take over what the journal holds.

        Jobs that have not ended are held: a former owner may have started them, and
        the workers have not been asked yet.
        """
        for record in records:
            replay_record(record, jobs=self.jobs, workers=self.workers)
        self._ended.extend(
            job_id for job_id, job in self.jobs.items() if job.state is JobState.ENDED
        )

    def accept(self, spec: JobSpec) -> None:
        """Queue a job whose acceptance has been committed."""
        self.jobs.setdefault(spec.job_id, Job(spec=spec, state=JobState.QUEUED))

    def cancel(self, job_id: str, now_ms: float, wall_ms: float) -> None:
        """Stop a job, or end it when it isn't running."""
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
        """Give a number to a new attempt of a job at a worker."""
        self._sequence += 1
        job.attempt = Attempt(epoch=self.epoch, sequence=self._sequence)
        self._note_place(job, worker_id)
        job.state = JobState.STARTING
        return TaskRef(worker_id=worker_id, job_id=job.spec.job_id, attempt=job.attempt)

    def start(self, job: Job, worker_id: str, wall_ms: float) -> None:
        """Order a job's next attempt; its resources are reserved already.

        An idempotent job is started at once: should the owner die, the next one finds
        the attempt at the worker or waits out the worker's lease. Any other job is
        started once the journal says so, else a later owner could not tell a job that
        never started from one whose worker is gone.
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
        """Order a running attempt to checkpoint and leave its worker."""
        if job.attempt is None:
            return
        job.state = JobState.STOPPING
        self.evictions += 1
        self._outbox.order(OrderKind.EVICT, self._name_attempt(job))

    def order_speed(self, job: Job, speed: float) -> None:
        """Order a running attempt to run at a part of its full speed."""
        ref = self._name_attempt(job)
        order = Order(kind=OrderKind.THROTTLE, ref=ref, speed=speed)
        self._outbox.send(order)

    def apply_inventory(
        self,
        worker_id: str,
        news: Iterable[TaskNews],
        *,
        now_ms: float,
        wall_ms: float,
    ) -> None:
        """Take in everything that a worker holds, after its lease was taken.

        An attempt that the worker does not name never started there or went with a
        restart of the worker. Commands still on their way are fenced by the new lease,
        so it will not start later either.
        """
        named = list(news)
        for item in named:
            self.apply_news(item, now_ms=now_ms, wall_ms=wall_ms)
        present = {item.ref.job_id for item in named}
        for job in self._list_active(worker_id):
            if job.spec.job_id not in present:
                self._lose(job, now_ms=now_ms, wall_ms=wall_ms)

    def apply_news(self, news: TaskNews, *, now_ms: float, wall_ms: float) -> None:
        """Take in what a worker says of one attempt.

        A worker repeats its news until they are acknowledged, which waits for the
        journal; in between they have been taken in already.
        """
        if self._outbox.is_unrecorded(news.ref):
            return
        job = self.jobs.get(news.ref.job_id)
        if job is None or job.state is JobState.ENDED:
            self._dismiss(news)
            return
        if news.status is TaskStatus.FINISHED:
            self._finish(job, news, now_ms=now_ms, wall_ms=wall_ms)
            return
        if job.attempt is not None and news.ref.attempt < job.attempt:
            self._dismiss(news)
            return
        if news.status is TaskStatus.RUNNING:
            self._adopt(job, news.ref, now_ms)
            return
        self._leave(job, news, now_ms=now_ms, wall_ms=wall_ms)

    def lose_worker(self, worker_id: str, *, now_ms: float, wall_ms: float) -> None:
        """Give up on a worker whose leases have surely lapsed: its tasks stopped."""
        for job in self._list_active(worker_id):
            self._lose(job, now_ms=now_ms, wall_ms=wall_ms)

    def release_held(self, wall_ms: float) -> None:
        """Free jobs that no worker named, once none can be running them."""
        for job in list(self.jobs.values()):
            if job.state is JobState.HELD:
                self._requeue(job, wall_ms)

    def note_worker(self, address: WorkerAddress) -> None:
        """Record a worker before its first start, so that a later owner asks it."""
        self.workers[address.worker_id] = address
        record = JobRecord(
            kind=RecordKind.WORKER_ADDED,
            job_id="",
            worker_id=address.worker_id,
            host=address.host,
            port=address.port,
        )
        self._outbox.record(record)

    def forget_worker(self, worker_id: str) -> None:
        """Record that a worker is gone and nothing runs on it."""
        self.workers.pop(worker_id, None)
        record = JobRecord(
            kind=RecordKind.WORKER_REMOVED, job_id="", worker_id=worker_id
        )
        self._outbox.record(record)

    def release_unstarted(self) -> None:
        """Free at once the held jobs that are proved never to have been started."""
        for job in self.jobs.values():
            is_unstarted = not job.spec.is_idempotent and not job.is_start_recorded
            if job.state is JobState.HELD and is_unstarted:
                job.state = JobState.QUEUED

    def refuse(self, job: Job, code: ResultCode, detail: str, wall_ms: float) -> None:
        """End a queued job that can never run."""
        self._end(job, code, wall_ms, detail=detail)

    def take_orders(self) -> dict[str, list[Order]]:
        """Fetch the orders to be sent, by worker."""
        return self._outbox.take_orders()

    def take_commits(self) -> tuple[Commit, ...]:
        """Fetch the records to be committed."""
        return self._outbox.take_commits()

    def confirm(self, commits: Iterable[Commit]) -> None:
        """Release what waited for records that are now committed.

        Ended jobs are remembered up to a bound, the latest the longest: an owner that
        stays for months would else keep every job that it ever ran.
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

    def _dismiss(self, news: TaskNews) -> None:
        """Stop an attempt that nobody waits for, or let its worker forget it."""
        is_running = news.status is TaskStatus.RUNNING
        kind = OrderKind.STOP if is_running else OrderKind.ACKNOWLEDGE
        self._outbox.order(kind, news.ref)

    def _adopt(self, job: Job, ref: TaskRef, now_ms: float) -> None:
        """Take a running attempt as the job's present one."""
        if job.attempt is not None and ref.attempt > job.attempt and job.is_active:
            # Two workers run the job, which only an owner that was fenced too late can
            # have caused; the higher attempt stays.
            self._outbox.order(OrderKind.STOP, self._name_attempt(job))
            self._free(job, now_ms, StopOutcome.LOST)
        is_new = not job.is_active
        job.attempt = ref.attempt
        self._note_place(job, ref.worker_id)
        if job.state is not JobState.STOPPING:
            job.state = JobState.RUNNING
        if is_new and ref.job_id not in self.placement.tasks:
            self.placement.restore(job.spec.build_shape(), ref.worker_id, now_ms)
        else:
            self.placement.confirm_started(ref.job_id, now_ms)
        if job.is_cancelled and is_new:
            self._stop(job, now_ms)

    def _finish(
        self, job: Job, news: TaskNews, *, now_ms: float, wall_ms: float
    ) -> None:
        """End a job with the result of any of its attempts.

        A worker that was cut off may come back with a result after its job was started
        anew elsewhere. The work is done, so the later attempt is stopped.
        """
        is_elsewhere = job.is_active and job.attempt != news.ref.attempt
        if is_elsewhere:
            self._outbox.order(OrderKind.STOP, self._name_attempt(job))
        self._free(job, now_ms, StopOutcome.FINISHED)
        self._end(job, ResultCode.OK, wall_ms, result=news.result, news=news)

    def _leave(
        self, job: Job, news: TaskNews, *, now_ms: float, wall_ms: float
    ) -> None:
        """Take in that an attempt no longer runs and did not finish."""
        outcomes = {
            TaskStatus.FAILED: StopOutcome.FAILED,
            TaskStatus.EVICTED: StopOutcome.EVICTED,
            TaskStatus.STOPPED: StopOutcome.LOST,
            TaskStatus.REFUSED: StopOutcome.CANCELLED,
        }
        self._free(job, now_ms, outcomes[news.status])
        job.attempt = news.ref.attempt
        if news.status is TaskStatus.REFUSED:
            job.is_start_recorded = False
            self._requeue(job, wall_ms)
        elif job.is_cancelled:
            self._end_cancelled(job, wall_ms, news=news)
        elif news.status is TaskStatus.EVICTED:
            self._keep_checkpoint(job, news, wall_ms)
        elif job.spec.is_idempotent:
            self._outbox.order(OrderKind.ACKNOWLEDGE, news.ref)
            job.state = JobState.QUEUED
        elif news.status is TaskStatus.FAILED:
            self._end(
                job,
                ResultCode.BACKEND_FAILED,
                wall_ms,
                detail=_FAILED_DETAIL,
                news=news,
            )
        else:
            self._end(job, ResultCode.OUTCOME_UNKNOWN, wall_ms, news=news)

    def _keep_checkpoint(self, job: Job, news: TaskNews, wall_ms: float) -> None:
        """Queue an evicted job to resume, and record where from.

        The next attempt does not wait for the record: until it is acknowledged the
        worker keeps the checkpoint, so a later owner finds it there.
        """
        job.checkpoint = news.checkpoint
        job.state = JobState.QUEUED
        job.is_start_recorded = False
        record = JobRecord(
            kind=RecordKind.EVICTED,
            job_id=job.spec.job_id,
            attempt=news.ref.attempt,
            checkpoint=news.checkpoint,
            at_ms=wall_ms,
        )
        self._outbox.record_and_acknowledge(record, news)

    def _lose(self, job: Job, *, now_ms: float, wall_ms: float) -> None:
        self._free(job, now_ms, StopOutcome.LOST)
        self._requeue(job, wall_ms)

    def _requeue(self, job: Job, wall_ms: float) -> None:
        """Queue a job that runs nowhere, unless running it again could repeat it."""
        if job.is_cancelled:
            self._end_cancelled(job, wall_ms)
        elif job.spec.is_idempotent or not job.is_start_recorded:
            job.state = JobState.QUEUED
        else:
            self._end(job, ResultCode.OUTCOME_UNKNOWN, wall_ms)

    def _stop(self, job: Job, now_ms: float) -> None:
        job.state = JobState.STOPPING
        ref = self._name_attempt(job)
        if ref.job_id in self.placement.tasks:
            self.placement.begin_stop(ref.job_id)
        self._outbox.order(OrderKind.STOP, ref)

    def _note_place(self, job: Job, worker_id: str) -> None:
        job.worker_id = worker_id
        self._placed.setdefault(worker_id, {})[job.spec.job_id] = None

    def _list_active(self, worker_id: str) -> list[Job]:
        """Return the jobs whose active attempt is at a worker."""
        return [self.jobs[job_id] for job_id in self._placed.get(worker_id, ())]

    def _free(self, job: Job, now_ms: float, outcome: StopOutcome) -> None:
        placed = self._placed.get(job.worker_id)
        if placed is not None:
            placed.pop(job.spec.job_id, None)
            if not placed:
                del self._placed[job.worker_id]
        if job.spec.job_id in self.placement.tasks:
            self.placement.confirm_stopped(job.spec.job_id, now_ms, outcome)

    def _name_attempt(self, job: Job) -> TaskRef:
        if job.attempt is None:
            raise ValueError(f"job {job.spec.job_id} has no attempt")
        return TaskRef(
            worker_id=job.worker_id, job_id=job.spec.job_id, attempt=job.attempt
        )

    def _end_cancelled(
        self, job: Job, wall_ms: float, *, news: TaskNews | None = None
    ) -> None:
        was_started = job.attempt is not None
        code = ResultCode.CANCELLED if was_started else ResultCode.CANCELLED_UNSTARTED
        self._end(job, code, wall_ms, news=news)

    def _end(
        self,
        job: Job,
        code: ResultCode,
        wall_ms: float,
        *,
        detail: str = "",
        result: str = "",
        news: TaskNews | None = None,
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
        if news is None:
            self._outbox.record(record)
        else:
            self._outbox.record_and_acknowledge(record, news)
