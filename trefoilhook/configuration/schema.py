"""Schema of a team's configuration subtree."""

from typing import Any, Literal

import attrs

from trefoilhook.configuration.tokens import matches_any_digest
from trefoilhook.settings import (
    FieldError,
    check_name,
    check_range,
    declare,
    declare_section,
    is_digest,
)

__all__ = [
    "Objective",
    "PlacementChoice",
    "PlacementWeights",
    "Quota",
    "ServiceConfiguration",
    "TeamConfiguration",
    "Tokens",
]

_DAY_MS = 86_400_000
_MAX_CORES = 10_000_000
_MAX_BYTES = 1 << 60
_MAX_WEIGHT = 1_000
_MIN_TARGET = 0.5
_MAX_TARGET = 0.99999


def _are_names(value: Any) -> str | None:
    for name in value:
        reason = check_name(name)
        if reason is not None:
            return f"name {name!r} {reason}"
    return None


@attrs.frozen(kw_only=True)
class Quota:
    """Limits on what a team's tasks and callers use at once; null is unlimited."""

    cores: float | None = declare(
        default=None,
        unit="cores",
        description="Total cores of the team's tasks.",
        check=check_range(0, _MAX_CORES),
    )
    memory_bytes: int | None = declare(
        default=None,
        unit="bytes",
        description="Total memory of the team's tasks.",
        check=check_range(0, _MAX_BYTES),
    )
    accelerators: int | None = declare(
        default=None,
        description="Total accelerators of the team's tasks.",
        check=check_range(0, _MAX_CORES),
    )
    requests_per_s: float | None = declare(
        default=None,
        unit="1/s",
        description="Request rate of the team's callers, over all services.",
        check=check_range(0, _MAX_CORES),
    )


@attrs.frozen(kw_only=True)
class Tokens:
    """SHA-256 digests of the team's tokens; several at once allow rotation."""

    operators: tuple[str, ...] = declare(
        default=(),
        description="Digests of tokens that may read and change this subtree.",
        check=is_digest,
        is_secret=True,
    )
    callers: tuple[str, ...] = declare(
        default=(),
        description="Digests of tokens that may send requests to the services.",
        check=is_digest,
        is_secret=True,
    )

    def covers_operator(self, token: str) -> bool:
        """Tell whether ``token`` is one of the operators' tokens."""
        return matches_any_digest(token, self.operators)

    def covers_caller(self, token: str) -> bool:
        """Tell whether ``token`` is one of the callers' tokens."""
        return matches_any_digest(token, self.callers)


@attrs.frozen(kw_only=True)
class Objective:
    """Service-level objective: share of requests answered within a latency."""

    latency_ms: float = declare(
        default=250.0,
        unit="ms",
        description="A request answered later than this counts as bad.",
        check=check_range(1, _DAY_MS),
    )
    target: float = declare(
        default=0.99,
        description="Share of requests that must be good.",
        check=check_range(_MIN_TARGET, _MAX_TARGET),
    )


@attrs.frozen(kw_only=True)
class ServiceConfiguration:
    """Configuration of one service of the team."""

    is_idempotent: bool = declare(
        default=False,
        description="Whether a request may run more than once. When false, callers "
        "must send a UUIDv7 key and a request is never sent twice.",
    )
    timeout_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="Time-out of a request.",
        check=check_range(1, _DAY_MS),
    )
    max_queue: int = declare(
        default=64,
        description="Number of requests that may wait for a slot of one executor.",
        check=check_range(0, 100_000),
    )
    run_ms: float = declare(
        default=50.0,
        unit="ms",
        description="Expected run time of a request on an executor.",
        check=check_range(0.01, _DAY_MS),
    )
    objective: Objective = declare_section(
        Objective, description="Service-level objective."
    )

    def __attrs_post_init__(self) -> None:
        for name, value in (
            ("run_ms", self.run_ms),
            ("objective/latency_ms", self.objective.latency_ms),
        ):
            if value > self.timeout_ms:
                reason = f"must not exceed timeout_ms, which is {self.timeout_ms:g}"
                raise FieldError(name=name, value=value, reason=reason)


@attrs.frozen(kw_only=True)
class PlacementWeights:
    """Relative weights of the terms of a placement decision."""

    tail_latency: float = declare(
        description="Weight of the services' tail latency.",
        check=check_range(0, _MAX_WEIGHT),
    )
    batch_throughput: float = declare(
        description="Weight of the batch throughput.", check=check_range(0, _MAX_WEIGHT)
    )
    evictions: float = declare(
        description="Weight of evictions and the work lost by them.",
        check=check_range(0, _MAX_WEIGHT),
    )


@attrs.frozen(kw_only=True)
class PlacementChoice:
    """Goals of placement decisions for the team's tasks."""

    preset: Literal["latency-first", "throughput-first"] = declare(
        default="latency-first", description="Named set of weights."
    )
    weights: PlacementWeights | None = declare(
        default=None, description="Custom weights instead of those of the preset."
    )


@attrs.frozen(kw_only=True)
class TeamConfiguration:
    """Configuration subtree of a team."""

    quota: Quota = declare_section(
        Quota, description="Limits on the team as a whole; null is unlimited."
    )
    tokens: Tokens = declare_section(
        Tokens, description="Digests of the team's tokens."
    )
    services: dict[str, ServiceConfiguration] = declare(
        default=attrs.Factory(dict),
        description="The team's services by name.",
        check=_are_names,
    )
    placement: PlacementChoice = declare_section(
        PlacementChoice, description="Goals of placement decisions."
    )
