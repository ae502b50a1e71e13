"""In which order waiting tasks are offered to placement."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.shapes import TaskKind, TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["WaitingTask", "order_queue"]

_RUN_SCALE_MS = 1_200_000.0


@attrs.frozen(kw_only=True, slots=True)
class WaitingTask:
    """A task in the queue.

    Parameters
    ----------
    shape : TaskShape
        What it declares.
    queued_at_ms : float
        When it was accepted, in ms.
    """

    shape: TaskShape
    queued_at_ms: float


@attrs.frozen(kw_only=True, slots=True)
class _Ranked:
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
        State of the shard; not changed.
    waiting : iterable of WaitingTask
        Tasks that wait.
    now_ms : float
        Time, in ms.
    policy : Policy
        Weights of the teams and the waiting time that outweighs them.

    Returns
    -------
    tuple of WaitingTask
        The same tasks, first to place first.

    Notes
    -----
    A batch task ranks by the cores that its team would hold for its weight, counting
    the team's tasks before it in this order; a short expected run counts a little
    less, a long wait takes it to the front. Idle cores go to whoever waits, for
    nothing here caps a team that has no rival.
    """
    pool = [_classify(state, entry) for entry in waiting]
    pool.sort(key=lambda ranked: ranked.run_ms)
    held = dict(state.team_cores)
    weighed = [_weigh(ranked, held, now_ms, policy) for ranked in pool]
    weighed.sort(
        key=lambda ranked: (
            ranked.band,
            ranked.weight,
            ranked.entry.queued_at_ms,
            ranked.entry.shape.task_id,
        )
    )
    return tuple(ranked.entry for ranked in weighed)


def _classify(state: "ShardState", entry: WaitingTask) -> _Ranked:
    shape = entry.shape
    key = RatioKey(team=shape.team, task_class=shape.task_class)
    run_ms = state.run_ratios.quantile(key, 0.5) * shape.declared_run_ms
    return _Ranked(entry=entry, band=_band(shape), run_ms=run_ms)


def _weigh(
    ranked: _Ranked, held: dict[str, float], now_ms: float, policy: Policy
) -> _Ranked:
    if ranked.band != _BATCH_BAND:
        return ranked
    shape = ranked.entry.shape
    total = held.get(shape.team, 0.0) + shape.resources.cores
    held[shape.team] = total
    starved = (now_ms - ranked.entry.queued_at_ms) / policy.starvation_ms
    weight = total / policy.team_weight(shape.team)
    weight *= 1.0 + min(ranked.run_ms / _RUN_SCALE_MS, 1.0)
    weight *= max(0.0, 1.0 - starved)
    return _Ranked(
        entry=ranked.entry, band=ranked.band, run_ms=ranked.run_ms, weight=weight
    )


_URGENT_BAND = 0
_SERVICE_BAND = 1
_WATCHER_BAND = 2
_BATCH_BAND = 3


def _band(shape: TaskShape) -> int:
    if shape.urgent:
        return _URGENT_BAND
    if shape.kind is TaskKind.SERVICE:
        return _SERVICE_BAND
    if shape.kind is TaskKind.WATCHER:
        return _WATCHER_BAND
    return _BATCH_BAND
