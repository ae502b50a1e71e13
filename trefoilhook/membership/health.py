"""Reachability of the store from this instance."""

import math

import attrs

from trefoilhook.logs import Event, log_event

__all__ = ["StoreHealth"]


@attrs.define(kw_only=True)
class StoreHealth:
    """Reachability of the store from this instance.

    The store counts as unreachable from the first failure until a renewal succeeds. An
    instance gives promises only while the store is unreachable, because it must not
    promise while it could still claim.
    """

    is_reachable: bool = False
    has_failed: bool = False
    reachable_since_ms: float = -math.inf

    failing_since_ms: float = 0.0

    def record_success(self, now_ms: float) -> None:
        """Record that the store answered a renewal."""
        if not self.is_reachable:
            self.is_reachable = True
            self.reachable_since_ms = now_ms
            log_event(Event.STORE_BACK)

    def record_failure(self, now_ms: float, reason: str) -> None:
        """Record that a renewal failed."""
        if self.is_reachable or not self.has_failed:
            self.failing_since_ms = now_ms
            log_event(Event.STORE_DOWN, reason=reason)
        self.is_reachable = False
        self.has_failed = True
