"""Data types of the request path and the interfaces that it depends on."""

import enum
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import attrs

from trefoilhook.executors import ExecutorHealth, ExecutorResponse
from trefoilhook.results import ResultCode

__all__ = [
    "Attempt",
    "CallerAnswer",
    "CallerRequest",
    "ExecutorLink",
    "ExecutorTarget",
    "InnerCall",
    "InnerLink",
    "OwnershipView",
    "ServiceSettings",
    "TeamView",
    "TokenCheckResult",
    "build_service_name",
]


def build_service_name(team: str, service: str) -> str:
    """Return the name of a team's service, unique across teams."""
    return f"{team}/{service}"


class Attempt(enum.Enum):
    """The caller's statement about earlier attempts with the same key."""

    FIRST = "first"
    REPEATED = "repeated"
    UNSPECIFIED = "not said"


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request as received by an entry instance.

    Parameters
    ----------
    team, service : str
        Team and name of the called service.
    key : bytes
        Idempotency key, the 16 bytes of a UUIDv7; empty if the caller sent none.
    content_type : str
        Content type of the body.
    body : bytes
        Complete body.
    timeout_ms : float or None
        Time that the caller waits, in ms; None for the timeout of the service.
    attempt : Attempt
        Whether the caller states that this is its first attempt with the key.
    """

    team: str
    service: str
    key: bytes = b""
    content_type: str = ""
    body: bytes = b""
    timeout_ms: float | None = None
    attempt: Attempt = Attempt.UNSPECIFIED


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """The answer to a caller's request.

    Parameters
    ----------
    code : ResultCode
        Result of the request.
    detail : str
        Human-readable explanation; empty if the code is sufficient.
    status : int
        HTTP status of the executor's answer; zero without an answer.
    content_type : str
        Content type of the body.
    body : bytes
        Complete body of the executor's answer.
    executor_id : str
        Executor that ran the request; empty if unknown.
    owner_instance_id : str
        Instance that determined the answer; empty if none was reached.
    retry_after_ms : float
        Time after which the caller may retry, in ms; zero if unknown.
    """

    code: ResultCode
    detail: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    executor_id: str = ""
    owner_instance_id: str = ""
    retry_after_ms: float = 0.0


@attrs.frozen(kw_only=True)
class ExecutorTarget:
    """An executor as recorded in the instance list.

    Parameters
    ----------
    executor_id : str
        ID of the executor.
    team, service : str
        Team and name of the service that it runs.
    host : str
        IP address of the executor.
    port : int
        Port of the executor.
    failure_domain : str
        Failure domain of the executor.
    slots : int
        Maximum number of concurrent requests.
    is_leaving : bool
        Whether it must not receive new requests.
    """

    executor_id: str
    team: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool = False
    #: Name of the service, unique across teams.
    service_name: str = attrs.field(init=False)

    @service_name.default
    def _build_service_name(self) -> str:
        return build_service_name(self.team, self.service)


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Settings of a service, declared by its team.

    Parameters
    ----------
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Maximum time that a caller waits, in ms.
    max_queue : int
        Maximum number of queued requests at one owner.
    """

    is_idempotent: bool = False
    timeout_ms: float = 5_000.0
    max_queue: int = 64


class TokenCheckResult(enum.Enum):
    """Result of checking a caller's token."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"
    FORBIDDEN = "forbidden"


@attrs.frozen(kw_only=True)
class TeamView:
    """Access of the request path to the team configuration.

    Parameters
    ----------
    find_service : callable
        Returns the settings of a team's service, or None.
    get_quota_per_s : callable
        Returns the requests per second that a team may send to the whole system;
        infinite for no limit.
    check_token : callable
        Checks a caller's token for a team.
    """

    find_service: Callable[[str, str], ServiceSettings | None]
    get_quota_per_s: Callable[[str], float]
    check_token: Callable[[str, str], TokenCheckResult]


class Owner(Protocol):
    """Owner of a shard."""

    @property
    def instance_id(self) -> str:
        """Instance that owns the shard."""

    @property
    def epoch(self) -> int:
        """Epoch under which it owns the shard."""


class OwnershipView(Protocol):
    """Access of the request path to shards and their owners."""

    def find_owner(self, shard_id: str) -> Owner | None:
        """Return the owner of a shard as known to this instance, or None."""

    def get_serving_epoch(self, shard_id: str) -> int | None:
        """Return this instance's epoch if it may act for the shard now, else None."""

    def serving_since_wall_ms(self, shard_id: str) -> float:
        """Return the wall time of this instance's claim, read after it succeeded.

        Minus infinity if the shard had no owner before.
        """


class InnerCall(Protocol):
    """An incoming call of the inner protocol."""

    @property
    def sender_id(self) -> str:
        """Instance that sent the call."""

    @property
    def message(self) -> Any:
        """Message of the call."""

    @property
    def timeout_ms(self) -> float:
        """Remaining time that the sender waits, in ms."""


class InnerLink(Protocol):
    """Calls to other instances."""

    async def call(self, instance_id: str, message: Any, *, timeout_ms: float) -> Any:
        """Send a message and wait for the reply."""

    def send_one_way(self, instance_id: str, message: Any) -> bool:
        """Send a message without a reply."""


class ExecutorLink(Protocol):
    """Connections to one executor."""

    async def run(
        self,
        body: bytes,
        *,
        content_type: str,
        timeout_ms: float,
        request_id: str,
        may_send: Callable[[], bool],
    ) -> ExecutorResponse:
        """Run one request."""

    async def get_health(self, *, timeout_ms: float) -> ExecutorHealth:
        """Query the number of requests that the executor runs."""

    async def close(self) -> None:
        """Close the idle connections."""


ListExecutors = Callable[[], Sequence[ExecutorTarget]]
