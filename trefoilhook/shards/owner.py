"""The task that claims, holds and hands over an instance's shards."""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import NotSentError, StoreError, TrefoilhookError
from trefoilhook.inner import Call, InnerNode, PeerState
from trefoilhook.inner.messages_pb2 import Empty, ShardHandover
from trefoilhook.logs import Event, log_event
from trefoilhook.membership import (
    Member,
    Members,
    Membership,
)
from trefoilhook.settings import ShardSettings
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
from trefoilhook.shards.holdings import Holding, Owner, OwnershipChange
from trefoilhook.shards.inquiry import Inquiry
from trefoilhook.shards.rights import Rights
from trefoilhook.shards.tables import TableStore
from trefoilhook.store import (
    ConflictError,
    StoreClient,
)

__all__ = ["Ownership"]

_POLL_MS = 250.0
_FIRST_EPOCH = 1
_BACKOFF_RANGE_MS = (5.0, 40.0)
_RELEASE_TIMEOUT_MS = 3_000.0

Releaser = Callable[[str, int], Awaitable[ShardHandover]]
Receiver = Callable[[ShardHandover], None]


class Ownership:
    """Ownership of shards by one instance.

    Parameters
    ----------
    membership : Membership
        Members, lease and mirror.
    store : StoreClient
        Adapter to the platform's store.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time.
    settings : ShardSettings
        Numbers of shards.
    outage_limit_ms : float
        Longest time an owner goes on past its lapsed lease, in ms.
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
        self._tables = TableStore(store=store, clock=clock)
        self._inner = inner
        self._clock = clock
        self._shard_ids = list_shards(settings)
        self._inquiry = Inquiry(
            membership=membership,
            inner=inner,
            clock=clock,
            outage_limit_ms=outage_limit_ms,
        )
        self._table = ShardTable()
        self._holdings: dict[str, Holding] = {}
        self._handovers: dict[str, ShardHandover] = {}
        self._subscribers: list[trio.MemorySendChannel[OwnershipChange]] = []
        self._releasers: list[Releaser] = []
        self._receivers: list[Receiver] = []
        self._random = random.Random(membership.instance_id)
        inner.handle(ShardHandover, self._receive_handover)

    @property
    def table(self) -> ShardTable:
        """The table as last read."""
        return self._table

    def list_owned(self) -> tuple[str, ...]:
        """Return the shards that this instance may act for now."""
        return tuple(s for s in self._holdings if self.owns(s) is not None)

    def find_owner(self, shard_id: str) -> Owner | None:
        """Return the owner of a shard as the mirror says, None when it has none."""
        row = self._table.get_row(shard_id)
        if not row.owner_id:
            return None
        return Owner(instance_id=row.owner_id, epoch=row.epoch)

    def owns(self, shard_id: str) -> int | None:
        """Return the epoch if this instance may act for the shard at this moment.

        The clock is read at each call: an owner that was frozen past its lease finds
        here, before it acts, that the shard may be another's.
        """
        holding = self._holdings.get(shard_id)
        if holding is None or not holding.is_active:
            return None
        if not self._membership.may_act(holding.row.incarnation):
            return None
        return holding.row.epoch

    def own_since_wall_ms(self, shard_id: str) -> float:
        """Return since when the instance may act, in ms since the Unix epoch."""
        holding = self._holdings.get(shard_id)
        return math.inf if holding is None else holding.since_wall_ms

    def act_until_wall_ms(self, shard_id: str) -> float:
        """Return the end of the right to act as known now, in ms since the epoch."""
        holding = self._holdings.get(shard_id)
        if holding is None:
            return -math.inf
        until_ms = self._membership.compute_act_until_ms(holding.row.incarnation)
        return self._clock.wall_ms() + until_ms - self._clock.monotonic_ms()

    def subscribe(self) -> trio.MemoryReceiveChannel[OwnershipChange]:
        """Return a channel that gets every change of what may be acted for."""
        sender, receiver = trio.open_memory_channel[OwnershipChange](math.inf)
        self._subscribers.append(sender)
        return receiver

    def add_releaser(self, releaser: Releaser) -> None:
        """Add a step that ends work on a shard and returns what to pass on."""
        self._releasers.append(releaser)

    def add_receiver(self, receiver: Receiver) -> None:
        """Add a step that takes in what a former owner passed on.

        It is taken before this instance may act for the shard. Told of a moment later,
        as the changes are, a request that comes in between would be judged without it:
        its key was minted before the claim, and its caller be told "unknown".
        """
        self._receivers.append(receiver)

    def _take_in(self, handover: ShardHandover | None) -> None:
        if handover is not None:
            for receiver in self._receivers:
                receiver(handover)

    async def _receive_handover(self, call: Call) -> Empty:
        """Keep what a leaving owner passes on until the table names this instance."""
        handover = call.message
        if isinstance(handover, ShardHandover) and handover.shard_id in self._shard_ids:
            self._handovers[handover.shard_id] = handover
        return Empty()

    async def run(self) -> None:
        """Claim, hold and hand over shards until cancelled."""
        changes = self._membership.follower.subscribe()
        while True:
            is_contended = await self.step()
            if is_contended:
                # Many instances write the table when one is lost or the store is back.
                await self._clock.sleep_ms(self._random.uniform(*_BACKOFF_RANGE_MS))
                continue
            with trio.move_on_after(_POLL_MS / 1000.0):
                await changes.receive()

    async def step(self) -> bool:
        """Do once what members and table call for; True if another wrote first."""
        self._read_table()
        try:
            if self._membership.is_lease_held():
                await self._claim()
            if self._membership.is_settled():
                await self._hand_over()
        except ConflictError:
            return True
        except StoreError as error:
            log_event(Event.STORE_DOWN, reason=str(error))
        await self._judge_waiting()
        return False

    async def release_all(self) -> None:
        """Hand over every shard; the membership must have announced the leaving."""
        while any(not h.is_releasing for h in self._holdings.values()):
            if not self._membership.is_lease_held():
                return
            await self._clock.sleep_ms(_POLL_MS / 5)

    def _read_table(self) -> None:
        entry = self._membership.follower.mirror.get(TABLE_KEY)
        if entry is not None and entry.revision > self._table.revision:
            self._table = decode_table(entry.value, revision=entry.revision)
        for shard_id in list(self._holdings):
            self._check_holding(shard_id)
        member = self._membership.member
        for shard_id, row in self._table.rows.items():
            is_mine = row.owner_id == member.instance_id
            if is_mine and row.incarnation == member.incarnation:
                self._hold(shard_id, row)

    def _hold(self, shard_id: str, row: ShardRow) -> None:
        self._membership.begin_incarnation()
        holding = self._holdings.get(shard_id)
        if holding is None:
            now_ms = self._clock.monotonic_ms()
            self._holdings[shard_id] = Holding(row=row, claimed_at_ms=now_ms)
        else:
            holding.row = row

    def _check_holding(self, shard_id: str) -> None:
        """Drop a shard that the table gives to another, or at another epoch."""
        holding = self._holdings[shard_id]
        row = self._table.get_row(shard_id)
        is_mine = row.owner_id == self._membership.instance_id
        if is_mine and row.epoch == holding.row.epoch:
            return
        del self._holdings[shard_id]
        if not holding.is_releasing:
            log_event(Event.SHARD_FENCED, shard=shard_id, epoch=row.epoch)
        if holding.is_active:
            self._announce(shard_id, holding, is_owned=False)

    async def _claim(self) -> None:
        """Claim what the mirror shows to be free, after reading it anew.

        The mirror lags, so it only says when to look: the table is read from the store
        first and the members after it, which is what ``plan_claims`` relies on.
        """
        if self._plan(self._table, self._membership.members).is_empty:
            return
        table = await self._tables.fetch()
        members = await self._tables.fetch_members()
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
            me=self._membership.member,
            shard_ids=self._shard_ids,
            is_promised_to=self._membership.is_promised_to,
            held=self._holdings,
            may_claim=self._membership.is_settled(),
        )

    async def _write_table(self, table: ShardTable) -> None:
        entry = await self._tables.write(table)
        self._membership.follower.apply_own_write(entry)
        self._read_table()

    async def _hand_over(self) -> None:
        moves = plan_handovers(
            table=self._table,
            members=self._membership.members,
            me=self._membership.member,
        )
        moves = {
            shard_id: receiver
            for shard_id, receiver in moves.items()
            if shard_id in self._holdings and self._can_receive(receiver)
        }
        self._resume_unless(moves)
        if not moves:
            return
        async with trio.open_nursery() as nursery:
            for shard_id, receiver in moves.items():
                nursery.start_soon(self._release, shard_id, receiver.instance_id)
        rows = dict(self._table.rows)
        for shard_id, receiver in moves.items():
            unmet = rows[shard_id].unmet
            if self._holdings[shard_id].rights is not Rights.WAIT:
                unmet = ()
            rows[shard_id] = hand_over(rows[shard_id], receiver, unmet=unmet)
        await self._write_table(attrs.evolve(self._table, rows=rows))
        for shard_id in moves:
            log_event(Event.SHARD_RELEASED, shard=shard_id)

    def _can_receive(self, receiver: Member) -> bool:
        """Tell whether to hand over to a member now.

        One that has just joined may not be linked yet. Without what the owner knows it
        would have to refuse the keys that callers hold, so the shard stays until then;
        a leaving owner can't wait.
        """
        if self._membership.member.is_leaving:
            return True
        return self._inner.peer_state(receiver.instance_id) is PeerState.UP

    def _resume_unless(self, moves: dict[str, Member]) -> None:
        """Act again for shards that were released but are no longer to be moved.

        The receiver may die between the release and the write of the table. The shard
        would then stay without anybody acting for it; its owner takes back what it
        passed on.
        """
        for shard_id, holding in self._holdings.items():
            if not holding.is_releasing or shard_id in moves:
                continue
            if holding.rights is not Rights.WAIT:
                self._take_in(holding.released)
            holding.is_releasing = False
            if holding.rights is not Rights.WAIT:
                holding.since_wall_ms = self._clock.wall_ms()
                self._announce(shard_id, holding, handover=holding.released)

    async def _release(self, shard_id: str, receiver_id: str) -> None:
        """Stop acting for a shard, then pass on what is known.

        Nothing may be started between the last act and the new row, so the holding is
        marked first and stays marked.
        """
        holding = self._holdings[shard_id]
        if holding.is_releasing:
            return
        holding.is_releasing = True
        if holding.rights is Rights.WAIT:
            return
        self._announce(shard_id, holding, is_owned=False)
        message = ShardHandover(shard_id=shard_id, epoch=holding.row.epoch)
        with trio.move_on_after(_RELEASE_TIMEOUT_MS / 1000.0):
            for releaser in self._releasers:
                message.MergeFrom(await releaser(shard_id, holding.row.epoch))
        holding.released = message
        with trio.move_on_after(_RELEASE_TIMEOUT_MS / 1000.0):
            await self._pass_on(receiver_id, message)

    async def _pass_on(self, receiver_id: str, message: ShardHandover) -> None:
        """Send what is known to the next owner, again while the link is down.

        Without it the next owner refuses the keys minted before its time.
        """
        while True:
            try:
                await self._inner.call(
                    receiver_id, message, timeout_ms=_RELEASE_TIMEOUT_MS
                )
                return
            except NotSentError:
                await self._clock.sleep_ms(_POLL_MS / 5)
            except TrefoilhookError:
                return

    async def _judge_waiting(self) -> None:
        """Find for each claimed shard whether its former owners have stopped."""
        waiting = {
            shard_id: holding
            for shard_id, holding in self._holdings.items()
            if holding.rights is Rights.WAIT and not holding.is_releasing
        }
        self._inquiry.probe(waiting.values())
        for shard_id, holding in waiting.items():
            rights = self._inquiry.judge(holding)
            if rights is Rights.WAIT:
                await self._inquiry.ask_members(holding)
                continue
            handover = self._take_handover(shard_id, holding.row)
            self._take_in(handover)
            holding.rights = rights
            # Before the first claim of all there was nobody who could have acted.
            is_first = holding.row.epoch == _FIRST_EPOCH
            holding.since_wall_ms = -math.inf if is_first else self._clock.wall_ms()
            self._announce(shard_id, holding, handover=handover)
        await self._clear_unmet()

    async def _clear_unmet(self) -> None:
        """Write that former owners have stopped, so that no later claimer waits."""
        if not self._membership.is_settled():
            return
        cleared = {
            shard_id: attrs.evolve(holding.row, unmet=())
            for shard_id, holding in self._holdings.items()
            if holding.is_active and holding.row.unmet
        }
        if not cleared:
            return
        rows = {**self._table.rows, **cleared}
        try:
            await self._write_table(attrs.evolve(self._table, rows=rows))
        except StoreError:
            # It stays as it is: the next claimer then needs its own proof.
            return

    def _take_handover(self, shard_id: str, row: ShardRow) -> ShardHandover | None:
        """Return what the owner of the epoch before passed on, if it did."""
        handover = self._handovers.pop(shard_id, None)
        if handover is None or row.unmet or handover.epoch != row.epoch - 1:
            return None
        return handover

    def _announce(
        self,
        shard_id: str,
        holding: Holding,
        *,
        is_owned: bool = True,
        handover: ShardHandover | None = None,
    ) -> None:
        change = OwnershipChange(
            shard_id=shard_id,
            epoch=holding.row.epoch,
            is_owned=is_owned,
            handover=handover,
            rights=holding.rights,
        )
        for subscriber in self._subscribers:
            subscriber.send_nowait(change)
