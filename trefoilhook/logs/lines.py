"""Compact JSON lines on standard output that never block the process.

A reader that stops reading fills the pipe; a plain write would then stop the process
and with it every decision. Here lines that the pipe doesn't take wait in a bounded
buffer, and past that they are counted, and the count is written once there is room.
"""

import json
import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

__all__ = ["LineWriter", "configure_line_logs"]

_BUFFER_BYTES = 262_144
"""Most bytes of lines that wait for the reader: some 1,500 lines, a few seconds of a
burst, and a thousandth of an instance's memory."""


@attrs.define(kw_only=True)
class LineWriter:
    """Writes lines to a descriptor without ever waiting for it.

    Parameters
    ----------
    write : callable
        Writes bytes and returns how many were taken; raises ``BlockingIOError`` when
        there is no room.
    limit_bytes : int
        Most bytes that wait.

    Attributes
    ----------
    dropped : int
        Lines lost since the last one that told so.
    """

    write: Callable[[bytes], int]
    limit_bytes: int = _BUFFER_BYTES
    dropped: int = 0
    _waiting: bytearray = attrs.Factory(bytearray)

    def add(self, line: str) -> None:
        """Write a line, or keep it, or count it as lost."""
        self._flush()
        if len(self._waiting) + len(line) > self.limit_bytes:
            self.dropped += 1
            return
        if self.dropped:
            self._waiting += f'{{"event":1005,"dropped":{self.dropped}}}\n'.encode()
            self.dropped = 0
        self._waiting += line.encode() + b"\n"
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            try:
                taken = self.write(bytes(self._waiting))
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: the lines are lost, the process goes on.
                self._waiting.clear()
                return
            del self._waiting[:taken]


def configure_line_logs(*, instance: str, level: str = "INFO") -> None:
    """Send events to standard output, one compact JSON object a line.

    Parameters
    ----------
    instance : str
        Name of this instance, put into every line.
    level : str, optional
        Least level that is written.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = LineWriter(write=lambda data: os.write(descriptor, data))

    def take(message: "Message") -> None:
        record = message.record
        line = {
            "t": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "instance": instance,
            **record["extra"],
        }
        writer.add(json.dumps(line, separators=(",", ":"), default=str))

    logger.remove()
    logger.add(take, level=level, format="{message}", catch=False)
