"""From measured lines to the size aimed at: the arithmetic, and what does not fit."""

import math

from bench.capacity.control import add_instance, add_relay, add_store
from bench.capacity.fit import Slopes
from bench.capacity.target import DAY_S, TARGET, US_PER_S, Plan, Row
from trefoilhook.jobs import JobSettings
from trefoilhook.membership import MembershipSettings

__all__ = ["build_plan", "build_rows"]

_COMMANDS_A_TASK = 2.0
_SHARD_WORKERS = 200.0
_SHARD_JOBS_PER_S = 160.0
_LOOKS_PER_S = 10.0
_BUSY = 0.5


def _compute_start_us(slopes: Slopes) -> float:
    """Work out the processor time of one task from its submission to its end."""
    return (
        slopes["call_cpu"].per_unit
        + slopes["life"].at(_SHARD_WORKERS)
        + _COMMANDS_A_TASK * slopes["command_cpu"].per_unit
        + _compute_journal_us(slopes)
    )


def _compute_journal_us(slopes: Slopes) -> float:
    return slopes["journal_cpu"].at(_SHARD_JOBS_PER_S) / _SHARD_JOBS_PER_S


def build_plan(slopes: Slopes) -> Plan:
    """Work out how many instances the peak needs, with one worker shard on each."""
    renewals = TARGET.workers * slopes["renew_cpu"].per_unit
    reports = TARGET.workers * slopes["reports"].per_unit
    starts = TARGET.starts_per_s * _compute_start_us(slopes)
    cores = (renewals + reports + starts) / US_PER_S
    return Plan(cores=cores, instances=math.ceil(cores / _BUSY))


def _add_workers(slopes: Slopes, plan: Plan) -> list[Row]:
    renew, per_shard = slopes["renew_cpu"].per_unit, TARGET.workers / plan.instances
    start_us = _compute_start_us(slopes)
    command = slopes["command_cpu"].per_unit
    journal = slopes["journal_writes"].at(TARGET.starts_per_s / plan.instances)
    tasks = TARGET.tasks / plan.instances
    full = slopes["journal_writes"].at(US_PER_S / start_us)
    renewals = plan.instances * slopes["idle_writes"].per_unit
    session = slopes["session_bytes"].per_unit
    life = slopes["life"].at(_SHARD_WORKERS)
    call = slopes["call_cpu"].per_unit
    log_us = _compute_journal_us(slopes)
    return [
        Row(
            role="worker link",
            what="renewals, all owners together",
            sum=f"30,000/s x {renew:.0f} us",
            value=TARGET.workers * renew / US_PER_S,
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
            sum=f"1 / (submission {call:.0f} + job {life:.0f} + journal {log_us:.0f} "
            f"+ 2 commands x {command:.0f} us)",
            value=US_PER_S / start_us,
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
            what="looks at the queue, nothing waiting and nothing ending",
            sum=f"10/s x {tasks:.0f} jobs x {slopes['step'].per_unit:.3f} us",
            value=_LOOKS_PER_S * slopes["step"].at(tasks) / US_PER_S,
            unit="cores",
            limit=TARGET.cpu,
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
            what="starts that writes and cores allow together",
            sum=f"(300 - {renewals:.0f} renewals) / {full:.0f} writes a shard x "
            f"{US_PER_S / start_us:.0f} starts",
            value=(TARGET.store_writes_per_s - renewals) / full * US_PER_S / start_us,
            unit="starts/s",
        ),
        Row(
            role="store",
            what="journal writes over an ordinary day",
            sum="2 records x 190,000 / 86,400 s, each its own write",
            value=2 * TARGET.jobs_a_day / DAY_S,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
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
        *add_instance(slopes, plan),
        *add_relay(slopes, plan),
        *add_store(slopes, plan),
        *_add_workers(slopes, plan),
        *_add_requests(slopes),
        *_add_faults(),
    ]
