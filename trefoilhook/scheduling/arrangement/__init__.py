"""Arrangement of service tasks: the distribution of each service over workers."""

from trefoilhook.scheduling.arrangement.concentration import (
    count_together,
    measure_largest_share,
)
from trefoilhook.scheduling.arrangement.spread import (
    compute_concentration_penalty,
    compute_max_together,
    may_spread,
)

__all__ = [
    "compute_concentration_penalty",
    "compute_max_together",
    "count_together",
    "may_spread",
    "measure_largest_share",
]
