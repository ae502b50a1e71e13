"""An HTTP/1.1 client that reports whether a failed request may have been sent.

This decides whether a request may be retried: a failure before the first byte is sent
proves that the request was not run; after a later failure the outcome is unknown.
"""

import functools
import math
import ssl
from collections import deque
from collections.abc import Callable

import attrs
import h11
import trio

from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    TransportFailure,
)
from trefoilhook.http.core import Headers, HttpRequest, HttpResponse
from trefoilhook.http.idle import IdleLimit
from trefoilhook.http.transport import send_without_waiting

__all__ = ["Connection", "HttpClient", "NoteReceived"]

NoteReceived = Callable[[int], None]

_MAX_RECEIVE_MS = 10_000.0
"""Maximum time to receive a response that keeps coming, in ms. A response of the
maximum size takes 7 s at 10 Mbit/s."""

_READ_BYTES = 65_536
_MS_PER_S = 1000.0
_PEEK = trio.socket.MSG_PEEK
_END_OF_MESSAGE = h11.EndOfMessage()


@attrs.define(kw_only=True, eq=False)
class Connection:
    """An open connection and the state of its protocol."""

    stream: trio.abc.Stream
    protocol: h11.Connection
    socket: trio.socket.SocketType


def _ignore_received(count: int) -> None:
    """Do nothing."""


def _is_stale(connection: Connection) -> bool:
    """Tell whether an idle connection has been closed by the peer.

    An idle connection is readable only once it is closed. Peeking detects that without
    sending anything, so that the request is still known not to have been sent.
    """
    try:
        connection.socket._sock.recv(1, _PEEK)  # type: ignore[attr-defined]
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def _classify_failure(
    error: BaseException, protocol: h11.Connection | None = None
) -> TransportFailure:
    """Map the error that ended an exchange to a kind of failure."""
    if isinstance(error, trio.TooSlowError):
        return TransportFailure.TIMED_OUT
    if isinstance(error, trio.BrokenResourceError):
        return TransportFailure.CLOSED
    if isinstance(error, h11.RemoteProtocolError) and protocol is not None:
        _, has_ended = protocol.trailing_data
        return TransportFailure.CLOSED if has_ended else TransportFailure.OTHER
    # A failed connection attempt raises a group with one error for each address.
    causes = getattr(error.__cause__, "exceptions", (error,))
    if any(isinstance(cause, ConnectionRefusedError) for cause in causes):
        return TransportFailure.REFUSED
    return TransportFailure.OTHER


class HttpClient:
    """A pool of connections to one server.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        Port of the server.
    max_connections : int, optional
        Maximum number of open connections; further requests wait.
    max_response_bytes : int, optional
        Maximum size of a response body, in bytes.
    tls : ssl.SSLContext, optional
        TLS client context; plain TCP if None.
    idle_limit : IdleLimit, optional
        Limit on the idle connections that this client shares with others.
    max_cached_heads : int, optional
        Maximum number of validated request heads that are kept for later requests, for
        a client whose requests differ little. Each holds the headers in memory.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        max_connections: int = 64,
        max_response_bytes: int = 8_388_608,
        tls: ssl.SSLContext | None = None,
        idle_limit: IdleLimit[Connection] | None = None,
        max_cached_heads: int = 0,
    ) -> None:
        self._idle_limit = idle_limit
        self._build_head = functools.lru_cache(maxsize=max_cached_heads)(_build_head)
        self._host = host
        self._port = port
        self._tls = tls
        self._limiter = trio.CapacityLimiter(max_connections)
        self._max_response_bytes = max_response_bytes
        self._idle: deque[Connection] = deque()

    async def send(
        self,
        request: HttpRequest,
        *,
        timeout_ms: float = math.inf,
        pause_ms: float = 0.0,
        note_received: NoteReceived | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Parameters
        ----------
        request : HttpRequest
            The request.
        timeout_ms : float, optional
            Time-out of the exchange, in ms.
        pause_ms : float, optional
            Time-out between two parts of the response, in ms. If given, the exchange
            goes on beyond ``timeout_ms`` while the response is being received, for 10 s
            at most. A large response would otherwise never be received over a slow
            link.
        note_received : callable, optional
            Called with the number of bytes of each part of the response received.

        Raises
        ------
        NotSentError
            If it failed or timed out before any byte may have been sent.
        AnswerLostError
            If it failed or timed out afterwards.
        """
        deadline = trio.current_time() + timeout_ms / _MS_PER_S
        async with self._limit_connections(deadline):
            connection = await self._acquire(deadline)
            keep = False
            try:
                receipt = _Receipt(
                    pause_s=pause_ms / _MS_PER_S,
                    note_received=note_received or _ignore_received,
                    scope=trio.CancelScope(deadline=deadline),
                )
                response = await self._exchange(connection, request, receipt)
                keep = connection.protocol.our_state is h11.DONE
                keep = keep and connection.protocol.their_state is h11.DONE
                return response
            finally:
                await self._release(connection, keep=keep)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await trio.aclose_forcefully(self._pop_idle().stream)

    def _pop_idle(self) -> Connection:
        connection = self._idle.pop()
        if self._idle_limit is not None:
            self._idle_limit.discard(connection)
        return connection

    def _limit_connections(self, deadline: float) -> "_Turn":
        return _Turn(limiter=self._limiter, deadline=deadline)

    async def _acquire(self, deadline: float) -> Connection:
        while self._idle:
            connection = self._pop_idle()
            if not _is_stale(connection):
                return connection
            await trio.aclose_forcefully(connection.stream)
        try:
            with trio.fail_at(deadline):
                return await self._open()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise NotSentError(
                f"no connection to {self._host}:{self._port}",
                failure=_classify_failure(error),
            ) from error

    async def _open(self) -> Connection:
        raw = await trio.open_tcp_stream(self._host, self._port)
        stream: trio.abc.Stream = raw
        if self._tls is not None:
            secure = trio.SSLStream(raw, self._tls, server_hostname=self._host)
            await secure.do_handshake()
            stream = secure
        return Connection(
            stream=stream, protocol=h11.Connection(h11.CLIENT), socket=raw.socket
        )

    async def _release(self, connection: Connection, *, keep: bool) -> None:
        if keep:
            connection.protocol.start_next_cycle()
            self._idle.append(connection)
            if self._idle_limit is None:
                return
            excess = self._idle_limit.add(connection, self._idle)
            if excess is None:
                return
            connection = excess
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(connection.stream)

    async def _exchange(
        self,
        connection: Connection,
        request: HttpRequest,
        receipt: "_Receipt",
    ) -> HttpResponse:
        try:
            with receipt.scope:
                await _send(connection, self._encode(connection, request))
                return await self._receive(connection, receipt)
            raise trio.TooSlowError
        except (
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            raise AnswerLostError(
                f"no whole answer from {self._host}:{self._port}",
                failure=_classify_failure(error, connection.protocol),
            ) from error

    def _encode(self, connection: Connection, request: HttpRequest) -> bytes:
        body = request.body
        head = self._build_head(
            f"{self._host}:{self._port}",
            request.method,
            request.target,
            request.headers,
            len(body),
        )
        data = connection.protocol.send(head)
        data += connection.protocol.send(h11.Data(data=body))
        data += connection.protocol.send(_END_OF_MESSAGE)
        return data

    def _check_size(self, size: int) -> None:
        if size > self._max_response_bytes:
            raise AnswerLostError(
                f"response body over {self._max_response_bytes} bytes"
            )

    async def _receive(
        self, connection: Connection, receipt: "_Receipt"
    ) -> HttpResponse:
        protocol = connection.protocol
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await connection.stream.receive_some(_READ_BYTES)
                protocol.receive_data(bytes(data))
                receipt.note(len(data))
            elif isinstance(event, h11.Response):
                head = event
                self._check_size(_read_length(event))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                self._check_size(size)
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return HttpResponse(
                    status=head.status_code,
                    headers=tuple(
                        (name.decode("latin-1"), value.decode("latin-1"))
                        for name, value in head.headers
                    ),
                    body=b"".join(chunks),
                )
            elif isinstance(event, h11.ConnectionClosed):
                raise AnswerLostError(
                    "connection closed before the end of the response",
                    failure=TransportFailure.CLOSED,
                )


def _build_head(
    host: str, method: str, target: str, headers: Headers, body_bytes: int
) -> h11.Request:
    """Return the validated head of a request with a body of ``body_bytes`` bytes."""
    length = ("content-length", str(body_bytes))
    return h11.Request(
        method=method, target=target, headers=[("host", host), *headers, length]
    )


async def _send(connection: Connection, data: bytes) -> None:
    """Send all data, without a turn of the event loop if it fits into the buffer.

    Nothing is sent once the exchange is cancelled. The receipt that follows always
    yields to other tasks.
    """
    await trio.lowlevel.checkpoint_if_cancelled()
    sent = 0
    if isinstance(connection.stream, trio.SocketStream):
        sent = send_without_waiting(connection.socket, data)
    if sent < len(data):
        await connection.stream.send_all(memoryview(data)[sent:])


def _read_length(head: h11.Response) -> int:
    """Return the declared size of the body, in bytes; 0 if it is not declared."""
    for name, value in head.headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


@attrs.define(kw_only=True, eq=False)
class _Receipt:
    """Receipt of one response, which extends the deadline of its exchange.

    Parameters
    ----------
    pause_s : float
        Time-out between two parts, in s; 0 does not extend the deadline.
    note_received : callable
        Called with the number of bytes of each part.
    scope : trio.CancelScope
        Scope of the exchange.
    """

    pause_s: float
    note_received: NoteReceived
    scope: trio.CancelScope
    _until_s: float | None = attrs.field(default=None, init=False)

    def note(self, count: int) -> None:
        """Record that ``count`` bytes were received."""
        if not count:
            return
        self.note_received(count)
        if not self.pause_s:
            return
        now_s = trio.current_time()
        if self._until_s is None:
            self._until_s = now_s + _MAX_RECEIVE_MS / _MS_PER_S
        extended_s = min(now_s + self.pause_s, self._until_s)
        self.scope.deadline = max(self.scope.deadline, extended_s)


class _Turn:
    """Context manager that holds one of the client's connection slots."""

    def __init__(self, *, limiter: trio.CapacityLimiter, deadline: float) -> None:
        self._limiter = limiter
        self._deadline = deadline
        self._borrower = object()

    async def __aenter__(self) -> None:
        if trio.current_time() >= self._deadline:
            raise NotSentError(
                "deadline passed before the request was sent",
                failure=TransportFailure.TIMED_OUT,
            )
        try:
            self._limiter.acquire_on_behalf_of_nowait(self._borrower)
            return
        except trio.WouldBlock:
            pass
        try:
            with trio.fail_at(self._deadline):
                await self._limiter.acquire_on_behalf_of(self._borrower)
        except trio.TooSlowError as error:
            raise NotSentError(
                "deadline passed while all connections were in use",
                failure=TransportFailure.BUSY,
            ) from error

    async def __aexit__(self, *_: object) -> None:
        self._limiter.release_on_behalf_of(self._borrower)
