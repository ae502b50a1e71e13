"""Task that manages the lease on one worker and exchanges messages with it."""

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
from trefoilhook.jobs.bounds import limit_update_size
from trefoilhook.jobs.core import Attempt
from trefoilhook.jobs.messages import (
    Order,
    OrderKind,
    TaskRef,
    TaskStatus,
    TaskUpdate,
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
    "InventoryReceived",
    "UpdatesReceived",
    "SessionEvent",
    "WorkerLeaseExpired",
    "WorkerSession",
    "compose_epoch",
]

_GENERATIONS_PER_EPOCH = 1 << 20
_STATUSES = {
    "running": TaskStatus.RUNNING,
    "finished": TaskStatus.FINISHED,
    "failed": TaskStatus.FAILED,
    "evicted": TaskStatus.EVICTED,
    "stopped": TaskStatus.STOPPED,
}
_COMMAND_KINDS = {
    OrderKind.START: CommandKind.START,
    OrderKind.STOP: CommandKind.STOP,
    OrderKind.EVICT: CommandKind.CHECKPOINT_EVICT,
    OrderKind.ACKNOWLEDGE: CommandKind.ACKNOWLEDGE,
}
_REFUSED_STATUSES = frozenset({CommandStatus.NO_CAPACITY, CommandStatus.STALE_ATTEMPT})


@attrs.frozen(kw_only=True)
class InventoryReceived:
    """The lease on a worker was acquired, and the worker returned its task list.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    capacity : Resources
        Total capacity of the worker.
    updates : tuple of TaskUpdate
        State of all its tasks.
    """

    worker_id: str
    capacity: Resources
    updates: tuple[TaskUpdate, ...]


@attrs.frozen(kw_only=True)
class UpdatesReceived:
    """A worker answered a renewal or commands.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    updates : tuple of TaskUpdate
        Tasks that started, ended or were refused.
    report : UsageReport or None
        Latest usage report.
    """

    worker_id: str
    updates: tuple[TaskUpdate, ...]
    report: UsageReport | None = None


@attrs.frozen(kw_only=True)
class WorkerLeaseExpired:
    """A worker was unreachable for so long that its tasks have certainly stopped.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    """

    worker_id: str


SessionEvent = InventoryReceived | UpdatesReceived | WorkerLeaseExpired


def compose_epoch(shard_epoch: int, generation: int) -> int:
    """Return the epoch for acquiring a worker's lease.

    An expired lease can only be re-acquired at a higher epoch, so that no command sent
    under the old lease can still take effect. The generation counts the acquisitions
    within one ownership of the shard.
    """
    return shard_epoch * _GENERATIONS_PER_EPOCH + generation


class WorkerSession:
    """Session between the owner of a shard and one worker.

    Parameters
    ----------
    address : WorkerAddress
        Address of the worker.
    client : WorkerClient
        Client for the worker.
    owner_id : str
        Id of this instance.
    shard_epoch : int
        Epoch of the shard's claim.
    may_act : callable
        Returns whether this instance may act for the shard; checked before each call.
    clock : Clock
        Clock.
    settings : JobSettings
        Timeouts and intervals.
    events : trio.MemorySendChannel
        Channel on which events from the worker are published.
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
        self._orders_queued = trio.Event()
        self._generation = 0
        self._last_sent_ms = -math.inf
        self._is_expiry_reported = False
        self.scope = trio.CancelScope()
        self.is_held = False

    def send(self, orders: list[Order]) -> None:
        """Queue orders, to be sent in this order without delay."""
        self._orders.extend(orders)
        self._orders_queued.set()

    async def run(self) -> None:
        """Acquire and renew the lease, and re-acquire it, until cancelled or fenced."""
        self._last_sent_ms = self._clock.monotonic_ms()
        with self.scope:
            try:
                while True:
                    await self._acquire_lease()
                    await self._maintain_lease()
            except FencedError:
                # A later owner holds the worker; the shard table will show it as well.
                log_event(Event.SHARD_FENCED, worker=self._address.worker_id)
            finally:
                await self._client.close()

    async def _acquire_lease(self) -> None:
        """Acquire the lease at a new generation and drop the orders of the old one.

        The inventory shows which of them the worker has carried out; those still in
        flight carry the old epoch and are refused.
        """
        self._generation += 1
        first_attempt_ms = self._clock.monotonic_ms()
        self._is_expiry_reported = False
        while True:
            await self._wait_until_allowed()
            try:
                inventory = await self._request_lease()
            except FencedError:
                raise
            except NotSentError:
                await self._report_expiry_if_due()
            except LeaseLostError:
                self._generation += 1
            except TrefoilhookError:
                self._last_sent_ms = self._clock.monotonic_ms()
                if self._last_sent_ms - first_attempt_ms >= self._settings.give_up_ms:
                    await self._wait_for_expiry()
            else:
                break
            await self._clock.sleep_ms(self._settings.renew_interval_ms)
        self._orders.clear()
        self._last_sent_ms = self._clock.monotonic_ms()
        self.is_held = True
        updates = tuple(self._convert_task(task) for task in inventory.tasks)
        await self._events.send(
            InventoryReceived(
                worker_id=self._address.worker_id,
                capacity=inventory.capacity,
                updates=updates,
            )
        )

    async def _request_lease(self) -> WorkerInventory:
        epoch = compose_epoch(self._shard_epoch, self._generation)
        ttl_ms = self._settings.worker_lease_ms
        return await self._client.acquire_lease(self._owner_id, epoch, ttl_ms)

    async def _wait_for_expiry(self) -> None:
        """Send no requests until the worker's tasks have certainly stopped.

        A request whose response was lost may have acquired the lease, under which the
        tasks continue. Repeating it would keep the lease alive indefinitely, and the
        jobs could never be started on another worker.
        """
        while not self._is_expiry_reported:
            await self._clock.sleep_ms(self._settings.renew_interval_ms)
            await self._report_expiry_if_due()

    async def _report_expiry_if_due(self) -> None:
        """Report once that all leases on the worker must have expired.

        The time is measured from the last message that could have extended a lease, or
        from the start of the session.
        """
        elapsed_ms = self._clock.monotonic_ms() - self._last_sent_ms
        if self._is_expiry_reported or elapsed_ms < self._settings.lease_expiry_ms:
            return
        self._is_expiry_reported = True
        log_event(Event.WORKER_LOST, worker=self._address.worker_id)
        await self._events.send(WorkerLeaseExpired(worker_id=self._address.worker_id))

    async def _wait_until_allowed(self) -> None:
        while not self._may_act():
            await self._clock.sleep_ms(self._settings.tick_ms)

    async def _maintain_lease(self) -> None:
        """Renew the lease and send orders until it is lost or the worker times out."""
        epoch = compose_epoch(self._shard_epoch, self._generation)
        answered_ms = self._clock.monotonic_ms()
        renewed_ms = -math.inf
        while True:
            await self._wait_until_allowed()
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
            await self._wait_for_orders()
        self.is_held = False

    async def _wait_for_orders(self) -> None:
        if self._orders:
            return
        self._orders_queued = trio.Event()
        with trio.move_on_after(self._settings.renew_interval_ms / 1000.0):
            await self._orders_queued.wait()

    async def _renew(self, epoch: int) -> None:
        heartbeat = await self._client.renew(epoch, self._settings.worker_lease_ms)
        updates = tuple(self._convert_task(task) for task in heartbeat.tasks)
        if updates or heartbeat.report is not None:
            await self._publish_updates(updates, heartbeat.report)

    async def _send_orders(self, epoch: int) -> None:
        """Send the queued orders; they stay queued until answered and may be resent."""
        batch = list(self._orders)
        commands = [self._build_command(order) for order in batch]
        results = await self._client.command(epoch, commands)
        del self._orders[: len(batch)]
        updates: list[TaskUpdate] = []
        for order, result in zip(batch, results, strict=True):
            update = self._convert_result(order, result)
            if update is not None:
                updates.append(update)
        if updates:
            await self._publish_updates(tuple(updates), None)

    async def _publish_updates(
        self, updates: tuple[TaskUpdate, ...], report: UsageReport | None
    ) -> None:
        await self._events.send(
            UpdatesReceived(
                worker_id=self._address.worker_id, updates=updates, report=report
            )
        )

    def _convert_result(self, order: Order, result: CommandResult) -> TaskUpdate | None:
        if order.kind is OrderKind.START and result.status in _REFUSED_STATUSES:
            return TaskUpdate(ref=order.ref, status=TaskStatus.REFUSED)
        if order.kind is OrderKind.ACKNOWLEDGE or result.task is None:
            return None
        return self._convert_task(result.task)

    def _convert_task(self, task: WorkerTask) -> TaskUpdate:
        attempt = Attempt(epoch=task.attempt_epoch, sequence=task.attempt_sequence)
        ref = TaskRef(
            worker_id=self._address.worker_id, job_id=task.job_id, attempt=attempt
        )
        update = TaskUpdate(
            ref=ref,
            status=_STATUSES[task.state.value],
            checkpoint=task.checkpoint,
            result=task.result,
        )
        return limit_update_size(update)

    def _build_command(self, order: Order) -> WorkerCommand:
        kind = _COMMAND_KINDS.get(order.kind)
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
