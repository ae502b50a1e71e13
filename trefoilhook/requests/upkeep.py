"""What goes on without requests: executors gained and lost, probes, load summaries."""

import math
from collections.abc import Callable, Sequence

import attrs

from trefoilhook.inner.messages_pb2 import ExecutorLoad, ExecutorLoads
from trefoilhook.requests.keyowner import KeyOwner
from trefoilhook.requests.keys import format_shard_id
from trefoilhook.requests.models import ExecutorTarget
from trefoilhook.requests.owned import OwnedExecutor
from trefoilhook.requests.routing import ReportedLoad
from trefoilhook.requests.work import Parts

__all__ = ["Upkeep"]

_REFRESH_SHARE = 0.7
_SHARE_INTERVAL_MS = 1_000.0


@attrs.frozen(kw_only=True)
class _HandedSlots:
    """Slots in use that the owner of a shard told of when it left."""

    epoch: int
    in_use: dict[str, int]


@attrs.frozen(kw_only=True)
class _Told:
    """The newest summary that a peer was sent."""

    message: ExecutorLoads
    started: int
    told_ms: float

    def tells_all(self, message: ExecutorLoads, started: int) -> bool:
        """Tell whether a summary would be no news."""
        return self.started == started and self.message == message


@attrs.define(kw_only=True, eq=False)
class Upkeep:
    """Keeps the executors owned here in step with the shards and the instance list.

    Parameters
    ----------
    parts : Parts
        What the roles share.
    key_owner : KeyOwner
        Tables of the shards owned here.
    list_peers : callable
        The other instances.
    """

    parts: Parts
    key_owner: KeyOwner
    list_peers: Callable[[], Sequence[str]]
    share: float = 1.0
    _handed: dict[str, _HandedSlots] = attrs.field(factory=dict, init=False)
    _seen: set[str] = attrs.field(factory=set, init=False)
    _told: dict[str, _Told] = attrs.field(factory=dict, init=False)
    _share_at_ms: float = attrs.field(default=-math.inf, init=False)
    _retired: list[OwnedExecutor] = attrs.field(factory=list, init=False)

    async def run(self) -> None:
        """Look after the executors until cancelled."""
        while True:
            await self.tick()
            await self.parts.clock.sleep_ms(self.parts.settings.probe_interval_ms)

    async def run_summaries(self) -> None:
        """Tell the peers what the executors here carry, until cancelled."""
        while True:
            self.tell_loads()
            await self.parts.clock.sleep_ms(self.parts.settings.loads_interval_ms)

    async def tick(self) -> None:
        """Bring everything up to date once."""
        self.sync()
        self._count_share()
        self.key_owner.drop_lost()
        self._start_probes()
        for each in self.parts.pool.list_executors():
            self.parts.pool.serve_queue(each.target.service_name)
        await self._close_retired()

    def sync(self) -> None:
        """Take in the newest instance list and the newest ownership."""
        listed: set[str] = set()
        for target in self.parts.list_executors():
            listed.add(target.executor_id)
            self._sync_one(target)
        for each in self.parts.pool.list_executors():
            if each.target.executor_id not in listed:
                self._retire(each.target.executor_id)

    def take_in(self, executor_id: str) -> None:
        """Begin to count an executor's slots at once, if it is owned here by now.

        Guards against a request that follows an executor to its new owner and gets
        there before the owner has looked at its shards: it would be refused, though
        this owner is the right one, until the next look.
        """
        parts = self.parts
        if parts.pool.get(executor_id) is not None:
            return
        if parts.ownership.owns(parts.get_executor_shard(executor_id)) is not None:
            self.sync()
            self._start_probes()

    def list_untouched(self, shard_id: str) -> list[str]:
        """Return a shard's executors that provably nobody ever sent a request to.

        Guards against a pause after the start: an instance that hands a shard over
        before it has looked at the shard's executors says nothing of them, and the
        next owner would wait out the requests of an owner that never sent any. The
        first owner of a shard has no predecessor, and an executor that it never took
        in got nothing from it.
        """
        parts = self.parts
        if parts.ownership.own_since_wall_ms(shard_id) != -math.inf:
            return []
        return [
            each.executor_id
            for each in parts.list_executors()
            if parts.get_executor_shard(each.executor_id) == shard_id
            and each.executor_id not in self._seen
        ]

    def take_handed_over(
        self, shard_id: str, *, epoch: int, in_use: dict[str, int]
    ) -> None:
        """Take in the slots in use that a leaving owner told of.

        Parameters
        ----------
        shard_id : str
            The shard.
        epoch : int
            Epoch of the leaving owner's claim.
        in_use : dict
            Slots in use, by executor.
        """
        self._handed[shard_id] = _HandedSlots(epoch=epoch, in_use=in_use)
        now_ms = self.parts.clock.monotonic_ms()
        for each in self._list():
            if each.shard_id != shard_id or not each.slots.is_taken_over:
                continue
            count = self._find_handed(each.target.executor_id, shard_id, each.epoch)
            if count is not None:
                each.slots.take_handed_over(count, now_ms=now_ms)

    def release_hold(self, shard_id: str) -> None:
        """Use the slots kept back in a shard: its earlier owner is met or dead."""
        for each in self.parts.pool.list_executors():
            if each.shard_id == shard_id:
                each.slots.held_until_ms = -math.inf

    def tell_loads(self) -> None:
        """Send a summary to each peer that has not got this one lately.

        An idle instance would otherwise spend most of its time on telling and reading
        that nothing has changed. A summary that looks like the one before is news
        all the same when requests were run in between: the peers add what they have
        sent since to it.
        """
        message = ExecutorLoads(loads=[self._describe(each) for each in self._list()])
        started = sum(each.slots.started for each in self._list())
        now_ms = self.parts.clock.monotonic_ms()
        again_ms = now_ms - _REFRESH_SHARE * self.parts.settings.loads_age_ms
        peer_ids = set(self.list_peers())
        for peer_id in self._told.keys() - peer_ids:
            del self._told[peer_id]
        for peer_id in peer_ids:
            told = self._told.get(peer_id)
            is_fresh = told is not None and told.told_ms > again_ms
            if told is not None and is_fresh and told.tells_all(message, started):
                continue
            if self.parts.inner.tell(peer_id, message):
                self._told[peer_id] = _Told(
                    message=message, started=started, told_ms=now_ms
                )

    def hear_loads(self, sender_id: str, message: ExecutorLoads) -> None:
        """Take in a peer's summary."""
        now_ms = self.parts.clock.monotonic_ms()
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
        self.parts.peer_loads.take(loads, sender_id=sender_id)

    def _list(self) -> tuple[OwnedExecutor, ...]:
        return self.parts.pool.list_executors()

    def _describe(self, executor: OwnedExecutor) -> ExecutorLoad:
        now_ms = self.parts.clock.monotonic_ms()
        slots = executor.slots
        free = slots.count_free(now_ms)
        return ExecutorLoad(
            executor_id=executor.target.executor_id,
            service=executor.target.service_name,
            slots=slots.slots,
            in_use=slots.slots - free,
            queued=self._count_queue_share(executor),
            is_usable=slots.count_usable(now_ms) > 0 and not slots.is_taken_over,
        )

    def _count_queue_share(self, executor: OwnedExecutor) -> int:
        """Return an executor's share of the requests that wait for its service."""
        name = executor.target.service_name
        slots = sum(
            each.slots.slots
            for each in self._list()
            if each.target.service_name == name
        )
        queued = len(self.parts.pool.get_queue(name))
        return math.ceil(queued * executor.slots.slots / max(1, slots))

    def _sync_one(self, target: ExecutorTarget) -> None:
        parts = self.parts
        shard_id = parts.get_executor_shard(target.executor_id)
        epoch = parts.ownership.owns(shard_id)
        executor = parts.pool.get(target.executor_id)
        if executor is not None and executor.epoch == epoch:
            parts.pool.update(target)
            return
        if executor is not None:
            self._retire(target.executor_id)
        if epoch is None:
            return
        self._seen.add(target.executor_id)
        parts.pool.add(
            target,
            shard_id=shard_id,
            epoch=epoch,
            is_first_claim=math.isinf(parts.ownership.own_since_wall_ms(shard_id)),
            handed_in_use=self._find_handed(target.executor_id, shard_id, epoch),
        )

    def _find_handed(self, executor_id: str, shard_id: str, epoch: int) -> int | None:
        # Guards against a handover that arrives late, after yet another owner held
        # the shard: the requests of the one in between would not be counted.
        handed = self._handed.get(shard_id)
        if handed is None or handed.epoch != epoch - 1:
            return None
        return handed.in_use.get(executor_id)

    def _retire(self, executor_id: str) -> None:
        executor = self.parts.pool.remove(executor_id)
        if executor is not None:
            self._retired.append(executor)

    def _start_probes(self) -> None:
        now_ms = self.parts.clock.monotonic_ms()
        for each in self._list():
            if not each.is_probing and each.slots.needs_probe(now_ms):
                each.is_probing = True
                self.parts.start(self.parts.pool.probe, each)

    async def _close_retired(self) -> None:
        for each in list(self._retired):
            if each.slots.in_progress == 0:
                self._retired.remove(each)
                await each.link.close()

    def _count_share(self) -> None:
        now_ms = self.parts.clock.monotonic_ms()
        if now_ms - self._share_at_ms < _SHARE_INTERVAL_MS:
            return
        self._share_at_ms = now_ms
        count = self.parts.settings.shard_count
        owns = self.parts.ownership.owns
        owned = sum(
            owns(format_shard_id(number)) is not None for number in range(count)
        )
        self.share = max(1, owned) / count
