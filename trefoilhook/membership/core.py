"""The task that keeps an instance a member and its mirror of the store current.

It owns the store lease, the watch, the mirror and the promises. Others read the state
through its methods and hear of changes over channels.
"""

import math
from collections.abc import Iterable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import LeaseLostError, StoreError, TrefoilhookError
from trefoilhook.inner import Call, InnerNode, PeerAddress, PeerState
from trefoilhook.inner.messages_pb2 import (
    AttestAnswer,
    AttestRequest,
    Heartbeat,
    PromiseAnswer,
    PromiseRequest,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.membership.follower import StoreFollower
from trefoilhook.membership.health import StoreHealth
from trefoilhook.membership.lease import LeaseKeeper
from trefoilhook.membership.members import (
    MEMBERS_PREFIX,
    Member,
    Members,
    decode_members,
    encode_member,
)
from trefoilhook.membership.promises import PromiseBook
from trefoilhook.membership.settings import MembershipSettings
from trefoilhook.store import (
    ConflictError,
    StoreClient,
)

__all__ = ["Membership"]

_ASKED_SHARE = 1 / 6
_GONE_PREFIX = "root/gone/"
_PROOFS_OF_DEATH = frozenset({PeerState.REFUSED, PeerState.STRANGER})


class Membership:
    """Membership of one instance.

    Parameters
    ----------
    member : Member
        This instance; its incarnation is filled in with each lease.
    store : StoreClient
        Adapter to the platform's store.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time.
    settings : MembershipSettings
        Times of membership.
    seeds : tuple of PeerAddress
        Peers to ask for a snapshot while the store is down at the start.
    """

    def __init__(
        self,
        *,
        member: Member,
        store: StoreClient,
        inner: InnerNode,
        clock: Clock,
        settings: MembershipSettings,
        seeds: tuple[PeerAddress, ...] = (),
    ) -> None:
        self._member = member
        self._store = store
        self._inner = inner
        self._clock = clock
        self._settings = settings
        self._seeds = seeds
        self._lease = LeaseKeeper(ttl_ms=settings.lease_ttl_ms)
        self._health = StoreHealth()
        self._promises = PromiseBook(
            promise_ms=settings.promise_ms, outage_limit_ms=settings.outage_limit_ms
        )
        self._lapsed_at_ms = -math.inf
        self._acting_incarnation = ""
        self._probed: tuple[PeerAddress, ...] = ()
        self._listed_ms: dict[PeerAddress, float] = {}
        self._peer_views: dict[str, int] = {}
        self._join_revision = 0
        self.members = Members()
        self.follower = StoreFollower(
            store=store,
            inner=inner,
            clock=clock,
            settings=settings,
            on_change=self._read_mirror,
            seed_ids=tuple(seed.instance_id for seed in seeds),
        )
        self._set_peers()
        inner.set_heartbeat_source(self.build_heartbeat)
        inner.on_heartbeat(self.receive_heartbeat)
        inner.handle(PromiseRequest, self._answer_promise)
        inner.handle(AttestRequest, self._answer_attest)

    @property
    def instance_id(self) -> str:
        """Identity of this instance."""
        return self._member.instance_id

    @property
    def member(self) -> Member:
        """Own record, with the incarnation that the instance now lives under."""
        return self._member

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answered the last call of this instance."""
        return self._health.is_reachable

    @property
    def unreachable_for_ms(self) -> float:
        """How long the store has not answered, in ms; 0 while it does."""
        if self._health.is_reachable or not self._health.has_failed:
            return 0.0
        return self._clock.monotonic_ms() - self._health.failing_since_ms

    def is_lease_held(self) -> bool:
        """Tell whether the store lease is surely held now."""
        return self._lease.is_held(self._clock.monotonic_ms())

    def is_settled(self) -> bool:
        """Tell whether the store has been back long enough to claim shards.

        After an outage every lease has lapsed in the store. The owners renew theirs at
        their next attempt; a claim before that would move shards for nothing.
        """
        if not self._health.is_reachable or not self.is_lease_held():
            return False
        if not self._health.has_failed:
            return True
        waited_ms = self._clock.monotonic_ms() - self._health.reachable_since_ms
        return waited_ms >= self._settings.settle_ms

    def compute_act_until_ms(self, incarnation: str) -> float:
        """Compute up to when this instance may act for shards claimed earlier.

        Parameters
        ----------
        incarnation : str
            Incarnation under which the shards were claimed. A lease of a later one
            gives no right until the table of shards says so too.

        Returns
        -------
        float
            Monotonic time in ms; in the past when it may not act.
        """
        now_ms = self._clock.monotonic_ms()
        if incarnation != self._acting_incarnation:
            return -math.inf
        if self._is_declared_gone(self.instance_id):
            # Whoever believed the operator may act by now.
            return -math.inf
        if self._lease.lease_id != incarnation or not self._lease.is_held(now_ms):
            return self._extend_by_promises(now_ms)
        # While renewals fail, the promises gathered already reach past the lease. Who
        # looks ahead, as the rule of keys does, must not see an end that isn't one.
        held_until_ms = self._lease.held_until_ms
        if self._health.is_reachable:
            return held_until_ms
        return max(held_until_ms, self._extend_by_promises(now_ms))

    def may_act(self, incarnation: str) -> bool:
        """Tell whether this instance may act at this moment for shards it claimed."""
        return self._clock.monotonic_ms() < self.compute_act_until_ms(incarnation)

    def begin_incarnation(self) -> None:
        """Act under the present lease from now on: the table of shards says so."""
        if self._acting_incarnation != self._member.incarnation:
            self._acting_incarnation = self._member.incarnation
            self._promises.restart()

    def is_promised_to(self, owner_id: str) -> bool:
        """Tell whether this instance has promised not to claim from ``owner_id``."""
        return self._promises.is_given(owner_id, now_ms=self._clock.monotonic_ms())

    def is_unpromised_in_view_of(self, owner_id: str) -> bool:
        """Tell whether ``owner_id`` needs a promise that this instance has not given.

        True proves that an owner whose lease lapsed has stopped: it said in a heartbeat
        that it had read this incarnation's record, the record still stands because its
        lease is held, and without this instance's promise its right is broken for good.
        """
        if not self.is_lease_held() or self.is_promised_to(owner_id):
            return False
        return 0 < self._join_revision <= self._peer_views.get(owner_id, 0)

    def is_proved_dead(self, instance_id: str) -> bool:
        """Tell whether the process behind an instance id is proved to be gone.

        Its address says so, or an operator, who knows of a machine without power what
        no instance can find out by silence.
        """
        if self._inner.peer_state(instance_id) in _PROOFS_OF_DEATH:
            return True
        return self._is_declared_gone(instance_id)

    async def declare_gone(self, instance_id: str) -> None:
        """Record an operator's word that an instance will never act again.

        Raises
        ------
        StoreError
            If the store did not take it.
        """
        key = _GONE_PREFIX + instance_id
        if await self._store.get(key) is None:
            await self._store.swap(key, b"{}", expected_revision=0)
        log_event(Event.DECLARED_GONE, instance=instance_id)

    def _is_declared_gone(self, instance_id: str) -> bool:
        return self.follower.mirror.get(_GONE_PREFIX + instance_id) is not None

    def build_heartbeat(self) -> Heartbeat:
        """Build what this instance tells its peers at each interval."""
        return Heartbeat(
            applied_revision=self.follower.mirror.revision,
            members_revision=self.members.revision,
            is_store_reachable=self._health.is_reachable,
            is_leaving=self._member.is_leaving,
        )

    def receive_heartbeat(self, sender_id: str, heartbeat: Heartbeat) -> None:
        """Take in what a peer tells at each interval."""
        self._peer_views[sender_id] = heartbeat.members_revision
        self.follower.note_peer_revision(sender_id, heartbeat.applied_revision)

    def give_promise(self, owner_id: str) -> bool:
        """Promise not to claim from ``owner_id``, if the store can't be reached."""
        if self._health.is_reachable:
            return False
        self._promises.give(owner_id, now_ms=self._clock.monotonic_ms())
        return True

    async def _answer_promise(self, call: Call) -> PromiseAnswer:
        owner_id = getattr(call.message, "owner_instance_id", "")
        is_promised = self.give_promise(owner_id)
        promise_ms = int(self._settings.promise_ms)
        return PromiseAnswer(is_promised=is_promised, promise_ms=promise_ms)

    async def _answer_attest(self, call: Call) -> AttestAnswer:
        owner_id = getattr(call.message, "owner_instance_id", "")
        return AttestAnswer(is_unpromised=self.is_unpromised_in_view_of(owner_id))

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Stay a member until cancelled; reports once the mirror has content."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._keep_promises)
            await self.follower.wait_filled()
            task_status.started()

    async def announce_leaving(self) -> None:
        """Tell the others, through the store, that this instance takes no shard."""
        self._member = attrs.evolve(self._member, is_leaving=True)
        if self.is_lease_held():
            await self._write_record()

    async def leave(self) -> None:
        """Give the lease back, so that nobody waits for it to lapse."""
        lease_id = self._lease.lease_id
        self._lease.record_loss()
        self._acting_incarnation = ""
        if lease_id is not None:
            await self._store.revoke_lease(lease_id)

    def _extend_by_promises(self, now_ms: float) -> float:
        return self._promises.extend(
            view=[member.instance_id for member in self._list_others()],
            is_dead=self.is_proved_dead,
            lapsed_at_ms=self._find_lapse_ms(),
            now_ms=now_ms,
        )

    def _find_lapse_ms(self) -> float:
        """Return when the lease that shards are held under is or was over, in ms.

        A later lease does not count until the table of shards names it.
        """
        if self._lease.lease_id == self._acting_incarnation:
            return self._lease.held_until_ms
        return self._lapsed_at_ms

    def _list_others(self) -> list[Member]:
        return [m for m in self.members if m.instance_id != self.instance_id]

    async def _keep_lease(self) -> None:
        while True:
            try:
                await self._renew()
            except LeaseLostError:
                log_event(Event.LEASE_LOST, instance=self.instance_id)
                self._lapsed_at_ms = self._find_lapse_ms()
                self._lease.record_loss()
                continue
            except StoreError as error:
                self._health.record_failure(self._clock.monotonic_ms(), str(error))
                await self._clock.sleep_ms(self._settings.retry_interval_ms)
                continue
            await self._clock.sleep_ms(self._settings.renew_interval_ms)

    async def _renew(self) -> None:
        sent_at_ms = self._clock.monotonic_ms()
        if self._lease.lease_id is None:
            await self._join(sent_at_ms)
        else:
            await self._store.keep_alive(self._lease.lease_id)
            self._lease.record_renewal(sent_at_ms=sent_at_ms)
        self._health.record_success(self._clock.monotonic_ms())

    async def _join(self, sent_at_ms: float) -> None:
        """Take a lease and write the member's record under it.

        The record counts as this instance's membership only when both are done: an
        owner is told that it lives by the record, not by the lease.
        """
        lease = await self._store.grant_lease(self._settings.lease_ttl_ms)
        self._member = attrs.evolve(self._member, incarnation=lease.lease_id)
        try:
            await self._write_record(lease_id=lease.lease_id)
        except ConflictError as error:
            raise StoreError("the member's record is changing") from error
        self._lease.record_grant(lease_id=lease.lease_id, sent_at_ms=sent_at_ms)
        log_event(Event.LEASE_GRANTED, instance=self.instance_id)

    async def _write_record(self, *, lease_id: str | None = None) -> None:
        key = MEMBERS_PREFIX + self.instance_id
        current = await self._store.get(key)
        revision = await self._store.swap(
            key,
            encode_member(self._member),
            expected_revision=current.revision if current else 0,
            lease_id=lease_id or self._lease.lease_id,
        )
        if lease_id is not None:
            self._join_revision = revision

    def _set_peers(self) -> None:
        """Link to the members, and for a while to those whose records have gone.

        When the store is back after an outage it knows none of the leases: all records
        vanish until their instances have joined anew, which takes each a moment. Were
        the links dropped meanwhile, every request between instances would fail.
        """
        now_ms = self._clock.monotonic_ms()
        for member in self._list_others():
            address = PeerAddress(
                instance_id=member.instance_id, host=member.host, port=member.port
            )
            self._listed_ms[address] = now_ms
        oldest_ms = now_ms - self._settings.link_linger_ms
        self._listed_ms = {
            address: at_ms
            for address, at_ms in self._listed_ms.items()
            if at_ms >= oldest_ms
        }
        seeds = () if self.follower.is_filled else self._seeds
        self._inner.set_peers({*self._listed_ms, *self._probed, *seeds})

    def probe(self, addresses: Iterable[PeerAddress]) -> None:
        """Keep links to former members too, to find whether they are proved dead."""
        probed = tuple(addresses)
        if probed != self._probed:
            self._probed = probed
            self._set_peers()

    def _read_mirror(self) -> None:
        mirror = self.follower.mirror
        self.members = decode_members(mirror.entries, revision=mirror.revision)
        self._set_peers()

    async def _keep_promises(self) -> None:
        """Ask for promises while the store is away, well before they are needed."""
        interval_ms = self._settings.promise_ms * _ASKED_SHARE
        while True:
            await self._clock.sleep_ms(interval_ms)
            self._set_peers()
            if self._health.is_reachable or not self.follower.is_filled:
                continue
            async with trio.open_nursery() as nursery:
                for member in self._list_others():
                    nursery.start_soon(self._ask_promise, member.instance_id)

    async def _ask_promise(self, member_id: str) -> None:
        asked_at_ms = self._clock.monotonic_ms()
        request = PromiseRequest(owner_instance_id=self.instance_id)
        timeout_ms = self._settings.promise_ms / 3
        try:
            answer = await self._inner.call(member_id, request, timeout_ms=timeout_ms)
        except TrefoilhookError:
            return
        # A refusal takes nothing back: the member keeps an earlier promise to its end,
        # which bridges the time until this instance reaches the store again as well.
        if getattr(answer, "is_promised", False):
            self._promises.receive(member_id, asked_at_ms=asked_at_ms)
