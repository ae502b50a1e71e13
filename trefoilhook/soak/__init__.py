"""A randomized soak of the real program, as processes, under faults from outside."""

from trefoilhook.soak.core import SoakReport, SoakSettings, run_soak

__all__ = ["SoakReport", "SoakSettings", "run_soak"]
