"""The task that owns one worker shard: its jobs, its workers and its journal."""

from collections.abc import Callable, Sequence
from typing import TypeVar

import numpy as np
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    FencedError,
    RequestError,
    StoreError,
)
from trefoilhook.instances import InstanceState, WorkerRecord
from trefoilhook.jobs.book import JobBook
from trefoilhook.jobs.commits import RETRY_MS, Committer
from trefoilhook.jobs.core import Job, JobSpec, JobState
from trefoilhook.jobs.journal import JobJournal
from trefoilhook.jobs.messages import (
    Commit,
    RecordKind,
    WorkerAddress,
)
from trefoilhook.jobs.pace import PlacementPace
from trefoilhook.jobs.planner import (
    explain_job,
    find_refusal,
    place_waiting,
    react_to_reports,
)
from trefoilhook.jobs.quotas import FindQuota
from trefoilhook.jobs.reports import read_report
from trefoilhook.jobs.sessions import (
    InventoryTaken,
    NewsHeard,
    SessionEvent,
    WorkerLapsed,
    WorkerSession,
)
from trefoilhook.jobs.settings import JobSettings
from trefoilhook.logs import Event, log_event
from trefoilhook.placement import (
    Policy,
    WorkerShape,
)
from trefoilhook.results import ResultCode
from trefoilhook.workers import WorkerClient

__all__ = ["ShardRunner"]

_T = TypeVar("_T")
_EVENTS_BUFFERED = 1_000

OpenWorker = Callable[[WorkerAddress], WorkerClient]


class ShardRunner:
    """Runs one worker shard for as long as this instance owns it.

    Parameters
    ----------
    shard_id : str
        The shard.
    epoch : int
        Epoch of the claim.
    owner_id : str
        This instance.
    may_act : callable
        Whether this instance may act for the shard at this moment.
    journal : JobJournal
        The shard's journal.
    list_workers : callable
        Workers of the shard as the instance list shows them.
    open_worker : callable
        Opens the adapter to a worker.
    policy : callable
        Policy of the decisions now.
    find_quota : callable
        Most that a team may hold in this shard, or None.
    clock : Clock
        Time.
    settings : JobSettings
        Times and bounds.
    seed : int
        Seed of the draws that decisions make.
    """

    def __init__(
        self,
        *,
        shard_id: str,
        epoch: int,
        owner_id: str,
        may_act: Callable[[], bool],
        journal: JobJournal,
        list_workers: Callable[[], Sequence[WorkerRecord]],
        open_worker: OpenWorker,
        policy: Callable[[], Policy],
        find_quota: FindQuota,
        clock: Clock,
        settings: JobSettings,
        seed: int = 0,
    ) -> None:
        self._shard_id = shard_id
        self._epoch = epoch
        self._owner_id = owner_id
        self._may_act = may_act
        self._journal = journal
        self._list_workers = list_workers
        self._open_worker = open_worker
        self._policy = policy
        self._find_quota = find_quota
        self._clock = clock
        self._settings = settings
        self._generator = np.random.default_rng(seed)
        self._sessions: dict[str, WorkerSession] = {}
        self._unheard: set[str] = set()
        self._committer = Committer(
            journal=journal,
            clock=clock,
            window_ms=settings.commit_window_ms,
            on_committed=self._take_committed,
        )
        self._work_wanted = trio.Event()
        self._reacted_ms = -settings.react_interval_ms
        self._pace = PlacementPace(
            least_ms=settings.least_pause_ms, most_ms=settings.tick_ms
        )
        self._is_recovered = False
        self._nursery: trio.Nursery | None = None
        sender, receiver = trio.open_memory_channel[SessionEvent](_EVENTS_BUFFERED)
        self._events_in = sender
        self._events = receiver
        self.book = JobBook(epoch=epoch, kept_ended=settings.kept_ended)
        self.is_loaded = False

    async def run(self) -> None:
        """Recover the shard, then run it until cancelled or fenced."""
        try:
            await self._load()
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for address in self.book.workers.values():
                    self._open_session(address)
                nursery.start_soon(self._committer.run)
                await self._keep_working()
        except* FencedError:
            log_event(Event.SHARD_FENCED, shard=self._shard_id, epoch=self._epoch)

    async def submit(self, spec: JobSpec) -> Job:
        """Record a job durably; the same id again returns the job recorded first.

        Raises
        ------
        RequestError
            If no worker could ever hold it.
        StoreError
            If it could not be recorded; the code tells whether that is sure.
        """
        known = self._find_known(spec)
        if known is not None:
            return known
        self._refuse_impossible(spec)
        await self._committer.accept(spec)
        return self.book.jobs[spec.job_id]

    def cancel(self, job_ids: Sequence[str]) -> None:
        """Cancel jobs; those that run are told to stop, in one message a worker."""
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        for job_id in job_ids:
            self.book.cancel(job_id, now_ms, wall_ms)
        self._wake()

    def explain(self, job: Job) -> str:
        """Say why a job waits, or where it was placed and against what."""
        if not self._is_recovered and job.state is JobState.HELD:
            silent = ", ".join(sorted(self._unheard))
            return f"held: it may run on a worker that has not been heard: {silent}"
        return explain_job(
            self.book,
            job,
            self._clock.monotonic_ms(),
            self._generator,
            self._policy(),
            self._find_quota,
        )

    def _refuse_impossible(self, spec: JobSpec) -> None:
        reason = find_refusal(
            self.book,
            spec,
            now_ms=self._clock.monotonic_ms(),
            generator=self._generator,
            policy=self._policy(),
        )
        if reason:
            raise RequestError(reason, code=ResultCode.IMPOSSIBLE_JOB)

    def _find_known(self, spec: JobSpec) -> Job | None:
        if not self.is_loaded:
            message = "the shard is being recovered"
            raise RequestError(message, code=ResultCode.NO_OWNER)
        return self.book.jobs.get(spec.job_id)

    async def _load(self) -> None:
        while True:
            try:
                records = await self._journal.load()
                break
            except FencedError:
                raise
            except StoreError as error:
                log_event(Event.STORE_DOWN, reason=str(error))
                await self._clock.sleep_ms(RETRY_MS)
        self.book.restore(records)
        self.book.release_unstarted()
        self._unheard = set(self.book.workers)
        self.is_loaded = True

    async def _keep_working(self) -> None:
        while True:
            wait_ms = self._pace.compute_wait_ms(self._clock.monotonic_ms())
            with trio.move_on_after(min(wait_ms, self._settings.tick_ms) / 1000.0):
                await self._wait_for_work()
            if self._may_act():
                self._step()
            else:
                # Guards against a core kept busy for a whole outage: what is wanted
                # stays wanted until the right to act is back, so the wait above
                # returns at once.
                await self._clock.sleep_ms(self._settings.tick_ms)

    async def _wait_for_work(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_event, nursery.cancel_scope)
            await self._work_wanted.wait()
            nursery.cancel_scope.cancel()

    async def _wait_for_event(self, scope: trio.CancelScope) -> None:
        self._take_event(await self._events.receive())
        scope.cancel()

    def _step(self) -> None:
        """Do once everything that the shard's state calls for."""
        self._work_wanted = trio.Event()
        self._drain_events()
        self._follow_workers()
        self._recover()
        now_ms = self._clock.monotonic_ms()
        if self._pace.take(now_ms):
            self._place(now_ms)
        if now_ms - self._reacted_ms >= self._settings.react_interval_ms:
            self._reacted_ms = now_ms
            react_to_reports(self.book, now_ms, self._policy())
        self._send_orders()
        self._committer.add(self.book.take_commits())

    def _place(self, now_ms: float) -> None:
        place_waiting(
            self.book,
            now_ms=now_ms,
            wall_ms=self._clock.wall_ms(),
            generator=self._generator,
            policy=self._policy(),
            find_quota=self._find_quota,
            limit=self._settings.max_placed_per_step,
        )

    def _drain_events(self) -> None:
        while True:
            try:
                event = self._events.receive_nowait()
            except trio.WouldBlock:
                return
            self._take_event(event)

    def _take_event(self, event: SessionEvent) -> None:
        now_ms, wall_ms = self._clock.monotonic_ms(), self._clock.wall_ms()
        if not isinstance(event, NewsHeard) or event.news:
            self._pace.want()
        if isinstance(event, WorkerLapsed):
            self.book.lose_worker(event.worker_id, now_ms=now_ms, wall_ms=wall_ms)
            self._withdraw(event.worker_id)
            self._forget_if_gone(event.worker_id)
            self._unheard.discard(event.worker_id)
        elif isinstance(event, InventoryTaken):
            self._admit(event)
            self.book.apply_inventory(
                event.worker_id, event.news, now_ms=now_ms, wall_ms=wall_ms
            )
            self._unheard.discard(event.worker_id)
            self._close_to_starts(event.worker_id)
        else:
            self._hear(event, now_ms, wall_ms)

    def _hear(self, event: NewsHeard, now_ms: float, wall_ms: float) -> None:
        for item in event.news:
            self.book.apply_news(item, now_ms=now_ms, wall_ms=wall_ms)
        report = event.report
        if report is None:
            return
        self.book.placement.observe_usage(
            read_report(event.worker_id, report, now_ms), now_ms
        )

    def _admit(self, event: InventoryTaken) -> None:
        """Bring a worker into use, at the capacity that it states itself."""
        record = self._find_record(event.worker_id)
        shape = WorkerShape(
            worker_id=event.worker_id,
            rack=record.rack if record else "",
            failure_domain=record.failure_domain if record else "",
            capacity=event.capacity,
        )
        known = self.book.placement.workers.get(event.worker_id)
        if known is None or known.withdrawn:
            self.book.placement.add_worker(shape)

    def _close_to_starts(self, worker_id: str) -> None:
        """Place nothing more on a worker that leaves or is no longer listed."""
        record = self._find_record(worker_id)
        if record is None or record.state is InstanceState.LEAVING:
            self._withdraw(worker_id)

    def _withdraw(self, worker_id: str) -> None:
        known = self.book.placement.workers.get(worker_id)
        if known is not None and not known.withdrawn:
            self.book.placement.remove_worker(worker_id)

    def _forget_if_gone(self, worker_id: str) -> None:
        if self._find_record(worker_id) is None:
            self.book.forget_worker(worker_id)
            self._sessions.pop(worker_id).scope.cancel()

    def _follow_workers(self) -> None:
        """Open sessions to new workers and place nothing more on leaving ones.

        A worker is recorded before the first start on it: a later owner, whose list
        may lag behind this one's, asks every worker that could hold a task.
        """
        for record in self._list_workers():
            if record.state is InstanceState.LEAVING:
                self._withdraw(record.worker_id)
            elif record.worker_id not in self.book.workers:
                address = WorkerAddress(
                    worker_id=record.worker_id, host=record.host, port=record.port
                )
                self.book.note_worker(address)

    def _recover(self) -> None:
        """Free the held jobs once no former owner's attempt can be running unseen."""
        if self._is_recovered or self._unheard:
            return
        self._is_recovered = True
        self._pace.want()
        self.book.release_held(self._clock.wall_ms())

    def _find_record(self, worker_id: str) -> WorkerRecord | None:
        for record in self._list_workers():
            if record.worker_id == worker_id:
                return record
        return None

    def _open_session(self, address: WorkerAddress) -> None:
        if self._nursery is None or address.worker_id in self._sessions:
            return
        session = WorkerSession(
            address=address,
            client=self._open_worker(address),
            owner_id=self._owner_id,
            shard_epoch=self._epoch,
            may_act=self._may_act,
            clock=self._clock,
            settings=self._settings,
            events=self._events_in,
        )
        self._sessions[address.worker_id] = session
        self._nursery.start_soon(session.run)

    def _send_orders(self) -> None:
        for worker_id, orders in self.book.take_orders().items():
            session = self._sessions.get(worker_id)
            if session is not None and session.is_held:
                session.send(orders)

    def _wake(self) -> None:
        self._pace.want()
        self._work_wanted.set()

    def _take_committed(
        self, specs: Sequence[JobSpec], commits: Sequence[Commit]
    ) -> None:
        for spec in specs:
            self.book.accept(spec)
            log_event(Event.JOB_ACCEPTED, job=spec.job_id)
        self.book.confirm(commits)
        for commit in commits:
            if commit.record.kind is RecordKind.WORKER_ADDED:
                self._open_session(self.book.workers[commit.record.worker_id])
        self._wake()
