"""Finding out whether the former owners of a claimed shard have stopped."""

from collections.abc import Iterable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.inner import InnerNode, PeerAddress
from trefoilhook.inner.messages_pb2 import AttestRequest
from trefoilhook.membership import Membership
from trefoilhook.shards.core import PreviousOwner
from trefoilhook.shards.holdings import Holding
from trefoilhook.shards.rights import Evidence, Rights, judge_rights

__all__ = ["Inquiry"]

_ATTEST_TIMEOUT_MS = 1_000.0


class Inquiry:
    """Gathers evidence about former owners.

    Parameters
    ----------
    membership : Membership
        Members, and what this instance has promised.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time.
    outage_limit_ms : float
        Longest time an owner goes on past its lapsed lease, in ms.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        inner: InnerNode,
        clock: Clock,
        outage_limit_ms: float,
    ) -> None:
        self._membership = membership
        self._inner = inner
        self._clock = clock
        self._outage_limit_ms = outage_limit_ms

    def probe(self, holdings: Iterable[Holding]) -> None:
        """Keep links to the former owners, to find whether they are proved dead."""
        unmet = {owner for holding in holdings for owner in holding.row.unmet}
        self._membership.probe(
            PeerAddress(instance_id=o.instance_id, host=o.host, port=o.port)
            for o in sorted(unmet, key=lambda owner: owner.instance_id)
        )

    def judge(self, holding: Holding) -> Rights:
        """Judge over all former owners; the weakest evidence decides."""
        rights = Rights.NO_PREVIOUS_OWNER
        for owner in holding.row.unmet:
            rights = judge_rights(
                self._gather(holding, owner), outage_limit_ms=self._outage_limit_ms
            )
            if rights is Rights.WAIT:
                return rights
        return rights

    def _gather(self, holding: Holding, owner: PreviousOwner) -> Evidence:
        membership = self._membership
        owner_id = owner.instance_id
        return Evidence(
            is_in_view=membership.is_unpromised_in_view_of(owner_id),
            is_proved_dead=membership.is_proved_dead(owner_id),
            is_attested=owner_id in holding.attested,
            waited_ms=self._clock.monotonic_ms() - holding.claimed_at_ms,
        )

    async def ask_members(self, holding: Holding) -> None:
        """Ask the members what they know of a shard's former owners."""
        me = self._membership.instance_id
        for owner in holding.row.unmet:
            for member in self._membership.members:
                if member.instance_id not in (me, owner.instance_id):
                    await self._ask_attest(holding, owner, member.instance_id)

    async def _ask_attest(
        self, holding: Holding, owner: PreviousOwner, member_id: str
    ) -> None:
        request = AttestRequest(owner_instance_id=owner.instance_id)
        try:
            answer = await self._inner.call(
                member_id, request, timeout_ms=_ATTEST_TIMEOUT_MS
            )
        except TrefoilhookError:
            return
        if getattr(answer, "is_unpromised", False):
            holding.attested.add(owner.instance_id)
