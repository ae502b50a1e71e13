"""Non-blocking output of compact JSON lines to standard output.

If the reader of a pipe stalls, the pipe fills up and a blocking write would stall the
whole process. Lines that the pipe doesn't accept are kept in a bounded buffer instead;
lines beyond it are dropped and counted, and the count is written once there is room.
"""

import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs

from trefoilhook.logs.core import set_writer
from trefoilhook.logs.events import Event, Level

__all__ = ["LineWriter", "configure_line_logs"]

_BUFFER_BYTES = 262_144
"""Buffer size: about 1,200 lines, a second of a burst, and a thousandth of the memory
of an instance."""

_encode = json.JSONEncoder(separators=(",", ":"), default=str).encode
"""Shared, as building an encoder for each line takes as long as encoding the line."""

_LEVELS = tuple(Level)
"""Levels in ascending order."""


@attrs.define(kw_only=True)
class LineWriter:
    """Writes lines to a non-blocking file descriptor.

    Parameters
    ----------
    write : callable
        Writes bytes and returns how many were accepted; raises ``BlockingIOError`` if
        the descriptor is not writable.
    limit_bytes : int
        Maximum size of the buffer, in bytes.

    Attributes
    ----------
    dropped : int
        Lines dropped since the count was last written.
    """

    write: Callable[[bytes], int]
    limit_bytes: int = _BUFFER_BYTES
    dropped: int = 0
    _pending: bytearray = attrs.Factory(bytearray)

    def add(self, line: str) -> None:
        """Write a line, or buffer it, or drop it if the buffer is full."""
        self._flush()
        if len(self._pending) + len(line) > self.limit_bytes:
            self.dropped += 1
            return
        if self.dropped:
            self._pending += f'{{"event":1005,"dropped":{self.dropped}}}\n'.encode()
            self.dropped = 0
        self._pending += line.encode() + b"\n"
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = self.write(bytes(self._pending))
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe: the lines are lost, the process continues.
                self._pending.clear()
                return
            del self._pending[:written]


def configure_line_logs(*, instance: str, level: Level = Level.INFO) -> None:
    """Send events to standard output, one compact JSON object a line.

    Bypasses loguru, which takes 40 us more per line: 4 % of a core for an owner that
    starts and ends a thousand tasks per second.

    Parameters
    ----------
    instance : str
        Name of this instance, included in every line.
    level : Level, optional
        Lowest level that is written.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = LineWriter(write=lambda data: os.write(descriptor, data))
    enabled_levels = frozenset(_LEVELS[_LEVELS.index(level) :])

    def write(event: Event, fields: dict[str, Any]) -> None:
        if event.level in enabled_levels:
            writer.add(format_line(event, fields, instance=instance))

    set_writer(write)


def format_line(event: Event, fields: dict[str, Any], *, instance: str) -> str:
    """Return an event as a line of JSON."""
    return _encode(
        {
            "t": round(time.time(), 3),
            "level": event.level.value,
            "instance": instance,
            "event": event.number,
            "event_name": event.name,
            **fields,
        }
    )
