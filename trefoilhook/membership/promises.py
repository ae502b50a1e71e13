"""Promises not to claim, which let owners go on while the store is down.

An owner that can't renew its lease can't tell "the store is down for all" from "I
alone am cut off". In the first case going on is right, in the second another instance
may claim its shards. It goes on only while every other member of the view that it
last read has promised not to claim, or is proved dead. A member promises only while
it can't reach the store itself, so one member that can is enough to stop the owner.
"""

from collections.abc import Callable, Iterable

import attrs

__all__ = ["PromiseBook"]


@attrs.define(kw_only=True)
class PromiseBook:
    """Promises given to owners and received from members.

    Parameters
    ----------
    promise_ms : float
        How long a promise holds for the member that gave it, in ms from giving it. The
        owner counts it from when it asked, which is earlier.
    outage_limit_ms : float
        Longest time an owner goes on past its lapsed lease, in ms.
    """

    promise_ms: float
    outage_limit_ms: float
    _given: dict[str, float] = attrs.field(factory=dict)
    _received: dict[str, float] = attrs.field(factory=dict)
    _is_broken: bool = False

    def give(self, owner_id: str, *, now_ms: float) -> None:
        """Promise ``owner_id`` not to claim its shards for ``promise_ms``."""
        self._given[owner_id] = now_ms + self.promise_ms

    def is_given(self, owner_id: str, *, now_ms: float) -> bool:
        """Tell whether a promise to ``owner_id`` is in force."""
        return now_ms < self._given.get(owner_id, float("-inf"))

    def receive(self, member_id: str, *, asked_at_ms: float) -> None:
        """Record a promise, from when it was asked for."""
        until_ms = asked_at_ms + self.promise_ms
        known_ms = self._received.get(member_id, float("-inf"))
        self._received[member_id] = max(known_ms, until_ms)

    def restart(self) -> None:
        """Begin anew under a new lease; a broken right stays with the old one."""
        self._received.clear()
        self._is_broken = False

    def extend(
        self,
        *,
        view: Iterable[str],
        is_dead: Callable[[str], bool],
        lapsed_at_ms: float,
        now_ms: float,
    ) -> float:
        """Compute up to when an owner may go on past its lapsed lease.

        Once its right has ended it never resumes on promises: a member that gave none
        in between may have claimed the shards, and could lose the store and promise
        only afterwards. So the right is judged at each use, and a gap latches.

        Parameters
        ----------
        view : iterable of str
            The other members of the view that the owner last read from the store.
        is_dead : callable
            Whether a member is proved dead: its address refuses connections, or
            answers with another instance id. Silence is no proof. Asked only of
            members whose promises fall short.
        lapsed_at_ms : float
            Monotonic time at which the owner's lease was over, in ms.
        now_ms : float
            Monotonic time, in ms.

        Returns
        -------
        float
            Monotonic time in ms; in the past when it must not act.
        """
        if self._is_broken:
            return float("-inf")
        until_ms = lapsed_at_ms + self.outage_limit_ms
        for member_id in view:
            promised_ms = self._received.get(member_id, float("-inf"))
            if promised_ms < until_ms and not is_dead(member_id):
                until_ms = promised_ms
        self._is_broken = now_ms >= max(until_ms, lapsed_at_ms)
        return until_ms
