"""Interruptions of service tasks over all owners of their shard, from logs."""

from trefoilhook.interruptions.core import (
    Interruption,
    InterruptionReport,
    OwnerWait,
    RunEnd,
    Wait,
)
from trefoilhook.interruptions.report import build_interruption_report
from trefoilhook.interruptions.text import render_text

__all__ = [
    "Interruption",
    "InterruptionReport",
    "OwnerWait",
    "RunEnd",
    "Wait",
    "build_interruption_report",
    "render_text",
]
