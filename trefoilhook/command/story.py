"""``story``: shows the history of a job, a task or a worker, from logs."""

from cleo.commands.command import Command
from cleo.helpers import argument

from trefoilhook.command.logs import LOG_OPTION, read_logs
from trefoilhook.story import format_history, select_history

__all__ = ["StoryCommand"]

_NOTHING_FOUND = 1


class StoryCommand(Command):
    """Merges the logs of instances into the history of one id."""

    name = "story"
    description = "Show the history of a job, a task or a worker, from logs."
    arguments = [
        argument("id", "Id of a job, of a task (ID.K.STEP.INDEX) or a worker.")
    ]
    options = [LOG_OPTION]

    def handle(self) -> int:
        """Run the command."""
        lines = read_logs(self.option("log"))
        history = select_history(lines, self.argument("id"))
        for text in format_history(history):
            self.line(text)
        return 0 if history else _NOTHING_FOUND
