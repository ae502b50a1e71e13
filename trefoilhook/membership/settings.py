"""Times of membership, each declared once."""

import attrs

__all__ = ["MembershipSettings"]


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Times of membership.

    Parameters
    ----------
    lease_ttl_ms : float
        Time to live of the instance's store lease, in ms.
    renew_interval_ms : float
        Interval between renewals, in ms.
    retry_interval_ms : float
        Interval after a failed renewal, in ms.
    watch_wait_ms : float
        Longest wait of one watch call, in ms; a silent watch is replaced after it.
    promise_ms : float
        How long a promise not to claim holds, in ms.
    outage_limit_ms : float
        Longest time an owner goes on past its lapsed lease, in ms.
    settle_ms : float
        Wait between the store's return and the first claim, in ms, so that owners renew
        before their shards are taken.
    pull_after_ms : float
        How long a peer may be ahead before its changes are pulled, in ms.
    """

    lease_ttl_ms: float = 5_000.0
    renew_interval_ms: float = 1_600.0
    retry_interval_ms: float = 500.0
    watch_wait_ms: float = 2_000.0
    promise_ms: float = 3_000.0
    outage_limit_ms: float = 900_000.0
    settle_ms: float = 3_500.0
    pull_after_ms: float = 300.0
