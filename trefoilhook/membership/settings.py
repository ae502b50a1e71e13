"""Settings of membership."""

import attrs

from trefoilhook.settings import declare

__all__ = ["MembershipSettings"]


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Intervals and time limits of membership."""

    lease_ttl_ms: float = declare(
        default=4_000.0,
        unit="ms",
        description="Time to live of the instance's store lease.",
    )
    renew_interval_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Interval between renewals.",
    )
    retry_interval_ms: float = declare(
        default=500.0,
        unit="ms",
        description="Interval after a failed renewal.",
    )
    watch_wait_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="Longest wait of one watch call; a silent watch is replaced after "
        "it.",
    )
    promise_ms: float = declare(
        default=3_000.0,
        unit="ms",
        description="How long a promise not to claim holds.",
    )
    outage_limit_ms: float = declare(
        default=7_200_000.0,
        unit="ms",
        description="Longest time an owner goes on past its lapsed lease.",
    )
    settle_ms: float = declare(
        default=3_500.0,
        unit="ms",
        description="Wait between the store's return and the first claim, so that "
        "owners renew before their shards are taken.",
    )
    pull_after_ms: float = declare(
        default=300.0,
        unit="ms",
        description="How long a peer may be ahead before its changes are pulled.",
    )
    link_linger_ms: float = declare(
        default=20_000.0,
        unit="ms",
        description="How long the link to a member is kept after its record has gone.",
    )
