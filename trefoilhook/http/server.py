"""An HTTP/1.1 server over trio streams."""

import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import urlsplit

import attrs
import h11
import trio

from trefoilhook.http.core import (
    ConnectionLoss,
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from trefoilhook.http.transport import TimedTransport
from trefoilhook.logs import Event, log_event

__all__ = ["HttpServer"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
CountLoss = Callable[[ConnectionLoss], None]

_READ_BYTES = 65_536
_MS_PER_S = 1000.0

_LINGER_MS = 1000.0
"""Maximum time to read from a refused connection before closing it, in ms. It allows
data in transit to arrive; a client that has read the refusal may close it sooner."""

_MAX_REJECTIONS = 100
"""Maximum number of connections over the limit that are answered with status 503 at
the same time; further ones are closed at once, so that they can't exhaust file
descriptors."""

_REJECTION_RESPONSE = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)

_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE")
"""Methods that are passed to the handler, which may refuse them for a path."""

_FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})

_STATUSES_WITHOUT_CONTENT = (204, 304)
"""Statuses of responses that have no content (RFC 9110, section 6.4.1)."""


@attrs.frozen(kw_only=True, eq=False)
class _RefusedError(Exception):
    """The request is refused without being handled."""

    status: int


@attrs.define(kw_only=True, eq=False)
class _ReceivedRequest:
    """A request, with the properties that determine the framing of its response."""

    request: HttpRequest
    is_head: bool
    closes_connection: bool


class HttpServer:
    """A server that passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function called for each request. An exception is answered with
        status 500, except that ``trio.BrokenResourceError`` and
        ``trio.ClosedResourceError`` close the connection without a response.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    limits : HttpLimits, optional
        Limits on connections and requests.
    tls : ssl.SSLContext, optional
        TLS server context; plain TCP if None.
    count_loss : callable, optional
        Called with the reason for each connection that the server aborts.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        host: str,
        port: int,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
        count_loss: CountLoss | None = None,
    ) -> None:
        self._handler = handler
        self._count_loss = count_loss
        self._host = host
        self._port = port
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._open_connections = 0
        self._rejections = 0
        self._idle_scopes: set[trio.CancelScope] = set()
        self._draining = False
        self._busy = 0
        self._listen_scope = trio.CancelScope()
        self._closed = trio.Event()
        self.port = port

    @property
    def open_connections(self) -> int:
        """Number of connections being served."""
        return self._open_connections

    @property
    def busy(self) -> int:
        """Number of requests being handled."""
        return self._busy

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or drained; reports the port once it is listening."""
        listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        self.port = listeners[0].socket.getsockname()[1]
        try:
            async with trio.open_nursery() as connections:
                with self._listen_scope:
                    await trio.serve_listeners(
                        self.serve_connection,
                        listeners,
                        handler_nursery=connections,
                        task_status=_PortStatus(task_status, self.port),
                    )
        finally:
            self._closed.set()

    async def drain(self, *, grace_ms: float) -> None:
        """Stop accepting connections, complete the requests in progress, then return.

        Parameters
        ----------
        grace_ms : float
            How long idle connections stay open, in ms. A request that a client sends
            on one during this time is answered with ``Connection: close``, instead of
            being cut off by a connection that is closed at the same moment.
        """
        self._draining = True
        self._listen_scope.cancel()
        with trio.move_on_after(grace_ms / _MS_PER_S):
            await self._closed.wait()
            return
        for scope in list(self._idle_scopes):
            scope.cancel()
        await self._closed.wait()

    async def serve_connection(self, raw: trio.SocketStream) -> None:
        """Serve one accepted connection until it is closed.

        An exception, other than a cancellation, ends only this connection; if it
        reached the listener's nursery, it would cancel all others.
        """
        try:
            if self._open_connections >= self._limits.max_connections:
                await self._reject(raw)
                return
            self._open_connections += 1
            try:
                await self._serve_stream(raw)
            finally:
                self._open_connections -= 1
        except Exception as error:
            log_event(Event.CONNECTION_FAILED, port=self.port, error=repr(error))
            self._note_loss(ConnectionLoss.FAILED)

    def _note_loss(self, loss: ConnectionLoss) -> None:
        if self._count_loss is not None:
            self._count_loss(loss)

    async def _reject(self, raw: trio.SocketStream) -> None:
        """Answer with status 503, or close at once under TLS or over the maximum."""
        log_event(Event.CONNECTION_REJECTED, port=self.port)
        self._note_loss(ConnectionLoss.REJECTED)
        is_answered = self._tls is None and self._rejections < _MAX_REJECTIONS
        self._rejections += 1
        try:
            if is_answered:
                await raw.send_all(_REJECTION_RESPONSE)
                await self._linger(raw)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._rejections -= 1
            await trio.aclose_forcefully(raw)

    async def _serve_stream(self, raw: trio.SocketStream) -> None:
        transport = TimedTransport(
            raw, send_timeout_s=self._limits.idle_timeout_ms / _MS_PER_S
        )
        stream: trio.abc.Stream = transport
        try:
            if self._tls is not None:
                stream = trio.SSLStream(transport, self._tls, server_side=True)
            connection = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
            )
            await self._serve_requests(stream, connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if _is_tls_failure(error.__cause__):
                raise
            if transport.is_stalled:
                log_event(Event.CONNECTION_STALLED, port=self.port)
                self._note_loss(ConnectionLoss.STALLED)
        finally:
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self, stream: trio.abc.Stream, connection: h11.Connection
    ) -> None:
        while True:
            try:
                received = await self._receive_request(stream, connection)
            except h11.RemoteProtocolError as error:
                await self._refuse(stream, connection, error.error_status_hint or 400)
                return
            except _RefusedError as error:
                await self._refuse(stream, connection, error.status)
                return
            except trio.TooSlowError:
                await self._refuse(stream, connection, 408)
                return
            if received is None:
                return
            self._busy += 1
            try:
                data = await self._answer(connection, received)
                await stream.send_all(data)
                if connection.trailing_data[0]:
                    # Keeps a client that pipelines from monopolizing the event loop.
                    await trio.lowlevel.checkpoint()
            finally:
                self._busy -= 1
            if connection.our_state is h11.MUST_CLOSE:
                return
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _answer(
        self, connection: h11.Connection, received: _ReceivedRequest
    ) -> bytes:
        """Handle a request and return the bytes of its response."""
        try:
            response = await self._handler(received.request)
            head = self._build_head(received, response)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception as error:
            # An exception in one handler must not end the listener and with it all
            # other requests of the process.
            path = received.request.target.partition("?")[0]
            log_event(Event.HANDLER_FAILED, path=path, error=repr(error))
            response = HttpResponse(status=500)
            head = self._build_head(received, response)
        data = connection.send(head)
        if not received.is_head and response.status not in _STATUSES_WITHOUT_CONTENT:
            data += connection.send(h11.Data(data=response.body))
        data += connection.send(h11.EndOfMessage())
        return data

    def _build_head(
        self, received: _ReceivedRequest, response: HttpResponse
    ) -> h11.Response:
        headers = list(response.headers)
        if response.status not in _STATUSES_WITHOUT_CONTENT:
            headers.append(("content-length", str(len(response.body))))
        if self._draining or received.closes_connection:
            headers.append(("connection", "close"))
        return h11.Response(status_code=response.status, headers=headers)

    async def _receive_request(
        self, stream: trio.abc.Stream, connection: h11.Connection
    ) -> _ReceivedRequest | None:
        """Read one request; None if the client has disconnected or timed out idle.

        Raises
        ------
        trio.TooSlowError
            If a request is not received completely in time: a slow sender would
            otherwise hold its connection indefinitely.
        """
        event: object = connection.next_event()
        if event is h11.NEED_DATA and not connection.trailing_data[0]:
            if not await self._wait_for_data(stream, connection):
                return None
            event = connection.next_event()
        timeout_s = self._limits.receive_timeout_ms / _MS_PER_S
        if event is h11.NEED_DATA:
            with trio.fail_after(timeout_s) as scope:
                event = await self._receive_event(stream, connection)
            timeout_s = max(0.0, scope.deadline - trio.current_time())
        if not isinstance(event, h11.Request):
            return None
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        names = {name for name, _ in headers}
        method = event.method.decode("ascii")
        target = event.target.decode("ascii")
        _check_request_line(method, target, event.http_version)
        if "expect" in names:
            _check_expectations(headers)
        body = await self._receive_body(stream, connection, timeout_s=timeout_s)
        is_head = method == "HEAD"
        return _ReceivedRequest(
            request=HttpRequest(
                # The response to HEAD has the same header fields as that to GET.
                method="GET" if is_head else method,
                target=target,
                headers=headers,
                body=body,
            ),
            is_head=is_head,
            # Guards against request smuggling (RFC 9112, section 6.3).
            closes_connection=names >= _FRAMING_FIELDS,
        )

    async def _wait_for_data(
        self, stream: trio.abc.Stream, connection: h11.Connection
    ) -> bool:
        with trio.move_on_after(self._limits.idle_timeout_ms / _MS_PER_S) as scope:
            self._idle_scopes.add(scope)
            try:
                data = await stream.receive_some(_READ_BYTES)
            finally:
                self._idle_scopes.discard(scope)
            connection.receive_data(bytes(data))
            return True
        return False

    async def _receive_event(
        self, stream: trio.abc.Stream, connection: h11.Connection
    ) -> object:
        event: object = h11.NEED_DATA
        while event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(_READ_BYTES)))
            event = connection.next_event()
        return event

    async def _receive_body(
        self, stream: trio.abc.Stream, connection: h11.Connection, *, timeout_s: float
    ) -> bytes:
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            with trio.fail_after(timeout_s) as scope:
                await stream.send_all(connection.send(continue_response))
            timeout_s = max(0.0, scope.deadline - trio.current_time())
        body = bytearray()
        while True:
            event: object = connection.next_event()
            if event is h11.NEED_DATA:
                # Most bodies arrive together with the head; only the others incur the
                # cost of a cancel scope.
                with trio.fail_after(timeout_s) as scope:
                    event = await self._receive_event(stream, connection)
                timeout_s = max(0.0, scope.deadline - trio.current_time())
            if not isinstance(event, h11.Data):
                return bytes(body)
            if len(body) + len(event.data) > self._limits.max_body_bytes:
                raise _RefusedError(status=413)
            body += event.data

    async def _refuse(
        self, stream: trio.abc.Stream, connection: h11.Connection, status: int
    ) -> None:
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        if status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append(("allow", ", ".join(_METHODS)))
        head = h11.Response(status_code=status, headers=headers)
        data = connection.send(head) + connection.send(h11.EndOfMessage())
        with trio.move_on_after(self._limits.receive_timeout_ms / _MS_PER_S):
            await stream.send_all(data)
        await self._linger(stream)

    async def _linger(self, stream: trio.abc.Stream) -> None:
        """Read and discard data from the client for a limited time.

        Closing a connection with unread data resets it, and the client may then lose
        the response: it couldn't tell the refusal from a request that was handled.
        """
        with trio.move_on_after(_LINGER_MS / _MS_PER_S) as scope:
            self._idle_scopes.add(scope)
            try:
                if isinstance(stream, trio.abc.HalfCloseableStream):
                    await stream.send_eof()
                while await stream.receive_some(_READ_BYTES):
                    pass
            finally:
                self._idle_scopes.discard(scope)


def _check_request_line(method: str, target: str, version: bytes) -> None:
    """Refuse an unsupported version or method, or an invalid target.

    Raises
    ------
    _RefusedError
        With the status to answer with.
    """
    if version[:1] != b"1":
        raise _RefusedError(status=HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
    if method == "CONNECT":
        raise _RefusedError(status=HTTPStatus.METHOD_NOT_ALLOWED)
    if method not in _METHODS:
        raise _RefusedError(status=HTTPStatus.NOT_IMPLEMENTED)
    if not _is_target_valid(target):
        raise _RefusedError(status=HTTPStatus.BAD_REQUEST)


def _check_expectations(headers: Headers) -> None:
    """Refuse expectations other than 100-continue.

    Raises
    ------
    _RefusedError
        With the status to answer with.
    """
    for name, value in headers:
        members = {member.strip() for member in value.lower().split(",")}
        if name == "expect" and not members <= {"", "100-continue"}:
            raise _RefusedError(status=HTTPStatus.EXPECTATION_FAILED)


def _is_target_valid(target: str) -> bool:
    # urlsplit only fails on targets with brackets, which delimit an IPv6 address.
    if "[" not in target and "]" not in target:
        return True
    try:
        urlsplit(target)
    except ValueError:
        return False
    return True


def _is_tls_failure(cause: BaseException | None) -> bool:
    """Return whether a TLS error other than the end of the connection occurred."""
    is_end = isinstance(cause, ssl.SSLEOFError | ssl.SSLZeroReturnError)
    return isinstance(cause, ssl.SSLError) and not is_end


class _PortStatus:
    """Task status that reports the port once the listeners have started."""

    def __init__(self, outer: trio.TaskStatus[int], port: int) -> None:
        self._outer = outer
        self._port = port

    def started(self, value: object = None) -> None:
        self._outer.started(self._port)
