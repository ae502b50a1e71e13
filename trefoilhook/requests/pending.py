"""Internal form of a request, and the components shared by all roles."""

import math
import random
from collections.abc import Awaitable, Callable

import attrs

from trefoilhook.clock import Clock
from trefoilhook.inner.messages_pb2 import ServiceAnswer, ServiceRequest
from trefoilhook.requests.admission import ExecutorPool
from trefoilhook.requests.buckets import TeamQuotas
from trefoilhook.requests.keys import (
    compute_executor_shard,
    generate_key,
    read_created_ms,
)
from trefoilhook.requests.models import (
    CallerAnswer,
    CallerRequest,
    ExecutorTarget,
    InnerLink,
    ListExecutors,
    Owner,
    OwnershipView,
    ServiceSettings,
    TeamView,
    build_service_name,
)
from trefoilhook.requests.retry import HedgePolicy, RetryPolicy
from trefoilhook.requests.routing import PeerLoads
from trefoilhook.requests.settings import RequestSettings
from trefoilhook.results import ResultCode

__all__ = [
    "Components",
    "PendingRequest",
    "build_pending_request",
    "decode_answer",
    "encode_answer",
    "encode_request",
    "decode_request",
]

_MAX_RETRY_AFTER_MS = 3_600_000.0
_DEFAULT_RETRY_AFTER_MS = {
    ResultCode.NO_OWNER: 500.0,
    ResultCode.OWNER_UNREACHABLE: 500.0,
    ResultCode.SHUTTING_DOWN: 50.0,
    ResultCode.NO_EXECUTOR: 1_000.0,
}


@attrs.frozen(kw_only=True)
class PendingRequest:
    """A request to be run.

    Parameters
    ----------
    team, service : str
        Team and name of the called service.
    key : bytes
        Idempotency key; empty for none.
    request_id : str
        ID of the request in logs and at the executor.
    is_idempotent : bool
        Whether the request may run more than once.
    content_type : str
        Content type of the body.
    body : bytes
        Complete body.
    deadline_ms : float
        Latest start time on the monotonic clock, in ms.
    max_waiting : int
        Maximum number of queued requests of the service at one owner.
    """

    team: str
    service: str
    key: bytes
    request_id: str
    is_idempotent: bool
    content_type: str
    body: bytes
    deadline_ms: float
    max_waiting: int

    @property
    def service_name(self) -> str:
        """Name of the service, unique across teams."""
        return build_service_name(self.team, self.service)


@attrs.frozen(kw_only=True, eq=False)
class Components:
    """Components shared by all roles of the request path.

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
    pool : ExecutorPool
        Executors owned by this instance.
    peer_loads : PeerLoads
        Load summaries of other owners.
    quotas : TeamQuotas
        This instance's share of the team quotas.
    retries : RetryPolicy
        Decides on retries.
    hedges : HedgePolicy
        Decides on hedging.
    generator : random.Random
        Random number generator.
    start : callable
        Starts a background task that outlives the calling request.
    get_owned_share : callable
        Returns the fraction of the request shards that this instance owns, above 0 and
        up to 1.
    serve_own : callable
        Serves a request whose key this instance owns without sending a message. Takes
        the request and the time that its answer is awaited, in ms.
    """

    instance_id: str
    failure_domain: str
    clock: Clock
    settings: RequestSettings
    ownership: OwnershipView
    inner: InnerLink
    teams: TeamView
    list_executors: ListExecutors
    pool: ExecutorPool
    peer_loads: PeerLoads
    quotas: TeamQuotas
    retries: RetryPolicy
    hedges: HedgePolicy
    generator: random.Random
    start: Callable[..., None]
    get_owned_share: Callable[[], float]
    serve_own: Callable[[ServiceRequest, float], Awaitable[CallerAnswer]]

    def find_executor_owner(self, target: ExecutorTarget) -> Owner | None:
        """Return the owner of an executor as known to this instance, or None."""
        return self.ownership.find_owner(self.get_executor_shard(target.executor_id))

    def get_executor_shard(self, executor_id: str) -> str:
        """Return the request shard of an executor."""
        count = self.settings.shard_count
        return compute_executor_shard(executor_id, shard_count=count)

    def refuse(
        self, code: ResultCode, detail: str = "", *, retry_after_ms: float = 0.0
    ) -> CallerAnswer:
        """Build an answer that does not come from an executor."""
        wait_ms = retry_after_ms or _DEFAULT_RETRY_AFTER_MS.get(code, 0.0)
        return CallerAnswer(
            code=code,
            detail=detail,
            owner_instance_id=self.instance_id,
            retry_after_ms=min(wait_ms, _MAX_RETRY_AFTER_MS),
        )


def encode_answer(answer: CallerAnswer) -> ServiceAnswer:
    """Encode an answer as a message of the inner protocol."""
    return ServiceAnswer(
        result_number=answer.code.number,
        detail=answer.detail,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        executor_id=answer.executor_id,
        owner_instance_id=answer.owner_instance_id,
        retry_after_ms=math.ceil(answer.retry_after_ms),
    )


def decode_answer(message: ServiceAnswer) -> CallerAnswer:
    """Decode an answer from a message of the inner protocol.

    An unknown result number comes from a newer version. It is decoded as INTERNAL,
    whose outcome is unknown.
    """
    try:
        code = ResultCode.from_number(message.result_number)
    except ValueError:
        code = ResultCode.INTERNAL
    return CallerAnswer(
        code=code,
        detail=message.detail,
        status=message.status,
        content_type=message.content_type,
        body=message.body,
        executor_id=message.executor_id,
        owner_instance_id=message.owner_instance_id,
        retry_after_ms=float(message.retry_after_ms),
    )


def encode_request(
    pending: PendingRequest, *, executor_id: str, shard_epoch: int, entry_id: str
) -> ServiceRequest:
    """Encode a request as a message of the inner protocol."""
    return ServiceRequest(
        team=pending.team,
        service=pending.service,
        key=pending.key,
        is_idempotent=pending.is_idempotent,
        body=pending.body,
        executor_id=executor_id,
        shard_epoch=shard_epoch,
        content_type=pending.content_type,
        entry_instance_id=entry_id,
    )


def build_pending_request(
    components: Components, request: CallerRequest, settings: ServiceSettings
) -> PendingRequest:
    """Build the internal form of a caller's request.

    Raises
    ------
    RequestError
        If the request has a key that is not a UUIDv7.
    """
    timeout_ms = settings.timeout_ms
    if request.timeout_ms is not None:
        timeout_ms = min(timeout_ms, request.timeout_ms)
    if request.key:
        read_created_ms(request.key)
    return PendingRequest(
        team=request.team,
        service=request.service,
        key=request.key,
        request_id=(request.key or generate_key()).hex(),
        is_idempotent=settings.is_idempotent,
        content_type=request.content_type,
        body=request.body,
        deadline_ms=components.clock.monotonic_ms() + timeout_ms,
        max_waiting=settings.max_queue,
    )


def decode_request(
    request: ServiceRequest, settings: ServiceSettings, *, deadline_ms: float
) -> PendingRequest:
    """Decode a request from a message of the inner protocol.

    A request is idempotent only if it is in the configurations of both instances,
    because one of them may be outdated.
    """
    return PendingRequest(
        team=request.team,
        service=request.service,
        key=request.key,
        request_id=(request.key or generate_key()).hex(),
        is_idempotent=settings.is_idempotent and request.is_idempotent,
        content_type=request.content_type,
        body=request.body,
        deadline_ms=deadline_ms,
        max_waiting=settings.max_queue,
    )
