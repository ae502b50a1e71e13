"""Numbered log events, written as JSON lines."""

from trefoilhook.logs.core import configure_logs, log_event
from trefoilhook.logs.events import Event, Level
from trefoilhook.logs.failures import describe_failure, find_cause
from trefoilhook.logs.lines import LineWriter, configure_line_logs
from trefoilhook.logs.outages import CallFailure, OutageLog

__all__ = [
    "CallFailure",
    "OutageLog",
    "Event",
    "Level",
    "LineWriter",
    "configure_line_logs",
    "configure_logs",
    "describe_failure",
    "find_cause",
    "log_event",
]
