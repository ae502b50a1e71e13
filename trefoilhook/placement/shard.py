"""Records of one shard.

Functions that read or write individual records take :class:`ShardRecords`. The derived
``ShardState`` adds the operations that change the state and calls these functions.
"""

from collections import Counter, deque

import attrs

from trefoilhook.placement.interference import InterferenceModel
from trefoilhook.placement.quantiles import RatioTable
from trefoilhook.placement.records import (
    Earmark,
    TaskHistory,
    TaskState,
    WorkerState,
)
from trefoilhook.placement.resources import Resources
from trefoilhook.placement.spread import SpreadCounts
from trefoilhook.placement.table import WorkerTable

__all__ = ["ShardRecords"]


@attrs.define(kw_only=True)
class ShardRecords:
    """All placement records of the workers and tasks of one shard."""

    workers: dict[str, WorkerState] = attrs.field(factory=dict)
    tasks: dict[str, TaskState] = attrs.field(factory=dict)
    histories: dict[str, TaskHistory] = attrs.field(factory=dict)
    earmarks: dict[str, Earmark] = attrs.field(factory=dict)
    table: WorkerTable = attrs.field(factory=WorkerTable)
    model: InterferenceModel = attrs.field(factory=InterferenceModel)
    run_ratios: RatioTable = attrs.field(factory=RatioTable)
    class_indexes: dict[str, int] = attrs.field(factory=dict)
    capacities: Counter[Resources] = attrs.field(factory=Counter)
    spread: SpreadCounts = attrs.field(factory=SpreadCounts)
    team_cores: dict[str, float] = attrs.field(factory=dict)
    team_evictions: dict[str, deque[float]] = attrs.field(factory=dict)
    scan_cursor: int = 0

    def history(self, task_id: str) -> TaskHistory:
        """Return the mutable history of a task, creating it if needed."""
        return self.histories.setdefault(task_id, TaskHistory())
