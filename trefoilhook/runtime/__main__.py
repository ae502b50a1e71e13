"""Entry point of the process on the users' platform."""

import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import trio

from trefoilhook.clock import build_boot_clock
from trefoilhook.exceptions import SettingsError
from trefoilhook.logs import configure_line_logs
from trefoilhook.platform import SETTINGS_VARIABLE, parse_settings
from trefoilhook.runtime.core import Process

__all__ = ["main"]

_EXIT_SETTINGS = 2


async def _run(process: Process) -> None:
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            nursery.start_soon(_wait_for_signal, signals, stop)
            await process.run(stop)
            nursery.cancel_scope.cancel()


async def _wait_for_signal(signals: AsyncIterator[int], stop: trio.Event) -> None:
    async for _ in signals:
        stop.set()


def main() -> int:
    """Run one process until it is asked to stop.

    Returns
    -------
    int
        0 after a graceful stop, 2 if the settings can't be read.
    """
    try:
        text = Path(os.environ[SETTINGS_VARIABLE]).read_text(encoding="utf-8")
        settings = parse_settings(text)
    except (KeyError, OSError, SettingsError) as error:
        print(f"the settings can't be read: {error!r}", file=sys.stderr)
        return _EXIT_SETTINGS
    configure_line_logs(instance=settings.name)
    trio.run(_run, Process(settings=settings, clock=build_boot_clock()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
