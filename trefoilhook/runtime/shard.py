"""The work of a shard's owner: what the scheduler decides, carried out."""

import contextlib
import functools
from collections.abc import Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    Address,
    AdviceClient,
    Item,
    KeyValueStore,
    WorkerClient,
)
from trefoilhook.runtime.advice import ask_for_advice
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.jobfeed import JobFeed
from trefoilhook.runtime.lag import LoopLag
from trefoilhook.runtime.loading import ShardContents, load_shard
from trefoilhook.runtime.losses import log_lapse, log_loss
from trefoilhook.runtime.maintenance import Upkeep
from trefoilhook.runtime.metrics import Figures
from trefoilhook.runtime.orders import carry_out
from trefoilhook.runtime.ownership import OWNER_LEASE_MS, Tenure
from trefoilhook.runtime.polling import WorkerWatch
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.roster import Roster
from trefoilhook.runtime.workerfeed import WorkerFeed
from trefoilhook.scheduling import (
    SLOWEST_CLOCK,
    Configuration,
    Evacuations,
    Order,
    OrderOutcome,
    Scheduler,
    SchedulerLimits,
    StartOrder,
    Worker,
    WorkerReport,
    decode_interference,
    is_settled,
    list_unheard,
    plan_orders,
    release_lapsed,
)

__all__ = ["ShardOwner", "ShardSettings"]

_WORKER_TIMEOUT_MS = 600.0
"""Longest time for an answer of a worker, in ms: the round trip is 2 ms, and a worker
that is six times slower than usual still answers at once."""

_MOST_NAMED = 5
"""Workers named in one line: enough to look at, and a line stays under 400 bytes."""

_GATHER_MS = 6.0
"""How long a plan waits for more news, in ms: news come in bursts, as the tasks of a
step end together, and one plan for all is cheaper."""

_TICK_MS = 100.0
"""Longest pause between two plans, in ms; each repeats orders without an answer."""

_MOST_STARTS_IN_FLIGHT = 64
"""Starts on their way at the same time. Hundreds sent at once kept a small owner busy
for longer than it waited for the first answers, and its looks timed out beside them. 64
take it some 0.1 s, and answers come in 2 ms: this doesn't bound the rate."""

_LEASE_SLACK_MS = 300.0
"""Added to the longest time for which orders of an earlier owner can have effect: what
was on its way when its machine froze, and clocks that are 2 % slow."""


_UNKNOWN_WORKER = ""
"""Stands for the workers of a roster that can't be read: never known to be fenced."""


@attrs.frozen(kw_only=True)
class ShardSettings:
    """Time limits of a shard's owner, in ms.

    Parameters
    ----------
    task_lease_ms : float
        Lease that each look gives to what runs on a worker.
    longest_stop_ms : float
        Longest time that a task takes to stop.
    overload_ms : float
        How long a service task may be over its latency limit at most.
    status_ms : float
        How long the state of an ended job must be told.
    drain_notice_ms : float
        A worker announces in the store that it leaves at least so long before.
    entry_life_ms : float
        How long the entry of a dead worker stays in the store.
    advice_address : (str, int) or None
        Where the service listens that tells which workers a step may run on.
    """

    task_lease_ms: float
    longest_stop_ms: float
    overload_ms: float
    status_ms: float
    drain_notice_ms: float
    entry_life_ms: float
    advice_address: Address | None = None


class ShardOwner:
    """Carries out one tenure.

    Parameters
    ----------
    store : KeyValueStore
        Where jobs, workers and progress are.
    clock : Clock
        Where time comes from.
    tenure : Tenure
        The ownership.
    settings : ShardSettings
        Time limits.
    read_configuration : callable
        Returns the configuration in force.
    evacuations : Evacuations
        Evacuations in force, updated by the caller.
    figures : Figures
        Where orders and ends are counted.
    rejections : Rejections
        Told of what can't be read.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        tenure: Tenure,
        settings: ShardSettings,
        read_configuration: Callable[[], Configuration],
        evacuations: Evacuations,
        figures: Figures,
        rejections: Rejections,
    ) -> None:
        self._figures = figures
        self._rejections = rejections
        self._store = store
        self._clock = clock
        self._tenure = tenure
        self._settings = settings
        self._read_configuration = read_configuration
        reach_ms = OWNER_LEASE_MS + settings.task_lease_ms / SLOWEST_CLOCK
        self._scheduler = Scheduler(
            epoch=tenure.epoch,
            limits=SchedulerLimits(
                task_lease_ms=settings.task_lease_ms,
                longest_stop_ms=settings.longest_stop_ms,
                settled_at_ms=tenure.claimed_ms + reach_ms + _LEASE_SLACK_MS,
                overload_ms=settings.overload_ms,
                drain_notice_ms=settings.drain_notice_ms,
                entry_life_ms=settings.entry_life_ms,
            ),
            configuration=read_configuration(),
            evacuations=evacuations,
        )
        self._committer = Committer(
            store=store,
            clock=clock,
            scheduler=self._scheduler,
            owner_revision=tenure.owner_revision,
            depose=tenure.over.set,
            notify=self.wake,
        )
        self._roster = Roster(
            store=store,
            clock=clock,
            tenure=tenure,
            scheduler=self._scheduler,
            notify=self.wake,
        )
        self._watch_worker = WorkerWatch(
            clock=clock,
            tenure=tenure,
            scheduler=self._scheduler,
            committer=self._committer,
            figures=figures,
            rejections=rejections,
            notify=self._wake_all,
            depose=self._depose,
            meet=self._roster.wake,
        ).run
        self._job_feed = JobFeed(
            store=store,
            clock=clock,
            tenure=tenure,
            scheduler=self._scheduler,
            rejections=rejections,
            notify=self._wake_all,
        )
        self._clients: dict[str, WorkerClient] = {}
        self._earlier_roster: tuple[str, ...] = ()
        self._settled = False
        self._lag = LoopLag()
        lag = self._lag
        # Not through this owner, which would outlive its tenure in the gauges.
        figures.gauges["loop_lag_ms"] = lambda: lag.read(clock.monotonic_ms())
        self._starts = trio.CapacityLimiter(_MOST_STARTS_IN_FLIGHT)
        self._wake = trio.Event()

    def wake(self) -> None:
        """Have the next plan made soon."""
        self._wake.set()

    async def run(self) -> None:
        """Work until the tenure is over."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._work, nursery)
                await self._tenure.over.wait()
                nursery.cancel_scope.cancel()
            if self._tenure.released:
                with trio.move_on_after(OWNER_LEASE_MS / 4000.0):
                    await self._committer.flush()
        finally:
            with trio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.close()

    async def _work(self, nursery: trio.Nursery) -> None:
        contents = await self._load()
        nursery.start_soon(self._job_feed.follow, contents.jobs)
        worker_feed = WorkerFeed(
            store=self._store,
            clock=self._clock,
            scheduler=self._scheduler,
            rejections=self._rejections,
            read_configuration=self._read_configuration,
            meet=functools.partial(self._meet, nursery),
            notify=self._wake_for_workers,
        )
        nursery.start_soon(worker_feed.follow, contents.workers)
        nursery.start_soon(self._committer.run)
        nursery.start_soon(self._roster.keep)
        upkeep = Upkeep(
            store=self._store,
            clock=self._clock,
            tenure=self._tenure,
            scheduler=self._scheduler,
            committer=self._committer,
            status_ms=self._settings.status_ms,
        )
        nursery.start_soon(upkeep.keep_learned)
        nursery.start_soon(upkeep.keep_retention)
        nursery.start_soon(upkeep.forget_ended)
        nursery.start_soon(upkeep.tell_backlogs)
        nursery.start_soon(upkeep.tell_shortfalls)
        nursery.start_soon(upkeep.tell_evacuations)
        if self._settings.advice_address is not None:
            advice = AdviceClient(address=self._settings.advice_address)
            nursery.start_soon(
                ask_for_advice,
                advice,
                self._clock,
                self._scheduler,
                self._rejections,
                self.wake,
            )
        await self._plan(nursery, worker_feed)

    # What stands in the store.

    async def _load(self) -> ShardContents:
        """Take in all that earlier owners left."""
        contents = await load_shard(self._store, self._clock)
        self._take_roster(contents.roster)
        self._take_learned(contents.learned)
        self._job_feed.take_loaded(contents.jobs, contents.progress)
        log_event(
            Event.SHARD_LOADED,
            epoch=self._tenure.epoch,
            jobs=len(contents.jobs.items),
            workers=len(contents.workers.items),
        )
        return contents

    def _take_roster(self, item: Item | None) -> None:
        try:
            self._roster.take(item)
            self._earlier_roster = self._roster.workers
        except DecodeError as error:
            # Any worker may run tasks of the earlier owner: only its leases tell when
            # they are over.
            self._reject(item, error)
            self._earlier_roster = (_UNKNOWN_WORKER,)

    def _take_learned(self, item: Item | None) -> None:
        """Take in what earlier owners learned; it only guides choices."""
        try:
            if item is not None:
                self._scheduler.interference = decode_interference(item.value)
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
        self._roster.wake()
        self.wake()

    # What runs on the workers.

    def _meet(self, nursery: trio.Nursery, report: WorkerReport) -> None:
        client = WorkerClient(report=report, read_timeout=self._read_timeout)
        self._clients[report.worker_id] = client
        worker = self._scheduler.workers[report.worker_id]
        worker.rostered = report.worker_id in self._roster.workers
        nursery.start_soon(self._watch, worker, client)

    async def _watch(self, worker: Worker, client: WorkerClient) -> None:
        await self._watch_worker(worker, client)
        worker_id = worker.report.worker_id
        if self._clients.get(worker_id) is client:
            del self._clients[worker_id]
        await client.close()

    def _depose(self) -> None:
        log_event(Event.SHARD_FENCED, epoch=self._tenure.epoch)
        self._tenure.over.set()

    def _read_timeout(self) -> float:
        return self._lag.extend(_WORKER_TIMEOUT_MS, self._clock.monotonic_ms())

    async def _gather(self) -> None:
        """Wait for more news, and note how late that wait ends."""
        began_ms = self._clock.monotonic_ms()
        await self._clock.sleep_ms(_GATHER_MS)
        now_ms = self._clock.monotonic_ms()
        self._lag.note(now_ms - began_ms - _GATHER_MS, now_ms)

    async def _plan(self, nursery: trio.Nursery, worker_feed: WorkerFeed) -> None:
        while True:
            with trio.move_on_after(_TICK_MS / 1000.0):
                await self._wake.wait()
            # Outside of the pause: within it, a wait that ends late is given up.
            await self._gather()
            self._wake = trio.Event()
            began_ms = self._clock.monotonic_ms()
            self._plan_once(nursery, worker_feed)
            now_ms = self._clock.monotonic_ms()
            # No timer tells of the plan itself: everything else waits meanwhile.
            self._lag.note(now_ms - began_ms, now_ms)

    def _plan_once(self, nursery: trio.Nursery, worker_feed: WorkerFeed) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._tenure.valid_until_ms:
            # The lease may have run out while the machine was frozen: another owner
            # may have started what seems to wait here.
            return
        scheduler = self._scheduler
        if scheduler.deposed:
            self._depose()
            return
        configuration = self._read_configuration()
        if configuration.version != scheduler.configuration.version:
            scheduler.set_configuration(configuration)
            worker_feed.take_unnamed()
        for lapse in release_lapsed(scheduler, now_ms):
            log_lapse(lapse)
        if self._settled and len(scheduler.workers) < len(self._roster.workers):
            # A worker is gone. No change of the list tells so, only its leases did.
            self._roster.wake()
        self._tell_losses()
        if not self._settled and is_settled(scheduler, self._earlier_roster, now_ms):
            self._settled = True
            self._roster.settle()
            self._figures.observe("takeover_ms", now_ms - self._tenure.claimed_ms)
            log_event(
                Event.SHARD_SETTLED,
                epoch=self._tenure.epoch,
                after_ms=round(now_ms - self._tenure.claimed_ms),
                unheard=list_unheard(scheduler, self._earlier_roster)[:_MOST_NAMED],
            )
        orders = plan_orders(
            scheduler,
            settled=self._settled,
            now_ms=now_ms,
            wall_ms=self._clock.wall_ms(),
        )
        for order in orders:
            nursery.start_soon(self._carry_out, order)
        if scheduler.dirty:
            self._committer.wake()

    def _tell_losses(self) -> None:
        """Log the workers that were lost since the last plan."""
        for loss in self._scheduler.suspects.losses:
            self._figures.count("losses", loss.cause.value)
            log_loss(loss)
        self._scheduler.suspects.losses.clear()

    async def _carry_out(self, order: Order) -> None:
        turn: contextlib.AbstractAsyncContextManager[None] = contextlib.nullcontext()
        if isinstance(order, StartOrder):
            turn = self._starts
        async with turn:
            outcome = await carry_out(
                order,
                self._clients.get(order.worker_id),
                scheduler=self._scheduler,
                clock=self._clock,
                figures=self._figures,
            )
        if outcome is not OrderOutcome.DONE:
            self.wake()
