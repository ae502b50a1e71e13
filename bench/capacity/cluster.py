"""Costs of membership, shard ownership and store calls, on virtual time."""

from collections import Counter

import attrs

from bench.capacity.fit import Slope, fit_line, time_call
from trefoilhook.clock import ManualTime, build_manual_clock
from trefoilhook.configuration import (
    TeamDocument,
    build_team_key,
    encode_document,
)
from trefoilhook.membership import (
    Member,
    Members,
    Membership,
    MembershipSettings,
    MirrorEntry,
)
from trefoilhook.membership.members import MEMBERS_PREFIX, encode_member
from trefoilhook.settings import ShardSettings
from trefoilhook.shards import (
    ShardRow,
    ShardTable,
    list_shards,
)
from trefoilhook.shards.claims import plan_handovers
from trefoilhook.shards.core import decode_table, encode_table
from trefoilhook.shards.tests.cluster import run_cluster
from trefoilhook.standins.virtual import (
    VirtualLinks,
    VirtualNode,
    VirtualStore,
    VirtualStoreClient,
)

__all__ = ["measure_cluster", "measure_tables"]

INSTANCES = (3, 6, 9, 18, 27)
MEMBERS = (9, 30, 100, 300)
SHARDS = (65, 130, 260, 520)
_IDLE_S = 32
_SETTLE_S = 20
_WRITE_CALLS = ("swap", "grant", "keep_alive", "revoke")
_STEP_S = 0.02


@attrs.define(kw_only=True)
class _Measurement:
    """Measurements of a cluster of one size."""

    idle_writes_per_s: float = 0.0
    idle_reads_per_s: float = 0.0
    loss_writes: float = 0.0
    loss_reads: float = 0.0
    join_writes: float = 0.0
    loss_gap_ms: float = 0.0
    change_ms: float = 0.0
    silent_change_ms: float = 0.0


def _count_calls(store):
    calls = store.state.calls
    writes = sum(calls[kind] for kind in _WRITE_CALLS)
    return writes, sum(calls.values()) - writes


async def _time_change(cluster, name):
    """Change a configuration key; return the propagation time to all mirrors, in ms."""
    key = build_team_key("root", name)
    writer = VirtualStoreClient(store=cluster.store)
    value = encode_document(TeamDocument())
    revision = await writer.swap(key, value, expected_revision=0)
    started_ms = cluster.clock.monotonic_ms()
    while True:
        mirrors = [
            i.membership.follower.mirror
            for i in cluster.instances.values()
            if not i.node.is_dead
        ]
        entries = [mirror.get(key) for mirror in mirrors]
        if all(entry and entry.revision >= revision for entry in entries):
            return cluster.clock.monotonic_ms() - started_ms
        await cluster.sleep_s(_STEP_S)


def _measure_size(size):
    measurement = _Measurement()

    async def scenario(cluster):
        await cluster.sleep_s(_SETTLE_S)
        writes, reads = _count_calls(cluster.store)
        await cluster.sleep_s(_IDLE_S)
        later_writes, later_reads = _count_calls(cluster.store)
        measurement.idle_writes_per_s = (later_writes - writes) / _IDLE_S
        measurement.idle_reads_per_s = (later_reads - reads) / _IDLE_S
        measurement.change_ms = await _time_change(cluster, "direct")
        victim = cluster.instances["i1"]
        victim.client.is_watch_silent = True
        await cluster.sleep_s(1)
        measurement.silent_change_ms = await _time_change(cluster, "silent")
        victim.client.is_watch_silent = False
        await _measure_loss(cluster, measurement)

    run_cluster(scenario, size=size)
    return measurement


async def _measure_loss(cluster, measurement):
    """Kill an instance, add another, and count the store calls apart from idle ones."""
    cluster.reset_gaps()
    before = Counter(cluster.store.state.calls)
    cluster.instances["i0"].kill()
    await cluster.sleep_s(_SETTLE_S)
    calls = cluster.store.state.calls - before
    measurement.loss_writes = calls["swap"] + calls["grant"]
    measurement.loss_reads = calls["get"] + calls["list"]
    measurement.loss_gap_ms = cluster.longest_gap_ms
    before = Counter(cluster.store.state.calls)
    cluster.add("fresh")
    await cluster.sleep_s(_SETTLE_S)
    calls = cluster.store.state.calls - before
    measurement.join_writes = calls["swap"] + calls["grant"]


def measure_cluster() -> list[Slope]:
    """Count store calls and time configuration changes by cluster size."""
    measurements = {size: _measure_size(size) for size in INSTANCES}
    store, membership = "store", "membership"
    rows = (
        ("idle_writes", store, "lease renewals", "membership.core", "writes/s"),
        ("idle_reads", store, "watch calls", "membership.follower", "reads/s"),
        ("loss_writes", store, "writes when one is lost", "shards.owner", "writes"),
        ("loss_reads", store, "reads when one is lost", "shards.owner", "reads"),
        ("join_writes", store, "writes when one joins", "shards.owner", "writes"),
        ("loss_gap_ms", membership, "longest gap of a shard", "shards.owner", "ms"),
        (
            "change_ms",
            "relay",
            "change in force everywhere",
            "membership.follower",
            "ms",
        ),
        (
            "silent_change_ms",
            "relay",
            "the same with one silent watch",
            "membership.follower",
            "ms",
        ),
    )
    fields = {"idle_writes": "idle_writes_per_s", "idle_reads": "idle_reads_per_s"}
    return [
        fit_line(
            key=key,
            role=role,
            description=description,
            module=module,
            axis="instances",
            unit=unit,
            sizes=INSTANCES,
            values=[getattr(measurements[n], fields.get(key, key)) for n in INSTANCES],
        )
        for key, role, description, module, unit in rows
    ]


def _build_member(number):
    return Member(
        instance_id=f"i-{number:012x}",
        incarnation=f"lease-{number}",
        host="127.0.0.1",
        port=20_000 + number,
        failure_domain="fd-1",
    )


def _build_membership(members):
    clock = build_manual_clock(ManualTime())
    links = VirtualLinks(clock=clock)
    membership = Membership(
        member=_build_member(0),
        store=VirtualStoreClient(store=VirtualStore(clock=clock)),
        inner=VirtualNode(instance_id="i-000000000000", links=links),
        clock=clock,
        settings=MembershipSettings(),
    )
    membership.follower.mirror.apply_listing(
        [
            MirrorEntry(
                key=f"{MEMBERS_PREFIX}i-{number:012x}",
                value=encode_member(_build_member(number)),
                revision=number + 1,
            )
            for number in range(members)
        ],
        revision=members,
    )
    return membership


def _time_mirror_change(members):
    """Time the processing of a change of one configuration key."""
    membership = _build_membership(members)
    follower = membership.follower
    revision = members

    def change():
        nonlocal revision
        revision += 1
        entry = MirrorEntry(key="root/config/teams/a", value=b"", revision=revision)
        follower.apply_own_write(entry)

    return time_call(change)


def _time_heartbeats(members):
    """Time a heartbeat interval: build one heartbeat, receive one from each peer."""
    membership = _build_membership(members)

    def exchange_heartbeats():
        own = membership.build_heartbeat()
        for number in range(1, members):
            membership.receive_heartbeat(f"i-{number:012x}", own)

    return time_call(exchange_heartbeats)


def _build_table(shards, members):
    settings = ShardSettings(request_shards=shards - 1, worker_shards=1)
    rows = {
        shard_id: ShardRow(
            owner_id=f"i-{number % members:012x}",
            incarnation=f"lease-{number % members}",
            epoch=1_000,
            host="127.0.0.1",
            port=20_000 + number % members,
        )
        for number, shard_id in enumerate(list_shards(settings))
    }
    return ShardTable(rows=rows)


def _fit_cpu(key, description, module, axis, sizes, values, role="membership"):
    return fit_line(
        key=key,
        role=role,
        description=description,
        module=module,
        axis=axis,
        unit="us",
        sizes=sizes,
        values=values,
    )


def measure_tables() -> list[Slope]:
    """Time the work of an instance that grows with members and shards."""
    tables = [_build_table(n, 27) for n in SHARDS]
    values = [encode_table(table, nonce="n" * 24) for table in tables]
    members = Members(by_id={f"i-{n:012x}": _build_member(n) for n in range(50)})
    me = members.by_id["i-000000000001"]
    plans = [
        time_call(lambda t=t: plan_handovers(table=t, members=members, local_member=me))
        for t in tables
    ]
    return [
        _fit_cpu(
            "mirror_change",
            "members read after a change of any watched key",
            "membership.core",
            "members",
            MEMBERS,
            [_time_mirror_change(n) for n in MEMBERS],
        ),
        _fit_cpu(
            "heartbeat_logic",
            "heartbeats of all peers taken in, one interval",
            "membership.core",
            "members",
            MEMBERS,
            [_time_heartbeats(n) for n in MEMBERS],
        ),
        fit_line(
            key="table_bytes",
            role="store",
            description="table of shards",
            module="shards.core",
            axis="shards",
            unit="bytes",
            sizes=SHARDS,
            values=[len(value) for value in values],
        ),
        _fit_cpu(
            "table_decode",
            "table of shards read",
            "shards.core",
            "shards",
            SHARDS,
            [time_call(lambda v=v: decode_table(v, revision=1)) for v in values],
        ),
        _fit_cpu(
            "handover_plan",
            "handovers planned, 50 members",
            "shards.claims",
            "shards",
            SHARDS,
            plans,
        ),
    ]
