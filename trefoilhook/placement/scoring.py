"""Objective function for placement.

The cost of placing a task of class ``c`` that declares a share ``x`` of the cores
is, in units where a service at its target costs ``tail_weight``::

    tail_weight  * sum over services v of ((e_v' / b_v)**2 - (e_v / b_v)**2)
    - batch_weight * x                      (batch and watchers)
    + spread_weight * concentration         (services)
    + load-balancing weight * load          (services)
    + consolidation cost                    (services)
    + half of batch_weight * x where the worker has accelerators and the task needs
      none                                  (batch and watchers)

``e`` and ``e'`` are the predicted excess slowdowns before and after placement, ``b``
is the tolerated excess of the service. Squaring makes interference costly for services
near their target and cheap for services far from it. The consolidation cost is given
by :func:`compute_consolidation_cost`. A batch task waits unless a sampled worker is
admissible and has a negative cost. A worker is inadmissible if a service is past its
target, or would exceed ``admit_ratio`` of its tolerated excess and the increase is not
negligible.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import numpy as np
import numpy.typing as npt

from trefoilhook.placement.policy import Policy
from trefoilhook.placement.shapes import TaskKind, TaskShape, tolerated_excess
from trefoilhook.placement.spread import compute_concentration

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Scorer", "Scores", "compute_consolidation_cost", "score_rows"]

_ACCELERATOR_PENALTY = 0.5
_LOAD_BALANCE_WEIGHT = 0.1
_NEGLIGIBLE_TAIL_COST = 1e-3
_OVERFILL_WEIGHT = 10_000.0

Floats = npt.NDArray[np.float64]
Rows = npt.NDArray[np.intp]


@attrs.frozen(kw_only=True, slots=True)
class Scores:
    """Costs of placing one task on each of several workers.

    Parameters
    ----------
    cost : array
        Objective value; lower is better, negative is a net benefit.
    excess : array
        Largest ratio of predicted to tolerated excess among the services.
    admissible : array of bool
        Whether the services stay below the admission limit and none is past its
        target.
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
    """Score workers for a task with the interference model.

    Parameters
    ----------
    state : ShardState
        State of the shard.
    task : TaskShape
        Task to place.
    class_index : int
        Index of its class in the model.
    rows : array of int
        Rows of the workers with enough free resources.
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
    increase = _predict_increase(state, class_index, rows, share, policy)
    after = before + increase
    weighted = table.services.take(rows, axis=0)
    weighted *= increase
    tail_cost = np.einsum("ij,ij->i", weighted, after + before)
    if task.kind is TaskKind.SERVICE:
        return _score_service(state, task, class_index, rows, share, tail_cost, policy)
    max_excess = after.max(axis=1)
    is_within_limit = (max_excess <= policy.admit_ratio) | (
        tail_cost <= _NEGLIGIBLE_TAIL_COST
    )
    is_past_target = table.late.take(rows) > 0.0
    cost = policy.tail_weight * tail_cost - policy.batch_weight * share
    if not task.resources.accelerators:
        # Less than the task's own value: other workers are preferred, but the task
        # still starts if only workers with accelerators have free resources.
        accelerator_cost = _ACCELERATOR_PENALTY * policy.batch_weight * share
        cost += accelerator_cost * table.accelerated.take(rows)
    return Scores(
        cost=cost, excess=max_excess, admissible=is_within_limit & ~is_past_target
    )


def _predict_increase(
    state: "ShardState",
    class_index: int,
    rows: Rows,
    share: Floats,
    policy: Policy,
) -> Floats:
    """Return the increase of ``excess / tolerated excess`` by row and class."""
    table, model = state.table, state.model
    slope = (
        model.base_slope[:, class_index] + policy.risk * model.deviation[:, class_index]
    )
    increase = table.loaded.take(rows, axis=0)
    increase += slope
    load = table.load.take(rows) + share
    increase += load[:, None] * model.load_slope[:, class_index]
    increase *= share[:, None]
    increase *= table.scale.take(rows, axis=0)
    return np.maximum(increase, 0.0, out=increase)


def _predict_own_excess(state: "ShardState", class_index: int, rows: Rows) -> Floats:
    """Return the predicted excess of a new service on each row."""
    table, model = state.table, state.model
    pressure = table.pressure.take(rows, axis=0)
    constant = pressure @ model.base_slope[class_index]
    loaded = pressure @ model.load_slope[class_index]
    residual = np.maximum(table.residual.take(rows), 0.0)
    excess: Floats = constant + table.load.take(rows) * loaded + residual
    return np.maximum(excess, 0.0)


def _score_service(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    share: Floats,
    tail_cost: Floats,
    policy: Policy,
) -> Scores:
    own_excess = _predict_own_excess(state, class_index, rows) / tolerated_excess(task)
    shapes = [state.workers[state.table.ids[row]].shape for row in rows.tolist()]
    concentration = np.array(
        [compute_concentration(state.spread, class_index, shape) for shape in shapes]
    )
    cost = (
        policy.tail_weight * (tail_cost + own_excess * own_excess)
        + policy.spread_weight * concentration
    )
    cost += _LOAD_BALANCE_WEIGHT * (state.table.load.take(rows) + share)
    cost += compute_consolidation_cost(state, task, class_index, rows, policy)
    return Scores(
        cost=cost, excess=own_excess, admissible=np.ones(len(rows), dtype=bool)
    )


def compute_consolidation_cost(
    state: "ShardState",
    task: TaskShape,
    class_index: int,
    rows: Rows,
    policy: Policy,
) -> Floats:
    """Return the consolidation cost of placing a service on each row.

    Notes
    -----
    The cost is ``takeover_weight`` for a worker without services, ``mixing_weight``
    for each other service class on the worker, and a steep quadratic cost above
    ``service_fill`` of the cores.

    A worker without services accepts any batch task; a worker with services accepts
    only batch tasks that these tolerate. Services are therefore packed onto shared
    workers, up to ``service_fill`` of the cores so that each service keeps headroom.
    Services of one class are packed together, so that batch classes that do not slow
    this class can use the remaining cores.
    """
    table = state.table
    service_cores = table.service_cores.take(rows)
    share = (service_cores + task.resources.cores) / table.capacity_cores.take(rows)
    present = table.services.take(rows, axis=0) > 0.0
    other_classes = present.sum(axis=1) - present[:, class_index]
    cost = (
        policy.takeover_weight * (service_cores == 0.0)
        + policy.mixing_weight * other_classes
    )
    overfill = np.maximum(share - policy.service_fill, 0.0)
    return np.asarray(cost + _OVERFILL_WEIGHT * overfill * overfill)
