"""The command-line application with all commands."""

from cleo.application import Application

from trefoilhook import __version__
from trefoilhook.command import cluster, configuration, jobs
from trefoilhook.command.account import AccountCommand
from trefoilhook.command.burn import BurnCommand
from trefoilhook.command.client import Send
from trefoilhook.command.core import ApiCommand, CommandSpec
from trefoilhook.command.evacuations import EvacuationsCommand
from trefoilhook.command.idle_jobs import IdleJobsCommand
from trefoilhook.command.interruptions import InterruptionsCommand
from trefoilhook.command.story import StoryCommand

__all__ = ["SPECS", "build_application"]

SPECS: tuple[CommandSpec, ...] = (
    *configuration.SPECS,
    *jobs.SPECS,
    *cluster.SPECS,
)


def build_application(*, send: Send | None = None) -> Application:
    """Build the command-line application.

    Parameters
    ----------
    send : callable, optional
        Sends a request; defaults to sending to the address in the options.
    """
    application = Application("trefoilhook", __version__)
    for spec in SPECS:
        application.add(ApiCommand(spec=spec, send=send))
    application.add(StoryCommand())
    application.add(BurnCommand())
    application.add(AccountCommand())
    application.add(EvacuationsCommand())
    application.add(InterruptionsCommand())
    application.add(IdleJobsCommand())
    return application
