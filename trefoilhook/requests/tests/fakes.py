"""Fakes of the interfaces of the request path, using virtual time."""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing
import uuid6

from trefoilhook.clock import build_system_clock
from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.executors import ExecutorHealth, ExecutorResponse
from trefoilhook.inner.messages_pb2 import ExecutorLoads
from trefoilhook.requests import (
    CallerRequest,
    ExecutorTarget,
    RequestService,
    RequestSettings,
    ServiceSettings,
    TeamView,
    TokenCheckResult,
    compute_executor_shard,
    compute_key_shard,
)


def run_virtual(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on trio's virtual time."""
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def generate_key_at(wall_ms: float, generator: random.Random | None = None) -> bytes:
    """Return a new UUIDv7 with the given creation time."""
    value = (generator or random.Random()).getrandbits(80)
    return uuid6.UUID(int=(int(wall_ms) << 80) | value, version=7).bytes


@attrs.frozen(kw_only=True)
class FakeOwner:
    """Fake owner of a shard."""

    instance_id: str
    epoch: int


@attrs.define(kw_only=True)
class FakeOwnership:
    """Fake ownership view of one instance; ``owners`` is shared by all instances."""

    instance_id: str
    owners: dict[str, FakeOwner]
    serving_epochs: dict[str, int] = attrs.field(factory=dict)
    since_wall_ms: dict[str, float] = attrs.field(factory=dict)
    before_check: Callable[[], None] = lambda: None

    def find_owner(self, shard_id):
        return self.owners.get(shard_id)

    def get_serving_epoch(self, shard_id):
        self.before_check()
        return self.serving_epochs.get(shard_id)

    def serving_since_wall_ms(self, shard_id):
        return self.since_wall_ms.get(shard_id, -math.inf)


@attrs.frozen(kw_only=True)
class FakeCall:
    """Fake incoming call of the inner protocol."""

    sender_id: str
    message: object
    timeout_ms: float


@attrs.define(kw_only=True)
class FakeInner:
    """Delivers calls between services after a delay, with optional link faults."""

    instance_id: str
    services: dict[str, RequestService]
    delay_ms: float = 1.0
    unreachable: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)
    lost_answers: int = 0
    calls: int = 0
    messages_sent: int = 0

    async def call(self, instance_id, message, *, timeout_ms):
        self.calls += 1
        if instance_id in self.unreachable:
            raise NotSentError("link down")
        if instance_id in self.silent:
            await trio.sleep_forever()
        hop_ms = 0.0 if instance_id == self.instance_id else self.delay_ms
        await trio.sleep(hop_ms / 1000)
        call = FakeCall(
            sender_id=self.instance_id, message=message, timeout_ms=timeout_ms - hop_ms
        )
        try:
            with trio.fail_after(timeout_ms / 1000):
                reply = await self.services[instance_id].handle_inner(call)
        except trio.TooSlowError as error:
            raise AnswerLostError("timed out") from error
        await trio.sleep(hop_ms / 1000)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise AnswerLostError("link cut")
        return reply

    def send_one_way(self, instance_id, message):
        self.messages_sent += 1
        if not isinstance(message, ExecutorLoads) or instance_id in self.unreachable:
            return False
        copy = ExecutorLoads.FromString(message.SerializeToString())
        call = FakeCall(sender_id=self.instance_id, message=copy, timeout_ms=0.0)
        self.services[instance_id]._upkeep.receive_load_summary(
            call.sender_id, call.message
        )
        return True


@attrs.define(kw_only=True)
class FakeExecutor:
    """Fake executor that records its requests and fails as configured."""

    executor_id: str = "exec-0"
    slots: int = 8
    run_ms: float = 50.0
    refuse_connections: bool = False
    status: int = 200
    lose_answers: int = 0
    stall_before_send: trio.Event | None = None
    stalled: trio.Event = attrs.field(factory=trio.Event)
    orphans: int = 0
    running: int = 0
    high_water: int = 0
    runs: list[str] = attrs.field(factory=list)

    async def run(self, body, *, content_type, timeout_ms, request_id, may_send):
        if self.refuse_connections:
            raise NotSentError("refused")
        if self.stall_before_send is not None:
            self.stalled.set()
            await self.stall_before_send.wait()
        if not may_send():
            raise NotSentError("withdrawn")
        self.runs.append(request_id)
        self.running += 1
        self.high_water = max(self.high_water, self.running + self.orphans)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.running -= 1
            self.orphans += 1
            raise AnswerLostError("cut")
        try:
            with trio.fail_after(timeout_ms / 1000):
                await trio.sleep(self.run_ms / 1000)
        except trio.TooSlowError as error:
            raise AnswerLostError("timed out") from error
        finally:
            self.running -= 1
        return ExecutorResponse(
            status=self.status, content_type="text/plain", body=b"whole " + body
        )

    async def get_health(self, *, timeout_ms):
        await trio.sleep(0.001)
        return ExecutorHealth(slots=self.slots, in_use=self.running + self.orphans)

    async def close(self):
        pass


@attrs.define(kw_only=True)
class Cluster:
    """Several instances with shared executors and evenly distributed shards."""

    instance_count: int = 3
    executor_count: int = 3
    settings: RequestSettings = attrs.field(
        factory=lambda: RequestSettings(shard_count=8)
    )
    service: ServiceSettings = attrs.field(factory=ServiceSettings)
    quota_per_s: float = math.inf
    generator: random.Random = attrs.field(factory=lambda: random.Random(7))
    wall_offset_ms: float = 0.0
    wall_jump_ms: float = 0.0
    clock: object = attrs.field(init=False)
    clocks: dict[str, object] = attrs.field(factory=dict, init=False)
    owners: dict[str, FakeOwner] = attrs.field(factory=dict, init=False)
    executors: dict[str, FakeExecutor] = attrs.field(factory=dict, init=False)
    targets: list[ExecutorTarget] = attrs.field(factory=list, init=False)
    services: dict[str, RequestService] = attrs.field(factory=dict, init=False)
    ownerships: dict[str, FakeOwnership] = attrs.field(factory=dict, init=False)
    inners: dict[str, FakeInner] = attrs.field(factory=dict, init=False)

    def build(self) -> None:
        self.clock = build_system_clock()
        names = [f"i{number}" for number in range(self.instance_count)]
        for number in range(self.settings.shard_count):
            owner = FakeOwner(instance_id=names[number % len(names)], epoch=1)
            self.owners[f"req-{number:03d}"] = owner
        for number in range(self.executor_count):
            self._add_executor(number)
        for name in names:
            self._add_instance(name, names)

    def _add_executor(self, number: int) -> None:
        executor_id = f"exec-{number}"
        self.executors[executor_id] = FakeExecutor(executor_id=executor_id)
        self.targets.append(
            ExecutorTarget(
                executor_id=executor_id,
                team="sky",
                service="seats",
                host="127.0.0.1",
                port=1,
                failure_domain=f"d{number % 3}",
                slots=8,
            )
        )

    def _add_instance(self, name: str, names: list[str]) -> None:
        ownership = FakeOwnership(instance_id=name, owners=self.owners)
        for shard_id, owner in self.owners.items():
            if owner.instance_id == name:
                ownership.serving_epochs[shard_id] = owner.epoch
        inner = FakeInner(instance_id=name, services=self.services)
        sign = (-1, 0, 1)[int(name[1:]) % 3]
        offset_ms = sign * self.wall_offset_ms
        clock = attrs.evolve(
            self.clock,
            wall_ms=lambda: self.clock.wall_ms() + offset_ms + self.wall_jump_ms,
        )
        self.clocks[name] = clock
        self.ownerships[name] = ownership
        self.inners[name] = inner
        self.services[name] = RequestService(
            instance_id=name,
            failure_domain=f"d{int(name[1:]) % 3}",
            clock=clock,
            settings=self.settings,
            ownership=ownership,
            inner=inner,
            teams=TeamView(
                find_service=lambda team, service: self.service,
                get_quota_per_s=lambda team: self.quota_per_s,
                check_token=lambda team, token: TokenCheckResult.ALLOWED,
            ),
            list_executors=lambda: self.targets,
            list_peers=lambda: [each for each in names if each != name],
            open_link=lambda target: self.executors[target.executor_id],
            generator=random.Random(1),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        self.build()
        for service in self.services.values():
            await nursery.start(service.run)
        await trio.sleep(0.3)

    def move_shard(self, shard_id: str, name: str) -> None:
        """Move a shard to another instance after the old owner lost its ownership."""
        old = self.owners[shard_id]
        self.ownerships[old.instance_id].serving_epochs.pop(shard_id, None)
        self.claim_shard(shard_id, name)

    def claim_shard(self, shard_id: str, name: str) -> None:
        """Claim a shard for an instance without notifying the old owner."""
        epoch = self.owners[shard_id].epoch + 1
        self.owners[shard_id] = FakeOwner(instance_id=name, epoch=epoch)
        self.ownerships[name].serving_epochs[shard_id] = epoch
        self.ownerships[name].since_wall_ms[shard_id] = self.clocks[name].wall_ms()

    def find_key_shard(self, key: bytes) -> str:
        return compute_key_shard(key, shard_count=self.settings.shard_count)

    def find_executor_shard(self, executor_id: str) -> str:
        return compute_executor_shard(
            executor_id, shard_count=self.settings.shard_count
        )

    def generate_key(self, owner: str = "") -> bytes:
        """Return a new key, optionally one that a given instance owns."""
        while True:
            key = generate_key_at(self.clock.wall_ms(), self.generator)
            shard_id = self.find_key_shard(key)
            if not owner or self.owners[shard_id].instance_id == owner:
                return key

    def count_runs(self) -> int:
        return sum(len(each.runs) for each in self.executors.values())


def build_request(key: bytes = b"", **changes: object) -> CallerRequest:
    """Build a caller's request."""
    return attrs.evolve(
        CallerRequest(team="sky", service="seats", key=key, body=b"two"), **changes
    )
