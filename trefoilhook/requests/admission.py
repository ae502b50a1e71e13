"""Slots, queues and connections of the executors owned by this instance."""

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
    """Load of the executors of one service that are owned by this instance.

    Parameters
    ----------
    free : int
        Number of free slots.
    usable : int
        Number of slots that serve requests, free or in use.
    queued : int
        Number of queued requests.
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
        Source of the current time.
    settings : RequestSettings
        Limits and timeouts.
    failure_domain : str
        Failure domain of this instance; executors in it are preferred.
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
        """Return an executor by its ID, or None if it is not owned here."""
        return self._executors.get(executor_id)

    def list_executors(self) -> tuple[OwnedExecutor, ...]:
        """Return all executors owned here."""
        return tuple(self._executors.values())

    def count_waiting(self) -> int:
        """Return the number of requests queued on this instance."""
        return sum(len(queue) for queue in self._queues.values())

    def get_queue(self, service_name: str) -> ServiceQueue:
        """Return the queue of a service, creating it on first use."""
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
        """Add an executor and start accounting for its slots.

        Parameters
        ----------
        target : ExecutorTarget
            The executor.
        shard_id : str
            Shard of the executor.
        epoch : int
            Epoch under which this instance owns the shard.
        is_first_claim : bool
            Whether the shard had no owner before.
        handed_over_in_use : int or None
            Number of slots in use according to the previous owner's handover; None
            without a handover.
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
            # Requests of a previous owner that crashed or is suspended may still be
            # running. The executor is probed first, so that their slots are not
            # assigned twice. One more slot is reserved for a request that the previous
            # owner may have checked but not sent yet.
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
        """Apply the latest record of an executor."""
        executor = self._executors[target.executor_id]
        has_moved = executor.target.service_name != target.service_name
        executor.target = target
        if has_moved:
            self._sort_by_service()
        executor.slots.is_leaving = target.is_leaving
        executor.slots.slots = target.slots

    def remove(self, executor_id: str) -> OwnedExecutor | None:
        """Remove an executor; its requests in progress run to completion."""
        executor = self._executors.pop(executor_id, None)
        if executor is None:
            return None
        self._sort_by_service()
        service_name = executor.target.service_name
        if not self._list_serving(service_name):
            # The executors now belong to another instance, so requests queued here
            # would otherwise wait until their deadlines.
            self.get_queue(service_name).refuse_all(ResultCode.NO_OWNER)
        return executor

    def get_service_load(self, service_name: str) -> ServiceLoad:
        """Return the load of a service's executors on this instance."""
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
        """Acquire a slot of a service, waiting for one if necessary.

        Parameters
        ----------
        service_name : str
            Name of the service.
        deadline_ms : float
            Latest start time on the monotonic clock, in ms.
        max_waiting : int
            Maximum number of queued requests of the service on this instance.
        avoid : sequence of str, optional
            IDs of executors to use only if no other has a free slot.

        Raises
        ------
        QueueRefusedError
            If the request cannot start in time.
        RequestError
            If this instance owns no usable executor of the service.
        """
        queue = self.get_queue(service_name)
        if not len(queue):
            executor = self._choose_free(service_name, avoid=avoid)
            if executor is not None:
                return self._grant(executor)
        load = self.get_service_load(service_name)
        if not self._list_serving(service_name):
            raise RequestError(
                "this instance owns no executor of the service",
                code=ResultCode.NO_OWNER,
            )
        if not load.usable:
            raise RequestError(
                "no executor of the service accepts requests",
                code=ResultCode.NO_EXECUTOR,
            )
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
            queue.discard(waiter)
            raise QueueRefusedError(
                "the request was not granted a slot",
                code=waiter.refusal,
                retry_after_ms=queue.estimate_wait_ms(slots=load.usable),
            )
        return Grant(executor=waiter.executor, granted_at_ms=self.clock.monotonic_ms())

    def release(self, grant: Grant, outcome: AttemptOutcome) -> None:
        """Release a slot and assign it to the next queued request."""
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
        """Assign free slots to queued requests in first-in, first-out order."""
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
        """Query an executor's health and apply the number of requests it reports."""
        executor.is_probing = True
        probe = executor.slots.begin_probe(self.clock.monotonic_ms())
        try:
            health = await executor.link.get_health(
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
        """Return whether this instance owns any executor of a service."""
        return service_name in self._by_service

    def has_free(self, service_name: str) -> bool:
        """Return whether any executor of a service on this instance has a free slot."""
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
        """Remove a cancelled request and reassign the slot that it was granted."""
        queue.discard(waiter)
        executor = waiter.executor
        if executor is None:
            return
        now_ms = self.clock.monotonic_ms()
        executor.slots.release(AttemptOutcome.WITHDRAWN, now_ms=now_ms)
        self.serve_queue(executor.target.service_name)

    def _is_service_wide(self, executor: OwnedExecutor, now_ms: float) -> bool:
        """Return whether no other executor of the service succeeded recently.

        Only executors owned by this instance are considered.
        """
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
