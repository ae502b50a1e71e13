"""What one instance and the store spend on control, at the size aimed at."""

from bench.capacity.fit import Slopes
from bench.capacity.target import DAY_S, TARGET, US_PER_S, Plan, Row

__all__ = ["add_instance", "add_relay", "add_store"]

_HEARTBEATS_PER_S = 2.0
_STEPS_PER_S = 4.0
_LISTS_PER_S = 1.0
_REQUEST_SHARDS = 64


def add_instance(slopes: Slopes, plan: Plan) -> list[Row]:
    """Add up what one instance spends on control."""
    peers = plan.instances - 1
    changes = TARGET.changes_a_day / DAY_S
    call_us = slopes["renew_cpu"].per_unit
    calls = slopes["idle_writes"].per_unit + slopes["idle_reads"].per_unit
    beats_us = _HEARTBEATS_PER_S * slopes["heartbeat_logic"].at(peers)
    change_us = slopes["config_change"].at(TARGET.teams) + slopes["mirror_change"].at(
        plan.instances
    )
    links_us = slopes["link_cpu"].at(peers)
    plans_us = _STEPS_PER_S * slopes["handover_plan"].at(
        _REQUEST_SHARDS + plan.instances
    )
    list_us = _LISTS_PER_S * slopes["list_cpu"].at(TARGET.workers)
    own_us = links_us + beats_us + plans_us + calls * call_us + changes * change_us
    list_bytes = _LISTS_PER_S * slopes["list_bytes"].at(TARGET.workers)
    value_bytes = changes * slopes["team_value"].at(50)
    link_bytes = slopes["link_traffic"].at(peers)
    call_bytes = calls * slopes["renew_bytes"].per_unit
    own_bytes = link_bytes + value_bytes + call_bytes
    resident = slopes["resident"].at(TARGET.teams)
    memory = resident + slopes["link_bytes"].at(peers)
    return [
        Row(
            role="inner link",
            what="idle links of one instance, processor time",
            sum=f"{peers} peers x {slopes['link_cpu'].per_unit:.0f} us/s",
            value=links_us / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="inner link",
            what="most peers that 1.1 % of a core allows",
            sum=f"(11,000 - {slopes['link_cpu'].intercept:.0f}) / "
            f"{slopes['link_cpu'].per_unit:.0f}",
            value=(TARGET.cpu * US_PER_S - slopes["link_cpu"].intercept)
            / slopes["link_cpu"].per_unit,
            unit="peers",
        ),
        Row(
            role="inner link",
            what="idle links of one instance, traffic",
            sum=f"{peers} peers x {slopes['link_traffic'].per_unit:.0f} bytes/s",
            value=link_bytes,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
        Row(
            role="entry",
            what="instance list read once a second, traffic",
            sum=f"30,000 workers x {slopes['list_bytes'].per_unit:.0f} bytes",
            value=list_bytes,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
        Row(
            role="entry",
            what="instance list read once a second, processor time",
            sum=f"30,000 workers x {slopes['list_cpu'].per_unit:.1f} us",
            value=list_us / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="entry",
            what="workers of a list just read split by shard, once a second",
            sum=f"30,000 workers x {slopes['list_filter'].per_unit:.2f} us",
            value=_LISTS_PER_S * slopes["list_filter"].at(TARGET.workers) / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="all",
            what="control of one instance without the list, processor time",
            sum=f"links {links_us:.0f} + heartbeats {beats_us:.0f} + steps "
            f"{plans_us:.0f} + store calls {calls * call_us:.0f} + changes "
            f"{changes * change_us:.0f} us/s",
            value=own_us / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="all",
            what="control of one instance without the list, traffic",
            sum=f"links {link_bytes:.0f} + changes {value_bytes:.0f} + store calls "
            f"{call_bytes:.0f} bytes/s",
            value=own_bytes,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
        Row(
            role="all",
            what="control of one instance, memory with the program itself",
            sum=f"program and 790 teams {resident / 1e6:.0f} MB + {peers} links x "
            f"{slopes['link_bytes'].per_unit / 1e3:.0f} kB",
            value=memory,
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="all",
            what="control of all instances over 30,000 workers, processor time",
            sum=f"({plan.instances} x {(own_us + list_us) / US_PER_S:.3f} + renewals "
            f"{TARGET.workers * call_us / US_PER_S:.1f}) / 30,000",
            value=(plan.instances * (own_us + list_us) + TARGET.workers * call_us)
            / US_PER_S
            / TARGET.workers,
            unit="cores",
            limit=TARGET.cpu,
        ),
    ]


def add_relay(slopes: Slopes, plan: Plan) -> list[Row]:
    """Add up what an instance spends on the configuration of the teams."""
    changes = TARGET.changes_a_day / DAY_S
    change_us = slopes["config_change"].at(TARGET.teams) + slopes["mirror_change"].at(
        plan.instances
    )
    value_bytes = slopes["team_value"].at(50)
    return [
        Row(
            role="relay",
            what="change in force everywhere, watches well",
            sum="measured on virtual time",
            value=max(slopes["change_ms"].values),
            unit="ms",
            limit=TARGET.change_ms,
        ),
        Row(
            role="relay",
            what="change in force everywhere, one watch silent",
            sum="measured on virtual time",
            value=max(slopes["silent_change_ms"].values),
            unit="ms",
            limit=TARGET.change_ms,
        ),
        Row(
            role="relay",
            what="memory of 790 teams",
            sum=f"790 x {slopes['team_bytes'].per_unit:.0f} bytes",
            value=slopes["team_bytes"].at(TARGET.teams),
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="relay",
            what="processor time of changes",
            sum=f"{changes:.2f}/s x {change_us:.0f} us",
            value=changes * change_us / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="relay",
            what="traffic of changes",
            sum=f"{changes:.2f}/s x {value_bytes:.0f} bytes",
            value=changes * value_bytes,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
    ]


def add_store(slopes: Slopes, plan: Plan) -> list[Row]:
    """Add up the calls that the store gets, and the size of its largest value."""
    n = plan.instances
    writes, reads = slopes["idle_writes"].per_unit, slopes["idle_reads"].per_unit
    changes = TARGET.changes_a_day / DAY_S
    lost = TARGET.replaced_a_day / DAY_S
    rows = _REQUEST_SHARDS + n
    loss_writes = max(slopes["loss_writes"].values)
    join_writes = max(slopes["join_writes"].values)
    loss_reads = max(slopes["loss_reads"].values)
    return [
        Row(
            role="store",
            what="lease renewals",
            sum=f"{n} instances x {writes:.3f}/s",
            value=n * writes,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Row(
            role="store",
            what="watch calls, one more for each change",
            sum=f"{n} instances x ({reads:.2f} + {changes:.2f})/s",
            value=n * (reads + changes),
            unit="reads/s",
            limit=TARGET.store_reads_per_s,
        ),
        Row(
            role="store",
            what="the same with each waiting watch counted once a second",
            sum=f"{n} instances x (1 + {reads:.2f} + {changes:.2f})/s",
            value=n * (1.0 + reads + changes),
            unit="reads/s",
            limit=TARGET.store_reads_per_s,
        ),
        Row(
            role="store",
            what="most instances that renewals alone allow",
            sum=f"300 / {writes:.3f}",
            value=TARGET.store_writes_per_s / writes,
            unit="instances",
        ),
        Row(
            role="store",
            what="writes for instances lost or replaced, if all 2,500 were ours",
            sum=f"{lost:.3f}/s x ({loss_writes:.0f} + {join_writes:.0f}) writes, the "
            "most measured",
            value=lost * (loss_writes + join_writes),
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Row(
            role="store",
            what="reads in the seconds after a failure domain is lost",
            sum=f"{n / TARGET.failure_domains:.1f} instances x "
            f"{loss_reads:.0f} reads, the most measured",
            value=n / TARGET.failure_domains * loss_reads,
            unit="reads",
            limit=TARGET.store_reads_per_s,
        ),
        Row(
            role="store",
            what="table of shards, one value",
            sum=f"({_REQUEST_SHARDS} + {n}) rows x "
            f"{slopes['table_bytes'].per_unit:.0f} bytes",
            value=slopes["table_bytes"].at(rows),
            unit="bytes",
            limit=TARGET.store_value_bytes,
        ),
    ]
