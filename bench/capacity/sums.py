"""From measured lines to the size aimed at: the arithmetic, and what does not fit."""

import math

import attrs

from bench.capacity.fit import Slopes
from trefoilhook.jobs import JobSettings
from trefoilhook.membership import MembershipSettings

__all__ = ["TARGET", "Plan", "Row", "build_plan", "build_rows"]

_DAY_S = 86_400.0
_US = 1e6
_HEARTBEATS_PER_S = 2.0
_STEPS_PER_S = 4.0
_LISTS_PER_S = 1.0
_CALLS_A_TASK = 2.0
_REQUEST_SHARDS = 64
_BUSY = 0.5
_MB = 1e6


@attrs.frozen(kw_only=True)
class Target:
    """The size aimed at, in two years."""

    workers: float = 30_000.0
    jobs_a_day: float = 190_000.0
    starts_per_s: float = 20_000.0
    tasks: float = 316_000.0
    teams: float = 790.0
    changes_a_day: float = 48_000.0
    replaced_a_day: float = 2_500.0
    failure_domains: float = 23.0
    cpu: float = 0.011
    memory_bytes: float = 128e6
    bytes_per_s: float = 26e3
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    store_value_bytes: float = 1e6
    change_ms: float = 4_000.0
    urgent_ms: float = 4_700.0
    split_ms: float = 3_600_000.0


TARGET = Target()


@attrs.frozen(kw_only=True)
class Plan:
    """How many instances and worker shards the processor time asks for.

    Parameters
    ----------
    cores : float
        Cores that the peak keeps busy in all.
    instances : int
        Instances, each one process on one core, half busy.
    """

    cores: float
    instances: int


@attrs.frozen(kw_only=True)
class Row:
    """One figure at the size aimed at.

    Parameters
    ----------
    role : str
        Who pays for it.
    what : str
        What it is.
    sum : str
        The arithmetic.
    value : float
        The result.
    unit : str
        Its unit.
    limit : float
        What it must stay under; infinite when nothing limits it.
    """

    role: str
    what: str
    sum: str
    value: float
    unit: str
    limit: float = math.inf

    @property
    def fits(self) -> bool:
        """Whether the figure stays under its limit."""
        return self.value <= self.limit


def _compute_start_us(slopes: Slopes, workers_a_shard: float) -> float:
    return slopes["life"].at(workers_a_shard) + (
        _CALLS_A_TASK * slopes["renew_cpu"].per_unit
    )


def build_plan(slopes: Slopes) -> Plan:
    """Work out how many instances the peak needs, with one worker shard on each."""
    renewals = TARGET.workers * slopes["renew_cpu"].per_unit
    reports = TARGET.workers * slopes["reports"].per_unit
    starts = TARGET.starts_per_s * _compute_start_us(slopes, 400.0)
    cores = (renewals + reports + starts) / _US
    return Plan(cores=cores, instances=math.ceil(cores / _BUSY))


def _add_workers(slopes: Slopes, plan: Plan) -> list[Row]:
    renew, per_shard = slopes["renew_cpu"].per_unit, TARGET.workers / plan.instances
    start_us = _compute_start_us(slopes, 400.0)
    journal = slopes["journal_writes"].at(TARGET.starts_per_s / plan.instances)
    tasks = TARGET.tasks / plan.instances
    session = slopes["session_bytes"].per_unit
    life = slopes["life"].at(400.0)
    return [
        Row(
            role="worker link",
            what="renewals, all owners together",
            sum=f"30,000/s x {renew:.0f} us",
            value=TARGET.workers * renew / _US,
            unit="cores",
        ),
        Row(
            role="worker link",
            what="traffic at one worker",
            sum=f"1/s x {slopes['renew_bytes'].per_unit:.0f} bytes",
            value=slopes["renew_bytes"].per_unit,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
        Row(
            role="worker link",
            what="memory of one owner's sessions",
            sum=f"{per_shard:.0f} workers x {session:.0f} bytes",
            value=per_shard * session,
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="worker shard",
            what="starts that one core carries",
            sum=f"1 / (job {life:.0f} us + 2 calls x {renew:.0f} us)",
            value=_US / start_us,
            unit="starts/s",
        ),
        Row(
            role="worker shard",
            what="cores for 20,000 starts/s, renewals and reports",
            sum=f"20,000/s x {start_us:.0f} us + 30,000/s x "
            f"({renew:.0f} + {slopes['reports'].per_unit:.0f}) us",
            value=plan.cores,
            unit="cores",
        ),
        Row(
            role="worker shard",
            what="instances, each with one shard and half a core busy",
            sum=f"{plan.cores:.1f} / {_BUSY}",
            value=plan.instances,
            unit="instances",
        ),
        Row(
            role="worker shard",
            what="memory of one owner's running tasks",
            sum=f"{tasks:.0f} tasks x {slopes['task_bytes'].per_unit:.0f} bytes",
            value=tasks * slopes["task_bytes"].per_unit,
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="worker shard",
            what="one step that has nothing to place",
            sum=f"{tasks:.0f} tasks x {slopes['step'].per_unit:.3f} us",
            value=slopes["step"].at(tasks) / 1e3,
            unit="ms",
            limit=10.0,
        ),
        Row(
            role="worker shard",
            what="one step over 10,000 waiting jobs",
            sum=f"10,000 x {slopes['queue'].per_unit:.1f} us + "
            f"{slopes['queue'].intercept / 1e3:.0f} ms",
            value=slopes["queue"].at(10_000.0) / 1e3,
            unit="ms",
            limit=100.0,
        ),
        Row(
            role="worker shard",
            what="inventories after a takeover",
            sum=f"{per_shard:.0f} workers of 8 tasks, on the line",
            value=slopes["takeover"].at(per_shard) / 1e3,
            unit="ms",
            limit=1_000.0,
        ),
        Row(
            role="worker shard",
            what="urgent start, the step and its calls",
            sum="measured on virtual time, all workers full",
            value=max(slopes["urgent_ms"].values),
            unit="ms",
            limit=TARGET.urgent_ms,
        ),
        Row(
            role="worker shard",
            what="urgent start while its owner is lost",
            sum="gap of a shard + urgent start",
            value=max(slopes["loss_gap_ms"].values) + max(slopes["urgent_ms"].values),
            unit="ms",
            limit=TARGET.urgent_ms,
        ),
        Row(
            role="store",
            what="journal writes at 20,000 starts/s",
            sum=f"{plan.instances} shards x {journal:.1f}/s",
            value=plan.instances * journal,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Row(
            role="store",
            what="journal writes over an ordinary day",
            sum="2 records x 190,000 / 86,400 s, each its own write",
            value=2 * TARGET.jobs_a_day / _DAY_S,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
    ]


def _add_store(slopes: Slopes, plan: Plan) -> list[Row]:
    n = plan.instances
    writes, reads = slopes["idle_writes"].per_unit, slopes["idle_reads"].per_unit
    changes = TARGET.changes_a_day / _DAY_S
    lost = TARGET.replaced_a_day / _DAY_S
    rows = _REQUEST_SHARDS + n
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
            sum=f"{lost:.3f}/s x {slopes['loss_writes'].at(n):.0f} writes",
            value=lost * slopes["loss_writes"].at(n),
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Row(
            role="store",
            what="reads in the seconds after a failure domain is lost",
            sum=f"{n / TARGET.failure_domains:.1f} instances x "
            f"{slopes['loss_reads'].at(n):.0f} reads",
            value=n / TARGET.failure_domains * slopes["loss_reads"].at(n),
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


def _add_relay(slopes: Slopes, plan: Plan) -> list[Row]:
    changes = TARGET.changes_a_day / _DAY_S
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
            value=changes * change_us / _US,
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


def _add_instance(slopes: Slopes, plan: Plan) -> list[Row]:
    """Add up what one instance spends on control."""
    peers = plan.instances - 1
    changes = TARGET.changes_a_day / _DAY_S
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
    own_bytes = link_bytes + value_bytes
    memory = slopes["link_bytes"].at(peers) + slopes["team_bytes"].at(TARGET.teams)
    return [
        Row(
            role="inner link",
            what="idle links of one instance, processor time",
            sum=f"{peers} peers x {slopes['link_cpu'].per_unit:.0f} us/s",
            value=links_us / _US,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="inner link",
            what="most peers that 1.1 % of a core allows",
            sum=f"(11,000 - {slopes['link_cpu'].intercept:.0f}) / "
            f"{slopes['link_cpu'].per_unit:.0f}",
            value=(TARGET.cpu * _US - slopes["link_cpu"].intercept)
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
            value=list_us / _US,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="entry",
            what="workers of a shard picked out of the list, once",
            sum=f"30,000 workers x {slopes['list_filter'].per_unit:.2f} us",
            value=slopes["list_filter"].at(TARGET.workers) / 1e3,
            unit="ms",
        ),
        Row(
            role="all",
            what="control of one instance without the list, processor time",
            sum=f"links {links_us:.0f} + heartbeats {beats_us:.0f} + steps "
            f"{plans_us:.0f} + store calls {calls * call_us:.0f} + changes "
            f"{changes * change_us:.0f} us/s",
            value=own_us / _US,
            unit="cores",
            limit=TARGET.cpu,
        ),
        Row(
            role="all",
            what="control of one instance without the list, traffic",
            sum=f"links {link_bytes:.0f} + changes {value_bytes:.0f} bytes/s",
            value=own_bytes,
            unit="bytes/s",
            limit=TARGET.bytes_per_s,
        ),
        Row(
            role="all",
            what="control of one instance, memory above the program's own",
            sum="links + teams",
            value=memory,
            unit="bytes",
            limit=TARGET.memory_bytes,
        ),
        Row(
            role="all",
            what="control of all instances over 30,000 workers, processor time",
            sum=f"({plan.instances} x {(own_us + list_us) / _US:.3f} + renewals "
            f"{TARGET.workers * call_us / _US:.1f}) / 30,000",
            value=(plan.instances * (own_us + list_us) + TARGET.workers * call_us)
            / _US
            / TARGET.workers,
            unit="cores",
            limit=TARGET.cpu,
        ),
    ]


def _add_requests(slopes: Slopes) -> list[Row]:
    keys = slopes["key_bytes"].per_unit
    return [
        Row(
            role="request shard",
            what="memory of keys, for each 1,000 requests/s in all",
            sum=f"1,000/s x 600 s x {keys:.0f} bytes",
            value=1_000.0 * 600.0 * keys,
            unit="bytes",
        ),
    ]


def _add_faults() -> list[Row]:
    settings = MembershipSettings()
    return [
        Row(
            role="all",
            what="worker lost: its tasks may start elsewhere after",
            sum="two worker leases",
            value=JobSettings().lapse_ms,
            unit="ms",
        ),
        Row(
            role="all",
            what="regions apart for an hour: a region without the store stops after",
            sum="lease of an owner whose view reaches beyond its region",
            value=settings.lease_ttl_ms,
            unit="ms",
        ),
        Row(
            role="all",
            what="hour that a store's outage may last, over the outage limit",
            sum=f"3,600 s against {settings.outage_limit_ms / 1e3:.0f} s",
            value=TARGET.split_ms,
            unit="ms",
            limit=settings.outage_limit_ms,
        ),
    ]


def build_rows(slopes: Slopes) -> list[Row]:
    """Work out every figure at the size aimed at."""
    plan = build_plan(slopes)
    return [
        *_add_instance(slopes, plan),
        *_add_relay(slopes, plan),
        *_add_store(slopes, plan),
        *_add_workers(slopes, plan),
        *_add_requests(slopes),
        *_add_faults(),
    ]
