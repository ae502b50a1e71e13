"""What an instance knows of its own store lease."""

import attrs

__all__ = ["LeaseKeeper"]

_CLOCK_RATE_ERROR = 0.01


@attrs.define(kw_only=True)
class LeaseKeeper:
    """The lease as its holder may rely on it.

    The store counts a lease from when it receives the renewal; the holder counts from
    when it sent it, less a margin for clocks that run at different rates. So the holder
    always takes its lease to be over before the store does.

    Parameters
    ----------
    ttl_ms : float
        Time to live of a renewed lease, in ms.
    lease_id : str or None
        Lease held, if any; the incarnation of the membership.
    held_until_ms : float
        Monotonic time up to which the lease is surely held, in ms.
    """

    ttl_ms: float
    lease_id: str | None = None
    held_until_ms: float = float("-inf")

    def record_grant(self, *, lease_id: str, sent_at_ms: float) -> None:
        """Record a granted lease, from when its request was sent."""
        self.lease_id = lease_id
        self.record_renewal(sent_at_ms=sent_at_ms)

    def record_renewal(self, *, sent_at_ms: float) -> None:
        """Record a renewal, from when its request was sent."""
        usable_ms = self.ttl_ms * (1.0 - _CLOCK_RATE_ERROR)
        self.held_until_ms = max(self.held_until_ms, sent_at_ms + usable_ms)

    def record_loss(self) -> None:
        """Forget a lease that the store no longer knows."""
        self.lease_id = None
        self.held_until_ms = float("-inf")

    def is_held(self, now_ms: float) -> bool:
        """Tell whether the lease is surely held at ``now_ms``.

        Read at each use and never kept: a process that was frozen wakes up with a lease
        that lapsed, and only the clock tells it.
        """
        return self.lease_id is not None and now_ms < self.held_until_ms
