"""Explanation of a placement decision and of the workers compared."""

from typing import TYPE_CHECKING

import attrs
import numpy as np

from trefoilhook.placement.core import decide_placement, filter_rows, sample_rows
from trefoilhook.placement.decisions import (
    Decision,
    Impossible,
    Placement,
    Preempt,
    Wait,
)
from trefoilhook.placement.policy import Policy
from trefoilhook.placement.refresh import index_class
from trefoilhook.placement.scoring import Scorer, score_rows
from trefoilhook.placement.shapes import TaskShape

if TYPE_CHECKING:
    from trefoilhook.placement.state import ShardState

__all__ = ["Candidate", "Explanation", "explain_placement", "render_explanation"]

_MAX_CANDIDATES = 5


@attrs.frozen(kw_only=True, slots=True)
class Candidate:
    """A worker compared for a placement.

    Parameters
    ----------
    worker_id : str
        Worker compared.
    cost : float
        Objective value; lower is better.
    predicted_excess : float
        Largest predicted ratio of excess to tolerated excess among the services.
    admissible : bool
        Whether its services stay below the admission limit.
    """

    worker_id: str
    cost: float
    predicted_excess: float
    admissible: bool


@attrs.frozen(kw_only=True, slots=True)
class Explanation:
    """A decision and the workers that were compared for it.

    Parameters
    ----------
    task_id : str
        Task explained.
    worker_id : str, optional
        Worker that holds the task already.
    decision : Decision, optional
        Decision that would be made now; None if a worker holds the task already.
    candidates : tuple of Candidate
        Best workers compared, in ascending order of cost.
    sampled_workers : int
        Number of workers sampled.
    """

    task_id: str
    worker_id: str | None
    decision: Decision | None
    candidates: tuple[Candidate, ...]
    sampled_workers: int


def explain_placement(
    state: "ShardState",
    task: TaskShape,
    now_ms: float,
    rng: np.random.Generator,
    policy: Policy,
    *,
    score: Scorer = score_rows,
) -> Explanation:
    """Explain what would be decided about a task now, or which worker holds it.

    Parameters
    ----------
    state : ShardState
        State of the shard.
    task : TaskShape
        Task to explain.
    now_ms : float
        Time, in ms.
    rng : numpy.random.Generator
        Generator used to sample workers.
    policy : Policy
        Weights and thresholds.
    score : Scorer, optional
        Scores the workers with enough free resources.

    Returns
    -------
    Explanation
        Decision and the best workers compared.
    """
    running = state.tasks.get(task.task_id)
    if running is not None:
        return Explanation(
            task_id=task.task_id,
            worker_id=running.worker_id,
            decision=None,
            candidates=(),
            sampled_workers=0,
        )
    decision = decide_placement(state, task, now_ms, rng, policy, score=score)
    sampled = sample_rows(len(state.table.ids), rng, policy)
    candidates = _list_candidates(state, task, sampled, policy, score)
    return Explanation(
        task_id=task.task_id,
        worker_id=None,
        decision=decision,
        candidates=candidates,
        sampled_workers=len(sampled),
    )


def _list_candidates(
    state: "ShardState",
    task: TaskShape,
    sampled: np.ndarray[tuple[int], np.dtype[np.intp]],
    policy: Policy,
    score: Scorer,
) -> tuple[Candidate, ...]:
    rows = np.unique(filter_rows(state, task, sampled))
    if not len(rows):
        return ()
    scores = score(state, task, index_class(state, task.task_class), rows, policy)
    best = np.argsort(scores.cost, kind="stable")[:_MAX_CANDIDATES]
    return tuple(
        Candidate(
            worker_id=state.table.ids[int(rows[index])],
            cost=float(scores.cost[index]),
            predicted_excess=float(scores.excess[index]),
            admissible=bool(scores.admissible[index]),
        )
        for index in best
    )


def render_explanation(explanation: Explanation) -> str:
    """Format an explanation as text for operators.

    Returns
    -------
    str
        The decision on the first line, then one line per worker compared.
    """
    lines = [f"{explanation.task_id}: {_render_decision(explanation)}"]
    for candidate in explanation.candidates:
        verdict = "admissible" if candidate.admissible else "would slow a service"
        lines.append(
            f"  {candidate.worker_id}: cost {candidate.cost:+.3f}, "
            f"{candidate.predicted_excess:.0%} of what a service bears, {verdict}"
        )
    return "\n".join(lines)


def _render_decision(explanation: Explanation) -> str:
    decision = explanation.decision
    match decision:
        case None:
            return f"held by {explanation.worker_id}"
        case Placement():
            return (
                f"would start on {decision.worker_id}, "
                f"the best of {decision.considered} with room"
            )
        case Wait():
            return f"waits: {decision.reason.value}"
        case Impossible():
            return (
                f"can never run: {decision.reason.value} "
                f"(declared {decision.declared}; limit {decision.limit})"
            )
        case Preempt():
            victims = ", ".join(decision.victims)
            return f"would start on {decision.worker_id} once {victims} stopped"
