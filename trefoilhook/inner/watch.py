"""Tracking of open connections: received bytes, silent intervals and abort."""

import asyncio
import fcntl
import struct
import termios
from typing import Any

from grpclib.protocol import H2Protocol

__all__ = ["ConnectionWatch", "WatchedProtocol"]


class WatchedProtocol(H2Protocol):
    """grpclib's protocol with a count of received bytes and a way to abort it.

    Parameters
    ----------
    protocol : H2Protocol
        Protocol created by grpclib, whose configuration is copied.
    watch : ConnectionWatch
        Tracks the connection while it is open.
    """

    def __init__(self, *, protocol: H2Protocol, watch: "ConnectionWatch") -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self.bytes_received = 0
        self.silent_intervals = 0
        self._bytes_at_last_check = 0
        self._watch = watch
        self._transport: asyncio.WriteTransport | None = None

    @property
    def address(self) -> Any:
        """Address of the remote end."""
        return (
            None
            if self._transport is None
            else self._transport.get_extra_info("peername")
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start tracking the connection."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport
        self._watch.add(self)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count received bytes and pass them to the HTTP/2 state machine."""
        self.bytes_received += len(data)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop tracking the connection."""
        self._watch.discard(self)
        super().connection_lost(exc)

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes not yet acknowledged by the remote host.

        Includes the kernel's send queue: a connection that is closed with unread
        received data is reset, and a reset discards that queue.
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size() + self._get_send_queue_bytes()

    def _get_send_queue_bytes(self) -> int:
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        result = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return int(struct.unpack("i", result)[0])

    def abort(self) -> None:
        """Close the connection immediately, discarding buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def update_silent_intervals(self) -> int:
        """End an interval; return the number of intervals since data was received."""
        if self.bytes_received != self._bytes_at_last_check:
            self.silent_intervals = 0
        else:
            self.silent_intervals += 1
        self._bytes_at_last_check = self.bytes_received
        return self.silent_intervals


class ConnectionWatch:
    """Set of all open connections of an instance, dialled or accepted."""

    def __init__(self) -> None:
        self._protocols: set[WatchedProtocol] = set()
        self._closed_connection_bytes = 0

    @property
    def bytes_received(self) -> int:
        """Total bytes received on all connections, including closed ones."""
        open_bytes = sum(protocol.bytes_received for protocol in self._protocols)
        return self._closed_connection_bytes + open_bytes

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes not yet acknowledged, over all connections."""
        return sum(protocol.unacknowledged_bytes for protocol in self._protocols)

    def wrap(self, protocol: H2Protocol) -> WatchedProtocol:
        """Return a tracked replacement for a protocol created by grpclib."""
        return WatchedProtocol(protocol=protocol, watch=self)

    def add(self, protocol: WatchedProtocol) -> None:
        """Start tracking a connection."""
        self._protocols.add(protocol)

    def discard(self, protocol: WatchedProtocol) -> None:
        """Stop tracking a connection."""
        if protocol in self._protocols:
            self._protocols.remove(protocol)
            self._closed_connection_bytes += protocol.bytes_received

    def find(self, address: Any) -> WatchedProtocol | None:
        """Return the connection with the given remote address, or None."""
        for protocol in self._protocols:
            if protocol.address == address:
                return protocol
        return None

    def abort_silent(self, *, max_silent_intervals: int) -> int:
        """End an interval and abort the connections that were silent for too long.

        Detects half-open connections, for example those whose state a NAT or firewall
        has dropped: sends appear to succeed and nothing is ever received, although a
        new connection would work. A live peer sends a heartbeat in each interval, so a
        connection without received data for several intervals is dead. Silence is
        counted in timer ticks rather than elapsed time, so that a process resumed
        after a pause counts one tick, reads the buffered data and aborts nothing.

        Parameters
        ----------
        max_silent_intervals : int
            Number of intervals without received data after which a connection is
            aborted.

        Returns
        -------
        int
            Number of connections aborted.
        """
        silent = [
            protocol
            for protocol in self._protocols
            if protocol.update_silent_intervals() > max_silent_intervals
        ]
        for protocol in silent:
            protocol.abort()
        return len(silent)

    def abort_all(self) -> None:
        """Abort every connection."""
        for protocol in list(self._protocols):
            protocol.abort()
