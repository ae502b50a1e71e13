"""Which batch tasks may be stopped, and what stopping them loses."""

from typing import TYPE_CHECKING

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.records import TaskPhase, TaskState
from trefoilhook.placement.shapes import TaskKind

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = [
    "RESTART_COST_MS",
    "expect_remaining_ms",
    "is_preemptible",
    "may_evict",
    "weigh_victim",
]

RESTART_COST_MS = 30_000.0
"""Run time lost by a checkpoint, a new start and a warm-up, in ms."""

_MS_PER_HOUR = 3_600_000.0
_RUN_QUANTILE = 0.5


def expect_remaining_ms(state: "ShardState", task: TaskState, now_ms: float) -> float:
    """Return how long a running task is expected to go on, in ms.

    Notes
    -----
    Once a task has run for longer than its class is expected to, it is taken to need
    a quarter of its expected run time more: it will not end for having been late.
    """
    shape = task.shape
    key = RatioKey(team=shape.team, task_class=shape.task_class)
    ratio = state.run_ratios.quantile(key, _RUN_QUANTILE)
    expected_ms = ratio * shape.declared_run_ms
    history = state.histories.get(shape.task_id)
    done_ms = history.progress_ms if history is not None else 0.0
    if task.started_at_ms is not None:
        done_ms += now_ms - task.started_at_ms
    if done_ms >= expected_ms:
        return 0.25 * expected_ms
    return expected_ms - done_ms


def is_preemptible(task: TaskState) -> bool:
    """Tell whether a task is batch work that is not urgent and not stopping yet."""
    shape = task.shape
    return (
        shape.kind is TaskKind.BATCH
        and not shape.urgent
        and task.phase is TaskPhase.RUNNING
    )


def may_evict(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> bool:
    """Tell whether a task may be evicted for the sake of services.

    Notes
    -----
    Guards against a storm of evictions: services slowed by noise would otherwise take
    turns in evicting the same few tasks, which then never finish. A task is evicted a
    few times only, with a rest in between, a team a few times an hour, and never what
    is about to end.
    """
    if not is_preemptible(task):
        return False
    if expect_remaining_ms(state, task, now_ms) < policy.spare_remaining_ms:
        return False
    if _used_task_budget(state, task, now_ms, policy):
        return False
    recent = state.team_evictions.get(task.shape.team, ())
    since_ms = now_ms - _MS_PER_HOUR
    used = sum(1 for at_ms in recent if at_ms > since_ms)
    return used < policy.team_evictions_per_hour


def _used_task_budget(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> bool:
    history = state.histories.get(task.shape.task_id)
    if history is None or history.evicted_at_ms is None:
        return False
    if history.evictions >= policy.task_eviction_limit:
        return True
    return now_ms - history.evicted_at_ms < policy.victim_rest_ms


def weigh_victim(
    state: "ShardState", task: TaskState, now_ms: float, policy: Policy
) -> float:
    """Return what stopping a task costs, in ms of run time times cores.

    Notes
    -----
    A task that is about to end is dear, for its room comes free by itself; so is one
    that was stopped before, so that the same victim is not taken again and again.
    """
    remaining_ms = expect_remaining_ms(state, task, now_ms)
    cost = RESTART_COST_MS * max(task.shape.resources.cores, 1.0)
    if remaining_ms < policy.spare_remaining_ms:
        cost *= 4.0
    history = state.histories.get(task.shape.task_id)
    stops = history.evictions if history is not None else 0
    return cost * (1.0 + 2.0 * stops) * policy.eviction_weight
