"""Arrangement of service tasks: on which workers the tasks of one service stand."""

from trefoilhook.scheduling.arrangement.concentration import (
    Concentration,
    measure_concentration,
)
from trefoilhook.scheduling.arrangement.spread import (
    compute_concentration_penalty,
    compute_max_together,
)

__all__ = [
    "Concentration",
    "compute_concentration_penalty",
    "compute_max_together",
    "measure_concentration",
]
