"""The one objective that placements are compared by.

The cost of placing a task of class ``c`` that declares a share ``x`` of the cores
is, in units where a service at its target costs ``tail_weight``::

    tail_weight  * sum over services v of ((e_v' / b_v)**2 - (e_v / b_v)**2)
    - batch_weight * x                      (batch and watchers)
    + spread_weight * crowding              (services)
    + balance cost * load                   (services)
    + takeover_weight where the worker holds no service yet, and a steep cost past
      ``service_fill`` of its cores         (services)
    + half of the value where an accelerated worker is taken without need

``e`` and ``e'`` are the predicted excess slowdowns before and after, ``b`` the
excess that the service bears. The square makes a service near its target dear and one
far from it cheap. A batch task waits where its cost is above zero on every worker
looked at, or where a service would pass ``admit_ratio`` of what it bears.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.shapes import TaskKind, TaskShape, bearable_excess
from trefoilhook.placement.spread import measure_crowding

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Scorer", "Scores", "cost_taking_over", "score_rows"]

_ACCELERATOR_SHARE = 0.5
_BALANCE_COST = 0.1
_MATERIAL_TAIL = 1e-3
_OVERFILL_COST = 10_000.0

Floats = npt.NDArray[np.float64]
Rows = npt.NDArray[np.intp]


@attrs.frozen(kw_only=True, slots=True)
class Scores:
    """What placing one task on each of some workers would cost.

    Parameters
    ----------
    cost : array
        Objective; less is better, below zero is worth doing.
    excess : array
        Largest ratio of predicted to bearable excess among the services.
    admissible : array of bool
        Whether services stay within what placement may use.
    """

    cost: Floats
    excess: Floats
    admissible: npt.NDArray[np.bool_]


Scorer = Callable[["ShardState", TaskShape, int, Rows, Policy], Scores]


def score_rows(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    policy: Policy,
) -> Scores:
    """Score workers for a task by the learned model.

    Parameters
    ----------
    state : ShardState
        State of the shard.
    task : TaskShape
        Task to place.
    class_index : int
        Index of its class in the model.
    rows : array of int
        Rows of the workers that can hold it.
    policy : Policy
        Weights and thresholds.

    Returns
    -------
    Scores
        One entry for each row.
    """
    table = state.table
    share = task.resources.cores / table.capacity_cores.take(rows)
    before = table.excess.take(rows, axis=0)
    rise = _predict_rise(state, class_index, rows, share, policy)
    after = before + rise
    counted = table.services.take(rows, axis=0)
    counted *= rise
    tail = np.einsum("ij,ij->i", counted, after + before)
    if task.kind is TaskKind.SERVICE:
        return _score_service(state, task, class_index, rows, share, tail, policy)
    worst = after.max(axis=1)
    within = (worst <= policy.admit_ratio) | (tail <= _MATERIAL_TAIL)
    late = table.late.take(rows) > 0.0
    cost = policy.tail_weight * tail - policy.batch_weight * share
    if not task.resources.accelerators:
        # A part of the task's own value: it goes elsewhere first, but where only
        # accelerated workers have room it still starts.
        kept_free = _ACCELERATOR_SHARE * policy.batch_weight * share
        cost += kept_free * table.accelerated.take(rows)
    return Scores(cost=cost, excess=worst, admissible=within & ~late)


def _predict_rise(
    state: "ShardState",
    class_index: int,
    rows: Rows,
    share: Floats,
    policy: Policy,
) -> Floats:
    """Return the rise in each class's part of what it bears, by row and class."""
    table, model = state.table, state.model
    own = model.constant[:, class_index] + policy.risk * model.deviation[:, class_index]
    rise = table.loaded.take(rows, axis=0)
    rise += own
    load = table.load.take(rows) + share
    rise += load[:, None] * model.loaded[:, class_index]
    rise *= share[:, None]
    rise *= table.scale.take(rows, axis=0)
    return np.maximum(rise, 0.0, out=rise)


def _predict_own(state: "ShardState", class_index: int, rows: Rows) -> Floats:
    """Return the excess that a service of a class would suffer on each row."""
    table, model = state.table, state.model
    pressure = table.pressure.take(rows, axis=0)
    constant = pressure @ model.constant[class_index]
    loaded = pressure @ model.loaded[class_index]
    residual = np.maximum(table.residual.take(rows), 0.0)
    own: Floats = constant + table.load.take(rows) * loaded + residual
    return np.maximum(own, 0.0)


def _score_service(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    share: Floats,
    tail: Floats,
    policy: Policy,
) -> Scores:
    own = _predict_own(state, class_index, rows) / bearable_excess(task)
    shapes = [state.workers[state.table.ids[row]].shape for row in rows.tolist()]
    crowding = np.array(
        [measure_crowding(state.spread, class_index, shape) for shape in shapes]
    )
    cost = policy.tail_weight * (tail + own * own) + policy.spread_weight * crowding
    cost += _BALANCE_COST * (state.table.load.take(rows) + share)
    cost += cost_taking_over(state, task, class_index, rows, policy)
    return Scores(cost=cost, excess=own, admissible=np.ones(len(rows), dtype=bool))


def cost_taking_over(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    policy: Policy,
) -> Floats:
    """Return what it costs batch work that a service comes to each row.

    Notes
    -----
    A worker without services takes any batch task, one with services only what they
    bear. So services share workers, up to a part of the cores that leaves each room;
    and services of one class share them, for then batch classes that do no harm to
    that one class can fill the rest.
    """
    table = state.table
    held = table.service_cores.take(rows)
    share = (held + task.resources.cores) / table.capacity_cores.take(rows)
    present = table.services.take(rows, axis=0) > 0.0
    others = present.sum(axis=1) - present[:, class_index]
    cost = policy.takeover_weight * (held == 0.0) + policy.mixing_weight * others
    over = np.maximum(share - policy.service_fill, 0.0)
    return np.asarray(cost + _OVERFILL_COST * over * over)
