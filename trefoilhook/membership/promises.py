"""Promises not to claim, which let owners continue while the store is down.

An owner that cannot renew its lease cannot tell a store outage from being cut off
alone. In an outage it should continue to serve; if it is cut off alone, another
instance may claim its shards. It continues only while every other member in the view
that it last read has promised not to claim, or is proved dead. A member gives promises
only while it cannot reach the store, so a single member that can stops the owner.
"""

from collections.abc import Callable, Iterable

import attrs

__all__ = ["PromiseTracker"]


@attrs.define(kw_only=True)
class PromiseTracker:
    """Promises given to owners and received from members.

    Parameters
    ----------
    promise_ms : float
        How long a promise binds the member that gave it, in ms from giving it. The
        owner counts it from when it sent the request, which is earlier.
    outage_limit_ms : float
        Longest time an owner serves after its lease has expired, in ms.
    """

    promise_ms: float
    outage_limit_ms: float
    _given_until_ms: dict[str, float] = attrs.field(factory=dict)
    _received_until_ms: dict[str, float] = attrs.field(factory=dict)
    _has_ended: bool = False

    def record_given(self, owner_id: str, *, now_ms: float) -> None:
        """Record a promise to ``owner_id`` not to claim its shards."""
        self._given_until_ms[owner_id] = now_ms + self.promise_ms

    def is_given(self, owner_id: str, *, now_ms: float) -> bool:
        """Return whether a promise to ``owner_id`` is in force."""
        return now_ms < self._given_until_ms.get(owner_id, float("-inf"))

    def record_received(self, member_id: str, *, requested_at_ms: float) -> None:
        """Record a promise of ``member_id``, counted from when it was requested."""
        until_ms = requested_at_ms + self.promise_ms
        known_ms = self._received_until_ms.get(member_id, float("-inf"))
        self._received_until_ms[member_id] = max(known_ms, until_ms)

    def reset(self) -> None:
        """Discard received promises and the ended state, under a new lease."""
        self._received_until_ms.clear()
        self._has_ended = False

    def compute_serving_end_ms(
        self,
        *,
        view: Iterable[str],
        is_dead: Callable[[str], bool],
        expired_at_ms: float,
        now_ms: float,
    ) -> float:
        """Compute until when an owner may serve after its lease has expired.

        Once this time has passed, the owner never resumes on promises: a member that
        had not promised may have claimed the shards, and may have lost the store and
        promised only afterwards. So the end is computed at each use, and a gap in the
        promises is final until `reset`.

        Parameters
        ----------
        view : iterable of str
            The other members in the view that the owner last read from the store.
        is_dead : callable
            Whether a member is proved dead: its address refuses connections or answers
            with another instance id, or an operator has declared it gone. Silence is no
            proof. Called only for members whose promises end too early.
        expired_at_ms : float
            Monotonic time at which the owner's lease ended, in ms.
        now_ms : float
            Current monotonic time, in ms.

        Returns
        -------
        float
            Monotonic time in ms; in the past if the owner may not serve.
        """
        if self._has_ended:
            return float("-inf")
        until_ms = expired_at_ms + self.outage_limit_ms
        for member_id in view:
            promised_ms = self._received_until_ms.get(member_id, float("-inf"))
            if promised_ms < until_ms and not is_dead(member_id):
                until_ms = promised_ms
        self._has_ended = now_ms >= max(until_ms, expired_at_ms)
        return until_ms
