"""The executors owned here: their slots, their queues and their connections."""

from collections.abc import Callable, Sequence

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import RequestError, TransportError
from trefoilhook.logs import Event, log_event
from trefoilhook.requests.circuit import Circuit
from trefoilhook.requests.models import ExecutorLink, ExecutorTarget
from trefoilhook.requests.owned import Grant, OwnedExecutor
from trefoilhook.requests.queueing import QueueRefusedError, ServiceQueue, Waiter
from trefoilhook.requests.settings import RequestSettings
from trefoilhook.requests.slots import AttemptOutcome, ExecutorSlots
from trefoilhook.results import ResultCode

__all__ = ["ExecutorPool", "ServiceLoad"]

_MS_PER_S = 1000.0
_RECENT_SUCCESS_MS = 10_000.0
_FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.NOT_SENT, AttemptOutcome.LOST}
)


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """What one service's executors here can take.

    Parameters
    ----------
    free : int
        Slots free now.
    usable : int
        Slots that serve requests.
    queued : int
        Requests that wait.
    """

    free: int
    usable: int
    queued: int


@attrs.define(kw_only=True, eq=False)
class ExecutorPool:
    """All executors owned by this instance.

    Parameters
    ----------
    clock : Clock
        Where time comes from.
    settings : RequestSettings
        Bounds and times.
    failure_domain : str
        Where this instance stands; executors there are preferred.
    open_link : callable
        Opens the connections to an executor.
    """

    clock: Clock
    settings: RequestSettings
    failure_domain: str
    open_link: Callable[[ExecutorTarget], ExecutorLink]
    _executors: dict[str, OwnedExecutor] = attrs.field(factory=dict, init=False)
    _queues: dict[str, ServiceQueue] = attrs.field(factory=dict, init=False)
    _by_service: dict[str, list[OwnedExecutor]] = attrs.field(factory=dict, init=False)

    def get(self, executor_id: str) -> OwnedExecutor | None:
        """Return an executor owned here."""
        return self._executors.get(executor_id)

    def list_executors(self) -> tuple[OwnedExecutor, ...]:
        """Return all executors owned here."""
        return tuple(self._executors.values())

    def count_waiting(self) -> int:
        """Return how many requests wait for a slot here."""
        return sum(len(queue) for queue in self._queues.values())

    def get_queue(self, service_name: str) -> ServiceQueue:
        """Return the queue of a service."""
        return self._queues.setdefault(service_name, ServiceQueue())

    def add(
        self,
        target: ExecutorTarget,
        *,
        shard_id: str,
        epoch: int,
        is_first_claim: bool,
        handed_over_in_use: int | None,
    ) -> None:
        """Begin to count an executor's slots.

        Parameters
        ----------
        target : ExecutorTarget
            The executor.
        shard_id : str
            Shard that it belongs to.
        epoch : int
            Epoch of the claim.
        is_first_claim : bool
            Whether the shard never had an owner before.
        handed_in_use : int or None
            Slots in use that the previous owner told of; None if it was not met.
        """
        now_ms = self.clock.monotonic_ms()
        settings = self.settings
        slots = ExecutorSlots(
            slots=target.slots,
            settle_ms=settings.settle_ms,
            is_leaving=target.is_leaving,
            circuit=Circuit(
                failure_limit=settings.failure_limit,
                open_ms=settings.circuit_open_ms,
                open_limit_ms=settings.circuit_open_limit_ms,
                probation_successes=settings.probation_successes,
            ),
        )
        if handed_over_in_use is not None:
            slots.apply_handover(handed_over_in_use, now_ms=now_ms)
        elif not is_first_claim:
            # Guards against the requests of an earlier owner that died or is frozen:
            # without asking, their slots would be given away a second time. One more
            # is kept back for the request that it may have checked but not yet sent.
            slots.is_count_unknown = True
            slots.probe_from_ms = now_ms + settings.settle_ms
            slots.reserved_until_ms = now_ms + settings.predecessor_hold_ms
        self._executors[target.executor_id] = OwnedExecutor(
            target=target,
            shard_id=shard_id,
            epoch=epoch,
            slots=slots,
            link=self.open_link(target),
        )
        self._sort_by_service()

    def update(self, target: ExecutorTarget) -> None:
        """Take in an executor's newest record."""
        executor = self._executors[target.executor_id]
        has_moved = executor.target.service_name != target.service_name
        executor.target = target
        if has_moved:
            self._sort_by_service()
        executor.slots.is_leaving = target.is_leaving
        executor.slots.slots = target.slots

    def remove(self, executor_id: str) -> OwnedExecutor | None:
        """Stop counting an executor's slots; requests in progress go on."""
        executor = self._executors.pop(executor_id, None)
        if executor is None:
            return None
        self._sort_by_service()
        service_name = executor.target.service_name
        if not self._list_serving(service_name):
            # Guards against requests that wait out their deadlines for executors
            # which another instance owns by now.
            self.get_queue(service_name).refuse_all(ResultCode.NO_OWNER)
        return executor

    def get_service_load(self, service_name: str) -> ServiceLoad:
        """Return what a service's executors here can take."""
        now_ms = self.clock.monotonic_ms()
        slots = [each.slots for each in self._list_serving(service_name)]
        queue = self._queues.get(service_name)
        return ServiceLoad(
            free=sum(each.count_free(now_ms) for each in slots),
            usable=sum(each.count_usable(now_ms) for each in slots),
            queued=len(queue) if queue is not None else 0,
        )

    async def acquire(
        self,
        service_name: str,
        *,
        deadline_ms: float,
        max_waiting: int,
        avoid: Sequence[str] = (),
    ) -> Grant:
        """Wait for a slot of a service.

        Parameters
        ----------
        service_name : str
            The service.
        deadline_ms : float
            When it is too late to start, on the monotonic clock, in ms.
        max_waiting : int
            Most requests of the service that wait here.
        avoid : sequence of str, optional
            Executors to leave out while another has a free slot.

        Raises
        ------
        QueueRefusedError
            If the request can't start in time.
        RequestError
            If no executor of the service is owned here.
        """
        queue = self.get_queue(service_name)
        if not len(queue):
            executor = self._choose_free(service_name, avoid=avoid)
            if executor is not None:
                return self._grant(executor)
        load = self.get_service_load(service_name)
        if not self._list_serving(service_name):
            raise RequestError("no executor is owned here", code=ResultCode.NO_OWNER)
        if not load.usable:
            raise RequestError("no executor is usable", code=ResultCode.NO_EXECUTOR)
        waiter = queue.enqueue(
            deadline_ms=deadline_ms,
            now_ms=self.clock.monotonic_ms(),
            slots=load.usable,
            max_waiting=min(max_waiting, self.settings.executor_waiting),
        )
        timeout_ms = deadline_ms - self.clock.monotonic_ms()
        try:
            with trio.move_on_after(timeout_ms / _MS_PER_S):
                await waiter.woken.wait()
        except BaseException:
            self._abandon(queue, waiter)
            raise
        if waiter.executor is None:
            queue.remove(waiter)
            raise QueueRefusedError(
                "it waited in vain",
                code=waiter.refusal,
                retry_after_ms=queue.estimate_wait_ms(slots=load.usable),
            )
        return Grant(executor=waiter.executor, granted_at_ms=self.clock.monotonic_ms())

    def release(self, grant: Grant, outcome: AttemptOutcome) -> None:
        """Give a slot back and let the next request that waits have it."""
        now_ms = self.clock.monotonic_ms()
        executor = grant.executor
        executor.slots.release(outcome, now_ms=now_ms)
        service_name = executor.target.service_name
        if outcome is AttemptOutcome.ANSWERED:
            run_time = self.get_queue(service_name).run_time
            run_time.add_sample(now_ms - grant.granted_at_ms)
        self._record_outcome(executor, outcome, now_ms)
        self.serve_queue(service_name)

    def serve_queue(self, service_name: str) -> None:
        """Give free slots to the requests that wait, the longest first."""
        queue = self.get_queue(service_name)
        while len(queue):
            executor = self._choose_free(service_name)
            if executor is None:
                return
            now_ms = self.clock.monotonic_ms()
            waiter = queue.pop(now_ms)
            if waiter is None:
                return
            executor.slots.acquire(now_ms)
            waiter.executor = executor
            waiter.woken.set()

    async def probe(self, executor: OwnedExecutor) -> None:
        """Ask an executor what it runs, and take its answer in."""
        executor.is_probing = True
        probe = executor.slots.begin_probe(self.clock.monotonic_ms())
        try:
            health = await executor.link.check_health(
                timeout_ms=self.settings.probe_timeout_ms
            )
        except TransportError:
            executor.slots.fail_probe(self.clock.monotonic_ms())
            return
        finally:
            executor.is_probing = False
        executor.slots.end_probe(
            probe, in_use=health.in_use, now_ms=self.clock.monotonic_ms()
        )
        self.serve_queue(executor.target.service_name)

    def owns_any(self, service_name: str) -> bool:
        """Tell whether any executor of a service is owned here."""
        return service_name in self._by_service

    def has_free(self, service_name: str) -> bool:
        """Tell whether a service's executors here have a free slot now."""
        now_ms = self.clock.monotonic_ms()
        executors = self._list_serving(service_name)
        return any(each.slots.count_free(now_ms) for each in executors)

    def _list_serving(self, service_name: str) -> Sequence[OwnedExecutor]:
        return self._by_service.get(service_name, ())

    def _sort_by_service(self) -> None:
        self._by_service = {}
        for each in self._executors.values():
            self._by_service.setdefault(each.target.service_name, []).append(each)

    def _choose_free(
        self, service_name: str, *, avoid: Sequence[str] = ()
    ) -> OwnedExecutor | None:
        now_ms = self.clock.monotonic_ms()
        best: OwnedExecutor | None = None
        best_rank: tuple[bool, int, bool] | None = None
        for each in self._list_serving(service_name):
            free = each.slots.count_free(now_ms)
            if free < 1:
                continue
            is_same_domain = each.target.failure_domain == self.failure_domain
            rank = (each.target.executor_id not in avoid, free, is_same_domain)
            if best_rank is None or rank > best_rank:
                best, best_rank = each, rank
        return best

    def _grant(self, executor: OwnedExecutor) -> Grant:
        now_ms = self.clock.monotonic_ms()
        executor.slots.acquire(now_ms)
        return Grant(executor=executor, granted_at_ms=now_ms)

    def _abandon(self, queue: ServiceQueue, waiter: Waiter) -> None:
        """Take a cancelled request out, and pass on the slot it was given."""
        queue.remove(waiter)
        executor = waiter.executor
        if executor is None:
            return
        now_ms = self.clock.monotonic_ms()
        executor.slots.release(AttemptOutcome.WITHDRAWN, now_ms=now_ms)
        self.serve_queue(executor.target.service_name)

    def _is_service_wide(self, executor: OwnedExecutor, now_ms: float) -> bool:
        """Tell whether no other executor of the service here succeeded lately."""
        others = self._list_serving(executor.target.service_name)
        return not any(
            each is not executor and now_ms - each.succeeded_at_ms < _RECENT_SUCCESS_MS
            for each in others
        )

    def _record_outcome(
        self, executor: OwnedExecutor, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        executor_id = executor.target.executor_id
        circuit = executor.slots.circuit
        if outcome is AttemptOutcome.ANSWERED:
            executor.succeeded_at_ms = now_ms
            if circuit.record_success():
                log_event(Event.EXECUTOR_CLOSED, executor_id=executor_id)
            return
        is_service_wide = outcome is AttemptOutcome.FAILED and self._is_service_wide(
            executor, now_ms
        )
        is_failure = outcome in _FAILURE_OUTCOMES
        if is_failure and circuit.record_failure(
            now_ms=now_ms, is_service_wide=is_service_wide
        ):
            log_event(Event.EXECUTOR_OPENED, executor_id=executor_id)
