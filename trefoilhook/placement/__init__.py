"""Placement, throttling, eviction and refusal of tasks; performs no I/O."""

from trefoilhook.placement.core import decide_placement
from trefoilhook.placement.decisions import (
    Decision,
    Impossible,
    ImpossibleReason,
    Placement,
    Preempt,
    Wait,
    WaitReason,
)
from trefoilhook.placement.explain import (
    Candidate,
    Explanation,
    explain_placement,
    render_explanation,
)
from trefoilhook.placement.policy import (
    LATENCY_FIRST,
    THROUGHPUT_FIRST,
    Policy,
    TeamQuota,
)
from trefoilhook.placement.preemption import begin_preemption
from trefoilhook.placement.queue import WaitingTask, order_queue
from trefoilhook.placement.reactions import (
    Reaction,
    ReactionKind,
    apply_reaction,
    decide_reactions,
)
from trefoilhook.placement.records import Earmark, TaskPhase
from trefoilhook.placement.resources import ZERO, Resources
from trefoilhook.placement.scoring import Scorer, Scores, score_rows
from trefoilhook.placement.shapes import (
    ServiceSlowdown,
    StopOutcome,
    TaskKind,
    TaskShape,
    TaskUsage,
    UsageReport,
    WorkerShape,
)
from trefoilhook.placement.state import ShardState
from trefoilhook.placement.summaries import (
    ShardSummary,
    choose_spill,
    summarize_shard,
)

__all__ = [
    "LATENCY_FIRST",
    "THROUGHPUT_FIRST",
    "ZERO",
    "Candidate",
    "Decision",
    "Earmark",
    "Explanation",
    "Impossible",
    "ImpossibleReason",
    "Placement",
    "Policy",
    "Preempt",
    "Reaction",
    "ReactionKind",
    "Resources",
    "Scorer",
    "Scores",
    "ServiceSlowdown",
    "ShardState",
    "ShardSummary",
    "StopOutcome",
    "TaskKind",
    "TaskPhase",
    "TaskShape",
    "TaskUsage",
    "TeamQuota",
    "UsageReport",
    "Wait",
    "WaitReason",
    "WaitingTask",
    "WorkerShape",
    "apply_reaction",
    "begin_preemption",
    "choose_spill",
    "decide_placement",
    "decide_reactions",
    "explain_placement",
    "order_queue",
    "render_explanation",
    "score_rows",
    "summarize_shard",
]
