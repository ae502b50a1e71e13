"""The task that claims, serves and hands over an instance's shards."""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    DecodeError,
    NotSentError,
    StoreError,
    TrefoilhookError,
)
from trefoilhook.inner import Call, InnerNode, PeerState
from trefoilhook.inner.messages_pb2 import Empty, ShardHandover
from trefoilhook.logs import Event, log_event
from trefoilhook.membership import (
    Member,
    Members,
    Membership,
)
from trefoilhook.settings import ShardSettings
from trefoilhook.shards.assignments import Assignment, Owner, OwnershipChange
from trefoilhook.shards.claims import (
    ClaimPlan,
    hand_over,
    plan_claims,
    plan_handovers,
)
from trefoilhook.shards.core import (
    TABLE_KEY,
    ShardRow,
    ShardTable,
    decode_table,
    list_shards,
)
from trefoilhook.shards.evidence import EvidenceCollector
from trefoilhook.shards.rights import ServingGrounds
from trefoilhook.shards.tables import TableStore
from trefoilhook.store import (
    ConflictError,
    StoreClient,
)

__all__ = ["Ownership"]

_POLL_INTERVAL_MS = 250.0
_FIRST_EPOCH = 1
_BACKOFF_RANGE_MS = (5.0, 40.0)
_RELEASE_TIMEOUT_MS = 3_000.0

ReleaseHook = Callable[[str, int], Awaitable[ShardHandover]]
HandoverHandler = Callable[[ShardHandover], None]


class Ownership:
    """Ownership of shards by one instance.

    Parameters
    ----------
    membership : Membership
        Members, lease and mirror of the store.
    store : StoreClient
        Client of the platform's store.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time source.
    settings : ShardSettings
        Numbers of shards of each kind.
    outage_limit_ms : float
        Longest time an owner serves after its lease has expired, in ms.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store: StoreClient,
        inner: InnerNode,
        clock: Clock,
        settings: ShardSettings,
        outage_limit_ms: float,
    ) -> None:
        self._membership = membership
        self._table_store = TableStore(store=store, clock=clock)
        self._inner = inner
        self._clock = clock
        self._shard_ids = list_shards(settings)
        self._evidence_collector = EvidenceCollector(
            membership=membership,
            inner=inner,
            clock=clock,
            outage_limit_ms=outage_limit_ms,
        )
        self._table = ShardTable()
        self._assignments: dict[str, Assignment] = {}
        self._received_handovers: dict[str, ShardHandover] = {}
        self._subscribers: list[trio.MemorySendChannel[OwnershipChange]] = []
        self._release_hooks: list[ReleaseHook] = []
        self._handover_handlers: list[HandoverHandler] = []
        self._random = random.Random(membership.instance_id)
        self._invalid_revision = 0
        inner.register_handler(ShardHandover, self._receive_handover)

    @property
    def table(self) -> ShardTable:
        """The shard table as last read."""
        return self._table

    def list_served(self) -> tuple[str, ...]:
        """Return the shards that this instance may serve now."""
        return tuple(
            s for s in self._assignments if self.get_serving_epoch(s) is not None
        )

    def find_owner(self, shard_id: str) -> Owner | None:
        """Return the owner of a shard according to the mirror; None if it has none."""
        row = self._table.get_row(shard_id)
        if not row.owner_id:
            return None
        return Owner(instance_id=row.owner_id, epoch=row.epoch)

    def get_serving_epoch(self, shard_id: str) -> int | None:
        """Return the epoch if this instance may serve the shard now, else None.

        The clock is read at each call, so that a process that was suspended beyond the
        end of its lease stops before it acts on a shard that may have a new owner.
        """
        assignment = self._assignments.get(shard_id)
        if assignment is None or not assignment.is_active:
            return None
        if not self._membership.may_serve(assignment.row.incarnation):
            return None
        return assignment.row.epoch

    def serving_since_wall_ms(self, shard_id: str) -> float:
        """Return since when the instance may serve, in ms since the Unix epoch."""
        assignment = self._assignments.get(shard_id)
        return math.inf if assignment is None else assignment.active_since_wall_ms

    def serving_end_wall_ms(self, shard_id: str) -> float:
        """Return until when the instance may serve, in ms since the Unix epoch.

        The end is the one known now and may still be extended.
        """
        assignment = self._assignments.get(shard_id)
        if assignment is None:
            return -math.inf
        until_ms = self._membership.compute_serving_end_ms(assignment.row.incarnation)
        return self._clock.wall_ms() + until_ms - self._clock.monotonic_ms()

    def subscribe(self) -> trio.MemoryReceiveChannel[OwnershipChange]:
        """Return a channel that receives every change of the shards served."""
        sender, receiver = trio.open_memory_channel[OwnershipChange](math.inf)
        self._subscribers.append(sender)
        return receiver

    def add_release_hook(self, hook: ReleaseHook) -> None:
        """Add a hook that ends work on a shard and returns its handover message."""
        self._release_hooks.append(hook)

    def add_handover_handler(self, handler: HandoverHandler) -> None:
        """Add a handler that applies the handover message of a previous owner.

        It is called before this instance may serve the shard. If the message were
        delivered later, with the changes, a request arriving in between would be
        decided without it: its key was created before the claim, so its caller would
        be told "unknown".
        """
        self._handover_handlers.append(handler)

    def _apply_handover(self, handover: ShardHandover | None) -> None:
        if handover is not None:
            for handler in self._handover_handlers:
                handler(handover)

    async def _receive_handover(self, call: Call) -> Empty:
        """Keep an owner's handover message until the table names this instance."""
        handover = call.message
        if isinstance(handover, ShardHandover) and handover.shard_id in self._shard_ids:
            self._received_handovers[handover.shard_id] = handover
        return Empty()

    async def run(self) -> None:
        """Claim, serve and hand over shards until cancelled."""
        changes = self._membership.follower.subscribe()
        while True:
            is_contended = await self.run_once()
            if is_contended:
                # Many instances write the table at once when an instance is lost or
                # the store is reachable again; the random delay spreads their writes.
                await self._clock.sleep_ms(self._random.uniform(*_BACKOFF_RANGE_MS))
                continue
            with trio.move_on_after(_POLL_INTERVAL_MS / 1000.0):
                await changes.receive()

    async def run_once(self) -> bool:
        """Bring ownership in line with members and table once.

        Returns
        -------
        bool
            Whether another instance wrote the table first, so that a retry is needed.
        """
        self._apply_table()
        try:
            if self._membership.is_lease_held():
                await self._claim()
            if self._membership.is_settled():
                await self._hand_over()
        except ConflictError:
            return True
        except StoreError as error:
            log_event(Event.STORE_DOWN, reason=str(error))
        except DecodeError:
            # Logged when the mirror delivers the table. Nothing can be claimed or
            # handed over until a valid one replaces it.
            pass
        await self._activate_ready()
        return False

    async def wait_released(self) -> None:
        """Wait until every shard is being handed over, or the lease is not held.

        `Membership.announce_leaving` must have been called before.
        """
        while any(not a.is_releasing for a in self._assignments.values()):
            if not self._membership.is_lease_held():
                return
            await self._clock.sleep_ms(_POLL_INTERVAL_MS / 5)

    def _apply_table(self) -> None:
        self._read_table()
        for shard_id in list(self._assignments):
            self._drop_if_reassigned(shard_id)
        member = self._membership.member
        for shard_id, row in self._table.rows.items():
            is_mine = row.owner_id == member.instance_id
            if is_mine and row.incarnation == member.incarnation:
                self._assign(shard_id, row)

    def _read_table(self) -> None:
        """Read the table in the mirror; the last valid one stays in force."""
        entry = self._membership.follower.mirror.get(TABLE_KEY)
        known = max(self._table.revision, self._invalid_revision)
        if entry is None or entry.revision <= known:
            return
        try:
            self._table = decode_table(entry.value, revision=entry.revision)
        except DecodeError as error:
            self._invalid_revision = entry.revision
            log_event(
                Event.ENTRY_INVALID,
                key=TABLE_KEY,
                revision=entry.revision,
                error=str(error),
            )

    def _assign(self, shard_id: str, row: ShardRow) -> None:
        self._membership.activate_incarnation()
        assignment = self._assignments.get(shard_id)
        if assignment is None:
            now_ms = self._clock.monotonic_ms()
            self._assignments[shard_id] = Assignment(row=row, claimed_at_ms=now_ms)
        else:
            assignment.row = row

    def _drop_if_reassigned(self, shard_id: str) -> None:
        """Drop a shard that the table assigns to another owner or at another epoch."""
        assignment = self._assignments[shard_id]
        row = self._table.get_row(shard_id)
        is_mine = row.owner_id == self._membership.instance_id
        if is_mine and row.epoch == assignment.row.epoch:
            return
        del self._assignments[shard_id]
        if not assignment.is_releasing:
            log_event(Event.SHARD_FENCED, shard=shard_id, epoch=row.epoch)
        if assignment.is_active:
            self._publish_change(shard_id, assignment, is_owned=False)

    async def _claim(self) -> None:
        """Claim the shards that are free.

        The mirror may be out of date, so it only decides whether to read the store. The
        table is read first and the members after it, as ``plan_claims`` requires.
        """
        if self._plan(self._table, self._membership.members).is_empty:
            return
        table = await self._table_store.fetch()
        members = await self._table_store.fetch_members()
        plan = self._plan(table, members)
        if plan.is_empty:
            return
        await self._write_table(plan.table)
        for shard_id in plan.claimed:
            log_event(
                Event.SHARD_CLAIMED,
                shard=shard_id,
                epoch=plan.table.rows[shard_id].epoch,
            )

    def _plan(self, table: ShardTable, members: Members) -> ClaimPlan:
        return plan_claims(
            table=table,
            members=members,
            local_member=self._membership.member,
            shard_ids=self._shard_ids,
            is_promised_to=self._membership.is_promised_to,
            held=self._assignments,
            may_claim=self._membership.is_settled(),
        )

    async def _write_table(self, table: ShardTable) -> None:
        entry = await self._table_store.write(table)
        self._membership.follower.apply_own_write(entry)
        self._apply_table()

    async def _hand_over(self) -> None:
        moves = plan_handovers(
            table=self._table,
            members=self._membership.members,
            local_member=self._membership.member,
        )
        moves = {
            shard_id: new_owner
            for shard_id, new_owner in moves.items()
            if shard_id in self._assignments and self._can_hand_over_to(new_owner)
        }
        self._resume_cancelled_handovers(moves)
        if not moves:
            return
        async with trio.open_nursery() as nursery:
            for shard_id, new_owner in moves.items():
                nursery.start_soon(self._release, shard_id, new_owner.instance_id)
        rows = dict(self._table.rows)
        for shard_id, new_owner in moves.items():
            unmet = rows[shard_id].unmet
            if self._assignments[shard_id].grounds is not ServingGrounds.WAIT:
                unmet = ()
            rows[shard_id] = hand_over(rows[shard_id], new_owner, unmet=unmet)
        await self._write_table(attrs.evolve(self._table, rows=rows))
        for shard_id in moves:
            log_event(Event.SHARD_RELEASED, shard=shard_id)

    def _can_hand_over_to(self, new_owner: Member) -> bool:
        """Return whether a shard can be handed over to a member now.

        A member that has just joined may have no link yet. Without the handover message
        it would have to refuse the keys that callers hold, so the shard stays until the
        link is up; an owner that is leaving cannot wait for it.
        """
        if self._membership.member.is_leaving:
            return True
        return self._inner.get_peer_state(new_owner.instance_id) is PeerState.UP

    def _resume_cancelled_handovers(self, moves: dict[str, Member]) -> None:
        """Serve again the released shards that are no longer to be moved.

        The new owner may die between the release and the write of the table, and no
        instance would then serve the shard. Its owner applies its own handover message
        and resumes.
        """
        for shard_id, assignment in self._assignments.items():
            if not assignment.is_releasing or shard_id in moves:
                continue
            if assignment.grounds is not ServingGrounds.WAIT:
                self._apply_handover(assignment.sent_handover)
            assignment.is_releasing = False
            if assignment.grounds is not ServingGrounds.WAIT:
                assignment.active_since_wall_ms = self._clock.wall_ms()
                self._publish_change(
                    shard_id, assignment, handover=assignment.sent_handover
                )

    async def _release(self, shard_id: str, new_owner_id: str) -> None:
        """Stop serving a shard, then send the handover message to the new owner.

        No work may be started after the message is built and before the new row is
        written, so ``is_releasing`` is set first and stays set.
        """
        assignment = self._assignments[shard_id]
        if assignment.is_releasing:
            return
        assignment.is_releasing = True
        if assignment.grounds is ServingGrounds.WAIT:
            return
        self._publish_change(shard_id, assignment, is_owned=False)
        message = ShardHandover(shard_id=shard_id, epoch=assignment.row.epoch)
        with trio.move_on_after(_RELEASE_TIMEOUT_MS / 1000.0):
            for hook in self._release_hooks:
                message.MergeFrom(await hook(shard_id, assignment.row.epoch))
        assignment.sent_handover = message
        with trio.move_on_after(_RELEASE_TIMEOUT_MS / 1000.0):
            await self._send_handover(new_owner_id, message)

    async def _send_handover(self, new_owner_id: str, message: ShardHandover) -> None:
        """Send the handover message to the new owner, retrying while the link is down.

        Without the message the new owner refuses keys created before its claim.
        """
        while True:
            try:
                await self._inner.call(
                    new_owner_id, message, timeout_ms=_RELEASE_TIMEOUT_MS
                )
                return
            except NotSentError:
                await self._clock.sleep_ms(_POLL_INTERVAL_MS / 5)
            except TrefoilhookError:
                return

    async def _activate_ready(self) -> None:
        """Begin to serve the claimed shards whose previous owners have stopped."""
        waiting = {
            shard_id: assignment
            for shard_id, assignment in self._assignments.items()
            if assignment.grounds is ServingGrounds.WAIT and not assignment.is_releasing
        }
        self._evidence_collector.probe(waiting.values())
        for shard_id, assignment in waiting.items():
            grounds = self._evidence_collector.evaluate(assignment)
            if grounds is ServingGrounds.WAIT:
                await self._evidence_collector.request_attestations(assignment)
                continue
            handover = self._pop_handover(shard_id, assignment.row)
            self._apply_handover(handover)
            assignment.grounds = grounds
            # Nobody can have served the shard before its first claim.
            is_first = assignment.row.epoch == _FIRST_EPOCH
            assignment.active_since_wall_ms = (
                -math.inf if is_first else self._clock.wall_ms()
            )
            self._publish_change(shard_id, assignment, handover=handover)
        await self._clear_previous_owners()

    async def _clear_previous_owners(self) -> None:
        """Record that previous owners have stopped, so that no later claimant waits."""
        if not self._membership.is_settled():
            return
        cleared = {
            shard_id: attrs.evolve(assignment.row, unmet=())
            for shard_id, assignment in self._assignments.items()
            if assignment.is_active and assignment.row.unmet
        }
        if not cleared:
            return
        rows = {**self._table.rows, **cleared}
        try:
            await self._write_table(attrs.evolve(self._table, rows=rows))
        except StoreError:
            # The rows still name the previous owners; the next claimant needs proof.
            return

    def _pop_handover(self, shard_id: str, row: ShardRow) -> ShardHandover | None:
        """Return the handover message of the owner of the preceding epoch, if any."""
        handover = self._received_handovers.pop(shard_id, None)
        if handover is None or row.unmet or handover.epoch != row.epoch - 1:
            return None
        return handover

    def _publish_change(
        self,
        shard_id: str,
        assignment: Assignment,
        *,
        is_owned: bool = True,
        handover: ShardHandover | None = None,
    ) -> None:
        change = OwnershipChange(
            shard_id=shard_id,
            epoch=assignment.row.epoch,
            is_owned=is_owned,
            handover=handover,
            grounds=assignment.grounds,
        )
        for subscriber in self._subscribers:
            subscriber.send_nowait(change)
