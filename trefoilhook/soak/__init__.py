"""A randomized soak of the real program, as processes, under faults from outside."""

from trefoilhook.soak.core import SoakReport, SoakSettings, run_soak
from trefoilhook.soak.findings import (
    FINDINGS_FOLDER,
    describe_finding,
    keep_finding,
)

__all__ = [
    "FINDINGS_FOLDER",
    "SoakReport",
    "SoakSettings",
    "describe_finding",
    "keep_finding",
    "run_soak",
]
