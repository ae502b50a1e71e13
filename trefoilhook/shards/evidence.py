"""Collects evidence that the previous owners of a claimed shard have stopped."""

from collections.abc import Iterable

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.inner import InnerNode, PeerAddress
from trefoilhook.inner.messages_pb2 import AttestRequest
from trefoilhook.membership import Membership
from trefoilhook.shards.assignments import Assignment
from trefoilhook.shards.core import PreviousOwner
from trefoilhook.shards.rights import Evidence, ServingGrounds, evaluate_evidence

__all__ = ["EvidenceCollector"]

_ATTEST_TIMEOUT_MS = 1_000.0


class EvidenceCollector:
    """Collects evidence about previous owners.

    Parameters
    ----------
    membership : Membership
        The members, and the promises that this instance has given.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time source.
    outage_limit_ms : float
        Longest time an owner serves after its lease has expired, in ms.
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

    def probe(self, assignments: Iterable[Assignment]) -> None:
        """Keep links to the previous owners, to detect that they are dead."""
        unmet = {owner for assignment in assignments for owner in assignment.row.unmet}
        self._membership.probe(
            PeerAddress(instance_id=o.instance_id, host=o.host, port=o.port)
            for o in sorted(unmet, key=lambda owner: owner.instance_id)
        )

    def evaluate(self, assignment: Assignment) -> ServingGrounds:
        """Evaluate all previous owners: WAIT if any of them may still be serving."""
        grounds = ServingGrounds.NO_PREVIOUS_OWNER
        for owner in assignment.row.unmet:
            grounds = evaluate_evidence(
                self._collect(assignment, owner), outage_limit_ms=self._outage_limit_ms
            )
            if grounds is ServingGrounds.WAIT:
                return grounds
        return grounds

    def _collect(self, assignment: Assignment, owner: PreviousOwner) -> Evidence:
        membership = self._membership
        owner_id = owner.instance_id
        return Evidence(
            is_in_view=membership.can_attest_stopped(owner_id),
            is_proved_dead=membership.is_proved_dead(owner_id),
            is_attested=owner_id in assignment.attested_owners,
            waited_ms=self._clock.monotonic_ms() - assignment.claimed_at_ms,
        )

    async def request_attestations(self, assignment: Assignment) -> None:
        """Ask the members to attest that a shard's previous owners have stopped."""
        me = self._membership.instance_id
        for owner in assignment.row.unmet:
            for member in self._membership.members:
                if member.instance_id not in (me, owner.instance_id):
                    await self._request_attestation(
                        assignment, owner, member.instance_id
                    )

    async def _request_attestation(
        self, assignment: Assignment, owner: PreviousOwner, member_id: str
    ) -> None:
        request = AttestRequest(owner_instance_id=owner.instance_id)
        try:
            answer = await self._inner.call(
                member_id, request, timeout_ms=_ATTEST_TIMEOUT_MS
            )
        except TrefoilhookError:
            return
        if getattr(answer, "is_unpromised", False):
            assignment.attested_owners.add(owner.instance_id)
