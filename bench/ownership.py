"""Comparison of shard ownership schemes: store calls, takeover time, moved shards.

``python -m bench.ownership`` runs on virtual time. The first scheme is the actual
implementation, with one lease per instance. The two others are minimal
implementations: one lease per shard, and an elected leader that writes the table. All
use the same store, lease duration and renewal interval.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.exceptions import LeaseLostError
from trefoilhook.membership import Member, Members
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import choose_owner, list_shards
from trefoilhook.shards.tests import cluster as real
from trefoilhook.standins import StoreSettings
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient
from trefoilhook.store import ConflictError

_TTL_MS = real.SETTINGS.lease_ttl_ms
_RENEW_MS = real.SETTINGS.renew_interval_ms
_WATCH_MS = real.SETTINGS.watch_wait_ms
_IDLE_S = 20.0
_SIZES = (3, 6, 9, 18)
_SHARDS = ShardSettings(request_shards=63, worker_shards=1)
_NO_LIMIT = StoreSettings(writes_per_s=1e6, reads_per_s=1e6)


@attrs.frozen(kw_only=True)
class Row:
    """Measured costs of a scheme at one cluster size.

    Parameters
    ----------
    scheme : str
        Name of the scheme.
    instances : int
        Initial number of instances.
    idle_per_s : float
        Store calls per second and instance while idle.
    takeover_ms : float
        Time from the loss of an instance until every shard has a live owner, in ms.
    moved_shards : int
        Number of shards that changed their owner.
    """

    scheme: str
    instances: int
    idle_per_s: float
    takeover_ms: float
    moved_shards: int


@attrs.define(kw_only=True)
class _AlternativeCluster:
    """State of a cluster that uses one of the two alternative schemes."""

    clock: Clock
    store: VirtualStore
    owners: dict[str, str] = attrs.field(factory=dict)
    alive: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    def count_calls(self) -> int:
        return sum(self.store.state.calls.values())


async def _watch_keys(state: _AlternativeCluster, client: VirtualStoreClient) -> None:
    revision = state.store.state.revision
    while True:
        batch = await client.watch("own/", after_revision=revision, wait_ms=_WATCH_MS)
        revision = batch.revision


async def _hold_shard(state: _AlternativeCluster, shard_id: str, name: str) -> None:
    """Acquire the lease of a shard once its key is deleted, and renew it."""
    client = VirtualStoreClient(store=state.store)
    while True:
        entry = await client.get(f"own/{shard_id}")
        if entry is not None:
            await state.clock.sleep_ms(_RENEW_MS)
            continue
        lease = await client.grant_lease(_TTL_MS)
        try:
            await client.swap(
                f"own/{shard_id}",
                name.encode(),
                expected_revision=0,
                lease_id=lease.lease_id,
            )
        except ConflictError:
            continue
        state.owners[shard_id] = name
        while True:
            await state.clock.sleep_ms(_RENEW_MS)
            await client.keep_alive(lease.lease_id)


async def _run_per_shard(
    state: _AlternativeCluster, name: str, names: list[str]
) -> None:
    client = VirtualStoreClient(store=state.store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_keys, state, client)
        held: set[str] = set()
        while True:
            members = _list_members(n for n in names if n in state.alive)
            for shard_id in list_shards(_SHARDS):
                if shard_id not in held and choose_owner(shard_id, members) == name:
                    held.add(shard_id)
                    nursery.start_soon(_hold_shard, state, shard_id, name)
            await state.clock.sleep_ms(100)


def _list_members(names) -> Members:
    return Members(
        by_id={
            name: Member(
                instance_id=name,
                incarnation="",
                host="",
                port=0,
                failure_domain="",
            )
            for name in names
        }
    )


async def _run_leader(state: _AlternativeCluster, name: str, names: list[str]) -> None:
    """Run a member with its own lease; the elected leader writes the table."""
    client = VirtualStoreClient(store=state.store)
    lease = await client.grant_lease(_TTL_MS)
    await client.swap(
        f"own/m/{name}", b"", expected_revision=0, lease_id=lease.lease_id
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_keys, state, client)
        nursery.start_soon(_renew, state, client, lease.lease_id)
        while True:
            await state.clock.sleep_ms(100)
            entry = state.store.state.get("own/leader")
            if entry is None:
                try:
                    await client.swap(
                        "own/leader",
                        name.encode(),
                        expected_revision=0,
                        lease_id=lease.lease_id,
                    )
                except ConflictError:
                    continue
            elif entry.value.decode() == name:
                await _assign(state, client)


async def _renew(
    state: _AlternativeCluster, client: VirtualStoreClient, lease_id: str
) -> None:
    while True:
        await state.clock.sleep_ms(_RENEW_MS)
        try:
            await client.keep_alive(lease_id)
        except LeaseLostError:
            return


async def _assign(state: _AlternativeCluster, client: VirtualStoreClient) -> None:
    """Rewrite the table if the members have changed."""
    page = state.store.state.list_entries("own/m/", after_key="", limit=999)
    members = _list_members(entry.key.rsplit("/", 1)[1] for entry in page.entries)
    owners = {s: choose_owner(s, members) or "" for s in list_shards(_SHARDS)}
    if owners == state.owners:
        return
    table = await client.get("own/table")
    revision = table.revision if table else 0
    await client.swap("own/table", repr(owners).encode(), expected_revision=revision)
    state.owners = owners


_RunMember = Callable[[_AlternativeCluster, str, list[str]], Awaitable[None]]


def _measure_alternative(
    scheme: str, run: _RunMember, size: int, *, victim: int
) -> Row:
    rows: list[Row] = []

    async def scenario() -> None:
        clock = build_system_clock()
        state = _AlternativeCluster(
            clock=clock, store=VirtualStore(clock=clock, settings=_NO_LIMIT)
        )
        names = [f"i{number}" for number in range(size)]
        async with trio.open_nursery() as nursery:
            for name in names:
                state.alive[name] = trio.CancelScope()
            for name in names:
                nursery.start_soon(_run_scoped, state, run, name, names)
            await clock.sleep_ms(15_000)
            before = state.count_calls()
            await clock.sleep_ms(_IDLE_S * 1000)
            calls = state.count_calls() - before
            rows.append(await _measure_loss(state, scheme, size, names[victim], calls))
            nursery.cancel_scope.cancel()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    return rows[0]


async def _run_scoped(
    state: _AlternativeCluster, run: _RunMember, name: str, names: list[str]
) -> None:
    with state.alive[name]:
        await run(state, name, names)


async def _measure_loss(
    state: _AlternativeCluster, scheme: str, size: int, victim: str, calls: int
) -> Row:
    owners_before = dict(state.owners)
    state.alive.pop(victim).cancel()
    lost_ms = state.clock.monotonic_ms()
    while victim in state.owners.values():
        await state.clock.sleep_ms(20)
    moved = sum(state.owners[s] != owner for s, owner in owners_before.items())
    return Row(
        scheme=scheme,
        instances=size,
        idle_per_s=calls / _IDLE_S / size,
        takeover_ms=state.clock.monotonic_ms() - lost_ms,
        moved_shards=moved,
    )


def _measure_actual(size: int) -> Row:
    rows: list[Row] = []
    real.SHARDS = _SHARDS

    async def scenario(cluster: real.Cluster) -> None:
        state = cluster.store.state
        before = sum(state.calls.values())
        await cluster.sleep_s(_IDLE_S)
        calls = sum(state.calls.values()) - before
        owners_before = {s: cluster.find_owners(s)[0] for s in list_shards(_SHARDS)}
        victim = cluster.instances[owners_before["req-000"]]
        victim.kill()
        lost_ms = cluster.clock.monotonic_ms()
        while cluster.count_served() < len(owners_before):
            await cluster.clock.sleep_ms(20)
        takeover_ms = cluster.clock.monotonic_ms() - lost_ms
        moved = sum(
            cluster.find_owners(s)[0] != owner for s, owner in owners_before.items()
        )
        rows.append(
            Row(
                scheme="lease per instance",
                instances=size,
                idle_per_s=calls / _IDLE_S / size,
                takeover_ms=takeover_ms,
                moved_shards=moved,
            )
        )

    real.run_cluster(scenario, size=size)
    return rows[0]


def main() -> None:
    """Print the table."""
    rows: list[Row] = []
    for size in _SIZES:
        rows.append(_measure_actual(size))
        rows.append(
            _measure_alternative(
                "lease per shard", _run_per_shard, size, victim=size - 1
            )
        )
        rows.append(
            _measure_alternative(
                "leader, follower lost", _run_leader, size, victim=size - 1
            )
        )
        rows.append(
            _measure_alternative("leader, leader lost", _run_leader, size, victim=0)
        )
    print("| way | instances | store calls/s each, idle | takeover ms | moved of 64 |")
    print("|---|---|---|---|---|")
    for row in sorted(rows, key=lambda row: (row.scheme, row.instances)):
        print(
            f"| {row.scheme} | {row.instances} | {row.idle_per_s:.2f} "
            f"| {row.takeover_ms:.0f} | {row.moved_shards} |"
        )


if __name__ == "__main__":
    main()
