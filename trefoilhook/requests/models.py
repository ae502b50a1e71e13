"""Typed data of the request path, and what it needs from its surroundings."""

import enum
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import attrs

from trefoilhook.executors import ExecutorAnswer, ExecutorHealth
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
    "TokenVerdict",
    "build_service_name",
]


def build_service_name(team: str, service: str) -> str:
    """Return the name of a team's service that is unique over all teams."""
    return f"{team}/{service}"


class Attempt(enum.Enum):
    """What a caller says about earlier attempts under the same key."""

    FIRST = "first"
    REPEATED = "repeated"
    NOT_SAID = "not said"


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request as an entry instance takes it in.

    Parameters
    ----------
    team, service : str
        Whose service is called.
    key : bytes
        UUIDv7 in its 16 bytes; empty when the caller gave none.
    content_type : str
        Type of the body.
    body : bytes
        The whole body.
    timeout_ms : float or None
        How long the caller waits, in ms; None for the service's own timeout.
    attempt : Attempt
        Whether the caller vouches that this is its first attempt under the key.
    """

    team: str
    service: str
    key: bytes = b""
    content_type: str = ""
    body: bytes = b""
    timeout_ms: float | None = None
    attempt: Attempt = Attempt.NOT_SAID


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """The whole answer to a caller's request.

    Parameters
    ----------
    code : ResultCode
        What became of the request.
    detail : str
        One sentence for people; empty when the code says it all.
    status : int
        Status of the executor's answer; zero when it gave none.
    content_type : str
        Type of the body.
    body : bytes
        The executor's whole body.
    executor_id : str
        Executor that ran the request; empty when not known.
    owner_instance_id : str
        Instance that decided; empty when none was reached.
    retry_after_ms : float
        When to come back, in ms; zero when not known.
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
    """An executor as the instance list shows it.

    Parameters
    ----------
    executor_id : str
        The executor.
    team, service : str
        What it runs.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    failure_domain : str
        Where it stands.
    slots : int
        Most requests that it may run at once.
    is_leaving : bool
        Whether it must get nothing new.
    """

    executor_id: str
    team: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool = False
    #: Name of the service, unique over all teams.
    service_name: str = attrs.field(init=False)

    @service_name.default
    def _build_service_name(self) -> str:
        return build_service_name(self.team, self.service)


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """What a team declares about a service.

    Parameters
    ----------
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a caller waits, in ms.
    max_queue : int
        Most requests that wait at one owner.
    """

    is_idempotent: bool = False
    timeout_ms: float = 5_000.0
    max_queue: int = 64


class TokenVerdict(enum.Enum):
    """What a caller's token allows."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"
    FORBIDDEN = "forbidden"


@attrs.frozen(kw_only=True)
class TeamView:
    """What the request path reads of the configuration.

    Parameters
    ----------
    find_service : callable
        Settings of a team's service, or None.
    get_quota_per_s : callable
        Requests a second that a team may send to the whole system; infinite for none.
    check_token : callable
        What a caller's token allows on a team.
    """

    find_service: Callable[[str, str], ServiceSettings | None]
    get_quota_per_s: Callable[[str], float]
    check_token: Callable[[str, str], TokenVerdict]


class Owner(Protocol):
    """The owner of a shard."""

    @property
    def instance_id(self) -> str:
        """Instance that owns the shard."""

    @property
    def epoch(self) -> int:
        """Epoch of its claim."""


class OwnershipView(Protocol):
    """What the request path reads of shards and their owners."""

    def find_owner(self, shard_id: str) -> Owner | None:
        """Return the owner of a shard as known here."""

    def owns(self, shard_id: str) -> int | None:
        """Return the own epoch if this instance may act for the shard now."""

    def own_since_wall_ms(self, shard_id: str) -> float:
        """Return the wall time of the own claim, read after it succeeded.

        Minus infinity if the shard never had an owner before.
        """


class InnerCall(Protocol):
    """A call that came in over the inner protocol."""

    @property
    def sender_id(self) -> str:
        """Instance that called."""

    @property
    def message(self) -> Any:
        """The typed message."""

    @property
    def timeout_ms(self) -> float:
        """How long the sender still waits, in ms."""


class InnerLink(Protocol):
    """Calls to other instances."""

    async def call(self, instance_id: str, message: Any, *, timeout_ms: float) -> Any:
        """Send a message and wait for its reply."""

    def tell(self, instance_id: str, message: Any) -> bool:
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
    ) -> ExecutorAnswer:
        """Run one request."""

    async def check_health(self, *, timeout_ms: float) -> ExecutorHealth:
        """Ask how many requests the executor runs."""

    async def close(self) -> None:
        """Close the idle connections."""


ListExecutors = Callable[[], Sequence[ExecutorTarget]]
