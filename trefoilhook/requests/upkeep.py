"""Periodic tasks: updates of the owned executors, health probes, load summaries."""

import math
from collections.abc import Callable, Sequence

import attrs

from trefoilhook.inner.messages_pb2 import ExecutorLoad, ExecutorLoads
from trefoilhook.requests.keyowner import KeyOwner
from trefoilhook.requests.keys import format_shard_id
from trefoilhook.requests.models import ExecutorTarget
from trefoilhook.requests.owned import OwnedExecutor
from trefoilhook.requests.pending import Components
from trefoilhook.requests.routing import ReportedLoad

__all__ = ["Upkeep"]

_REFRESH_FRACTION = 0.7
_OWNED_SHARE_INTERVAL_MS = 1_000.0


@attrs.frozen(kw_only=True)
class _HandedOverSlots:
    """Slots in use from the handover of a shard's previous owner."""

    epoch: int
    in_use: dict[str, int]


@attrs.frozen(kw_only=True)
class _SentSummary:
    """Latest load summary sent to a peer."""

    message: ExecutorLoads
    started: int
    sent_at_ms: float

    def is_same(self, message: ExecutorLoads, started: int) -> bool:
        """Return whether a new summary would contain no new information."""
        return self.started == started and self.message == message


@attrs.define(kw_only=True, eq=False)
class Upkeep:
    """Keeps the owned executors consistent with the shards and the instance list.

    Parameters
    ----------
    components : Components
        Components shared by all roles.
    key_owner : KeyOwner
        Key tables of the owned shards.
    list_peers : callable
        Returns the IDs of the other instances.
    owned_share : float
        Fraction of the request shards that this instance owns; at least one shard
        counts as owned.
    """

    components: Components
    key_owner: KeyOwner
    list_peers: Callable[[], Sequence[str]]
    owned_share: float = 1.0
    _handed_over: dict[str, _HandedOverSlots] = attrs.field(factory=dict, init=False)
    _added_ids: set[str] = attrs.field(factory=set, init=False)
    _sent_summaries: dict[str, _SentSummary] = attrs.field(factory=dict, init=False)
    _owned_share_at_ms: float = attrs.field(default=-math.inf, init=False)
    _retired: list[OwnedExecutor] = attrs.field(factory=list, init=False)

    async def run(self) -> None:
        """Perform the periodic maintenance until cancelled."""
        while True:
            await self.tick()
            await self.components.clock.sleep_ms(
                self.components.settings.probe_interval_ms
            )

    async def run_load_summaries(self) -> None:
        """Send load summaries to the peers periodically until cancelled."""
        while True:
            self.send_load_summaries()
            await self.components.clock.sleep_ms(
                self.components.settings.loads_interval_ms
            )

    async def tick(self) -> None:
        """Perform the maintenance once."""
        self.sync()
        self._update_owned_share()
        self.key_owner.drop_superseded()
        self._start_probes()
        for each in self.components.pool.list_executors():
            self.components.pool.serve_queue(each.target.service_name)
        await self._close_retired()

    def sync(self) -> None:
        """Apply the latest instance list and shard ownership."""
        listed: set[str] = set()
        for target in self.components.list_executors():
            listed.add(target.executor_id)
            self._sync_executor(target)
        for each in self.components.pool.list_executors():
            if each.target.executor_id not in listed:
                self._retire(each.target.executor_id)

    def add_if_owned(self, executor_id: str) -> None:
        """Add an executor immediately if this instance owns it by now.

        A request for an executor may arrive at the new owner before its next periodic
        update. It would otherwise be refused by the correct owner.
        """
        components = self.components
        if components.pool.get(executor_id) is not None:
            return
        if (
            components.ownership.get_serving_epoch(
                components.get_executor_shard(executor_id)
            )
            is not None
        ):
            self.sync()
            self._start_probes()

    def list_never_used(self, shard_id: str) -> list[str]:
        """Return the IDs of a shard's executors that certainly received no request.

        An instance may hand a shard over right after startup, before it has added the
        shard's executors. Without this list the handover would omit them, and the next
        owner would wait for requests that were never sent. The first owner of a shard
        has no previous owner and sends nothing to executors that it has not added.
        """
        components = self.components
        if components.ownership.serving_since_wall_ms(shard_id) != -math.inf:
            return []
        return [
            each.executor_id
            for each in components.list_executors()
            if components.get_executor_shard(each.executor_id) == shard_id
            and each.executor_id not in self._added_ids
        ]

    def apply_handover(
        self, shard_id: str, *, epoch: int, in_use: dict[str, int]
    ) -> None:
        """Apply the slots in use from the handover of a shard's previous owner.

        Parameters
        ----------
        shard_id : str
            ID of the shard.
        epoch : int
            Epoch of the previous owner.
        in_use : dict
            Number of slots in use by executor ID.
        """
        self._handed_over[shard_id] = _HandedOverSlots(epoch=epoch, in_use=in_use)
        now_ms = self.components.clock.monotonic_ms()
        for each in self._list_owned():
            if each.shard_id != shard_id or not each.slots.is_count_unknown:
                continue
            count = self._find_handed_over(
                each.target.executor_id, shard_id, each.epoch
            )
            if count is not None:
                each.slots.apply_handover(count, now_ms=now_ms)

    def release_reserved_slots(self, shard_id: str) -> None:
        """Release the slots of a shard that were reserved for its previous owner.

        The previous owner must have made its handover or have terminated.
        """
        for each in self.components.pool.list_executors():
            if each.shard_id == shard_id:
                each.slots.reserved_until_ms = -math.inf

    def send_load_summaries(self) -> None:
        """Send a load summary to each peer that has not recently received the same one.

        Sending unchanged summaries would take most of the time of an idle instance. A
        summary with equal counts is still sent if requests were run in between, because
        the peers add the requests that they have sent since the last summary.
        """
        message = ExecutorLoads(
            loads=[self._build_load(each) for each in self._list_owned()]
        )
        started = sum(each.slots.started for each in self._list_owned())
        now_ms = self.components.clock.monotonic_ms()
        resend_before_ms = (
            now_ms - _REFRESH_FRACTION * self.components.settings.loads_age_ms
        )
        peer_ids = set(self.list_peers())
        for peer_id in self._sent_summaries.keys() - peer_ids:
            del self._sent_summaries[peer_id]
        for peer_id in peer_ids:
            sent = self._sent_summaries.get(peer_id)
            is_fresh = sent is not None and sent.sent_at_ms > resend_before_ms
            if sent is not None and is_fresh and sent.is_same(message, started):
                continue
            if self.components.inner.send_one_way(peer_id, message):
                self._sent_summaries[peer_id] = _SentSummary(
                    message=message, started=started, sent_at_ms=now_ms
                )

    def receive_load_summary(self, sender_id: str, message: ExecutorLoads) -> None:
        """Store a peer's load summary."""
        now_ms = self.components.clock.monotonic_ms()
        loads = {
            each.executor_id: ReportedLoad(
                sender_id=sender_id,
                received_ms=now_ms,
                slots=each.slots,
                in_use=each.in_use,
                queued=each.queued,
                is_usable=each.is_usable,
            )
            for each in message.loads
        }
        self.components.peer_loads.replace(loads, sender_id=sender_id)

    def _list_owned(self) -> tuple[OwnedExecutor, ...]:
        return self.components.pool.list_executors()

    def _build_load(self, executor: OwnedExecutor) -> ExecutorLoad:
        now_ms = self.components.clock.monotonic_ms()
        slots = executor.slots
        free = slots.count_free(now_ms)
        return ExecutorLoad(
            executor_id=executor.target.executor_id,
            service=executor.target.service_name,
            slots=slots.slots,
            in_use=slots.slots - free,
            queued=self._compute_queue_share(executor),
            is_usable=slots.count_usable(now_ms) > 0 and not slots.is_count_unknown,
        )

    def _compute_queue_share(self, executor: OwnedExecutor) -> int:
        """Return an executor's share of the queued requests of its service."""
        name = executor.target.service_name
        slots = sum(
            each.slots.slots
            for each in self._list_owned()
            if each.target.service_name == name
        )
        queued = len(self.components.pool.get_queue(name))
        return math.ceil(queued * executor.slots.slots / max(1, slots))

    def _sync_executor(self, target: ExecutorTarget) -> None:
        components = self.components
        shard_id = components.get_executor_shard(target.executor_id)
        epoch = components.ownership.get_serving_epoch(shard_id)
        executor = components.pool.get(target.executor_id)
        if executor is not None and executor.epoch == epoch:
            components.pool.update(target)
            return
        if executor is not None:
            self._retire(target.executor_id)
        if epoch is None:
            return
        self._added_ids.add(target.executor_id)
        components.pool.add(
            target,
            shard_id=shard_id,
            epoch=epoch,
            is_first_claim=math.isinf(
                components.ownership.serving_since_wall_ms(shard_id)
            ),
            handed_over_in_use=self._find_handed_over(
                target.executor_id, shard_id, epoch
            ),
        )

    def _find_handed_over(
        self, executor_id: str, shard_id: str, epoch: int
    ) -> int | None:
        # A handover may arrive late, after another instance has owned the shard. It
        # does not include the requests of that instance and is ignored.
        handed_over = self._handed_over.get(shard_id)
        if handed_over is None or handed_over.epoch != epoch - 1:
            return None
        return handed_over.in_use.get(executor_id)

    def _retire(self, executor_id: str) -> None:
        executor = self.components.pool.remove(executor_id)
        if executor is not None:
            self._retired.append(executor)

    def _start_probes(self) -> None:
        now_ms = self.components.clock.monotonic_ms()
        for each in self._list_owned():
            if not each.is_probing and each.slots.needs_probe(now_ms):
                each.is_probing = True
                self.components.start(self.components.pool.probe, each)

    async def _close_retired(self) -> None:
        for each in list(self._retired):
            if each.slots.in_progress == 0:
                self._retired.remove(each)
                await each.link.close()

    def _update_owned_share(self) -> None:
        now_ms = self.components.clock.monotonic_ms()
        if now_ms - self._owned_share_at_ms < _OWNED_SHARE_INTERVAL_MS:
            return
        self._owned_share_at_ms = now_ms
        count = self.components.settings.shard_count
        owns = self.components.ownership.get_serving_epoch
        owned = sum(
            owns(format_shard_id(number)) is not None for number in range(count)
        )
        self.owned_share = max(1, owned) / count
