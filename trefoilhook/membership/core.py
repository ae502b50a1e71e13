"""The task that maintains an instance's membership and its mirror of the store.

It owns the store lease, the watch, the mirror and the promises. Other tasks read the
state through its methods and receive changes over channels.
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
from trefoilhook.membership.lease import LeaseState
from trefoilhook.membership.members import (
    MEMBERS_PREFIX,
    Member,
    Members,
    decode_members,
    encode_member,
)
from trefoilhook.membership.promises import PromiseTracker
from trefoilhook.membership.settings import MembershipSettings
from trefoilhook.store import (
    ConflictError,
    StoreClient,
)

__all__ = ["Membership"]

_PROMISE_REQUEST_FRACTION = 1 / 6
_DECLARED_GONE_PREFIX = "root/gone/"
_DEAD_PEER_STATES = frozenset({PeerState.REFUSED, PeerState.IDENTITY_MISMATCH})


class Membership:
    """Membership of one instance.

    Parameters
    ----------
    member : Member
        This instance; its incarnation is set with each new lease.
    store : StoreClient
        Client of the platform's store.
    inner : InnerNode
        Links to the peers.
    clock : Clock
        Time source.
    settings : MembershipSettings
        Intervals and time limits of membership.
    seeds : tuple of PeerAddress
        Peers to request a snapshot from when the store is down at startup.
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
        self._lease = LeaseState(ttl_ms=settings.lease_ttl_ms)
        self._health = StoreHealth()
        self._promises = PromiseTracker(
            promise_ms=settings.promise_ms, outage_limit_ms=settings.outage_limit_ms
        )
        self._lease_expired_at_ms = -math.inf
        self._active_incarnation = ""
        self._probed_addresses: tuple[PeerAddress, ...] = ()
        self._last_listed_ms: dict[PeerAddress, float] = {}
        self._peer_members_revisions: dict[str, int] = {}
        self._record_revision = 0
        self.members = Members()
        self.follower = StoreFollower(
            store=store,
            inner=inner,
            clock=clock,
            settings=settings,
            on_change=self._update_members,
            seed_ids=tuple(seed.instance_id for seed in seeds),
        )
        self._update_peers()
        inner.set_heartbeat_source(self.build_heartbeat)
        inner.on_heartbeat(self.receive_heartbeat)
        inner.register_handler(PromiseRequest, self._answer_promise)
        inner.register_handler(AttestRequest, self._answer_attest)

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._member.instance_id

    @property
    def member(self) -> Member:
        """Member record of this instance, with its current incarnation."""
        return self._member

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answered this instance's last attempt to renew."""
        return self._health.is_reachable

    @property
    def unreachable_for_ms(self) -> float:
        """Time for which the store has not answered, in ms; 0 while it answers."""
        if self._health.is_reachable or not self._health.has_failed:
            return 0.0
        return self._clock.monotonic_ms() - self._health.failing_since_ms

    def is_lease_held(self) -> bool:
        """Return whether the store lease is certain to be held now."""
        return self._lease.is_held(self._clock.monotonic_ms())

    def is_settled(self) -> bool:
        """Return whether the store has been reachable for long enough to claim shards.

        After an outage all leases have expired in the store. The owners take new ones
        at their next attempt; a claim before that would move shards needlessly.
        """
        if not self._health.is_reachable or not self.is_lease_held():
            return False
        if not self._health.has_failed:
            return True
        waited_ms = self._clock.monotonic_ms() - self._health.reachable_since_ms
        return waited_ms >= self._settings.settle_ms

    def compute_serving_end_ms(self, incarnation: str) -> float:
        """Compute until when this instance may serve the shards that it has claimed.

        Parameters
        ----------
        incarnation : str
            Incarnation under which the shards were claimed. A lease of a later
            incarnation does not count until the shard table names that incarnation.

        Returns
        -------
        float
            Monotonic time in ms; in the past if the instance may not serve them.
        """
        now_ms = self._clock.monotonic_ms()
        if incarnation != self._active_incarnation:
            return -math.inf
        if self._is_declared_gone(self.instance_id):
            # Instances that read the operator's declaration may serve them by now.
            return -math.inf
        if self._lease.lease_id != incarnation or not self._lease.is_held(now_ms):
            return self._compute_promised_end_ms(now_ms)
        # While renewals fail, the promises received may already extend past the lease.
        # Callers that look ahead, such as the request key check, must not see the end
        # of the lease when the instance may continue beyond it.
        held_until_ms = self._lease.held_until_ms
        if self._health.is_reachable:
            return held_until_ms
        return max(held_until_ms, self._compute_promised_end_ms(now_ms))

    def may_serve(self, incarnation: str) -> bool:
        """Return whether this instance may now serve the shards that it claimed."""
        return self._clock.monotonic_ms() < self.compute_serving_end_ms(incarnation)

    def activate_incarnation(self) -> None:
        """Serve under the current lease from now on, as the shard table names it."""
        if self._active_incarnation != self._member.incarnation:
            self._active_incarnation = self._member.incarnation
            self._promises.reset()

    def is_promised_to(self, owner_id: str) -> bool:
        """Return whether a promise not to claim from ``owner_id`` is in force."""
        return self._promises.is_given(owner_id, now_ms=self._clock.monotonic_ms())

    def can_attest_stopped(self, owner_id: str) -> bool:
        """Return whether ``owner_id`` needs a promise that this instance has not given.

        If true, an owner whose lease has expired is proved to have stopped: a heartbeat
        showed that it had read the member record of this incarnation, the record still
        exists because its lease is held, and without this instance's promise the owner
        has stopped and cannot resume on promises.
        """
        if not self.is_lease_held() or self.is_promised_to(owner_id):
            return False
        return (
            0 < self._record_revision <= self._peer_members_revisions.get(owner_id, 0)
        )

    def is_proved_dead(self, instance_id: str) -> bool:
        """Return whether the process behind an instance id is proved to be dead.

        The proof comes from its address, or from an operator's declaration: instances
        cannot tell a machine without power from one that is unreachable.
        """
        if self._inner.get_peer_state(instance_id) in _DEAD_PEER_STATES:
            return True
        return self._is_declared_gone(instance_id)

    async def declare_gone(self, instance_id: str) -> None:
        """Record an operator's declaration that an instance will never run again.

        Raises
        ------
        StoreError
            If the store did not confirm the write.
        """
        key = _DECLARED_GONE_PREFIX + instance_id
        if await self._store.get(key) is None:
            await self._store.swap(key, b"{}", expected_revision=0)
        log_event(Event.DECLARED_GONE, instance=instance_id)

    def _is_declared_gone(self, instance_id: str) -> bool:
        return self.follower.mirror.get(_DECLARED_GONE_PREFIX + instance_id) is not None

    def build_heartbeat(self) -> Heartbeat:
        """Build the heartbeat sent to the peers at each interval."""
        return Heartbeat(
            applied_revision=self.follower.mirror.revision,
            members_revision=self.members.revision,
            is_store_reachable=self._health.is_reachable,
            is_leaving=self._member.is_leaving,
        )

    def receive_heartbeat(self, sender_id: str, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat."""
        self._peer_members_revisions[sender_id] = heartbeat.members_revision
        self.follower.record_peer_revision(sender_id, heartbeat.applied_revision)

    def give_promise(self, owner_id: str) -> bool:
        """Promise not to claim from ``owner_id``, unless the store is reachable.

        Returns
        -------
        bool
            Whether the promise was given.
        """
        if self._health.is_reachable:
            return False
        self._promises.record_given(owner_id, now_ms=self._clock.monotonic_ms())
        return True

    async def _answer_promise(self, call: Call) -> PromiseAnswer:
        owner_id = getattr(call.message, "owner_instance_id", "")
        is_promised = self.give_promise(owner_id)
        promise_ms = int(self._settings.promise_ms)
        return PromiseAnswer(is_promised=is_promised, promise_ms=promise_ms)

    async def _answer_attest(self, call: Call) -> AttestAnswer:
        owner_id = getattr(call.message, "owner_instance_id", "")
        return AttestAnswer(is_unpromised=self.can_attest_stopped(owner_id))

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Maintain membership until cancelled; started once the mirror is filled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._maintain_lease)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._request_promises)
            await self.follower.wait_loaded()
            task_status.started()

    async def announce_leaving(self) -> None:
        """Mark this instance in its member record as leaving: it takes no shards."""
        self._member = attrs.evolve(self._member, is_leaving=True)
        if self.is_lease_held():
            await self._write_record()

    async def leave(self) -> None:
        """Revoke the lease, so that no instance waits for it to expire."""
        lease_id = self._lease.lease_id
        self._lease.record_loss()
        self._active_incarnation = ""
        if lease_id is not None:
            await self._store.revoke_lease(lease_id)

    def _compute_promised_end_ms(self, now_ms: float) -> float:
        return self._promises.compute_serving_end_ms(
            view=[member.instance_id for member in self._list_other_members()],
            is_dead=self.is_proved_dead,
            expired_at_ms=self._get_lease_end_ms(),
            now_ms=now_ms,
        )

    def _get_lease_end_ms(self) -> float:
        """Return when the lease under which shards are held ends or has ended, in ms.

        A later lease does not count until the shard table names it.
        """
        if self._lease.lease_id == self._active_incarnation:
            return self._lease.held_until_ms
        return self._lease_expired_at_ms

    def _list_other_members(self) -> list[Member]:
        return [m for m in self.members if m.instance_id != self.instance_id]

    async def _maintain_lease(self) -> None:
        while True:
            try:
                await self._renew()
            except LeaseLostError:
                log_event(Event.LEASE_LOST, instance=self.instance_id)
                self._lease_expired_at_ms = self._get_lease_end_ms()
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
        """Take a lease and write the member record under it.

        The lease is recorded as held only after the record is written, because owners
        see this instance as live by its record, not by its lease.
        """
        lease = await self._store.grant_lease(self._settings.lease_ttl_ms)
        self._member = attrs.evolve(self._member, incarnation=lease.lease_id)
        try:
            await self._write_record(lease_id=lease.lease_id)
        except ConflictError as error:
            raise StoreError("member record was changed concurrently") from error
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
            self._record_revision = revision

    def _update_peers(self) -> None:
        """Link to the members, and for a while to those whose records were deleted.

        After an outage of the store all leases have expired, and every member record is
        missing until its instance has rejoined. If the links were closed meanwhile, all
        requests between instances would fail.
        """
        now_ms = self._clock.monotonic_ms()
        for member in self._list_other_members():
            address = PeerAddress(
                instance_id=member.instance_id, host=member.host, port=member.port
            )
            self._last_listed_ms[address] = now_ms
        oldest_ms = now_ms - self._settings.link_linger_ms
        self._last_listed_ms = {
            address: at_ms
            for address, at_ms in self._last_listed_ms.items()
            if at_ms >= oldest_ms
        }
        seeds = () if self.follower.is_loaded else self._seeds
        self._inner.set_peers({*self._last_listed_ms, *self._probed_addresses, *seeds})

    def probe(self, addresses: Iterable[PeerAddress]) -> None:
        """Keep links to these addresses too, to detect that their processes died."""
        probed = tuple(addresses)
        if probed != self._probed_addresses:
            self._probed_addresses = probed
            self._update_peers()

    def _update_members(self) -> None:
        mirror = self.follower.mirror
        self.members = decode_members(mirror.entries, revision=mirror.revision)
        self._update_peers()

    async def _request_promises(self) -> None:
        """Request promises while the store is unreachable, well before they expire."""
        interval_ms = self._settings.promise_ms * _PROMISE_REQUEST_FRACTION
        while True:
            await self._clock.sleep_ms(interval_ms)
            self._update_peers()
            if self._health.is_reachable or not self.follower.is_loaded:
                continue
            async with trio.open_nursery() as nursery:
                for member in self._list_other_members():
                    nursery.start_soon(self._request_promise, member.instance_id)

    async def _request_promise(self, member_id: str) -> None:
        requested_at_ms = self._clock.monotonic_ms()
        request = PromiseRequest(owner_instance_id=self.instance_id)
        timeout_ms = self._settings.promise_ms / 3
        try:
            answer = await self._inner.call(member_id, request, timeout_ms=timeout_ms)
        except TrefoilhookError:
            return
        # A refusal does not revoke an earlier promise: the member keeps it until its
        # end, which bridges the time until this instance reaches the store again too.
        if getattr(answer, "is_promised", False):
            self._promises.record_received(member_id, requested_at_ms=requested_at_ms)
