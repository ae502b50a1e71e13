"""``story``: what happened to a job, a task or a worker, out of log files."""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from trefoilhook.story import LogLine, read_lines, select_story, tell_story

__all__ = ["StoryCommand"]

_NOTHING_FOUND = 1


class StoryCommand(Command):
    """Merges the logs of instances into the story of one id."""

    name = "story"
    description = "Tell what happened to a job, a task or a worker, out of logs."
    arguments = [
        argument("id", "Id of a job, of a task (ID.K.STEP.INDEX) or a worker.")
    ]
    options = [
        option(
            "log",
            description="A log file; repeatable. Without any, standard input is read.",
            flag=False,
            multiple=True,
        )
    ]

    def handle(self) -> int:
        """Run the command."""
        lines: list[LogLine] = []
        for name in self.option("log"):
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                lines.extend(read_lines(file))
        if not self.option("log"):
            lines.extend(read_lines(sys.stdin))
        story = select_story(lines, self.argument("id"))
        for text in tell_story(story):
            self.line(text)
        return 0 if story else _NOTHING_FOUND
