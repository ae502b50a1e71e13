"""Runs the scheduler of an owned shard and executes its orders."""

import contextlib
import functools
import math
from collections.abc import Callable, Iterator, Mapping

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.http import Connection, IdleLimit
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    WORKER_PREFIX,
    Address,
    AdviceClient,
    Item,
    KeyValueStore,
    WorkerClient,
)
from trefoilhook.runtime.advice import run_advice_requests
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.copies import log_copies
from trefoilhook.runtime.departures import find_departures
from trefoilhook.runtime.jobfeed import JobFeed
from trefoilhook.runtime.jobtimes import report_times
from trefoilhook.runtime.lag import LoopLag
from trefoilhook.runtime.latejobs import log_late_jobs
from trefoilhook.runtime.loading import ShardContents, load_shard
from trefoilhook.runtime.looptime import LoopTime, Work
from trefoilhook.runtime.losses import log_lease_expiry, log_loss
from trefoilhook.runtime.maintenance import Maintenance
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.order_slots import OrderSlots
from trefoilhook.runtime.orders import execute_order
from trefoilhook.runtime.ownership import MIN_UNOWNED_MS, OWNER_LEASE_MS, Ownership
from trefoilhook.runtime.places import PlaceWriter
from trefoilhook.runtime.planfailures import log_plan_failures
from trefoilhook.runtime.polling import WorkerPoller
from trefoilhook.runtime.predecessors import read_inheritance
from trefoilhook.runtime.recovery import RecoveryStep, RecoveryTracker
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.reservations import report_reservations
from trefoilhook.runtime.roster import Roster
from trefoilhook.runtime.settlement import Settlement
from trefoilhook.runtime.snapshots import build_snapshots, build_waits_snapshot
from trefoilhook.runtime.turns import Turns
from trefoilhook.runtime.waits import save_waits
from trefoilhook.runtime.workerfeed import WorkerFeed
from trefoilhook.scheduling import (
    SLOWEST_CLOCK,
    Configuration,
    Evacuations,
    Features,
    Freshness,
    Order,
    OrderOutcome,
    PaceOrder,
    Scheduler,
    SchedulerLimits,
    StartOrder,
    Worker,
    WorkerReport,
    are_fillers_due,
    find_longest_wait,
    get_worker_id,
    has_lease_limits,
    has_urgent_waiting,
    list_restarts,
    measure_wait,
    plan_orders,
    plan_pending_orders,
    release_expired,
)
from trefoilhook.scheduling.arrangement import measure_largest_share

__all__ = ["ShardOwner", "ShardSettings"]

_WORKER_TIMEOUT_MS = 600.0
"""Timeout of a call to a worker, without its waiting time, in ms. The round trip takes
2 ms, and a worker at a sixth of its usual speed still answers well within the limit."""

_BATCH_WINDOW_MS = 6.0
"""Time to collect more changes before planning, in ms. The tasks of a step end
together, and a single plan for all of them is cheaper."""

_MAX_PLAN_INTERVAL_MS = 100.0
"""Maximum time between two plans, in ms. Each plan repeats unanswered orders."""

_FILLER_PLAN_DELAY_MS = 20.0
"""Delay of a plan with fillers after one for urgent tasks, in ms. Recording a place
takes 6 ms, and sending an order 2 ms."""

_MAX_IDLE_CONNECTIONS = 1024
"""Maximum number of idle connections to workers. Together with the permanent polls of
3,000 workers, they leave half of an instance's file descriptors for clients."""

_LEASE_MARGIN_MS = 300.0
"""Safety margin added to the time for which orders of a previous owner can take effect,
in ms. Covers orders in flight when its machine froze and clocks that run 2 % slow."""


_MAX_JOB_AGE_FRACTION = 0.9
"""Maximum age of the jobs for tasks to be started, as a fraction of the time in which a
cancellation must take effect. The remainder covers start orders in flight."""

_UNKNOWN_WORKER = ""
"""Placeholder for the workers of an unreadable roster. It is never known to be
fenced."""


@attrs.frozen(kw_only=True)
class ShardSettings:
    """Time limits of a shard's owner, in ms.

    Parameters
    ----------
    task_lease_ms : float
        Lease that each poll grants to the tasks on a worker.
    longest_stop_ms : float
        Maximum time that a task takes to stop.
    max_task_lease_ms : float
        Maximum lease that a worker grants.
    overload_ms : float
        Maximum time for which a service task may exceed its latency limit.
    status_ms : float
        Time for which the state of an ended job must remain readable.
    drain_notice_ms : float
        Minimum time between a worker's announcement in the store that it is draining
        and its end.
    entry_life_ms : float
        Time for which the entry of a dead worker stays in the store.
    cancel_ms : float
        Time after which no task of a cancelled job may be started.
    advice_address : (str, int) or None
        Address of the advice service, which allows workers for a step.
    features : Features
        Optional decisions in force.
    """

    task_lease_ms: float
    longest_stop_ms: float
    max_task_lease_ms: float
    overload_ms: float
    status_ms: float
    drain_notice_ms: float
    entry_life_ms: float
    cancel_ms: float = math.inf
    advice_address: Address | None = None
    features: Features = Features()


class ShardOwner:
    """Manages the shard for the duration of one ownership.

    Parameters
    ----------
    store : KeyValueStore
        Store of jobs, workers and progress.
    clock : Clock
        Time source.
    ownership : Ownership
        Ownership under which to write and send orders.
    settings : ShardSettings
        Time limits.
    read_configuration : callable
        Returns the configuration in force.
    configuration_freshness : Freshness
        How current the configuration is, updated by the caller.
    evacuations : Evacuations
        Evacuations in force, updated by the caller.
    metrics : ProcessMetrics
        Counts orders, ended attempts and lost workers.
    rejections : Rejections
        Receives unreadable entries and answers.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        ownership: Ownership,
        settings: ShardSettings,
        read_configuration: Callable[[], Configuration],
        configuration_freshness: Freshness,
        evacuations: Evacuations,
        metrics: ProcessMetrics,
        rejections: Rejections,
    ) -> None:
        self._metrics = metrics
        self._rejections = rejections
        self._store = store
        self._clock = clock
        self._ownership = ownership
        self._settings = settings
        self._read_configuration = read_configuration
        self._reach_ms = (
            OWNER_LEASE_MS + settings.task_lease_ms / SLOWEST_CLOCK + _LEASE_MARGIN_MS
        )
        self._scheduler = Scheduler(
            epoch=ownership.epoch,
            limits=SchedulerLimits(
                task_lease_ms=settings.task_lease_ms,
                longest_stop_ms=settings.longest_stop_ms,
                max_task_lease_ms=settings.max_task_lease_ms,
                settled_at_ms=ownership.claimed_ms + self._reach_ms,
                overload_ms=settings.overload_ms,
                drain_notice_ms=settings.drain_notice_ms,
                entry_life_ms=settings.entry_life_ms,
            ),
            configuration=read_configuration(),
            configuration_freshness=configuration_freshness,
            job_freshness=Freshness(
                max_age_ms=_MAX_JOB_AGE_FRACTION * settings.cancel_ms
            ),
            evacuations=evacuations,
            features=settings.features,
        )
        self._lag = LoopLag()
        lag = self._lag
        # Captures no reference to this owner, which the gauge would keep alive after
        # the end of its ownership.
        metrics.gauges["loop_lag_ms"] = lambda: lag.read(clock.monotonic_ms())
        self._loop_time = LoopTime(
            clock=clock,
            metrics=metrics,
            read_lag_ms=lambda: lag.read(clock.monotonic_ms()),
        )
        self._turns = Turns(read_lag_ms=lambda: lag.read(clock.monotonic_ms()))
        self._snapshots = build_snapshots(self._scheduler)
        self._waits_snapshot = build_waits_snapshot(self._scheduler, clock.monotonic_ms)
        self._is_loaded = False
        self._committer = Committer(
            store=store,
            clock=clock,
            scheduler=self._scheduler,
            owner_revision=ownership.owner_revision,
            on_ownership_lost=ownership.ended.set,
            notify=self.wake,
        )
        self._roster = Roster(
            store=store,
            clock=clock,
            ownership=ownership,
            scheduler=self._scheduler,
            notify=self.wake,
        )
        self._poll_worker = WorkerPoller(
            clock=clock,
            ownership=ownership,
            scheduler=self._scheduler,
            committer=self._committer,
            metrics=metrics,
            rejections=rejections,
            notify=self._wake_all,
            on_ownership_lost=self._on_ownership_lost,
            on_first_answer=self._roster.notify_change,
            turns=self._turns,
            extend_timeout=lambda timeout_ms: lag.extend(
                timeout_ms, clock.monotonic_ms()
            ),
            switch_work=self._loop_time.switch,
        ).run
        self._job_feed = JobFeed(
            store=store,
            clock=clock,
            ownership=ownership,
            scheduler=self._scheduler,
            rejections=rejections,
            notify=self._wake_all,
        )
        self._clients: dict[str, WorkerClient] = {}
        self._idle_limit: IdleLimit[Connection] = IdleLimit(
            max_connections=_MAX_IDLE_CONNECTIONS
        )
        self._settlement = Settlement(
            clock=clock,
            scheduler=self._scheduler,
            ownership=ownership,
            metrics=metrics,
        )
        self._recovery = RecoveryTracker(store=store, clock=clock, metrics=metrics)
        self._recovery.record(RecoveryStep.CLAIMED)
        self._order_slots = OrderSlots()
        self._place_writer: PlaceWriter | None = None
        self._unnamed_services = 0
        self._wake = trio.Event()

    def wake(self) -> None:
        """Request a new plan."""
        self._wake.set()

    async def run(self) -> None:
        """Run until the ownership has ended."""
        try:
            with self._export_gauges(), self._loop_time.measure():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._work, nursery, name=Work.PLAN)
                    await self._ownership.ended.wait()
                    nursery.cancel_scope.cancel()
            if self._ownership.released:
                await self._hand_over()
        finally:
            self._settlement.end()
            with trio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.close()

    async def _hand_over(self) -> None:
        """Write what the next owner needs to know, once no more orders are sent."""
        with trio.move_on_after(OWNER_LEASE_MS / 4000.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._committer.flush)
                nursery.start_soon(self._roster.hand_over)
                nursery.start_soon(self._save_waits)

    async def _save_waits(self) -> None:
        if self._is_loaded:
            await save_waits(self._store, self._ownership, self._waits_snapshot)

    @contextlib.contextmanager
    def _export_gauges(self) -> Iterator[None]:
        """Export the gauges of an owner for the duration of the context."""
        gauges: dict[str, Callable[[], float]] = {
            "restarts_waiting": lambda: float(
                len(list_restarts(self._scheduler.waiting))
            ),
            "restart_wait_ms": self._measure_restart_wait,
            "reserved_workers": lambda: float(self._scheduler.reservations.count),
            "service_largest_share": lambda: measure_largest_share(
                self._scheduler.workers.values(), self._scheduler.jobs
            ),
        }
        self._metrics.gauges.update(gauges)
        try:
            yield
        finally:
            for name in gauges:
                del self._metrics.gauges[name]

    def _measure_restart_wait(self) -> float:
        """Return the longest wait of a long-running task to be restarted, in ms."""
        now_ms = self._clock.monotonic_ms()
        longest = find_longest_wait(list_restarts(self._scheduler.waiting), now_ms)
        return measure_wait(longest, now_ms) if longest is not None else 0.0

    async def _work(self, nursery: trio.Nursery) -> None:
        contents = await self._load()
        nursery.start_soon(self._job_feed.follow, contents.jobs, name=Work.FEED)
        worker_feed = WorkerFeed(
            store=self._store,
            clock=self._clock,
            scheduler=self._scheduler,
            rejections=self._rejections,
            metrics=self._metrics,
            read_configuration=self._read_configuration,
            on_new_worker=functools.partial(self._add_worker, nursery),
            notify=self._wake_for_workers,
        )
        nursery.start_soon(worker_feed.follow, contents.workers, name=Work.FEED)
        nursery.start_soon(self._turns.run, name=Work.LOOP)
        nursery.start_soon(self._committer.run, name=Work.RECORD)
        nursery.start_soon(self._roster.run, name=Work.ROSTER)
        nursery.start_soon(self._run_place_writer, nursery, name=Work.PLACE)
        nursery.start_soon(self._loop_time.report, name=Work.MAINTENANCE)
        nursery.start_soon(self._settlement.log_awaited_workers)
        nursery.start_soon(self._find_departures, contents)
        maintenance = Maintenance(
            store=self._store,
            clock=self._clock,
            ownership=self._ownership,
            scheduler=self._scheduler,
            committer=self._committer,
            snapshots=self._snapshots,
            status_ms=self._settings.status_ms,
        )
        for run in (
            maintenance.save_snapshots,
            maintenance.renew_retention_lease,
            maintenance.remove_ended_jobs,
            maintenance.log_backlogs,
            maintenance.log_long_waits,
            maintenance.log_idle_jobs,
            maintenance.log_shortfalls,
            maintenance.log_evacuations,
        ):
            nursery.start_soon(run, name=Work.MAINTENANCE)
        nursery.start_soon(
            functools.partial(
                report_times,
                self._scheduler,
                clock=self._clock,
                metrics=self._metrics,
                read_lag_ms=lambda: self._lag.read(self._clock.monotonic_ms()),
            )
        )
        if self._settings.advice_address is not None:
            advice = AdviceClient(address=self._settings.advice_address)
            nursery.start_soon(
                run_advice_requests,
                advice,
                self._clock,
                self._scheduler,
                self._rejections,
                self.wake,
            )
        await self._plan(nursery, worker_feed)

    # State in the store.

    async def _load(self) -> ShardContents:
        """Load the state written by previous owners."""
        sent_ms = self._clock.monotonic_ms()
        contents = await load_shard(
            self._store,
            snapshot_keys=[
                each.key for each in (*self._snapshots, self._waits_snapshot)
            ],
        )
        self._ownership.revisions.note(
            sent_ms=sent_ms,
            received_ms=self._clock.monotonic_ms(),
            as_of=contents.workers.as_of,
            failures=self._store.failures,
        )
        self._take_inheritance(contents, self._read_roster(contents.roster))
        if self._ownership.epoch > 1:
            self._scheduler.idle_times.assume_unowned(
                self._ownership.requested_ms - MIN_UNOWNED_MS
            )
        self._restore_snapshots(contents.snapshots)
        self._job_feed.load(contents.jobs, contents.progress)
        self._is_loaded = True
        log_event(
            Event.SHARD_LOADED,
            epoch=self._ownership.epoch,
            jobs=len(contents.jobs.items),
            workers=len(contents.workers.items),
            places=self._scheduler.places.recorded_count
            if self._scheduler.places is not None
            else 0,
            awaited=len(self._scheduler.predecessors.awaited),
            recorded=self._scheduler.predecessors.unrecorded_epoch is None,
        )
        return contents

    async def _find_departures(self, contents: ShardContents) -> None:
        """Account for workers that had left as planned before the claim."""
        listed = {
            item.key.removeprefix(WORKER_PREFIX) for item in contents.workers.items
        }
        listed.add(_UNKNOWN_WORKER)
        await find_departures(
            self._store,
            [
                name
                for name in self._scheduler.predecessors.awaited
                if get_worker_id(name) not in listed
            ],
            revisions=self._ownership.revisions,
            entry_life_ms=self._settings.entry_life_ms,
            take_departure=self._take_departure,
        )

    def _take_departure(self, name: str) -> None:
        log_event(Event.WORKER_LOST, worker=get_worker_id(name), why="left")
        self._scheduler.note_departure(name)
        self.wake()

    def _read_roster(self, item: Item | None) -> tuple[str, ...]:
        try:
            self._roster.load(item)
            self._scheduler.roster_size = len(self._roster.workers)
        except DecodeError as error:
            # Any worker may run tasks of the previous owner, so only the expiry of
            # their leases proves that they have ended.
            self._reject(item, error)
            self._scheduler.roster_size = float("inf")
            return (_UNKNOWN_WORKER,)
        return self._roster.workers

    def _take_inheritance(
        self, contents: ShardContents, roster: tuple[str, ...]
    ) -> None:
        """Take over what previous owners recorded about their starts."""
        ownership = self._ownership
        now_ms = self._clock.monotonic_ms()
        # The next process under the same id grants the longest possible lease.
        valid_ms = self._settings.task_lease_ms + self._settings.max_task_lease_ms
        inheritance = read_inheritance(
            contents.placed.items,
            roster=roster,
            epoch=ownership.epoch,
            recorded_since=ownership.recorded_since,
            reject=self._reject,
            is_past=lambda revision: (
                now_ms - ownership.revisions.find_latest_ms(revision) > valid_ms
            ),
        )
        written_ms = min(
            now_ms, ownership.revisions.find_latest_ms(inheritance.head_revision)
        )
        for epoch, elapsed_ms in inheritance.elapsed_ms.items():
            ownership.note_end(epoch, written_ms - elapsed_ms)
        predecessors = inheritance.predecessors
        scheduler = self._scheduler
        scheduler.predecessors = predecessors
        scheduler.places = inheritance.ledger
        scheduler.lease_limits = {
            name: written_ms + limit_ms
            for name, limit_ms in inheritance.lease_limits.items()
        }
        scheduler.find_lease_expiry = lambda name: (
            self._reach_ms
            + ownership.find_end(
                predecessors.get_last_epoch(name, epoch=ownership.epoch)
            )
        )
        self._settlement.workers = frozenset(predecessors.awaited)
        self._roster.set_recorded(
            head_revision=inheritance.head_revision,
            damaged_keys=inheritance.damaged_keys,
        )

    def _restore_snapshots(self, items: Mapping[str, Item]) -> None:
        """Restore the readable learned models and waiting times of previous owners."""
        for snapshot in (*self._snapshots, self._waits_snapshot):
            item = items.get(snapshot.key)
            if item is None:
                continue
            try:
                snapshot.restore(item.value)
            except DecodeError as error:
                self._reject(item, error)

    def _reject(self, item: Item | None, error: DecodeError) -> None:
        if item is not None:
            self._rejections.report(
                Event.ENTRY_INVALID, item.key, str(error), revision=item.revision
            )

    def _wake_all(self) -> None:
        self.wake()
        self._committer.wake()

    def _wake_for_workers(self) -> None:
        self._roster.notify_change()
        self.wake()

    # Workers.

    def _add_worker(self, nursery: trio.Nursery, report: WorkerReport) -> None:
        client = WorkerClient(
            report=report,
            read_timeout=self._read_timeout,
            idle_limit=self._idle_limit,
        )
        self._clients[report.worker_id] = client
        worker = self._scheduler.workers[report.worker_id]
        worker.is_in_roster = self._roster.contains(worker.incarnation)
        worker.is_lease_limited = (
            worker.incarnation in self._scheduler.lease_limits
            or self._roster.limits_leases(worker.incarnation)
        )
        nursery.start_soon(self._run_poller, worker, client, name=Work.POLL)

    async def _run_poller(self, worker: Worker, client: WorkerClient) -> None:
        await self._poll_worker(worker, client)
        worker_id = worker.report.worker_id
        if self._clients.get(worker_id) is client:
            del self._clients[worker_id]
        await client.close()

    async def _run_place_writer(self, nursery: trio.Nursery) -> None:
        """Write places, and send the starts that waited for them."""
        if self._scheduler.places is None:
            return
        self._place_writer = PlaceWriter(
            store=self._store,
            clock=self._clock,
            ownership=self._ownership,
            ledger=self._scheduler.places,
            notify=functools.partial(self._send_pending_orders, nursery),
        )
        await self._place_writer.run()

    def _send_pending_orders(self, nursery: trio.Nursery) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._ownership.valid_until_ms:
            return
        for order in plan_pending_orders(self._scheduler, now_ms):
            nursery.start_soon(self._execute_order, order, name=_name_work(order))

    def _on_ownership_lost(self) -> None:
        log_event(Event.SHARD_FENCED, epoch=self._ownership.epoch)
        self._ownership.ended.set()

    def _read_timeout(self) -> float:
        return self._lag.extend(_WORKER_TIMEOUT_MS, self._clock.monotonic_ms())

    async def _wait_for_batch(self) -> None:
        """Wait for more changes, and record how late the timer fired."""
        began_ms = self._clock.monotonic_ms()
        await self._clock.sleep_ms(_BATCH_WINDOW_MS)
        now_ms = self._clock.monotonic_ms()
        self._lag.note(now_ms - began_ms - _BATCH_WINDOW_MS, now_ms)

    async def _plan(self, nursery: trio.Nursery, worker_feed: WorkerFeed) -> None:
        while True:
            with trio.move_on_after(_MAX_PLAN_INTERVAL_MS / 1000.0):
                await self._wake.wait()
            # Not inside the timeout above, which would cancel a late wait, so that its
            # lag would not be recorded.
            await self._wait_for_batch()
            self._wake = trio.Event()
            if has_urgent_waiting(self._scheduler):
                self._plan_once(nursery, worker_feed, with_fillers=False)
                if not are_fillers_due(self._scheduler, self._clock.monotonic_ms()):
                    continue
                # A plan with fillers takes several times as long.
                await self._clock.sleep_ms(_FILLER_PLAN_DELAY_MS)
            self._plan_once(nursery, worker_feed, with_fillers=True)

    def _plan_once(
        self, nursery: trio.Nursery, worker_feed: WorkerFeed, *, with_fillers: bool
    ) -> None:
        """Plan, and record for how long that has blocked the event loop."""
        began_ms = self._clock.monotonic_ms()
        self._plan_and_send(nursery, worker_feed, with_fillers=with_fillers)
        self._loop_time.switch(Work.FILLER_PLAN if with_fillers else Work.PLAN)
        now_ms = self._clock.monotonic_ms()
        self._lag.note(now_ms - began_ms, now_ms)

    def _plan_and_send(
        self, nursery: trio.Nursery, worker_feed: WorkerFeed, *, with_fillers: bool
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._ownership.valid_until_ms:
            # The lease may have expired while the machine was suspended. Another owner
            # may have started the tasks that are still queued here.
            return
        scheduler = self._scheduler
        if scheduler.is_superseded:
            self._on_ownership_lost()
            return
        configuration = self._read_configuration()
        unnamed = len(scheduler.services - configuration.services)
        if configuration.version != scheduler.configuration.version:
            scheduler.set_configuration(configuration)
            worker_feed.retry_unknown_services()
        elif unnamed > self._unnamed_services:
            # The queue of a new job names a service that has left the configuration.
            worker_feed.retry_unknown_services()
        self._unnamed_services = unnamed
        for expiry in release_expired(scheduler, now_ms):
            log_lease_expiry(expiry)
        if self._settlement.is_settled and len(scheduler.workers) < len(
            self._roster.workers
        ):
            # A worker was removed because its leases expired, which changes no entry in
            # the store.
            self._roster.notify_change()
        self._log_losses()
        if self._settlement.update(now_ms):
            self._roster.mark_settled()
        orders = plan_orders(
            scheduler,
            settled=self._settlement.is_settled,
            now_ms=now_ms,
            wall_ms=self._clock.wall_ms(),
            with_fillers=with_fillers,
        )
        log_plan_failures(
            scheduler.failures, self._metrics, epoch=self._ownership.epoch
        )
        log_late_jobs(scheduler, self._metrics)
        report_reservations(scheduler.reservations, self._metrics)
        log_copies(scheduler, self._metrics)
        for order in orders:
            nursery.start_soon(self._execute_order, order, name=_name_work(order))
        self._wake_writers()

    def _wake_writers(self) -> None:
        """Write what the plan has changed."""
        if self._scheduler.dirty:
            self._committer.wake()
        if self._place_writer is not None:
            self._place_writer.wake()
        if (
            self._scheduler.unreleased
            or not self._settlement.is_settled
            or has_lease_limits(self._scheduler, self._clock.monotonic_ms())
        ):
            self._roster.notify_change()

    def _log_losses(self) -> None:
        """Log the workers lost since the last plan."""
        for loss in self._scheduler.suspects.losses:
            self._metrics.count("losses", loss.cause.value)
            log_loss(loss)
        self._scheduler.suspects.losses.clear()

    async def _execute_order(self, order: Order) -> None:
        if _may_wait(order):
            # A change of pace may protect a service task.
            await self._turns.wait(is_urgent=isinstance(order, PaceOrder))
        async with self._order_slots.hold(order):
            outcome = await execute_order(
                order,
                self._clients.get(order.worker_id),
                scheduler=self._scheduler,
                clock=self._clock,
                metrics=self._metrics,
            )
        if outcome is not OrderOutcome.DONE:
            self.wake()
        elif isinstance(order, StartOrder):
            self._recovery.record(RecoveryStep.STARTED)
            self._committer.wake()


def _may_wait(order: Order) -> bool:
    """Return whether an order is sent after those for which clients wait."""
    return isinstance(order, PaceOrder) or (
        isinstance(order, StartOrder) and order.is_filler
    )


def _name_work(order: Order) -> Work:
    """Return the kind of work that sending an order is."""
    if isinstance(order, StartOrder):
        return Work.FILLER_START if order.is_filler else Work.START
    return Work.PACE if isinstance(order, PaceOrder) else Work.STOP
