"""Stand-in for an executor of a backend server."""

import hashlib
import json
from collections import Counter

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpLimits, HttpRequest, HttpResponse
from trefoilhook.standins.core import (
    FaultyServer,
    RefusalError,
    decode_body,
    encode_answer,
)
from trefoilhook.standins.faults import FaultSwitch

__all__ = [
    "ExecutorRecords",
    "ExecutorSettings",
    "ExecutorStandin",
    "RunRecord",
    "check_answer",
]

REQUEST_ID_HEADER = "x-request-id"
_MAX_BODY_BYTES = 1_048_576


@attrs.frozen(kw_only=True)
class ExecutorSettings:
    """Configuration of an executor.

    Parameters
    ----------
    executor_id : str
        Id of the executor.
    slots : int, optional
        Maximum number of simultaneous requests.
    max_connections : int, optional
        Maximum number of connections; further ones are closed at once.
    service_time_ms : float, optional
        Run time of a request, in ms. A body that is a JSON object may override it by
        ``service_time_ms``.
    status : int, optional
        HTTP status of its responses.
    """

    executor_id: str
    slots: int = 8
    max_connections: int = 64
    service_time_ms: float = 5.0
    status: int = 200


@attrs.frozen(kw_only=True)
class RunRecord:
    """A request run by an executor.

    Parameters
    ----------
    request_id : str
        Value of the header ``x-request-id``; empty if missing.
    body : bytes
        Body of the request.
    started_ms : float
        Wall-clock time of the start, in ms.
    """

    request_id: str
    body: bytes
    started_ms: float


@attrs.frozen(kw_only=True)
class ExecutorRecords:
    """Record of an executor's activity, for checks in tests.

    Parameters
    ----------
    runs : tuple of RunRecord
        All requests started, in order.
    ended_runs : int
        Number of requests completed.
    high_water : int
        Maximum number of simultaneous requests.
    overloads : int
        Number of requests started while all slots were in use.
    refused_connections : int
        Number of connections closed because of the limit.
    high_water_connections : int
        Maximum number of simultaneous connections.
    """

    runs: tuple[RunRecord, ...]
    ended_runs: int
    high_water: int
    overloads: int
    refused_connections: int
    high_water_connections: int

    def find_repeated(self) -> tuple[str, ...]:
        """Return the ids of requests that were run more than once."""
        counts = Counter(run.request_id for run in self.runs)
        return tuple(name for name, count in counts.items() if count > 1)


@attrs.frozen(kw_only=True)
class _Health:
    slots: int
    in_use: int


@attrs.frozen(kw_only=True)
class _Answer:
    executor_id: str
    request_id: str
    length_bytes: int
    digest: str


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def check_answer(answer: bytes, *, request_id: str, body: bytes) -> bool:
    """Return whether a response is complete and belongs to the given request."""
    try:
        value = json.loads(answer)
    except ValueError:
        return False
    if not isinstance(value, dict):
        return False
    found = (value.get("request_id"), value.get("length_bytes"), value.get("digest"))
    return found == (request_id, len(body), _digest(body))


def get_executor_call_kind(request: HttpRequest) -> str:
    """Return the kind of a call to an executor."""
    return request.path.removeprefix("/")


class ExecutorStandin:
    """Executor with injectable faults.

    Parameters
    ----------
    clock : Clock
        Clock for service times.
    settings : ExecutorSettings
        Configuration of the executor.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 selects a free one.
    control_port : int, optional
        Port for control requests; 0 selects a free one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        settings: ExecutorSettings,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        self._clock = clock
        self._runs: list[RunRecord] = []
        self._ended_runs = 0
        self._in_use = 0
        self._high_water = 0
        self._overloads = 0
        self.settings = settings
        self.server = FaultyServer(
            handler=self._handle,
            get_call_kind=get_executor_call_kind,
            clock=clock,
            host=host,
            port=port,
            control=self._handle_control,
            control_port=control_port,
            limits=HttpLimits(
                max_body_bytes=_MAX_BODY_BYTES,
                max_connections=settings.max_connections,
                idle_timeout_ms=600_000.0,
            ),
            closes_excess_connections=True,
        )

    @property
    def faults(self) -> FaultSwitch:
        """Faults common to all stand-ins."""
        return self.server.faults

    @property
    def records(self) -> ExecutorRecords:
        """Activity so far."""
        return ExecutorRecords(
            runs=tuple(self._runs),
            ended_runs=self._ended_runs,
            high_water=self._high_water,
            overloads=self._overloads,
            refused_connections=self.server.refused_connections,
            high_water_connections=self.server.high_water_connections,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the start value is the port for calls."""
        await self.server.run(task_status=task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        call = (request.method, request.path)
        if call == ("GET", "/health"):
            health = _Health(slots=self.settings.slots, in_use=self._in_use)
            return encode_answer(health)
        if call == ("POST", "/run"):
            return await self._run(request)
        raise RefusalError(status=404, error="not_found")

    async def _run(self, request: HttpRequest) -> HttpResponse:
        request_id = request.get_header(REQUEST_ID_HEADER) or ""
        self._record_start(request_id, request.body)
        try:
            await self._clock.sleep_ms(self._get_service_time_ms(request))
            self._ended_runs += 1
        finally:
            self._in_use -= 1
        answer = _Answer(
            executor_id=self.settings.executor_id,
            request_id=request_id,
            length_bytes=len(request.body),
            digest=_digest(request.body),
        )
        return encode_answer(answer, status=self.settings.status)

    def _record_start(self, request_id: str, body: bytes) -> None:
        if self._in_use >= self.settings.slots:
            self._overloads += 1
        self._in_use += 1
        self._high_water = max(self._high_water, self._in_use)
        started_ms = self._clock.wall_ms()
        run = RunRecord(request_id=request_id, body=body, started_ms=started_ms)
        self._runs.append(run)

    def _get_service_time_ms(self, request: HttpRequest) -> float:
        try:
            value = request.parse_json()
        except ValueError:
            return self.settings.service_time_ms
        own = value.get("service_time_ms") if isinstance(value, dict) else None
        if isinstance(own, int | float) and own >= 0:
            return float(own)
        return self.settings.service_time_ms

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("GET", "/records"):
            return encode_answer(self.records)
        if route == ("PUT", "/settings"):
            self.settings = decode_body(request, ExecutorSettings)
            return encode_answer(self.settings)
        raise RefusalError(status=404, error="not_found")
