"""HTTP API for callers."""

from trefoilhook.entry.core import build_entry_handler

__all__ = ["build_entry_handler"]
