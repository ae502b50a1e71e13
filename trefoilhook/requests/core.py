"""Request service of an instance, in all three roles.

As the *entry*, an instance accepts requests from callers. As the *key owner*, it stores
the state of idempotency keys and selects an executor. As the *executor owner*, it
accounts for an executor's slots and sends requests to it.
"""

import random
from collections.abc import Awaitable, Callable, Sequence

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.executors import ExecutorClient
from trefoilhook.inner.messages_pb2 import (
    Empty,
    ServiceAnswer,
    ServiceRequest,
    ShardHandover,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.requests.admission import ExecutorPool
from trefoilhook.requests.buckets import TeamQuotas
from trefoilhook.requests.callers import (
    ForwardedRequest,
    adjust_for_caller,
    forward_to_key_owner,
    run_unkeyed,
)
from trefoilhook.requests.dispatch import run_locally
from trefoilhook.requests.handover import decode_keys, encode_handover
from trefoilhook.requests.keyowner import KeyOwner
from trefoilhook.requests.models import (
    CallerAnswer,
    CallerRequest,
    ExecutorLink,
    ExecutorTarget,
    InnerCall,
    InnerLink,
    ListExecutors,
    OwnershipView,
    TeamView,
)
from trefoilhook.requests.pending import (
    Components,
    PendingRequest,
    build_pending_request,
    decode_request,
    encode_answer,
)
from trefoilhook.requests.retry import HedgePolicy, RetryPolicy
from trefoilhook.requests.routing import PeerLoads
from trefoilhook.requests.settings import RequestSettings
from trefoilhook.requests.upkeep import Upkeep
from trefoilhook.results import Outcome, ResultCode

__all__ = ["RequestService", "open_executor"]

Observe = Callable[[CallerRequest, CallerAnswer, float], None]

_MS_PER_S = 1000.0
_MAX_MARGIN_FRACTION = 0.1
_RUN_WITHOUT_OWNER_CODES = frozenset(
    {
        ResultCode.KEY_TOO_OLD,
        ResultCode.KEY_AHEAD,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.ATTEMPT_NOT_RUN,
        ResultCode.NO_OWNER,
        ResultCode.OWNER_UNREACHABLE,
    }
)


def open_executor(target: ExecutorTarget) -> ExecutorLink:
    """Open HTTP connections to an executor."""
    return ExecutorClient(
        executor_id=target.executor_id, host=target.host, port=target.port
    )


class RequestService:
    """Serves requests on one instance.

    Parameters
    ----------
    instance_id : str
        ID of this instance.
    failure_domain : str
        Failure domain of this instance.
    clock : Clock
        Source of the current time.
    settings : RequestSettings
        Limits and timeouts.
    ownership : OwnershipView
        Shards and their owners.
    inner : InnerLink
        Calls to other instances.
    teams : TeamView
        Configuration of the teams.
    list_executors : callable
        Returns the executors in the instance list.
    list_peers : callable
        Returns the IDs of the other instances.
    open_link : callable, optional
        Opens the connections to an executor.
    generator : random.Random, optional
        Random number generator.
    observe : callable, optional
        Called with each caller's request, its answer and the duration in ms.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        failure_domain: str,
        clock: Clock,
        settings: RequestSettings,
        ownership: OwnershipView,
        inner: InnerLink,
        teams: TeamView,
        list_executors: ListExecutors,
        list_peers: Callable[[], Sequence[str]],
        open_link: Callable[[ExecutorTarget], ExecutorLink] = open_executor,
        generator: random.Random | None = None,
        observe: Observe | None = None,
    ) -> None:
        self._observe = observe
        self._background: trio.Nursery | None = None
        self._busy = 0
        self._is_closed = False
        self._idle = trio.Event()
        components = Components(
            instance_id=instance_id,
            failure_domain=failure_domain,
            clock=clock,
            settings=settings,
            ownership=ownership,
            inner=inner,
            teams=teams,
            list_executors=list_executors,
            pool=ExecutorPool(
                clock=clock,
                settings=settings,
                failure_domain=failure_domain,
                open_link=open_link,
            ),
            peer_loads=PeerLoads(max_age_ms=settings.loads_age_ms),
            quotas=TeamQuotas(burst_s=settings.quota_burst_s),
            retries=RetryPolicy(
                ratio=settings.retry_ratio, reserve=settings.retry_reserve
            ),
            hedges=HedgePolicy(
                is_enabled=settings.is_hedging, percentile=settings.hedge_quantile
            ),
            generator=generator or random.Random(),
            start=self._start,
            get_owned_share=lambda: self._upkeep.owned_share,
            serve_own=self._serve_own,
        )
        self._components = components
        self._key_owner = KeyOwner(components=components)
        self._upkeep = Upkeep(
            components=components, key_owner=self._key_owner, list_peers=list_peers
        )

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that this instance has in progress, in any role."""
        return self._busy

    @property
    def pool(self) -> ExecutorPool:
        """Executors owned by this instance."""
        return self._components.pool

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._background = nursery
            await self._upkeep.tick()
            nursery.start_soon(self._upkeep.run)
            nursery.start_soon(self._upkeep.run_load_summaries)
            task_status.started()

    async def drain(self, *, grace_ms: float) -> None:
        """Wait for the requests in progress, then refuse new requests from callers.

        Requests that arrive while waiting are still served, because the load balancer
        may not have moved all callers to other instances yet.

        Parameters
        ----------
        grace_ms : float
            Maximum time to wait, in ms.
        """
        with trio.move_on_after(grace_ms / _MS_PER_S):
            while self._busy:
                self._idle = trio.Event()
                await self._idle.wait()
        self._is_closed = True

    async def handle_caller(self, request: CallerRequest) -> CallerAnswer:
        """Answer a caller's request, in the entry role.

        Parameters
        ----------
        request : CallerRequest
            The request; its token must have been checked.
        """
        components = self._components
        settings = components.teams.find_service(request.team, request.service)
        if settings is None:
            return components.refuse(ResultCode.NOT_FOUND, "no such service")
        if not request.key and not settings.is_idempotent:
            return components.refuse(ResultCode.KEY_REQUIRED)
        started_ms = components.clock.monotonic_ms()
        pending = build_pending_request(components, request, settings)
        forwarded = ForwardedRequest(request=request, pending=pending)
        if self._is_closed:
            answer = components.refuse(ResultCode.SHUTTING_DOWN)
            return (
                adjust_for_caller(components, forwarded, answer)
                if request.key
                else answer
            )
        with self._count():
            if not request.key:
                answer = await run_unkeyed(components, pending)
            else:
                answer = await forward_to_key_owner(components, forwarded)
                if self._may_run_without_owner(pending, answer):
                    answer = await run_unkeyed(components, pending)
        self._report_answer(request, pending, answer, started_ms)
        return answer

    async def handle_inner(self, call: InnerCall) -> ServiceAnswer:
        """Answer a request from another instance, in either owner role."""
        request: ServiceRequest = call.message
        with self._count():
            answer = await self._serve_or_refuse(request, timeout_ms=call.timeout_ms)
        return encode_answer(answer)

    async def handle_loads(self, call: InnerCall) -> Empty:
        """Store a peer's load summary of its executors."""
        self._upkeep.receive_load_summary(call.sender_id, call.message)
        return Empty()

    def export_handover(self, shard_id: str, epoch: int) -> ShardHandover:
        """Build the handover message for the next owner of a shard.

        Must be called, without awaiting in between, as soon as this instance stops
        acting for the shard.
        """
        in_use = dict.fromkeys(self._upkeep.list_never_used(shard_id), 0)
        in_use |= {
            each.target.executor_id: each.slots.in_progress + each.slots.unconfirmed
            for each in self._components.pool.list_executors()
            if each.shard_id == shard_id and not each.slots.is_count_unknown
        }
        return encode_handover(
            shard_id=shard_id,
            epoch=epoch,
            handover=self._key_owner.export_keys(shard_id, epoch),
            in_use=in_use,
        )

    def import_handover(self, message: ShardHandover) -> None:
        """Apply the handover message of a shard's previous owner."""
        self._key_owner.import_keys(message.shard_id, decode_keys(message))
        in_use = {each.executor_id: each.in_use for each in message.in_use}
        self._upkeep.apply_handover(
            message.shard_id, epoch=message.epoch, in_use=in_use
        )

    def sync_ownership(self) -> None:
        """Add and remove executors after a change of shard ownership.

        Waiting for the next periodic update would be too late. Other instances route by
        the new shard table at once and would be told that the executor has no owner.
        """
        self._upkeep.sync()

    def handle_owner_terminated(self, shard_id: str) -> None:
        """Handle the confirmed termination of a shard's previous owner."""
        self._upkeep.release_reserved_slots(shard_id)

    async def _serve_own(
        self, request: ServiceRequest, timeout_ms: float
    ) -> CallerAnswer:
        """Serve a request whose entry and key owner are both this instance.

        The request keeps running if the entry stops waiting for it.
        """
        try:
            return await self._serve_or_refuse(request, timeout_ms=timeout_ms)
        except Exception as error:  # the same answer as from a failing remote owner
            log_event(Event.TASK_FAILED, task="own key", error=repr(error))
            return self._components.refuse(ResultCode.INTERNAL, "the handler failed")

    async def _serve_or_refuse(
        self, request: ServiceRequest, *, timeout_ms: float
    ) -> CallerAnswer:
        try:
            return await self._serve(request, timeout_ms=timeout_ms)
        except TrefoilhookError as error:
            return self._components.refuse(error.code, str(error))

    async def _serve(
        self, request: ServiceRequest, *, timeout_ms: float
    ) -> CallerAnswer:
        components = self._components
        settings = components.teams.find_service(request.team, request.service)
        if settings is None:
            return components.refuse(
                ResultCode.NO_OWNER, "the service is not known yet"
            )
        now_ms = components.clock.monotonic_ms()
        wait_ms = timeout_ms
        if request.executor_id:
            wait_ms -= components.settings.late_answer_ms
        # The sender stops waiting at its own deadline. A "not run" answer that arrives
        # after it would be reported to the caller as "unknown".
        wait_ms -= min(
            components.settings.answer_margin_ms, _MAX_MARGIN_FRACTION * wait_ms
        )
        pending = decode_request(request, settings, deadline_ms=now_ms + wait_ms)
        if not request.executor_id:
            return await self._key_owner.serve(
                request, pending=pending, entry_id=request.entry_instance_id
            )
        self._upkeep.add_if_owned(request.executor_id)
        return await self._run_detached(pending)

    async def _run_detached(self, pending: PendingRequest) -> CallerAnswer:
        """Run a request to completion, even if its sender stops waiting."""
        answers: list[CallerAnswer] = []
        done = trio.Event()

        async def run() -> None:
            try:
                answer = await run_locally(
                    self._components, pending, mark_sent=lambda _: None
                )
                answers.append(answer)
            finally:
                done.set()

        self._start(run)
        await done.wait()
        return answers[0] if answers else self._components.refuse(ResultCode.INTERNAL)

    def _report_answer(
        self,
        request: CallerRequest,
        pending: PendingRequest,
        answer: CallerAnswer,
        started_ms: float,
    ) -> None:
        if self._observe is not None:
            duration_ms = self._components.clock.monotonic_ms() - started_ms
            self._observe(request, answer, duration_ms)
        if answer.code.outcome is not Outcome.EXECUTED:
            log_event(
                Event.REQUEST_FAILED,
                request_id=pending.request_id,
                code=answer.code.number,
                team=request.team,
                service=request.service,
            )

    def _may_run_without_owner(
        self, pending: PendingRequest, answer: CallerAnswer
    ) -> bool:
        """Return whether a request may run without its key's owner.

        Only idempotent requests may.
        """
        if not pending.is_idempotent or answer.code not in _RUN_WITHOUT_OWNER_CODES:
            return False
        return self._components.clock.monotonic_ms() < pending.deadline_ms

    def _start(self, function: Callable[..., Awaitable[None]], *args: object) -> None:
        if self._background is None:
            raise RuntimeError("the request service is not running")
        self._background.start_soon(self._run_counted, function, args)

    async def _run_counted(
        self, function: Callable[..., Awaitable[None]], args: tuple[object, ...]
    ) -> None:
        with self._count():
            try:
                await function(*args)
            except Exception as error:  # one failed request must not stop the others
                log_event(Event.TASK_FAILED, task=function.__name__, error=repr(error))

    def _count(self) -> "_Counted":
        return _Counted(enter=self._enter, leave=self._leave)

    def _enter(self) -> None:
        self._busy += 1

    def _leave(self) -> None:
        self._busy -= 1
        if not self._busy:
            self._idle.set()


@attrs.frozen(kw_only=True)
class _Counted:
    """Context manager that counts a request as in progress."""

    enter: Callable[[], None]
    leave: Callable[[], None]

    def __enter__(self) -> None:
        self.enter()

    def __exit__(self, *_: object) -> None:
        self.leave()
