"""Translation of placement decisions into orders for one shard."""

import numpy as np

from trefoilhook.jobs.core import Job, JobSpec, JobState
from trefoilhook.jobs.quotas import FindQuota, TeamUsage, is_within_quota
from trefoilhook.jobs.registry import JobRegistry
from trefoilhook.logs import Event, log_event
from trefoilhook.placement import (
    Impossible,
    Placement,
    Policy,
    Preempt,
    Reaction,
    ReactionKind,
    TaskPhase,
    WaitingTask,
    apply_reaction,
    begin_preemption,
    decide_placement,
    decide_reactions,
    explain_placement,
    order_queue,
    render_explanation,
)
from trefoilhook.results import ResultCode

__all__ = ["explain_job", "find_impossible_reason", "place_waiting", "react_to_reports"]


def find_impossible_reason(
    registry: JobRegistry,
    spec: JobSpec,
    *,
    now_ms: float,
    generator: np.random.Generator,
    policy: Policy,
) -> str:
    """Return why a job can never run on the workers of the shard; empty if it can.

    No job is refused while no worker is known, since the workers may not have
    responded yet.
    """
    if not registry.placement.workers:
        return ""
    shape = spec.build_shape()
    decision = decide_placement(registry.placement, shape, now_ms, generator, policy)
    return _describe_impossible(decision) if isinstance(decision, Impossible) else ""


def _describe_impossible(decision: Impossible) -> str:
    return f"{decision.reason.value}: {decision.declared}, {decision.limit}"


def place_waiting(
    registry: JobRegistry,
    *,
    now_ms: float,
    wall_ms: float,
    generator: np.random.Generator,
    policy: Policy,
    find_quota: FindQuota,
    limit: int,
) -> None:
    """Start the waiting jobs that fit now, in queue order.

    Parameters
    ----------
    registry : JobRegistry
        Jobs of the shard.
    now_ms : float
        Current monotonic time, in ms.
    wall_ms : float
        Current time since the Unix epoch, in ms.
    generator : numpy.random.Generator
        Random generator for sampling candidate workers.
    policy : Policy
        Placement weights and thresholds.
    find_quota : callable
        Returns the quota of a team in this shard, or None for no limit.
    limit : int
        Maximum number of jobs to consider.
    """
    waiting = [
        WaitingTask(shape=job.spec.build_shape(), queued_at_ms=job.spec.submitted_ms)
        for job in registry.jobs.values()
        if job.state is JobState.QUEUED and not job.is_cancelled
    ]
    ordered = order_queue(registry.placement, waiting, wall_ms, policy)
    usage = TeamUsage.count(registry.placement) if ordered else TeamUsage()
    for entry in ordered[:limit]:
        shape = entry.shape
        job = registry.jobs[shape.task_id]
        if not is_within_quota(usage, shape, find_quota(shape.team)):
            continue
        _place(registry, job, entry, now_ms, wall_ms, generator, policy)
        if shape.task_id in registry.placement.tasks:
            usage.add(shape)


def _place(
    registry: JobRegistry,
    job: Job,
    entry: WaitingTask,
    now_ms: float,
    wall_ms: float,
    generator: np.random.Generator,
    policy: Policy,
) -> None:
    if not registry.placement.workers:
        return
    shape = entry.shape
    decision = decide_placement(registry.placement, shape, now_ms, generator, policy)
    if isinstance(decision, Placement):
        registry.placement.reserve(shape, decision.worker_id, now_ms)
        registry.start(job, decision.worker_id, wall_ms)
        log_event(Event.JOB_STARTED, job=shape.task_id, worker=decision.worker_id)
    elif isinstance(decision, Impossible):
        detail = _describe_impossible(decision)
        registry.refuse(job, ResultCode.IMPOSSIBLE_JOB, detail, wall_ms)
    elif isinstance(decision, Preempt):
        begin_preemption(registry.placement, shape, decision, now_ms, policy)
        for task_id in decision.victims:
            registry.order_eviction(registry.jobs[task_id])
            log_event(Event.JOB_EVICTED, job=task_id, urgent_job=shape.task_id)


def react_to_reports(registry: JobRegistry, now_ms: float, policy: Policy) -> None:
    """Throttle, evict or move tasks that slow down services, per usage reports."""
    for reaction in decide_reactions(registry.placement, now_ms, policy):
        if _is_possible(registry, reaction):
            apply_reaction(registry.placement, reaction, now_ms, policy)
            _send_reaction(registry, reaction)


def _is_possible(registry: JobRegistry, reaction: Reaction) -> bool:
    if reaction.task_id is None:
        return True
    task = registry.placement.tasks.get(reaction.task_id)
    return task is not None and task.phase is TaskPhase.RUNNING


def _send_reaction(registry: JobRegistry, reaction: Reaction) -> None:
    if reaction.kind is ReactionKind.QUARANTINE:
        log_event(Event.WORKER_QUARANTINED, worker=reaction.worker_id)
    if reaction.task_id is None:
        return
    job = registry.jobs[reaction.task_id]
    if reaction.kind in (ReactionKind.THROTTLE, ReactionKind.UNTHROTTLE):
        registry.order_throttle(job, reaction.speed)
    else:
        registry.order_eviction(job)
        log_event(Event.JOB_EVICTED, job=reaction.task_id)


def explain_job(
    registry: JobRegistry,
    job: Job,
    now_ms: float,
    generator: np.random.Generator,
    policy: Policy,
    find_quota: FindQuota,
) -> str:
    """Describe why a job is waiting, or how its worker was chosen."""
    if job.state is JobState.ENDED:
        return f"ended: {job.detail or 'see its result'}"
    shape = job.spec.build_shape()
    usage = TeamUsage.count(registry.placement)
    is_waiting = job.state is JobState.QUEUED
    if is_waiting and not is_within_quota(usage, shape, find_quota(shape.team)):
        return f"waits: the quota of {shape.team} is used up"
    explanation = explain_placement(
        registry.placement, shape, now_ms, generator, policy
    )
    return render_explanation(explanation)
