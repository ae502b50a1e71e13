"""Projected control overhead of an instance and of the store at the target size."""

from bench.capacity.fit import Slopes
from bench.capacity.target import DAY_S, TARGET, US_PER_S, Plan, Projection

__all__ = ["project_instance", "project_configuration", "project_store"]

_HEARTBEATS_PER_S = 2.0
_STEPS_PER_S = 4.0
_LIST_READS_PER_S = 1.0
_REQUEST_SHARDS = 64


def project_instance(slopes: Slopes, plan: Plan) -> list[Projection]:
    """Project the control overhead of one instance."""
    peers = plan.instances - 1
    changes = TARGET.changes_per_day / DAY_S
    call_us = slopes["renew_cpu"].per_unit
    calls = slopes["idle_writes"].per_unit + slopes["idle_reads"].per_unit
    heartbeats_us = _HEARTBEATS_PER_S * slopes["heartbeat_logic"].evaluate(peers)
    change_us = slopes["config_change"].evaluate(TARGET.teams) + slopes[
        "mirror_change"
    ].evaluate(plan.instances)
    links_us = slopes["link_cpu"].evaluate(peers)
    handover_plans_us = _STEPS_PER_S * slopes["handover_plan"].evaluate(
        _REQUEST_SHARDS + plan.instances
    )
    list_us = _LIST_READS_PER_S * slopes["list_cpu"].evaluate(TARGET.workers)
    control_us = (
        links_us
        + heartbeats_us
        + handover_plans_us
        + calls * call_us
        + changes * change_us
    )
    list_bytes = _LIST_READS_PER_S * slopes["list_bytes"].evaluate(TARGET.workers)
    value_bytes = changes * slopes["team_value"].evaluate(50)
    link_bytes = slopes["link_traffic"].evaluate(peers)
    call_bytes = calls * slopes["renew_bytes"].per_unit
    control_bytes = link_bytes + value_bytes + call_bytes
    resident = slopes["resident"].evaluate(TARGET.teams)
    memory = resident + slopes["link_bytes"].evaluate(peers)
    return [
        Projection(
            role="inner link",
            description="idle links of one instance, processor time",
            formula=f"{peers} peers x {slopes['link_cpu'].per_unit:.0f} us/s",
            value=links_us / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="inner link",
            description="most peers that 1.1 % of a core allows",
            formula=f"(11,000 - {slopes['link_cpu'].intercept:.0f}) / "
            f"{slopes['link_cpu'].per_unit:.0f}",
            value=(TARGET.control_cores * US_PER_S - slopes["link_cpu"].intercept)
            / slopes["link_cpu"].per_unit,
            unit="peers",
        ),
        Projection(
            role="inner link",
            description="idle links of one instance, traffic",
            formula=f"{peers} peers x {slopes['link_traffic'].per_unit:.0f} bytes/s",
            value=link_bytes,
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
        Projection(
            role="entry",
            description="instance list read once a second, traffic",
            formula=f"30,000 workers x {slopes['list_bytes'].per_unit:.0f} bytes",
            value=list_bytes,
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
        Projection(
            role="entry",
            description="instance list read once a second, processor time",
            formula=f"30,000 workers x {slopes['list_cpu'].per_unit:.1f} us",
            value=list_us / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="entry",
            description="workers of a list just read split by shard, once a second",
            formula=f"30,000 workers x {slopes['list_filter'].per_unit:.2f} us",
            value=_LIST_READS_PER_S
            * slopes["list_filter"].evaluate(TARGET.workers)
            / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="all",
            description="control of one instance without the list, processor time",
            formula=f"links {links_us:.0f} + heartbeats {heartbeats_us:.0f} + steps "
            f"{handover_plans_us:.0f} + store calls {calls * call_us:.0f} + changes "
            f"{changes * change_us:.0f} us/s",
            value=control_us / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="all",
            description="control of one instance without the list, traffic",
            formula=f"links {link_bytes:.0f} + changes {value_bytes:.0f} + store calls "
            f"{call_bytes:.0f} bytes/s",
            value=control_bytes,
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
        Projection(
            role="all",
            description="control of one instance, memory with the program itself",
            formula=f"program and 790 teams {resident / 1e6:.0f} MB + {peers} links x "
            f"{slopes['link_bytes'].per_unit / 1e3:.0f} kB",
            value=memory,
            unit="bytes",
            limit=TARGET.control_memory_bytes,
        ),
        Projection(
            role="all",
            description="control of all instances over 30,000 workers, processor time",
            formula=f"({plan.instances} x {(control_us + list_us) / US_PER_S:.3f} "
            f"+ renewals {TARGET.workers * call_us / US_PER_S:.1f}) / 30,000",
            value=(plan.instances * (control_us + list_us) + TARGET.workers * call_us)
            / US_PER_S
            / TARGET.workers,
            unit="cores",
            limit=TARGET.control_cores,
        ),
    ]


def project_configuration(slopes: Slopes, plan: Plan) -> list[Projection]:
    """Project the cost of team configurations on one instance."""
    changes = TARGET.changes_per_day / DAY_S
    change_us = slopes["config_change"].evaluate(TARGET.teams) + slopes[
        "mirror_change"
    ].evaluate(plan.instances)
    value_bytes = slopes["team_value"].evaluate(50)
    return [
        Projection(
            role="relay",
            description="change in force everywhere, watches well",
            formula="measured on virtual time",
            value=max(slopes["change_ms"].values),
            unit="ms",
            limit=TARGET.change_propagation_ms,
        ),
        Projection(
            role="relay",
            description="change in force everywhere, one watch silent",
            formula="measured on virtual time",
            value=max(slopes["silent_change_ms"].values),
            unit="ms",
            limit=TARGET.change_propagation_ms,
        ),
        Projection(
            role="relay",
            description="memory of 790 teams",
            formula=f"790 x {slopes['team_bytes'].per_unit:.0f} bytes",
            value=slopes["team_bytes"].evaluate(TARGET.teams),
            unit="bytes",
            limit=TARGET.control_memory_bytes,
        ),
        Projection(
            role="relay",
            description="processor time of changes",
            formula=f"{changes:.2f}/s x {change_us:.0f} us",
            value=changes * change_us / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="relay",
            description="traffic of changes",
            formula=f"{changes:.2f}/s x {value_bytes:.0f} bytes",
            value=changes * value_bytes,
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
    ]


def project_store(slopes: Slopes, plan: Plan) -> list[Projection]:
    """Project the call rates of the store and the size of its largest value."""
    n = plan.instances
    writes, reads = slopes["idle_writes"].per_unit, slopes["idle_reads"].per_unit
    changes = TARGET.changes_per_day / DAY_S
    losses_per_s = TARGET.replacements_per_day / DAY_S
    rows = _REQUEST_SHARDS + n
    loss_writes = max(slopes["loss_writes"].values)
    join_writes = max(slopes["join_writes"].values)
    loss_reads = max(slopes["loss_reads"].values)
    return [
        Projection(
            role="store",
            description="lease renewals",
            formula=f"{n} instances x {writes:.3f}/s",
            value=n * writes,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Projection(
            role="store",
            description="watch calls, one more for each change",
            formula=f"{n} instances x ({reads:.2f} + {changes:.2f})/s",
            value=n * (reads + changes),
            unit="reads/s",
            limit=TARGET.store_reads_per_s,
        ),
        Projection(
            role="store",
            description="the same with each waiting watch counted once a second",
            formula=f"{n} instances x (1 + {reads:.2f} + {changes:.2f})/s",
            value=n * (1.0 + reads + changes),
            unit="reads/s",
            limit=TARGET.store_reads_per_s,
        ),
        Projection(
            role="store",
            description="most instances that renewals alone allow",
            formula=f"300 / {writes:.3f}",
            value=TARGET.store_writes_per_s / writes,
            unit="instances",
        ),
        Projection(
            role="store",
            description="writes for instances lost or replaced, if all 2,500 were ours",
            formula=f"{losses_per_s:.3f}/s x ({loss_writes:.0f} + {join_writes:.0f}) "
            "writes, the most measured",
            value=losses_per_s * (loss_writes + join_writes),
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Projection(
            role="store",
            description="reads in the seconds after a failure domain is lost",
            formula=f"{n / TARGET.failure_domains:.1f} instances x "
            f"{loss_reads:.0f} reads, the most measured",
            value=n / TARGET.failure_domains * loss_reads,
            unit="reads",
            limit=TARGET.store_reads_per_s,
        ),
        Projection(
            role="store",
            description="table of shards, one value",
            formula=f"({_REQUEST_SHARDS} + {n}) rows x "
            f"{slopes['table_bytes'].per_unit:.0f} bytes",
            value=slopes["table_bytes"].evaluate(rows),
            unit="bytes",
            limit=TARGET.store_value_bytes,
        ),
    ]
