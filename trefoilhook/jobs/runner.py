"""Task that runs one worker shard: its jobs, workers and journal."""

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
from trefoilhook.jobs.commits import STORE_RETRY_MS, Committer
from trefoilhook.jobs.core import Job, JobSpec, JobState
from trefoilhook.jobs.journal import JobJournal
from trefoilhook.jobs.messages import (
    Commit,
    RecordKind,
    WorkerAddress,
)
from trefoilhook.jobs.pace import PlacementTimer
from trefoilhook.jobs.planner import (
    explain_job,
    find_impossible_reason,
    place_waiting,
    react_to_reports,
)
from trefoilhook.jobs.quotas import FindQuota
from trefoilhook.jobs.registry import JobRegistry
from trefoilhook.jobs.reports import read_report
from trefoilhook.jobs.sessions import (
    InventoryReceived,
    SessionEvent,
    UpdatesReceived,
    WorkerLeaseExpired,
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
_EVENT_BUFFER_SIZE = 1_000

OpenWorker = Callable[[WorkerAddress], WorkerClient]


class ShardRunner:
    """Runs one worker shard for as long as this instance owns it.

    Parameters
    ----------
    shard_id : str
        Id of the shard.
    epoch : int
        Epoch of the shard's claim.
    owner_id : str
        Id of this instance.
    may_act : callable
        Returns whether this instance may currently act for the shard.
    journal : JobJournal
        Journal of the shard.
    list_workers : callable
        Returns the workers of the shard in the instance list.
    open_worker : callable
        Opens a client for a worker.
    policy : callable
        Returns the current placement policy.
    find_quota : callable
        Returns the quota of a team in this shard, or None for no limit.
    clock : Clock
        Clock.
    settings : JobSettings
        Timeouts, intervals and limits.
    seed : int
        Seed of the random generator used for placement.
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
        self._unreported: set[str] = set()
        self._committer = Committer(
            journal=journal,
            clock=clock,
            window_ms=settings.commit_window_ms,
            on_committed=self._handle_committed,
        )
        self._work_requested = trio.Event()
        self._last_reaction_ms = -settings.react_interval_ms
        self._placement_timer = PlacementTimer(
            min_interval_ms=settings.least_pause_ms, max_interval_ms=settings.tick_ms
        )
        self._is_recovered = False
        self._nursery: trio.Nursery | None = None
        sender, receiver = trio.open_memory_channel[SessionEvent](_EVENT_BUFFER_SIZE)
        self._events_in = sender
        self._events = receiver
        self.registry = JobRegistry(epoch=epoch, kept_ended=settings.kept_ended)
        self.is_loaded = False

    async def run(self) -> None:
        """Recover the shard, then run it until cancelled or fenced."""
        try:
            await self._load()
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for address in self.registry.workers.values():
                    self._open_session(address)
                nursery.start_soon(self._committer.run)
                await self._run_steps()
        except* FencedError:
            log_event(Event.SHARD_FENCED, shard=self._shard_id, epoch=self._epoch)

    async def submit(self, spec: JobSpec) -> Job:
        """Record a job durably; a repeated id returns the job recorded first.

        Raises
        ------
        RequestError
            If no worker could ever run the job.
        StoreError
            If the write failed; the result code tells whether the job may be recorded.
        """
        known = self._find_existing(spec)
        if known is not None:
            return known
        self._refuse_impossible(spec)
        await self._committer.accept(spec)
        return self.registry.jobs[spec.job_id]

    def cancel(self, job_ids: Sequence[str]) -> None:
        """Cancel jobs; the stop orders are sent in one message per worker."""
        now_ms = self._clock.monotonic_ms()
        wall_ms = self._clock.wall_ms()
        for job_id in job_ids:
            self.registry.cancel(job_id, now_ms, wall_ms)
        self._wake()

    def explain(self, job: Job) -> str:
        """Describe why a job is waiting, or how its worker was chosen."""
        if not self._is_recovered and job.state is JobState.HELD:
            unreported = ", ".join(sorted(self._unreported))
            return f"held: it may run on a worker that has not been heard: {unreported}"
        return explain_job(
            self.registry,
            job,
            self._clock.monotonic_ms(),
            self._generator,
            self._policy(),
            self._find_quota,
        )

    def _refuse_impossible(self, spec: JobSpec) -> None:
        reason = find_impossible_reason(
            self.registry,
            spec,
            now_ms=self._clock.monotonic_ms(),
            generator=self._generator,
            policy=self._policy(),
        )
        if reason:
            raise RequestError(reason, code=ResultCode.IMPOSSIBLE_JOB)

    def _find_existing(self, spec: JobSpec) -> Job | None:
        if not self.is_loaded:
            message = "the shard is being recovered"
            raise RequestError(message, code=ResultCode.NO_OWNER)
        return self.registry.jobs.get(spec.job_id)

    async def _load(self) -> None:
        while True:
            try:
                records = await self._journal.load()
                break
            except FencedError:
                raise
            except StoreError as error:
                log_event(Event.STORE_DOWN, reason=str(error))
                await self._clock.sleep_ms(STORE_RETRY_MS)
        self.registry.restore(records)
        self.registry.release_unstarted()
        self._unreported = set(self.registry.workers)
        self.is_loaded = True

    async def _run_steps(self) -> None:
        while True:
            wait_ms = self._placement_timer.compute_wait_ms(self._clock.monotonic_ms())
            with trio.move_on_after(min(wait_ms, self._settings.tick_ms) / 1000.0):
                await self._wait_for_work()
            if self._may_act():
                self._step()
            else:
                # Pending work stays pending while the instance may not act, so the wait
                # above returns immediately. Without this sleep the task would busy-loop
                # for the duration of a store outage.
                await self._clock.sleep_ms(self._settings.tick_ms)

    async def _wait_for_work(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_event, nursery.cancel_scope)
            await self._work_requested.wait()
            nursery.cancel_scope.cancel()

    async def _wait_for_event(self, scope: trio.CancelScope) -> None:
        self._handle_event(await self._events.receive())
        scope.cancel()

    def _step(self) -> None:
        """Process events, place jobs, and send the resulting orders and records."""
        self._work_requested = trio.Event()
        self._drain_events()
        self._sync_workers()
        self._recover()
        now_ms = self._clock.monotonic_ms()
        if self._placement_timer.start_if_due(now_ms):
            self._place(now_ms)
        if now_ms - self._last_reaction_ms >= self._settings.react_interval_ms:
            self._last_reaction_ms = now_ms
            react_to_reports(self.registry, now_ms, self._policy())
        self._send_orders()
        self._committer.add(self.registry.take_commits())

    def _place(self, now_ms: float) -> None:
        place_waiting(
            self.registry,
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
            self._handle_event(event)

    def _handle_event(self, event: SessionEvent) -> None:
        now_ms, wall_ms = self._clock.monotonic_ms(), self._clock.wall_ms()
        if not isinstance(event, UpdatesReceived) or event.updates:
            self._placement_timer.request_pass()
        if isinstance(event, WorkerLeaseExpired):
            self.registry.handle_worker_loss(
                event.worker_id, now_ms=now_ms, wall_ms=wall_ms
            )
            self._withdraw(event.worker_id)
            self._remove_if_unlisted(event.worker_id)
            self._unreported.discard(event.worker_id)
        elif isinstance(event, InventoryReceived):
            self._add_worker(event)
            self.registry.apply_inventory(
                event.worker_id, event.updates, now_ms=now_ms, wall_ms=wall_ms
            )
            self._unreported.discard(event.worker_id)
            self._withdraw_if_leaving(event.worker_id)
        else:
            self._apply_updates(event, now_ms, wall_ms)

    def _apply_updates(
        self, event: UpdatesReceived, now_ms: float, wall_ms: float
    ) -> None:
        for item in event.updates:
            self.registry.apply_update(item, now_ms=now_ms, wall_ms=wall_ms)
        report = event.report
        if report is None:
            return
        self.registry.placement.apply_usage_report(
            read_report(event.worker_id, report, now_ms), now_ms
        )

    def _add_worker(self, event: InventoryReceived) -> None:
        """Make a worker available for placement, with the capacity that it reports."""
        record = self._find_record(event.worker_id)
        shape = WorkerShape(
            worker_id=event.worker_id,
            rack=record.rack if record else "",
            failure_domain=record.failure_domain if record else "",
            capacity=event.capacity,
        )
        known = self.registry.placement.workers.get(event.worker_id)
        if known is None or known.is_removed:
            self.registry.placement.add_worker(shape)

    def _withdraw_if_leaving(self, worker_id: str) -> None:
        """Exclude a worker from placement if it is leaving or no longer listed."""
        record = self._find_record(worker_id)
        if record is None or record.state is InstanceState.LEAVING:
            self._withdraw(worker_id)

    def _withdraw(self, worker_id: str) -> None:
        known = self.registry.placement.workers.get(worker_id)
        if known is not None and not known.is_removed:
            self.registry.placement.remove_worker(worker_id)

    def _remove_if_unlisted(self, worker_id: str) -> None:
        if self._find_record(worker_id) is None:
            self.registry.remove_worker(worker_id)
            self._sessions.pop(worker_id).scope.cancel()

    def _sync_workers(self) -> None:
        """Record newly listed workers and exclude leaving ones from placement.

        A worker is recorded before the first start on it, so that a later owner, whose
        worker list may be out of date, queries every worker that could hold a task.
        The session is opened once the record is committed.
        """
        for record in self._list_workers():
            if record.state is InstanceState.LEAVING:
                self._withdraw(record.worker_id)
            elif record.worker_id not in self.registry.workers:
                address = WorkerAddress(
                    worker_id=record.worker_id, host=record.host, port=record.port
                )
                self.registry.add_worker(address)

    def _recover(self) -> None:
        """Release the held jobs once no unknown attempt can still be running."""
        if self._is_recovered or self._unreported:
            return
        self._is_recovered = True
        self._placement_timer.request_pass()
        self.registry.release_held(self._clock.wall_ms())

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
        for worker_id, orders in self.registry.take_orders().items():
            session = self._sessions.get(worker_id)
            if session is not None and session.is_held:
                session.send(orders)

    def _wake(self) -> None:
        self._placement_timer.request_pass()
        self._work_requested.set()

    def _handle_committed(
        self, specs: Sequence[JobSpec], commits: Sequence[Commit]
    ) -> None:
        for spec in specs:
            self.registry.accept(spec)
            log_event(Event.JOB_ACCEPTED, job=spec.job_id)
        self.registry.confirm(commits)
        for commit in commits:
            if commit.record.kind is RecordKind.WORKER_ADDED:
                self._open_session(self.registry.workers[commit.record.worker_id])
        self._wake()
