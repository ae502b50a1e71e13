"""Why a task waits, or where it was placed and against what."""

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

_CANDIDATES_SHOWN = 5


@attrs.frozen(kw_only=True, slots=True)
class Candidate:
    """A worker that was compared.

    Parameters
    ----------
    worker_id : str
        Worker.
    cost : float
        Objective; less is better.
    predicted_excess : float
        Largest predicted part of a service's bearable excess.
    admissible : bool
        Whether its services stay within what placement may use.
    """

    worker_id: str
    cost: float
    predicted_excess: float
    admissible: bool


@attrs.frozen(kw_only=True, slots=True)
class Explanation:
    """A decision with what it was taken against.

    Parameters
    ----------
    task_id : str
        Task in question.
    holder : str, optional
        Worker that holds it already.
    decision : Decision, optional
        What would be decided now; none if the task is held already.
    candidates : tuple of Candidate
        Best workers compared, best first.
    looked_at : int
        Workers in the sample.
    """

    task_id: str
    holder: str | None
    decision: Decision | None
    candidates: tuple[Candidate, ...]
    looked_at: int


def explain_placement(
    state: "ShardState",
    task: TaskShape,
    now_ms: float,
    rng: np.random.Generator,
    policy: Policy,
    *,
    score: Scorer = score_rows,
) -> Explanation:
    """Explain what would be decided about a task now, or where it is held.

    Parameters
    ----------
    state : ShardState
        State of the shard.
    task : TaskShape
        Task in question.
    now_ms : float
        Time, in ms.
    rng : numpy.random.Generator
        Draws the workers that are looked at.
    policy : Policy
        Weights and thresholds.
    score : Scorer, optional
        Compares workers that have room.

    Returns
    -------
    Explanation
        Decision and the best workers compared.
    """
    held = state.tasks.get(task.task_id)
    if held is not None:
        return Explanation(
            task_id=task.task_id,
            holder=held.worker_id,
            decision=None,
            candidates=(),
            looked_at=0,
        )
    decision = decide_placement(state, task, now_ms, rng, policy, score=score)
    sampled = sample_rows(len(state.table.ids), rng, policy)
    candidates = _list_candidates(state, task, sampled, policy, score)
    return Explanation(
        task_id=task.task_id,
        holder=None,
        decision=decision,
        candidates=candidates,
        looked_at=len(sampled),
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
    best = np.argsort(scores.cost, kind="stable")[:_CANDIDATES_SHOWN]
    return tuple(
        Candidate(
            worker_id=state.table.ids[int(rows[place])],
            cost=float(scores.cost[place]),
            predicted_excess=float(scores.excess[place]),
            admissible=bool(scores.admissible[place]),
        )
        for place in best
    )


def render_explanation(explanation: Explanation) -> str:
    """Write an explanation out for people.

    Returns
    -------
    str
        A first line with the decision, then a line for each worker compared.
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
            return f"held by {explanation.holder}"
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
