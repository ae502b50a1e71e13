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

_RUN_SCALE_MS = 600_000.0


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


@attrs.frozen(kw_only=True, slots=True, order=True)
class _Rank:
    band: int
    weight: float
    queued_at_ms: float
    task_id: str


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
    held = dict(state.team_cores)
    ranked: list[tuple[_Rank, WaitingTask]] = []
    for entry in sorted(waiting, key=lambda entry: _expect_run_ms(state, entry.shape)):
        rank = _rank(state, entry, held, now_ms, policy)
        ranked.append((rank, entry))
    ranked.sort(key=lambda pair: pair[0])
    return tuple(entry for _, entry in ranked)


def _rank(
    state: "ShardState",
    entry: WaitingTask,
    held: dict[str, float],
    now_ms: float,
    policy: Policy,
) -> _Rank:
    shape = entry.shape
    band = _band(shape)
    weight = 0.0
    if band == _BATCH_BAND:
        team = shape.team
        total = held.get(team, 0.0) + shape.resources.cores
        held[team] = total
        starved = (now_ms - entry.queued_at_ms) / policy.starvation_ms
        run = _expect_run_ms(state, shape) / (_RUN_SCALE_MS + policy.starvation_ms)
        weight = total / policy.team_weight(team) * (1.0 + min(run, 1.0))
        weight *= max(0.0, 1.0 - starved)
    return _Rank(
        band=band,
        weight=weight,
        queued_at_ms=entry.queued_at_ms,
        task_id=shape.task_id,
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


def _expect_run_ms(state: "ShardState", shape: TaskShape) -> float:
    key = RatioKey(team=shape.team, task_class=shape.task_class)
    return state.run_ratios.quantile(key, 0.5) * shape.declared_run_ms
