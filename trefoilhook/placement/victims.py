"""Eligibility of batch tasks for preemption and eviction, and the cost of a stop."""

from typing import TYPE_CHECKING

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.records import TaskPhase, TaskState
from trefoilhook.placement.shapes import TaskKind

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = [
    "RESTART_COST_MS",
    "compute_stop_cost",
    "estimate_remaining_ms",
    "is_evictable",
    "is_preemptible",
]

RESTART_COST_MS = 30_000.0
"""Run time lost to checkpointing, restart and warm-up, in ms."""

_MS_PER_HOUR = 3_600_000.0
_RUN_TIME_QUANTILE = 0.5


def estimate_remaining_ms(state: "ShardState", task: TaskState, now_ms: float) -> float:
    """Return the expected remaining run time of a task, in ms.

    Notes
    -----
    A task that has exceeded its expected run time is assumed to need another quarter
    of it: having overrun does not mean that the task is about to end.
    """
    shape = task.shape
    key = RatioKey(team=shape.team, task_class=shape.task_class)
    ratio = state.run_ratios.quantile(key, _RUN_TIME_QUANTILE)
    expected_ms = ratio * shape.declared_run_ms
    history = state.histories.get(shape.task_id)
    done_ms = history.progress_ms if history is not None else 0.0
    if task.started_at_ms is not None:
        done_ms += now_ms - task.started_at_ms
    if done_ms >= expected_ms:
        return 0.25 * expected_ms
    return expected_ms - done_ms


def is_preemptible(task: TaskState) -> bool:
    """Return whether a task is a running, non-urgent batch task."""
    shape = task.shape
    return (
        shape.kind is TaskKind.BATCH
        and not shape.urgent
        and task.phase is TaskPhase.RUNNING
    )


def is_evictable(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> bool:
    """Return whether a task may be evicted to protect services.

    Notes
    -----
    Budgets prevent repeated evictions: services slowed by noise could otherwise evict
    the same few tasks in turn, so that these never finish. Evictions are limited by
    number and minimum interval for each task, and by number per hour for each team.
    A task that is about to end is not evicted.
    """
    if not is_preemptible(task):
        return False
    if estimate_remaining_ms(state, task, now_ms) < policy.spare_remaining_ms:
        return False
    if _is_task_budget_exhausted(state, task, now_ms, policy):
        return False
    recent = state.team_evictions.get(task.shape.team, ())
    since_ms = now_ms - _MS_PER_HOUR
    used = sum(1 for at_ms in recent if at_ms > since_ms)
    return used < policy.team_evictions_per_hour


def _is_task_budget_exhausted(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> bool:
    history = state.histories.get(task.shape.task_id)
    if history is None or history.evicted_at_ms is None:
        return False
    if history.evictions >= policy.task_eviction_limit:
        return True
    return now_ms - history.evicted_at_ms < policy.victim_rest_ms


def compute_stop_cost(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> float:
    """Return the cost of stopping a task, in core-ms.

    Notes
    -----
    The cost is higher for a task that is about to end, since its resources are freed
    soon anyway, and for a task that was stopped before, so that the same victim is not
    chosen repeatedly.
    """
    remaining_ms = estimate_remaining_ms(state, task, now_ms)
    cost = RESTART_COST_MS * max(task.shape.resources.cores, 1.0)
    if remaining_ms < policy.spare_remaining_ms:
        cost *= 4.0
    history = state.histories.get(task.shape.task_id)
    stops = history.evictions if history is not None else 0
    return cost * (1.0 + 2.0 * stops) * policy.eviction_weight
