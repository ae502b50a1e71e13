"""The task that speaks to one worker: lease, commands and news."""

import math
from collections.abc import Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    FencedError,
    LeaseLostError,
    NotSentError,
    TrefoilhookError,
)
from trefoilhook.jobs.bounds import bound_news
from trefoilhook.jobs.core import Attempt
from trefoilhook.jobs.messages import (
    Order,
    OrderKind,
    TaskNews,
    TaskRef,
    TaskStatus,
    WorkerAddress,
)
from trefoilhook.jobs.settings import JobSettings
from trefoilhook.logs import Event, log_event
from trefoilhook.workers import (
    CommandKind,
    CommandResult,
    CommandStatus,
    Resources,
    UsageReport,
    WorkerClient,
    WorkerCommand,
    WorkerInventory,
    WorkerTask,
)

__all__ = [
    "InventoryTaken",
    "NewsHeard",
    "SessionEvent",
    "WorkerLapsed",
    "WorkerSession",
    "compose_epoch",
]

_GENERATIONS = 1 << 20
_STATUSES = {
    "running": TaskStatus.RUNNING,
    "finished": TaskStatus.FINISHED,
    "failed": TaskStatus.FAILED,
    "evicted": TaskStatus.EVICTED,
    "stopped": TaskStatus.STOPPED,
}
_KINDS = {
    OrderKind.START: CommandKind.START,
    OrderKind.STOP: CommandKind.STOP,
    OrderKind.EVICT: CommandKind.CHECKPOINT_EVICT,
    OrderKind.ACKNOWLEDGE: CommandKind.ACKNOWLEDGE,
}
_REFUSALS = frozenset({CommandStatus.NO_CAPACITY, CommandStatus.STALE_ATTEMPT})


@attrs.frozen(kw_only=True)
class InventoryTaken:
    """A worker's lease was taken; here is all that it holds.

    Parameters
    ----------
    worker_id : str
        The worker.
    capacity : Resources
        All that it has.
    news : tuple of TaskNews
        Its tasks.
    """

    worker_id: str
    capacity: Resources
    news: tuple[TaskNews, ...]


@attrs.frozen(kw_only=True)
class NewsHeard:
    """A worker answered a renewal or commands.

    Parameters
    ----------
    worker_id : str
        The worker.
    news : tuple of TaskNews
        Tasks that started, ended or were refused.
    report : UsageReport or None
        The newest measurement.
    """

    worker_id: str
    news: tuple[TaskNews, ...]
    report: UsageReport | None = None


@attrs.frozen(kw_only=True)
class WorkerLapsed:
    """A worker was not reached for so long that its tasks have surely stopped.

    Parameters
    ----------
    worker_id : str
        The worker.
    """

    worker_id: str


SessionEvent = InventoryTaken | NewsHeard | WorkerLapsed


def compose_epoch(shard_epoch: int, generation: int) -> int:
    """Return the epoch that a worker's lease is taken at.

    A lapsed lease is only taken anew at a higher epoch, so that no command sent under
    it can still take effect; the generation counts the takings within one ownership.
    """
    return shard_epoch * _GENERATIONS + generation


class WorkerSession:
    """What the owner of a shard does about one worker.

    Parameters
    ----------
    address : WorkerAddress
        The worker.
    client : WorkerClient
        Adapter to it.
    owner_id : str
        This instance.
    shard_epoch : int
        Epoch of the shard's claim.
    may_act : callable
        Whether this instance may still act for the shard, read before each call.
    clock : Clock
        Time.
    settings : JobSettings
        Times.
    events : trio.MemorySendChannel
        Where what is heard goes.
    """

    def __init__(
        self,
        *,
        address: WorkerAddress,
        client: WorkerClient,
        owner_id: str,
        shard_epoch: int,
        may_act: Callable[[], bool],
        clock: Clock,
        settings: JobSettings,
        events: trio.MemorySendChannel[SessionEvent],
    ) -> None:
        self._address = address
        self._client = client
        self._owner_id = owner_id
        self._shard_epoch = shard_epoch
        self._may_act = may_act
        self._clock = clock
        self._settings = settings
        self._events = events
        self._orders: list[Order] = []
        self._wanted = trio.Event()
        self._generation = 0
        self._last_sent_ms = -math.inf
        self._is_lapse_told = False
        self.scope = trio.CancelScope()
        self.is_held = False

    def send(self, orders: list[Order]) -> None:
        """Queue orders; they are sent at once, in this order."""
        self._orders.extend(orders)
        self._wanted.set()

    async def run(self) -> None:
        """Take the lease, hold it and take it anew, until cancelled or fenced."""
        self._last_sent_ms = self._clock.monotonic_ms()
        with self.scope:
            try:
                while True:
                    await self._take()
                    await self._hold()
            except FencedError:
                # A later owner has the worker; the table of shards will say so too.
                log_event(Event.SHARD_FENCED, worker=self._address.worker_id)
            finally:
                await self._client.close()

    async def _take(self) -> None:
        """Take the lease at a new generation; orders of the former one are void.

        What the worker did of them is in the inventory, and what is still on its way
        carries the old epoch and is refused.
        """
        self._generation += 1
        first_try_ms = self._clock.monotonic_ms()
        self._is_lapse_told = False
        while True:
            await self._wait_for_right()
            try:
                inventory = await self._try_taking()
            except FencedError:
                raise
            except NotSentError:
                await self._wait_out()
            except LeaseLostError:
                self._generation += 1
            except TrefoilhookError:
                self._last_sent_ms = self._clock.monotonic_ms()
                if self._last_sent_ms - first_try_ms >= self._settings.give_up_ms:
                    await self._fall_silent()
            else:
                break
            await self._clock.sleep_ms(self._settings.renew_interval_ms)
        self._orders.clear()
        self._last_sent_ms = self._clock.monotonic_ms()
        self.is_held = True
        news = tuple(self._read_task(task) for task in inventory.tasks)
        await self._events.send(
            InventoryTaken(
                worker_id=self._address.worker_id,
                capacity=inventory.capacity,
                news=news,
            )
        )

    async def _try_taking(self) -> WorkerInventory:
        epoch = compose_epoch(self._shard_epoch, self._generation)
        ttl_ms = self._settings.worker_lease_ms
        return await self._client.take_lease(self._owner_id, epoch, ttl_ms)

    async def _fall_silent(self) -> None:
        """Stop asking until the worker's tasks have surely stopped.

        A request whose answer got lost may have taken the lease, and the tasks go on
        under it; asking on and on would keep them running unseen, and they could never
        be started elsewhere.
        """
        while not self._is_lapse_told:
            await self._clock.sleep_ms(self._settings.renew_interval_ms)
            await self._wait_out()

    async def _wait_out(self) -> None:
        """Tell once that the worker's tasks have stopped, when they surely have.

        The time counts from the last message sent that could extend the lease, or from
        the claim of the shard.
        """
        silent_ms = self._clock.monotonic_ms() - self._last_sent_ms
        if self._is_lapse_told or silent_ms < self._settings.lapse_ms:
            return
        self._is_lapse_told = True
        log_event(Event.WORKER_LOST, worker=self._address.worker_id)
        await self._events.send(WorkerLapsed(worker_id=self._address.worker_id))

    async def _wait_for_right(self) -> None:
        while not self._may_act():
            await self._clock.sleep_ms(self._settings.tick_ms)

    async def _hold(self) -> None:
        """Renew and send orders until the lease is lost or the worker falls silent."""
        epoch = compose_epoch(self._shard_epoch, self._generation)
        answered_ms = self._clock.monotonic_ms()
        renewed_ms = -math.inf
        while True:
            await self._wait_for_right()
            now_ms = self._clock.monotonic_ms()
            try:
                if self._orders:
                    await self._send_orders(epoch)
                if now_ms - renewed_ms >= self._settings.renew_interval_ms:
                    self._last_sent_ms = now_ms
                    await self._renew(epoch)
                    renewed_ms = now_ms
                answered_ms = self._clock.monotonic_ms()
            except LeaseLostError:
                break
            except FencedError:
                raise
            except TrefoilhookError:
                if now_ms - answered_ms >= self._settings.give_up_ms:
                    break
                await self._clock.sleep_ms(self._settings.tick_ms)
                continue
            await self._pause()
        self.is_held = False

    async def _pause(self) -> None:
        if self._orders:
            return
        self._wanted = trio.Event()
        with trio.move_on_after(self._settings.renew_interval_ms / 1000.0):
            await self._wanted.wait()

    async def _renew(self, epoch: int) -> None:
        heartbeat = await self._client.renew(epoch, self._settings.worker_lease_ms)
        news = tuple(self._read_task(task) for task in heartbeat.tasks)
        if news or heartbeat.report is not None:
            await self._tell(news, heartbeat.report)

    async def _send_orders(self, epoch: int) -> None:
        """Send what is queued; kept until answered, since each may be repeated."""
        batch = list(self._orders)
        commands = [self._build_command(order) for order in batch]
        results = await self._client.command(epoch, commands)
        del self._orders[: len(batch)]
        news: list[TaskNews] = []
        for order, result in zip(batch, results, strict=True):
            heard = self._read_result(order, result)
            if heard is not None:
                news.append(heard)
        if news:
            await self._tell(tuple(news), None)

    async def _tell(
        self, news: tuple[TaskNews, ...], report: UsageReport | None
    ) -> None:
        await self._events.send(
            NewsHeard(worker_id=self._address.worker_id, news=news, report=report)
        )

    def _read_result(self, order: Order, result: CommandResult) -> TaskNews | None:
        if order.kind is OrderKind.START and result.status in _REFUSALS:
            return TaskNews(ref=order.ref, status=TaskStatus.REFUSED)
        if order.kind is OrderKind.ACKNOWLEDGE or result.task is None:
            return None
        return self._read_task(result.task)

    def _read_task(self, task: WorkerTask) -> TaskNews:
        attempt = Attempt(epoch=task.attempt_epoch, sequence=task.attempt_sequence)
        ref = TaskRef(
            worker_id=self._address.worker_id, job_id=task.job_id, attempt=attempt
        )
        news = TaskNews(
            ref=ref,
            status=_STATUSES[task.state.value],
            checkpoint=task.checkpoint,
            result=task.result,
        )
        return bound_news(news)

    def _build_command(self, order: Order) -> WorkerCommand:
        kind = _KINDS.get(order.kind)
        if kind is None:
            is_slowed = order.speed < 1.0
            kind = CommandKind.THROTTLE if is_slowed else CommandKind.UNTHROTTLE
        ref = order.ref
        command = WorkerCommand(
            kind=kind,
            job_id=ref.job_id,
            attempt_epoch=ref.attempt.epoch,
            attempt_sequence=ref.attempt.sequence,
            throttle_factor=order.speed if kind is CommandKind.THROTTLE else 0.5,
        )
        if order.spec is None:
            return command
        return attrs.evolve(
            command,
            resources=order.spec.resources,
            task_class=order.spec.task_class,
            declared_run_ms=float(order.spec.declared_run_ms),
            payload=order.spec.payload,
            checkpoint=order.checkpoint,
        )
