"""Order in which waiting tasks are placed."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.shapes import TaskKind, TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["WaitingTask", "order_queue"]

_RUN_TIME_SCALE_MS = 1_200_000.0


@attrs.frozen(kw_only=True, slots=True)
class WaitingTask:
    """A task in the queue.

    Parameters
    ----------
    shape : TaskShape
        Declaration of the task.
    queued_at_ms : float
        When it was accepted, in ms.
    """

    shape: TaskShape
    queued_at_ms: float


@attrs.frozen(kw_only=True, slots=True)
class _RankedTask:
    entry: WaitingTask
    band: int
    run_ms: float
    weight: float = 0.0


def order_queue(
    state: "ShardState",
    waiting: Iterable[WaitingTask],
    now_ms: float,
    policy: Policy,
) -> tuple[WaitingTask, ...]:
    """Order waiting tasks: urgent, services, watchers, then batch by fair share.

    Parameters
    ----------
    state : ShardState
        State of the shard; not modified.
    waiting : iterable of WaitingTask
        Tasks to order.
    now_ms : float
        Time, in ms.
    policy : Policy
        Team weights and ``starvation_ms``.

    Returns
    -------
    tuple of WaitingTask
        The same tasks, in the order in which to place them.

    Notes
    -----
    Batch tasks are ordered by the cores their team would hold, divided by the team's
    weight and including the team's earlier tasks in this order. Short expected run
    times lower this value, and it falls to zero as the waiting time reaches
    ``starvation_ms``. There is no cap per team: idle cores go to any waiting task.
    """
    ranked_tasks = [_classify(state, entry) for entry in waiting]
    ranked_tasks.sort(key=lambda ranked: ranked.run_ms)
    team_cores = dict(state.team_cores)
    weighted = [
        _compute_weight(ranked, team_cores, now_ms, policy) for ranked in ranked_tasks
    ]
    weighted.sort(
        key=lambda ranked: (
            ranked.band,
            ranked.weight,
            ranked.entry.queued_at_ms,
            ranked.entry.shape.task_id,
        )
    )
    return tuple(ranked.entry for ranked in weighted)


def _classify(state: "ShardState", entry: WaitingTask) -> _RankedTask:
    shape = entry.shape
    key = RatioKey(team=shape.team, task_class=shape.task_class)
    run_ms = state.run_ratios.quantile(key, 0.5) * shape.declared_run_ms
    return _RankedTask(entry=entry, band=_find_band(shape), run_ms=run_ms)


def _compute_weight(
    ranked: _RankedTask, team_cores: dict[str, float], now_ms: float, policy: Policy
) -> _RankedTask:
    if ranked.band != _BATCH_BAND:
        return ranked
    shape = ranked.entry.shape
    total = team_cores.get(shape.team, 0.0) + shape.resources.cores
    team_cores[shape.team] = total
    wait_ratio = (now_ms - ranked.entry.queued_at_ms) / policy.starvation_ms
    weight = total / policy.team_weight(shape.team)
    weight *= 1.0 + min(ranked.run_ms / _RUN_TIME_SCALE_MS, 1.0)
    weight *= max(0.0, 1.0 - wait_ratio)
    return _RankedTask(
        entry=ranked.entry, band=ranked.band, run_ms=ranked.run_ms, weight=weight
    )


_URGENT_BAND = 0
_SERVICE_BAND = 1
_WATCHER_BAND = 2
_BATCH_BAND = 3


def _find_band(shape: TaskShape) -> int:
    if shape.urgent:
        return _URGENT_BAND
    if shape.kind is TaskKind.SERVICE:
        return _SERVICE_BAND
    if shape.kind is TaskKind.WATCHER:
        return _WATCHER_BAND
    return _BATCH_BAND
