"""Connections under watch: how long each has been silent, and how to cut it."""

import asyncio
import fcntl
import struct
import termios
from typing import Any

from grpclib.protocol import H2Protocol

__all__ = ["ConnectionWatch", "WatchedProtocol"]


class WatchedProtocol(H2Protocol):
    """grpclib's protocol, with a count of what arrives and a way to cut it.

    Parameters
    ----------
    inner : H2Protocol
        The protocol as grpclib made it.
    watch : ConnectionWatch
        Keeps the connection while it is open.
    """

    def __init__(self, *, inner: H2Protocol, watch: "ConnectionWatch") -> None:
        super().__init__(inner.handler, inner.config, inner.h2_config)
        self.bytes_received = 0
        self.silent_intervals = 0
        self._bytes_at_last_check = 0
        self._watch = watch
        self._raw: asyncio.WriteTransport | None = None

    @property
    def address(self) -> Any:
        """Address of the other end."""
        return None if self._raw is None else self._raw.get_extra_info("peername")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to watch the connection."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._raw = transport
        self._watch.add(self)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count bytes on their way to the HTTP/2 state machine."""
        self.bytes_received += len(data)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop watching the connection."""
        self._watch.discard(self)
        super().connection_lost(exc)

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the other end's machine has not acknowledged yet.

        Bytes in the kernel's send queue count: a connection that is cut while
        something waits to be read on it is reset, and a reset drops that queue.
        """
        if self._raw is None or self._raw.is_closing():
            return 0
        return self._raw.get_write_buffer_size() + self._read_send_queue()

    def _read_send_queue(self) -> int:
        assert self._raw is not None
        connection = self._raw.get_extra_info("socket")
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
        return int(struct.unpack("i", answer)[0])

    def cut(self) -> None:
        """Drop the connection at once, with whatever is still buffered."""
        if self._raw is not None:
            self._raw.abort()

    def count_silence(self) -> int:
        """Count one more interval; return for how many nothing has arrived."""
        if self.bytes_received != self._bytes_at_last_check:
            self.silent_intervals = 0
        else:
            self.silent_intervals += 1
        self._bytes_at_last_check = self.bytes_received
        return self.silent_intervals


class ConnectionWatch:
    """Every open connection of an instance, dialled or accepted."""

    def __init__(self) -> None:
        self._protocols: set[WatchedProtocol] = set()
        self._closed_bytes = 0

    @property
    def bytes_received(self) -> int:
        """Bytes received so far on all connections, closed ones included."""
        open_bytes = sum(protocol.bytes_received for protocol in self._protocols)
        return self._closed_bytes + open_bytes

    @property
    def undelivered_bytes(self) -> int:
        """Bytes not acknowledged yet on all connections."""
        return sum(protocol.undelivered_bytes for protocol in self._protocols)

    def wrap(self, inner: H2Protocol) -> WatchedProtocol:
        """Return the watched form of a protocol that grpclib made."""
        return WatchedProtocol(inner=inner, watch=self)

    def add(self, protocol: WatchedProtocol) -> None:
        """Begin to watch."""
        self._protocols.add(protocol)

    def discard(self, protocol: WatchedProtocol) -> None:
        """Stop watching."""
        if protocol in self._protocols:
            self._protocols.remove(protocol)
            self._closed_bytes += protocol.bytes_received

    def find(self, address: Any) -> WatchedProtocol | None:
        """Return the connection whose other end has the address."""
        for protocol in self._protocols:
            if protocol.address == address:
                return protocol
        return None

    def cut_silent(self, *, max_silent_intervals: int) -> int:
        """Count an interval on each connection and cut those silent for too long.

        Guards against connections that go silent for good because something between
        the two ends lost track of them: sends seem to succeed and nothing ever comes
        back, while a new connection would work. A live peer sends a heartbeat each
        interval, so a connection with no byte for several is dead. Intervals are
        counted by ticks, not by the clock: a process that was frozen itself finds
        one tick gone by, reads what has arrived, and cuts nothing.

        Parameters
        ----------
        max_silent_intervals : int
            Intervals without a byte after which a connection is cut.

        Returns
        -------
        int
            Number of connections cut.
        """
        silent = [
            protocol
            for protocol in self._protocols
            if protocol.count_silence() > max_silent_intervals
        ]
        for protocol in silent:
            protocol.cut()
        return len(silent)

    def cut_all(self) -> None:
        """Cut every connection."""
        for protocol in list(self._protocols):
            protocol.cut()
