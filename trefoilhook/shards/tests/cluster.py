"""Test cluster: membership and ownership of several instances on virtual time."""

from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.membership import Member, Membership, MembershipSettings
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import Ownership, list_shards
from trefoilhook.standins.virtual import (
    VirtualLinks,
    VirtualNode,
    VirtualStore,
    VirtualStoreClient,
)
from trefoilhook.store import SwapRequest

SETTINGS = MembershipSettings()
SHARDS = ShardSettings(request_shards=9, worker_shards=1)
_SAMPLE_INTERVAL_MS = 50.0


@attrs.define(kw_only=True)
class Instance:
    """One instance of the test cluster."""

    instance_id: str
    client: VirtualStoreClient
    node: VirtualNode
    membership: Membership
    ownership: Ownership
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def kill(self) -> None:
        """End the process: its port refuses connections from now on."""
        self.node.is_dead = True
        self.scope.cancel()


@attrs.define(kw_only=True)
class Cluster:
    """Instances, store and links, with the overlaps and gaps observed."""

    clock: Clock
    store: VirtualStore
    links: VirtualLinks
    nursery: trio.Nursery
    instances: dict[str, Instance] = attrs.field(factory=dict)
    overlaps: list[str] = attrs.field(factory=list)
    unowned_since: dict[str, float] = attrs.field(factory=dict)
    longest_gap_ms: float = 0.0

    def add(self, instance_id: str) -> Instance:
        """Start an instance."""
        client = VirtualStoreClient(store=self.store)
        node = VirtualNode(instance_id=instance_id, links=self.links)
        member = Member(
            instance_id=instance_id,
            incarnation="",
            host="127.0.0.1",
            port=len(self.instances) + 1,
            failure_domain="a",
        )
        membership = Membership(
            member=member,
            store=client,
            inner=node,
            clock=self.clock,
            settings=SETTINGS,
        )
        ownership = Ownership(
            membership=membership,
            store=client,
            inner=node,
            clock=self.clock,
            settings=SHARDS,
            outage_limit_ms=SETTINGS.outage_limit_ms,
        )
        instance = Instance(
            instance_id=instance_id,
            client=client,
            node=node,
            membership=membership,
            ownership=ownership,
        )
        self.instances[instance_id] = instance
        self.nursery.start_soon(self._run, instance)
        return instance

    async def _run(self, instance: Instance) -> None:
        with instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.node.run)
                await nursery.start(instance.membership.run)
                nursery.start_soon(instance.ownership.run)

    async def monitor_owners(self) -> None:
        """Record when several instances, or none, may serve a shard."""
        while True:
            now_ms = self.clock.monotonic_ms()
            for shard_id, owners in self._list_serving().items():
                if len(owners) > 1:
                    self.overlaps.append(f"{now_ms:.0f}: {shard_id} {owners}")
                if owners:
                    since_ms = self.unowned_since.pop(shard_id, now_ms)
                    self.longest_gap_ms = max(self.longest_gap_ms, now_ms - since_ms)
                else:
                    self.unowned_since.setdefault(shard_id, now_ms)
            await self.clock.sleep_ms(_SAMPLE_INTERVAL_MS)

    def _list_serving(self) -> dict[str, list[str]]:
        """Return the instances that may serve each shard; asks each instance once."""
        owners: dict[str, list[str]] = {each: [] for each in list_shards(SHARDS)}
        for instance in self.instances.values():
            if not instance.node.is_dead:
                for shard_id in instance.ownership.list_served():
                    owners[shard_id].append(instance.instance_id)
        return owners

    def overwrite(self, key: str, value: bytes) -> None:
        """Write a key as another program would, whatever its revision."""
        current = self.store.state.get(key)
        request = SwapRequest(
            key=key,
            value=value,
            expected_revision=current.revision if current is not None else 0,
        )
        self.store.apply("swap", lambda state: state.swap(request))

    def find_owners(self, shard_id: str) -> list[str]:
        """Return the instances that may serve a shard now."""
        return [
            instance.instance_id
            for instance in self.instances.values()
            if not instance.node.is_dead
            and instance.ownership.get_serving_epoch(shard_id) is not None
        ]

    def count_served(self) -> int:
        """Return how many shards are served now."""
        return sum(bool(self.find_owners(s)) for s in list_shards(SHARDS))

    def reset_gaps(self) -> None:
        """Reset the measurement of the longest gap."""
        self.unowned_since.clear()
        self.longest_gap_ms = 0.0

    def read_epochs(self) -> dict[str, int]:
        """Return the epoch at which each shard is served now."""
        return {
            shard_id: epoch
            for shard_id in list_shards(SHARDS)
            for instance in self.instances.values()
            if not instance.node.is_dead
            and (epoch := instance.ownership.get_serving_epoch(shard_id)) is not None
        }

    async def sleep_s(self, duration_s: float) -> None:
        """Sleep for ``duration_s`` seconds of virtual time."""
        await self.clock.sleep_ms(duration_s * 1000.0)


Scenario = Callable[[Cluster], Awaitable[None]]


def run_cluster(scenario: Scenario, *, size: int = 9) -> None:
    """Run ``scenario`` with ``size`` settled instances on virtual time."""

    async def run() -> None:
        clock = build_system_clock()
        async with trio.open_nursery() as nursery:
            cluster = Cluster(
                clock=clock,
                store=VirtualStore(clock=clock),
                links=VirtualLinks(clock=clock),
                nursery=nursery,
            )
            for number in range(size):
                cluster.add(f"i{number}")
            await cluster.sleep_s(15)
            nursery.start_soon(cluster.monitor_owners)
            await scenario(cluster)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
