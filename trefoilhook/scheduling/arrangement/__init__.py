"""Arrangement of service tasks: the distribution of each service over workers.

``moves`` is not re-exported here, as it imports modules that import this package.
"""

from trefoilhook.scheduling.arrangement.concentration import (
    StepGroup,
    count_together,
    list_step_groups,
    measure_largest_share,
)
from trefoilhook.scheduling.arrangement.move_state import ServiceMoves
from trefoilhook.scheduling.arrangement.spread import (
    compute_concentration_penalty,
    compute_max_together,
    may_spread,
)

__all__ = [
    "ServiceMoves",
    "StepGroup",
    "compute_concentration_penalty",
    "compute_max_together",
    "count_together",
    "list_step_groups",
    "may_spread",
    "measure_largest_share",
]
