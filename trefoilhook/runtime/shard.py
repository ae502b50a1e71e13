"""The work of a shard's owner: what the scheduler decides, carried out."""

import contextlib
from collections.abc import Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import DecodeError, StoreError
from trefoilhook.logs import Event, log_event
from trefoilhook.platform import (
    WORKER_PREFIX,
    Address,
    AdviceClient,
    Change,
    Item,
    KeyValueStore,
    Listing,
    WorkerClient,
    decode_worker_report,
)
from trefoilhook.runtime import keys
from trefoilhook.runtime.advising import ask_for_advice
from trefoilhook.runtime.commits import Committer
from trefoilhook.runtime.figures import Figures
from trefoilhook.runtime.following import follow
from trefoilhook.runtime.lag import LoopLag
from trefoilhook.runtime.orders import carry_out
from trefoilhook.runtime.ownership import OWNER_LEASE_MS, Tenure
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.roster import Roster
from trefoilhook.runtime.upkeep import Upkeep
from trefoilhook.runtime.watching import WorkerWatch
from trefoilhook.scheduling import (
    SLOWEST_CLOCK,
    Configuration,
    JobPhase,
    Lapse,
    Order,
    OrderOutcome,
    Scheduler,
    SchedulerLimits,
    StartOrder,
    Worker,
    decode_interference,
    decode_job_record,
    decode_progress,
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

_LOAD_RETRY_MS = 200.0
"""Pause after a try to read the shard that failed, in ms."""

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
    advice_address : (str, int) or None
        Where the service listens that tells which workers a step may run on.
    """

    task_lease_ms: float
    longest_stop_ms: float
    overload_ms: float
    status_ms: float
    advice_address: Address | None = None


def _log_lapse(lapse: Lapse) -> None:
    log_event(
        Event.WORKER_LOST,
        worker=lapse.worker_id,
        why="leases lapsed",
        listed=lapse.listed,
        silent_ms=round(lapse.silent_ms),
        given_up=len(lapse.given_up),
        awaited=lapse.awaited,
    )
    for task, attempt in lapse.given_up:
        log_event(
            Event.TASK_GIVEN_UP,
            task=str(task),
            attempt=attempt,
            worker=lapse.worker_id,
            why="leases lapsed",
        )


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
        figures: Figures,
        rejections: Rejections,
    ) -> None:
        self._figures = figures
        self._rejections = rejections
        self._unnamed: dict[str, Item] = {}
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
            ),
            configuration=read_configuration(),
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
        jobs, workers = await self._load()
        nursery.start_soon(self._follow_jobs, jobs)
        nursery.start_soon(self._follow_workers, nursery, workers)
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
        await self._plan(nursery)

    # What stands in the store.

    async def _load(self) -> tuple[Listing, Listing]:
        """Take in all that earlier owners left, trying until it is read."""
        while True:
            try:
                workers = await self._store.list_items(WORKER_PREFIX)
                progress = await self._store.list_items(
                    keys.progress_prefix(keys.SHARD)
                )
                # Jobs after progress: a job whose end is written in between is then
                # seen ended, never open without what was done of it.
                jobs = await self._store.list_items(keys.job_prefix(keys.SHARD))
                roster = await self._store.get(keys.roster_key(keys.SHARD))
                learned = await self._store.get(keys.learned_key(keys.SHARD))
                break
            except StoreError:
                await self._clock.sleep_ms(_LOAD_RETRY_MS)
        self._take_roster(roster)
        self._take_learned(learned)
        known = {keys.read_job_id(item.key): item for item in progress.items}
        for item in jobs.items:
            self._take_job(item, known.get(keys.read_job_id(item.key)))
        log_event(
            Event.SHARD_LOADED,
            epoch=self._tenure.epoch,
            jobs=len(jobs.items),
            workers=len(workers.items),
        )
        return jobs, workers

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

    def _take_job(self, item: Item, progress: Item | None = None) -> None:
        """Take in a job's record, or hold the job back if it can't be read.

        Without its progress a job can't be told from one that has just come, and tasks
        of it that are done would run again. So it stays held back in this tenure, also
        when its record alone is mended: that brings no progress with it.
        """
        job_id = keys.read_job_id(item.key)
        try:
            record = decode_job_record(item.value)
            if record.job.job_id != job_id:
                raise DecodeError("job_id: not the key's")
        except DecodeError as error:
            self._hold_back(job_id, item, error)
            return
        try:
            done = decode_progress(progress.value) if progress is not None else None
        except DecodeError as error:
            self._hold_back(job_id, progress, error)
            return
        self._rejections.accept(Event.ENTRY_INVALID, item.key)
        if job_id in self._scheduler.held_back:
            return
        if job_id in self._scheduler.jobs:
            if record.phase is JobPhase.CANCELLED:
                self._scheduler.cancel_job(job_id, revision=item.revision)
            return
        self._scheduler.add_job(
            record,
            revision=item.revision,
            certain=item.created > self._tenure.owner_revision,
            wall_ms=self._clock.wall_ms(),
            progress=done,
            progress_revision=progress.revision if progress is not None else 0,
        )

    def _hold_back(self, job_id: str, item: Item | None, error: DecodeError) -> None:
        self._reject(item, error)
        if job_id not in self._scheduler.jobs:
            self._scheduler.held_back.add(job_id)

    async def _follow_jobs(self, listing: Listing) -> None:
        def take_listing(fresh: Listing) -> None:
            for item in fresh.items:
                self._take_job(item)
            self._wake_all()

        def take_change(change: Change) -> None:
            if change.item is None:
                job_id = keys.read_job_id(change.key)
                self._scheduler.held_back.discard(job_id)
                return
            self._take_job(change.item)
            self._wake_all()

        await follow(
            self._store,
            self._clock,
            keys.job_prefix(keys.SHARD),
            take_listing=take_listing,
            take_change=take_change,
            listing=listing,
        )

    def _wake_all(self) -> None:
        self.wake()
        self._committer.wake()

    async def _follow_workers(self, nursery: trio.Nursery, listing: Listing) -> None:
        def take_listing(fresh: Listing) -> None:
            listed = set()
            self._unnamed.clear()
            for item in fresh.items:
                listed.add(item.key.removeprefix(WORKER_PREFIX))
                self._take_worker(nursery, item)
            for worker_id in set(self._scheduler.workers) - listed:
                self._scheduler.unlist_worker(worker_id)
            self._roster.wake()

        def take_change(change: Change) -> None:
            if change.item is not None:
                self._take_worker(nursery, change.item)
            else:
                worker_id = change.key.removeprefix(WORKER_PREFIX)
                self._rejections.accept(Event.REPORT_INVALID, change.key)
                self._unnamed.pop(change.key, None)
                if worker_id in self._scheduler.workers:
                    self._scheduler.unlist_worker(worker_id)
                    log_event(Event.WORKER_LOST, worker=worker_id, why="unlisted")
            self._roster.wake()
            self.wake()

        take_listing(listing)
        await follow(
            self._store,
            self._clock,
            WORKER_PREFIX,
            take_listing=take_listing,
            take_change=take_change,
            listing=listing,
        )

    def _take_worker(self, nursery: trio.Nursery, item: Item) -> None:
        self._unnamed.pop(item.key, None)
        try:
            report = decode_worker_report(item.key, item.value)
            if report.service not in self._read_configuration().services:
                self._unnamed[item.key] = item
                raise DecodeError("service: not in the configuration")
        except DecodeError as error:
            self._rejections.report(
                Event.REPORT_INVALID, item.key, str(error), revision=item.revision
            )
            self._scheduler.bar_worker(item.key.removeprefix(WORKER_PREFIX))
            return
        self._rejections.accept(Event.REPORT_INVALID, item.key)
        is_new = report.worker_id not in self._scheduler.workers
        self._scheduler.update_worker(report)
        if is_new:
            client = WorkerClient(report=report, read_timeout=self._read_timeout)
            self._clients[report.worker_id] = client
            worker = self._scheduler.workers[report.worker_id]
            worker.rostered = report.worker_id in self._roster.workers
            nursery.start_soon(self._watch, worker, client)

    def _take_unnamed(self, nursery: trio.Nursery) -> None:
        """Look again at workers of services that the configuration didn't name."""
        for item in list(self._unnamed.values()):
            self._take_worker(nursery, item)
        self._roster.wake()

    # What runs on the workers.

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

    async def _plan(self, nursery: trio.Nursery) -> None:
        while True:
            with trio.move_on_after(_TICK_MS / 1000.0):
                await self._wake.wait()
            # Outside of the pause: within it, a wait that ends late is given up.
            await self._gather()
            self._wake = trio.Event()
            began_ms = self._clock.monotonic_ms()
            self._plan_once(nursery)
            now_ms = self._clock.monotonic_ms()
            # No timer tells of the plan itself: everything else waits meanwhile.
            self._lag.note(now_ms - began_ms, now_ms)

    def _plan_once(self, nursery: trio.Nursery) -> None:
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
            self._take_unnamed(nursery)
        for lapse in release_lapsed(scheduler, now_ms):
            _log_lapse(lapse)
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
