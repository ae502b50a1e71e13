"""The one objective that placements are compared by.

The cost of placing a task of class ``c`` that uses a share ``x`` of a worker's cores
is, in units where a service at its target costs ``tail_weight``::

    tail_weight  * sum over services v of ((e_v' / b_v)**2 - (e_v / b_v)**2)
    - batch_weight * x                      (batch and watchers)
    + spread_weight * crowding              (services)
    + packing_weight * free share left      (batch and watchers)
    + a fixed cost for occupying an accelerated worker without need

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

from trefoilhook.placement.interference import CLASS_LIMIT
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.quantiles import RatioKey
from trefoilhook.placement.shapes import TaskKind, TaskShape, bearable_excess
from trefoilhook.placement.spread import measure_crowding

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Scorer", "Scores", "expect_cores", "score_rows"]

_ACCELERATOR_COST = 1.0
_MATERIAL_RISE = 0.02

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


def expect_cores(state: "ShardState", task: TaskShape) -> float:
    """Return the cores that a task is expected to use, from its team and class."""
    key = RatioKey(team=task.team, task_class=task.task_class)
    return state.usage_ratios.quantile(key, 0.5) * task.resources.cores


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
    share = expect_cores(state, task) / table.capacity_cores[rows]
    before, after = _predict(state, class_index, rows, share, policy)
    bearable = table.bearable[rows]
    services = table.services[rows]
    before /= bearable
    after /= bearable
    present = services > 0.0
    tail = (services * (after * after - before * before)).sum(axis=1)
    worst = np.where(present, after, 0.0).max(axis=1)
    if task.kind is TaskKind.SERVICE:
        return _score_service(state, task, class_index, rows, after, tail, policy)
    rise = np.where(present, after - before, 0.0).max(axis=1)
    limit = worst <= policy.admit_ratio
    admissible = (limit | (rise <= _MATERIAL_RISE)) & (table.late[rows] == 0.0)
    left = (table.cores[rows] - task.resources.cores) / table.capacity_cores[rows]
    cost = policy.tail_weight * tail - policy.batch_weight * share
    cost += policy.packing_weight * left
    if not task.resources.accelerators:
        cost += _ACCELERATOR_COST * table.accelerated[rows]
    return Scores(cost=cost, excess=worst, admissible=admissible)


def _predict(
    state: "ShardState",
    class_index: int,
    rows: Rows,
    share: Floats,
    policy: Policy,
) -> tuple[Floats, Floats]:
    table, model = state.table, state.model
    pressure = table.pressure[rows]
    load = table.load[rows][:, None]
    added = share[:, None]
    constant = pressure @ model.constant.T
    loaded = pressure @ model.loaded.T
    base = constant + load * loaded
    base += np.maximum(table.residual[rows], 0.0)[:, None]
    rise = added * model.constant[:, class_index]
    rise = rise + added * (loaded + (load + added) * model.loaded[:, class_index])
    rise += policy.risk * added * _deviation(state, class_index, load)
    np.maximum(base, 0.0, out=base)
    return base, np.maximum(base + rise, 0.0)


def _deviation(state: "ShardState", class_index: int, load: Floats) -> Floats:
    variance = state.model.variance
    constant = variance[:, class_index]
    loaded = variance[:, CLASS_LIMIT + class_index]
    deviation: Floats = np.sqrt(constant + load * load * loaded)
    return deviation


def _score_service(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    after: Floats,
    tail: Floats,
    policy: Policy,
) -> Scores:
    scale = state.table.bearable[rows, class_index] / bearable_excess(task)
    own = after[:, class_index] * scale
    workers = state.workers
    ids = state.table.ids
    crowding = np.array(
        [
            measure_crowding(state.spread, class_index, workers[ids[row]].shape)
            for row in rows
        ]
    )
    cost = policy.tail_weight * (tail + own * own) + policy.spread_weight * crowding
    return Scores(cost=cost, excess=own, admissible=np.ones(len(rows), dtype=bool))
