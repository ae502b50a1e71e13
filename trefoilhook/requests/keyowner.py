"""The role of a key's owner: each key runs at most once."""

import math

import attrs
import trio

from trefoilhook.inner.messages_pb2 import ServiceRequest
from trefoilhook.requests.coordination import coordinate
from trefoilhook.requests.dedup import (
    ActingWindow,
    KeyRecord,
    KeyTable,
    VerdictKind,
)
from trefoilhook.requests.keys import (
    compute_digest,
    compute_key_shard,
    read_minted_ms,
)
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.pending import Components, PendingRequest
from trefoilhook.results import ResultCode

__all__ = ["KeyHandover", "KeyOwner", "charge_quota"]

_MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class KeyHandover:
    """What a leaving owner tells the next one about its keys.

    Parameters
    ----------
    epoch : int
        Epoch of the leaving owner's claim.
    known_from_ms : float
        Keys minted from then on that are not among the records were not run.
    records : tuple of KeyRecord
        The keys whose fate it knows.
    """

    epoch: int
    known_from_ms: float
    records: tuple[KeyRecord, ...]


@attrs.define(kw_only=True, eq=False)
class _OwnedTable:
    epoch: int
    table: KeyTable


def charge_quota(components: Components, team: str) -> CallerAnswer | None:
    """Count a request against its team's quota; the refusal if it is used up."""
    quota_per_s = components.teams.get_quota_per_s(team)
    if math.isinf(quota_per_s):
        return None
    wait_ms = components.quotas.take(
        team,
        quota_per_s=quota_per_s,
        share=components.get_owned_share(),
        now_ms=components.clock.monotonic_ms(),
    )
    if wait_ms <= 0:
        return None
    return components.refuse(ResultCode.QUOTA_EXCEEDED, retry_after_ms=wait_ms)


@attrs.define(kw_only=True, eq=False)
class KeyOwner:
    """Tables of the request shards owned here.

    Parameters
    ----------
    parts : Parts
        What the roles share.
    """

    components: Components
    _tables: dict[str, _OwnedTable] = attrs.field(factory=dict, init=False)
    _handed_over: dict[str, KeyHandover] = attrs.field(factory=dict, init=False)

    async def serve(
        self, request: ServiceRequest, *, pending: PendingRequest, entry_id: str
    ) -> CallerAnswer:
        """Answer a request whose key may be owned here.

        Parameters
        ----------
        request : ServiceRequest
            The message as it came.
        work : Work
            The request, with the deadline of whoever waits for it.
        entry_id : str
            Instance that took it in.
        """
        components = self.components
        minted_ms = read_minted_ms(pending.key)
        wall_ms = components.clock.wall_ms()  # before the right to act is checked
        count = components.settings.shard_count
        shard_id = compute_key_shard(pending.key, shard_count=count)
        epoch = components.ownership.owns(shard_id)
        if epoch is None:
            return components.refuse(ResultCode.NO_OWNER)
        table = self._get_table(shard_id, epoch)
        verdict = table.begin(
            key=pending.key,
            minted_ms=minted_ms,
            digest=compute_digest(
                team=pending.team,
                service=pending.service,
                content_type=pending.content_type,
                body=pending.body,
            ),
            wall_ms=wall_ms,
            window=self._get_window(shard_id),
        )
        if verdict.record is None:
            return self._set_owner(verdict.answer)
        record = verdict.record
        is_first = verdict.kind is VerdictKind.RUN
        if is_first:
            refusal = charge_quota(components, pending.team)
            if refusal is not None:
                table.finish(record, refusal)
                return refusal
            components.start(self._execute, table, record, pending, entry_id)
        return await self._wait_for_answer(record, pending, is_first=is_first)

    def export_keys(self, shard_id: str, epoch: int) -> KeyHandover:
        """Return what the next owner must know, and forget it here.

        To be called once this instance no longer acts for the shard, in the step in
        which that became so: what came in between would be missing. A shard that no
        request came for has no table yet; that none was run is worth telling too, or
        the next owner could not vouch for the keys that callers hold already.

        Parameters
        ----------
        shard_id : str
            The shard.
        epoch : int
            Epoch of the claim that ends.
        """
        table = self._get_table(shard_id, epoch)
        del self._tables[shard_id]
        return KeyHandover(
            epoch=epoch,
            known_from_ms=table.get_known_from_ms(self._get_window(shard_id)),
            records=table.list_records(),
        )

    def import_keys(self, shard_id: str, handover: KeyHandover) -> None:
        """Take in what the previous owner told, before or after the own claim."""
        epoch = self.components.ownership.owns(shard_id)
        if epoch is None:
            self._handed_over[shard_id] = handover
            return
        self._import_handover(self._get_table(shard_id, epoch), handover, epoch)

    def drop_superseded(self) -> None:
        """Forget the tables of shards that were claimed anew since.

        A shard that this instance may not act for now, but that nobody has claimed,
        keeps its table: the right may come back at the same epoch.
        """
        for shard_id, owned in list(self._tables.items()):
            owner = self.components.ownership.find_owner(shard_id)
            if owner is not None and owner.epoch > owned.epoch:
                del self._tables[shard_id]

    def _get_table(self, shard_id: str, epoch: int) -> KeyTable:
        owned = self._tables.get(shard_id)
        if owned is not None and owned.epoch == epoch:
            return owned.table
        settings = self.components.settings
        table = KeyTable(
            max_age_ms=settings.key_age_ms, max_bytes=settings.key_table_bytes
        )
        self._tables[shard_id] = _OwnedTable(epoch=epoch, table=table)
        handover = self._handed_over.pop(shard_id, None)
        if handover is not None:
            self._import_handover(table, handover, epoch)
        return table

    def _import_handover(
        self, table: KeyTable, handover: KeyHandover, epoch: int
    ) -> None:
        # Guards against a handover that arrives late, after yet another owner held
        # the shard: the floor would vouch for keys that the owner in between ran.
        # The records themselves stay true whoever comes later.
        is_direct = handover.epoch == epoch - 1
        known_from_ms = handover.known_from_ms if is_direct else math.inf
        table.import_records(
            known_from_ms=known_from_ms, records=list(handover.records)
        )

    def _get_window(self, shard_id: str) -> ActingWindow:
        settings = self.components.settings
        return ActingWindow(
            since_wall_ms=self.components.ownership.own_since_wall_ms(shard_id),
            skew_ms=settings.clock_skew_ms,
            ahead_ms=settings.key_ahead_ms,
        )

    def _set_owner(self, answer: CallerAnswer | None) -> CallerAnswer:
        if answer is None:
            return self.components.refuse(ResultCode.INTERNAL)
        return attrs.evolve(answer, owner_instance_id=self.components.instance_id)

    async def _execute(
        self, table: KeyTable, record: KeyRecord, pending: PendingRequest, entry_id: str
    ) -> None:
        """Run a request to its end, also when nobody waits for it any more."""

        def mark_sent(is_sent: bool) -> None:
            record.is_sent = is_sent

        answer = self.components.refuse(ResultCode.INTERNAL)
        try:
            answer = await coordinate(
                self.components, pending, mark_sent=mark_sent, entry_id=entry_id
            )
        finally:
            table.finish(record, answer)

    async def _wait_for_answer(
        self, record: KeyRecord, pending: PendingRequest, *, is_first: bool
    ) -> CallerAnswer:
        remaining_ms = max(
            0.0, pending.deadline_ms - self.components.clock.monotonic_ms()
        )
        with trio.move_on_after(remaining_ms / _MS_PER_S):
            await record.finished.wait()
        if record.answer is not None:
            return record.answer
        if is_first and not record.is_sent:
            # From its deadline on the request can't leave any more: the same deadline
            # is checked in the step in which the first byte would.
            return self.components.refuse(ResultCode.QUEUE_DEADLINE)
        return self.components.refuse(ResultCode.DEADLINE_AFTER_SEND)
