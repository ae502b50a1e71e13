"""A TCP stream of a server whose sends are limited in time."""

import trio

__all__ = ["TimedTransport"]


class TimedTransport(trio.abc.HalfCloseableStream):
    """A socket stream that disconnects a client that doesn't take what is sent.

    Parameters
    ----------
    raw : trio.SocketStream
        The connection.
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
        """Send all data; what the socket takes at once is sent without a checkpoint.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken, or the client doesn't take the data in time.
        """
        # Most responses fit into the socket's buffer; only the others incur the cost of
        # a cancel scope.
        sent = self._send_at_once(data)
        if sent == len(data):
            return
        with trio.move_on_after(self._send_timeout_s) as scope:
            await self._raw.send_all(memoryview(data)[sent:])
        if scope.cancelled_caught:
            self.is_stalled = True
            raise trio.BrokenResourceError("the client doesn't take what is sent")

    def _send_at_once(self, data: bytes | bytearray | memoryview) -> int:
        try:
            sent: int = self._raw.socket._sock.send(data)  # type: ignore[attr-defined]
        except OSError:
            # The ordinary way of sending waits, or raises the error of the stream.
            return 0
        return sent

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket takes data."""
        await self._raw.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half of the connection."""
        await self._raw.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Return the next data, or nothing at the end of the connection."""
        return await self._raw.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._raw.aclose()
