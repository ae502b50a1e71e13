"""``trefoilhookd``: command line entry point that runs one instance."""

import json
import signal
import sys
from pathlib import Path

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from trefoilhook import __version__
from trefoilhook.clock import build_system_clock
from trefoilhook.daemon.core import Addresses, Instance
from trefoilhook.daemon.settings import DaemonSettings
from trefoilhook.exceptions import SettingsError
from trefoilhook.logs import configure_logs
from trefoilhook.settings import dump_json, load_settings

__all__ = ["main"]

_INVALID_SETTINGS_EXIT_CODE = 2


class _DaemonCommand(Command):
    """Runs one instance until it receives a termination signal."""

    name = "run"
    description = "Run one instance of trefoilhook."
    options = [
        option("settings", "s", "Settings file, JSON.", flag=False),
        option("check-settings", None, "Check the settings file and stop."),
        option("print-addresses", None, "Print the ports as JSON once listening."),
    ]

    def handle(self) -> int:
        """Validate the settings, then run the instance."""
        path = self.option("settings")
        try:
            settings = load_settings(DaemonSettings, Path(path)) if path else None
        except SettingsError as error:
            self.line_error(str(error))
            return _INVALID_SETTINGS_EXIT_CODE
        if settings is None:
            self.line_error("--settings FILE is required")
            return _INVALID_SETTINGS_EXIT_CODE
        if self.option("check-settings"):
            self.line("The settings are valid.")
            return 0
        configure_logs(level=settings.logs.level, as_json=settings.logs.is_json)
        trio.run(_run, settings, bool(self.option("print-addresses")))
        return 0


async def _run(settings: DaemonSettings, is_printing: bool) -> None:
    instance = Instance(settings=settings, clock=build_system_clock())
    async with trio.open_nursery() as signals:
        signals.start_soon(_wait_for_signal, instance, signals.cancel_scope)
        async with trio.open_nursery() as nursery:
            addresses: Addresses = await nursery.start(instance.run)
            if is_printing:
                sys.stdout.write(f"{json.dumps(dump_json(addresses))}\n")
                sys.stdout.flush()
        signals.cancel_scope.cancel()


async def _wait_for_signal(instance: Instance, scope: trio.CancelScope) -> None:
    """Shut down gracefully on the first signal, immediately on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if instance.is_leaving:
                scope.cancel()
                return
            instance.begin_shutdown()


def main() -> None:
    """Run the command line application and exit with its exit code."""
    application = Application("trefoilhookd", __version__)
    application.add(_DaemonCommand())
    program, *arguments = sys.argv
    sys.exit(application.run(ArgvInput([program, _DaemonCommand.name, *arguments])))


if __name__ == "__main__":
    main()
