"""State of an instance's own store lease."""

import attrs

__all__ = ["LeaseState"]

_MAX_CLOCK_DRIFT = 0.01


@attrs.define(kw_only=True)
class LeaseState:
    """The lease as seen by its holder.

    The store counts a lease from the receipt of the renewal; the holder counts from the
    time it sent the renewal, minus a margin for clock drift. So a lease always ends for
    its holder before it expires in the store.

    Parameters
    ----------
    ttl_ms : float
        Time to live of a renewed lease, in ms.
    lease_id : str or None
        Lease held, if any; the incarnation of the membership.
    held_until_ms : float
        Monotonic time until which the lease is certain to be held, in ms.
    """

    ttl_ms: float
    lease_id: str | None = None
    held_until_ms: float = float("-inf")

    def record_grant(self, *, lease_id: str, sent_at_ms: float) -> None:
        """Record a granted lease, counted from when its request was sent."""
        self.lease_id = lease_id
        self.record_renewal(sent_at_ms=sent_at_ms)

    def record_renewal(self, *, sent_at_ms: float) -> None:
        """Record a renewal, counted from when its request was sent."""
        usable_ms = self.ttl_ms * (1.0 - _MAX_CLOCK_DRIFT)
        self.held_until_ms = max(self.held_until_ms, sent_at_ms + usable_ms)

    def record_loss(self) -> None:
        """Clear a lease that has been revoked or has expired in the store."""
        self.lease_id = None
        self.held_until_ms = float("-inf")

    def is_held(self, now_ms: float) -> bool:
        """Return whether the lease is certain to be held at ``now_ms``.

        Callers must check at each use and not cache the result: the lease may expire
        while the process is suspended, and only the clock shows it.
        """
        return self.lease_id is not None and now_ms < self.held_until_ms
