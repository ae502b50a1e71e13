"""History of a job, task or worker, merged from the logs of several instances."""

from trefoilhook.story.core import LogLine, format_history, read_lines, select_history

__all__ = ["LogLine", "format_history", "read_lines", "select_history"]
