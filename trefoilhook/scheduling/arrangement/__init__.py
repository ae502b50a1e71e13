"""Arrangement of service tasks: on which workers the tasks of one service stand.

``moves`` is not re-exported here: it builds on placement, which uses this package.
"""

from trefoilhook.scheduling.arrangement.concentration import (
    Cluster,
    count_together,
    list_clusters,
    measure_largest_share,
)
from trefoilhook.scheduling.arrangement.move_state import ServiceMoves
from trefoilhook.scheduling.arrangement.spread import (
    compute_concentration_penalty,
    compute_max_together,
    may_spread,
)

__all__ = [
    "Cluster",
    "ServiceMoves",
    "compute_concentration_penalty",
    "compute_max_together",
    "count_together",
    "list_clusters",
    "may_spread",
    "measure_largest_share",
]
