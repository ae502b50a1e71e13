"""Randomized soak test: runs the daemon as processes and injects external faults."""

from trefoilhook.soak.core import SoakReport, SoakSettings, run_soak
from trefoilhook.soak.findings import (
    FINDINGS_FOLDER,
    describe_finding,
    save_finding,
)

__all__ = [
    "FINDINGS_FOLDER",
    "SoakReport",
    "SoakSettings",
    "describe_finding",
    "save_finding",
    "run_soak",
]
