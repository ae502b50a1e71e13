"""Numbered log events, written as JSON lines."""

from trefoilhook.logs.core import configure_logs, log_event
from trefoilhook.logs.events import Event, Level

__all__ = ["Event", "Level", "configure_logs", "log_event"]
