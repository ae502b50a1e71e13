"""Entry point of the scheduler on the users' platform."""

import argparse
import gc
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import trio

from trefoilhook.clock import Clock, build_boottime_clock
from trefoilhook.exceptions import SettingsError
from trefoilhook.logs import Event, configure_line_logs, log_event
from trefoilhook.platform import SETTINGS_VARIABLE, parse_settings
from trefoilhook.runtime.core import Process
from trefoilhook.scheduling import Features

__all__ = ["SettingsFile", "configure_garbage_collector", "main"]

_EXIT_SETTINGS = 2

_SETTINGS_CHECK_PERIOD_MS = 1000.0
"""Pause between two checks of the settings file, in ms. The file may change without a
signal, and reading its two kilobytes is cheap."""


_YOUNG_OBJECTS = 10_000
"""Number of new objects after which the garbage collector looks for cycles among them.
Most objects of an exchange with a worker are freed without it, but live for longer than
700 allocations, the default, so that each would be scanned two or three times. They
take about 2 MB."""


class SettingsFile:
    """Reloads a process when its settings file has changed.

    Parameters
    ----------
    path : Path
        Path of the file.
    text : str
        Content of the file when the process was started.
    process : Process
        Process to reload.
    """

    def __init__(self, *, path: Path, text: str, process: Process) -> None:
        self._path = path
        self._text = text
        self._process = process

    def check(self) -> None:
        """Reload the settings if the file has changed; log and ignore invalid ones."""
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return
            self._text = text
            self._process.reload(parse_settings(text))
        except (OSError, SettingsError) as error:
            log_event(Event.SETTINGS_INVALID, error=str(error))

    async def watch(self, clock: Clock) -> None:
        """Check the file periodically, until cancelled."""
        while True:
            await clock.sleep_ms(_SETTINGS_CHECK_PERIOD_MS)
            self.check()


async def _run(process: Process, file: SettingsFile, clock: Clock) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            nursery.start_soon(_take_signals, signals, stop, file)
            nursery.start_soon(file.watch, clock)
            await process.run(stop)
            nursery.cancel_scope.cancel()


async def _take_signals(
    signals: AsyncIterator[int], stop: trio.Event, file: SettingsFile
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            file.check()
        else:
            stop.set()


def _parse_arguments() -> argparse.Namespace:
    # Does not use the command-line library of the operators' tool, which takes longer
    # to import than the whole process.
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--metrics-port", type=int, help="serve metrics at this port")
    parser.add_argument(
        "--disable",
        action="append",
        default=[],
        choices=[field.name for field in attrs.fields(Features)],
        help="switch off an optional decision of the scheduler",
    )
    return parser.parse_args()


def configure_garbage_collector() -> None:
    """Reduce the work of the garbage collector.

    What has been imported stays for the life of the process and is not scanned again.
    """
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, *gc.get_threshold()[1:])


def main() -> int:
    """Run the process until it is asked to stop.

    Returns
    -------
    int
        0 after a graceful stop, 2 if the settings are invalid.
    """
    arguments = _parse_arguments()
    try:
        path = Path(os.environ[SETTINGS_VARIABLE])
        text = path.read_text(encoding="utf-8")
        settings = parse_settings(text)
    except (KeyError, OSError, SettingsError) as error:
        print(f"cannot read the settings: {error!r}", file=sys.stderr)
        return _EXIT_SETTINGS
    configure_garbage_collector()
    configure_line_logs(instance=settings.name)
    clock = build_boottime_clock()
    process = Process(
        settings=settings,
        clock=clock,
        metrics_port=arguments.metrics_port,
        features=Features(**dict.fromkeys(arguments.disable, False)),
    )
    file = SettingsFile(path=path, text=text, process=process)
    trio.run(_run, process, file, clock)
    return 0


if __name__ == "__main__":
    sys.exit(main())
