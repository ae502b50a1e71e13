"""An HTTP server with faults that can be changed while it runs.

Each stand-in uses such a server. Calls go to one port and are subject to the faults; a
second port serves control requests of tests and is never faulty.
"""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
import cattrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exchange import build_converter
from trefoilhook.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from trefoilhook.standins.faults import Availability, FaultSettings, FaultSwitch

__all__ = [
    "Control",
    "FaultyServer",
    "RefusalError",
    "encode_refusal",
    "decode_body",
    "encode_answer",
]

_T = TypeVar("_T")
_LIMITS = HttpLimits(max_body_bytes=2_097_152, idle_timeout_ms=600_000.0)
_converter = build_converter()

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
Control = Callable[[HttpRequest], HttpResponse]


@attrs.frozen(kw_only=True, eq=False)
class RefusalError(Exception):
    """The call is refused; nothing was changed.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    error : str
        Error name defined by the interface.
    details : object, optional
        An attrs instance whose fields are added to the response.
    """

    status: int
    error: str
    details: object = None


def decode_body(request: HttpRequest, kind: type[_T]) -> _T:
    """Decode the body of a request as an instance of ``kind``.

    Raises
    ------
    RefusalError
        If the body is not valid.
    """
    try:
        return _converter.structure(request.parse_json(), kind)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise RefusalError(status=400, error="bad_request") from error


def encode_answer(value: object, *, status: int = 200) -> HttpResponse:
    """Return a response whose body is an encoded attrs instance."""
    return HttpResponse.from_json(_converter.unstructure(value), status=status)


def encode_refusal(refusal: RefusalError) -> HttpResponse:
    """Return the response for a refused call."""
    body: dict[str, Any] = {"error": refusal.error}
    if refusal.details is not None:
        body.update(_converter.unstructure(refusal.details))
    return HttpResponse.from_json(body, status=refusal.status)


class _CountingServer(HttpServer):
    """A server that counts its connections and can close those above a limit."""

    def __init__(self, *, counts: "_ConnectionCounts", **options: Any) -> None:
        super().__init__(**options)
        self._counts = counts

    async def serve_connection(self, raw: trio.SocketStream) -> None:
        counts = self._counts
        if counts.limit is not None and counts.open >= counts.limit:
            counts.refused += 1
            await trio.aclose_forcefully(raw)
            return
        counts.open += 1
        counts.high_water = max(counts.high_water, counts.open)
        try:
            await super().serve_connection(raw)
        finally:
            counts.open -= 1


@attrs.define(kw_only=True)
class _ConnectionCounts:
    limit: int | None
    open: int = 0
    high_water: int = 0
    refused: int = 0


class FaultyServer:
    """Serves calls to a stand-in, with faults, and control requests.

    Parameters
    ----------
    handler : callable
        Executes a call; may raise `RefusalError`.
    get_call_kind : callable
        Returns the kind of a call, to which faults may be restricted.
    clock : Clock
        Clock for delays.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 selects a free one.
    control : callable, optional
        Handles control requests other than those for faults.
    control_port : int, optional
        Port for control requests; 0 selects a free one.
    limits : HttpLimits, optional
        Limits on connections and requests.
    closes_excess_connections : bool, optional
        Whether connections above the limit are closed at once instead of queued.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        get_call_kind: Callable[[HttpRequest], str],
        clock: Clock,
        host: str = "127.0.0.1",
        port: int = 0,
        control: Control | None = None,
        control_port: int = 0,
        limits: HttpLimits = _LIMITS,
        closes_excess_connections: bool = False,
    ) -> None:
        self._handler = handler
        self._get_call_kind = get_call_kind
        self._clock = clock
        self._control = control
        self._control_server = HttpServer(
            handler=self._handle_control, host=host, port=control_port
        )
        self._limits = limits
        self._connections = _ConnectionCounts(
            limit=limits.max_connections if closes_excess_connections else None
        )
        self._scope = trio.CancelScope()
        self._is_listening = False
        self._listening_changed = trio.Event()
        self.host = host
        self.port = port
        self.faults = FaultSwitch()

    @property
    def control_port(self) -> int:
        """Port for control requests; valid once the server runs."""
        return self._control_server.port

    @property
    def refused_connections(self) -> int:
        """Number of connections closed because of the limit."""
        return self._connections.refused

    @property
    def high_water_connections(self) -> int:
        """Maximum number of simultaneous connections."""
        return self._connections.high_water

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the port for calls."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._control_server.run)
            await self._listen(nursery)
            task_status.started(self.port)
            while True:
                await self._apply_availability(nursery)

    async def change_faults(self, settings: FaultSettings) -> None:
        """Change the active faults and wait until they have taken effect."""
        self.faults.set(settings)
        is_wanted = settings.availability is not Availability.REFUSING
        while self._is_listening is not is_wanted:
            await self._listening_changed.wait()

    async def _apply_availability(self, nursery: trio.Nursery) -> None:
        is_wanted = self.faults.settings.availability is not Availability.REFUSING
        if is_wanted is self._is_listening:
            await self.faults.wait_change()
        elif is_wanted:
            await self._listen(nursery)
        else:
            self._scope.cancel()
            await self._listening_changed.wait()

    async def _listen(self, nursery: trio.Nursery) -> None:
        self.port = await nursery.start(self._serve_once)
        self._set_listening(True)

    def _set_listening(self, is_listening: bool) -> None:
        self._is_listening = is_listening
        changed = self._listening_changed
        self._listening_changed = trio.Event()
        changed.set()

    async def _serve_once(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        server = _CountingServer(
            counts=self._connections,
            handler=self._handle,
            host=self.host,
            port=self.port,
            limits=self._limits,
        )
        with trio.CancelScope() as self._scope:
            await server.run(task_status=task_status)
        self._set_listening(False)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._wait_while_hanging()
        if self.faults.settings.delay_ms > 0:
            await self._clock.sleep_ms(self.faults.settings.delay_ms)
        kind = self._get_call_kind(request)
        try:
            response = await self._handler(request)
        except RefusalError as refusal:
            return encode_refusal(refusal)
        await self._wait_while_hanging()
        if self.faults.consume_lost_answer(kind):
            drop_connection()
        return response

    async def _wait_while_hanging(self) -> None:
        if self.faults.settings.availability is not Availability.HANGING:
            return
        while self.faults.settings.availability is Availability.HANGING:
            await self.faults.wait_change()
        drop_connection()

    async def _handle_control(self, request: HttpRequest) -> HttpResponse:
        try:
            if (request.method, request.path) == ("GET", "/faults"):
                return encode_answer(self.faults.settings)
            if (request.method, request.path) == ("PUT", "/faults"):
                await self.change_faults(decode_body(request, FaultSettings))
                return encode_answer(self.faults.settings)
            if self._control is not None:
                return self._control(request)
            raise RefusalError(status=404, error="not_found")
        except RefusalError as refusal:
            return encode_refusal(refusal)


def drop_connection() -> None:
    """Close the connection of the current call without a response."""
    raise trio.BrokenResourceError("connection dropped by an injected fault")
