"""Sending over TCP without waiting, and a stream with a time-out on sends."""

import trio

__all__ = ["TimedTransport", "send_without_waiting"]


def send_without_waiting(
    socket: trio.socket.SocketType, data: bytes | bytearray | memoryview
) -> int:
    """Send what fits into the socket's buffer, without a checkpoint.

    Returns
    -------
    int
        Number of bytes sent; 0 after an error, which the stream's ``send_all`` then
        raises as its own type.
    """
    try:
        sent: int = socket._sock.send(data)  # type: ignore[attr-defined]
    except OSError:
        return 0
    return sent


class TimedTransport(trio.abc.HalfCloseableStream):
    """A socket stream that breaks if the client doesn't read the data sent to it.

    Parameters
    ----------
    raw : trio.SocketStream
        The stream of the connection.
    send_timeout_s : float
        Time-out of each send, in s.

    Attributes
    ----------
    is_stalled : bool
        Whether a send has timed out.
    """

    def __init__(self, raw: trio.SocketStream, *, send_timeout_s: float) -> None:
        self._raw = raw
        self._send_timeout_s = send_timeout_s
        self.is_stalled = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all data, without a checkpoint if it fits into the socket's buffer.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken, or the client doesn't read the data in time.
        """
        # Most responses fit into the socket's buffer; this saves them the cost of a
        # cancel scope.
        sent = send_without_waiting(self._raw.socket, data)
        if sent == len(data):
            return
        with trio.move_on_after(self._send_timeout_s) as scope:
            await self._raw.send_all(memoryview(data)[sent:])
        if scope.cancelled_caught:
            self.is_stalled = True
            raise trio.BrokenResourceError("the client did not read the data in time")

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket is likely to accept data."""
        await self._raw.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half of the connection."""
        await self._raw.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Return the next data, or no bytes at the end of the connection."""
        return await self._raw.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._raw.aclose()
