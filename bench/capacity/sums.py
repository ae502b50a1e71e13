"""Projection of the measured costs to the target size, compared with the limits."""

import math

from bench.capacity.control import (
    project_configuration,
    project_instance,
    project_store,
)
from bench.capacity.fit import Slopes
from bench.capacity.target import DAY_S, TARGET, US_PER_S, Plan, Projection
from trefoilhook.jobs import JobSettings
from trefoilhook.membership import MembershipSettings

__all__ = ["build_plan", "build_projections"]

_COMMANDS_PER_TASK = 2.0
_SHARD_WORKERS = 200.0
_SHARD_JOBS_PER_S = 160.0
_QUEUE_CHECKS_PER_S = 10.0
_CORE_UTILIZATION = 0.5


def _compute_start_us(slopes: Slopes) -> float:
    """Compute the processor time of a task from submission to completion, in us."""
    return (
        slopes["call_cpu"].per_unit
        + slopes["life"].evaluate(_SHARD_WORKERS)
        + _COMMANDS_PER_TASK * slopes["command_cpu"].per_unit
        + _compute_journal_us(slopes)
    )


def _compute_journal_us(slopes: Slopes) -> float:
    return slopes["journal_cpu"].evaluate(_SHARD_JOBS_PER_S) / _SHARD_JOBS_PER_S


def build_plan(slopes: Slopes) -> Plan:
    """Compute the number of instances for peak load, with one worker shard each."""
    renewals = TARGET.workers * slopes["renew_cpu"].per_unit
    reports = TARGET.workers * slopes["reports"].per_unit
    starts = TARGET.starts_per_s * _compute_start_us(slopes)
    cores = (renewals + reports + starts) / US_PER_S
    return Plan(cores=cores, instances=math.ceil(cores / _CORE_UTILIZATION))


def _project_workers(slopes: Slopes, plan: Plan) -> list[Projection]:
    renew, workers_per_shard = (
        slopes["renew_cpu"].per_unit,
        TARGET.workers / plan.instances,
    )
    start_us = _compute_start_us(slopes)
    command = slopes["command_cpu"].per_unit
    journal = slopes["journal_writes"].evaluate(TARGET.starts_per_s / plan.instances)
    tasks = TARGET.tasks / plan.instances
    full_core_writes = slopes["journal_writes"].evaluate(US_PER_S / start_us)
    renewals = plan.instances * slopes["idle_writes"].per_unit
    session = slopes["session_bytes"].per_unit
    life = slopes["life"].evaluate(_SHARD_WORKERS)
    call = slopes["call_cpu"].per_unit
    journal_us = _compute_journal_us(slopes)
    return [
        Projection(
            role="worker link",
            description="renewals, all owners together",
            formula=f"30,000/s x {renew:.0f} us",
            value=TARGET.workers * renew / US_PER_S,
            unit="cores",
        ),
        Projection(
            role="worker link",
            description="traffic at one worker",
            formula=f"1/s x {slopes['renew_bytes'].per_unit:.0f} bytes",
            value=slopes["renew_bytes"].per_unit,
            unit="bytes/s",
            limit=TARGET.control_bytes_per_s,
        ),
        Projection(
            role="worker link",
            description="memory of one owner's sessions",
            formula=f"{workers_per_shard:.0f} workers x {session:.0f} bytes",
            value=workers_per_shard * session,
            unit="bytes",
            limit=TARGET.control_memory_bytes,
        ),
        Projection(
            role="worker shard",
            description="starts that one core carries",
            formula=f"1 / (submission {call:.0f} + job {life:.0f} "
            f"+ journal {journal_us:.0f} + 2 commands x {command:.0f} us)",
            value=US_PER_S / start_us,
            unit="starts/s",
        ),
        Projection(
            role="worker shard",
            description="cores for 20,000 starts/s, renewals and reports",
            formula=f"20,000/s x {start_us:.0f} us + 30,000/s x "
            f"({renew:.0f} + {slopes['reports'].per_unit:.0f}) us",
            value=plan.cores,
            unit="cores",
        ),
        Projection(
            role="worker shard",
            description="instances, each with one shard and half a core busy",
            formula=f"{plan.cores:.1f} / {_CORE_UTILIZATION}",
            value=plan.instances,
            unit="instances",
        ),
        Projection(
            role="worker shard",
            description="memory of one owner's running tasks",
            formula=f"{tasks:.0f} tasks x {slopes['task_bytes'].per_unit:.0f} bytes",
            value=tasks * slopes["task_bytes"].per_unit,
            unit="bytes",
            limit=TARGET.control_memory_bytes,
        ),
        Projection(
            role="worker shard",
            description="looks at the queue, nothing waiting and nothing ending",
            formula=f"10/s x {tasks:.0f} jobs x {slopes['step'].per_unit:.3f} us",
            value=_QUEUE_CHECKS_PER_S * slopes["step"].evaluate(tasks) / US_PER_S,
            unit="cores",
            limit=TARGET.control_cores,
        ),
        Projection(
            role="worker shard",
            description="one step over 10,000 waiting jobs",
            formula=f"10,000 x {slopes['queue'].per_unit:.1f} us + "
            f"{slopes['queue'].intercept / 1e3:.0f} ms",
            value=slopes["queue"].evaluate(10_000.0) / 1e3,
            unit="ms",
            limit=100.0,
        ),
        Projection(
            role="worker shard",
            description="inventories after a takeover",
            formula=f"{workers_per_shard:.0f} workers of 8 tasks, on the line",
            value=slopes["takeover"].evaluate(workers_per_shard) / 1e3,
            unit="ms",
            limit=1_000.0,
        ),
        Projection(
            role="worker shard",
            description="urgent start, the step and its calls",
            formula="measured on virtual time, all workers full",
            value=max(slopes["urgent_ms"].values),
            unit="ms",
            limit=TARGET.urgent_start_ms,
        ),
        Projection(
            role="worker shard",
            description="urgent start while its owner is lost",
            formula="gap of a shard + urgent start",
            value=max(slopes["loss_gap_ms"].values) + max(slopes["urgent_ms"].values),
            unit="ms",
            limit=TARGET.urgent_start_ms,
        ),
        Projection(
            role="store",
            description="journal writes at 20,000 starts/s",
            formula=f"{plan.instances} shards x {journal:.1f}/s",
            value=plan.instances * journal,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
        Projection(
            role="store",
            description="starts that writes and cores allow together",
            formula=f"(300 - {renewals:.0f} renewals) / {full_core_writes:.0f} writes "
            f"a shard x {US_PER_S / start_us:.0f} starts",
            value=(TARGET.store_writes_per_s - renewals)
            / full_core_writes
            * US_PER_S
            / start_us,
            unit="starts/s",
        ),
        Projection(
            role="store",
            description="journal writes over an ordinary day",
            formula="2 records x 190,000 / 86,400 s, each its own write",
            value=2 * TARGET.jobs_per_day / DAY_S,
            unit="writes/s",
            limit=TARGET.store_writes_per_s,
        ),
    ]


def _project_requests(slopes: Slopes) -> list[Projection]:
    keys = slopes["key_bytes"].per_unit
    return [
        Projection(
            role="request shard",
            description="memory of keys, for each 1,000 requests/s in all",
            formula=f"1,000/s x 600 s x {keys:.0f} bytes",
            value=1_000.0 * 600.0 * keys,
            unit="bytes",
        ),
    ]


def _project_faults() -> list[Projection]:
    settings = MembershipSettings()
    return [
        Projection(
            role="all",
            description="worker lost: its tasks may start elsewhere after",
            formula="two worker leases",
            value=JobSettings().lease_expiry_ms,
            unit="ms",
        ),
        Projection(
            role="all",
            description="regions apart for an hour: a region without the store stops "
            "after",
            formula="lease of an owner whose view reaches beyond its region",
            value=settings.lease_ttl_ms,
            unit="ms",
        ),
        Projection(
            role="all",
            description="hour that a store's outage may last, over the outage limit",
            formula=f"3,600 s against {settings.outage_limit_ms / 1e3:.0f} s",
            value=TARGET.partition_ms,
            unit="ms",
            limit=settings.outage_limit_ms,
        ),
    ]


def build_projections(slopes: Slopes) -> list[Projection]:
    """Build all projections to the target size."""
    plan = build_plan(slopes)
    return [
        *project_instance(slopes, plan),
        *project_configuration(slopes, plan),
        *project_store(slopes, plan),
        *_project_workers(slopes, plan),
        *_project_requests(slopes),
        *_project_faults(),
    ]
