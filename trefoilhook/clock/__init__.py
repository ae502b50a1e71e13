"""Clocks, in milliseconds."""

from trefoilhook.clock.core import (
    Clock,
    build_boottime_clock,
    build_manual_clock,
    build_system_clock,
)
from trefoilhook.clock.manual import ManualTime

__all__ = [
    "Clock",
    "ManualTime",
    "build_boottime_clock",
    "build_manual_clock",
    "build_system_clock",
]
