"""Key owner role: ensures that each key runs at most once."""

import math

import attrs
import trio

from trefoilhook.inner.messages_pb2 import ServiceRequest
from trefoilhook.requests.coordination import coordinate
from trefoilhook.requests.dedup import (
    KeyRecord,
    KeyTable,
    KeyTimeWindow,
    VerdictKind,
)
from trefoilhook.requests.keys import (
    compute_digest,
    compute_key_shard,
    read_created_ms,
)
from trefoilhook.requests.models import CallerAnswer
from trefoilhook.requests.pending import Components, PendingRequest
from trefoilhook.results import ResultCode

__all__ = ["KeyHandover", "KeyOwner", "charge_quota"]

_MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class KeyHandover:
    """Keys of a shard that its owner hands over to the next one.

    Parameters
    ----------
    epoch : int
        Epoch of the previous owner.
    known_from_ms : float
        Key time from which every key that was run is among the records.
    records : tuple of KeyRecord
        Records of the known keys.
    """

    epoch: int
    known_from_ms: float
    records: tuple[KeyRecord, ...]


@attrs.define(kw_only=True, eq=False)
class _OwnedTable:
    epoch: int
    table: KeyTable


def charge_quota(components: Components, team: str) -> CallerAnswer | None:
    """Charge a request to its team's quota; return a refusal if it is exceeded."""
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
    """Key tables of the request shards owned by this instance.

    Parameters
    ----------
    components : Components
        Components shared by all roles.
    """

    components: Components
    _tables: dict[str, _OwnedTable] = attrs.field(factory=dict, init=False)
    _handed_over: dict[str, KeyHandover] = attrs.field(factory=dict, init=False)

    async def serve(
        self, request: ServiceRequest, *, pending: PendingRequest, entry_id: str
    ) -> CallerAnswer:
        """Answer a request if this instance owns its key.

        Parameters
        ----------
        request : ServiceRequest
            The received message.
        pending : PendingRequest
            The request, with the deadline of its sender.
        entry_id : str
            Instance that received the request from the caller.
        """
        components = self.components
        created_ms = read_created_ms(pending.key)
        wall_ms = components.clock.wall_ms()  # must be read before the ownership check
        count = components.settings.shard_count
        shard_id = compute_key_shard(pending.key, shard_count=count)
        epoch = components.ownership.get_serving_epoch(shard_id)
        if epoch is None:
            return components.refuse(ResultCode.NO_OWNER)
        table = self._get_table(shard_id, epoch)
        verdict = table.begin(
            key=pending.key,
            created_ms=created_ms,
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
        """Remove a shard's key table and return its contents for the next owner.

        Must be called, without awaiting in between, as soon as this instance stops
        acting for the shard; keys accepted in between would be missing. A shard without
        requests has no table yet and gets an empty one. Its lower bound tells the next
        owner that none of the keys that callers already hold were run.

        Parameters
        ----------
        shard_id : str
            ID of the shard.
        epoch : int
            Epoch that ends.
        """
        table = self._get_table(shard_id, epoch)
        del self._tables[shard_id]
        return KeyHandover(
            epoch=epoch,
            known_from_ms=table.get_known_from_ms(self._get_window(shard_id)),
            records=table.list_records(),
        )

    def import_keys(self, shard_id: str, handover: KeyHandover) -> None:
        """Import the keys of the previous owner, before or after the claim."""
        epoch = self.components.ownership.get_serving_epoch(shard_id)
        if epoch is None:
            self._handed_over[shard_id] = handover
            return
        self._import_handover(self._get_table(shard_id, epoch), handover, epoch)

    def drop_superseded(self) -> None:
        """Remove the tables of shards that have been claimed at a later epoch.

        While this instance may not act for a shard but no other has claimed it, the
        table is kept, because ownership may resume at the same epoch.
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
        # A handover may arrive late, after another instance has owned the shard. Its
        # lower bound does not cover the keys which that instance ran, and is ignored.
        # The records remain valid.
        is_direct = handover.epoch == epoch - 1
        known_from_ms = handover.known_from_ms if is_direct else math.inf
        table.import_records(
            known_from_ms=known_from_ms, records=list(handover.records)
        )

    def _get_window(self, shard_id: str) -> KeyTimeWindow:
        settings = self.components.settings
        return KeyTimeWindow(
            since_wall_ms=self.components.ownership.serving_since_wall_ms(shard_id),
            max_clock_skew_ms=settings.clock_skew_ms,
            max_ahead_ms=settings.key_ahead_ms,
        )

    def _set_owner(self, answer: CallerAnswer | None) -> CallerAnswer:
        if answer is None:
            return self.components.refuse(ResultCode.INTERNAL)
        return attrs.evolve(answer, owner_instance_id=self.components.instance_id)

    async def _execute(
        self, table: KeyTable, record: KeyRecord, pending: PendingRequest, entry_id: str
    ) -> None:
        """Run a request to completion, even if its sender stops waiting."""

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
            # The request can no longer be sent, because the same deadline is checked
            # immediately before the first byte.
            return self.components.refuse(ResultCode.QUEUE_DEADLINE)
        return self.components.refuse(ResultCode.DEADLINE_AFTER_SEND)
