"""The story of one request, out of the logs of several instances."""

from trefoilhook.story.core import LogLine, read_lines, select_story, tell_story

__all__ = ["LogLine", "read_lines", "select_story", "tell_story"]
