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
    """What an executor has and how it behaves.

    Parameters
    ----------
    executor_id : str
        Its name.
    slots : int, optional
        Requests that it can run at once.
    max_connections : int, optional
        Connections that it takes; further ones are closed at once.
    service_time_ms : float, optional
        How long a request runs, in ms. A body that is a JSON object may name its own
        as ``service_time_ms``.
    status : int, optional
        Status that it answers with.
    """

    executor_id: str
    slots: int = 8
    max_connections: int = 64
    service_time_ms: float = 5.0
    status: int = 200


@attrs.frozen(kw_only=True)
class RunRecord:
    """One request that an executor ran.

    Parameters
    ----------
    request_id : str
        Its header ``x-request-id``; empty without one.
    body : bytes
        Its body.
    started_ms : float
        Wall time of the start, in ms.
    """

    request_id: str
    body: bytes
    started_ms: float


@attrs.frozen(kw_only=True)
class ExecutorRecords:
    """What an executor saw happen, for a test to check.

    Parameters
    ----------
    runs : tuple of RunRecord
        Every request that it began to run, in its order.
    ended_runs : int
        Requests that it ran to their end.
    high_water : int
        Most requests at once.
    overloads : int
        Requests begun while all slots were taken.
    refused_connections : int
        Connections closed for being too many.
    high_water_connections : int
        Most connections at once.
    """

    runs: tuple[RunRecord, ...]
    ended_runs: int
    high_water: int
    overloads: int
    refused_connections: int
    high_water_connections: int

    def find_repeated(self) -> tuple[str, ...]:
        """Return the request ids that were run more than once."""
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
    """Tell whether an answer is the whole answer to this very request."""
    try:
        value = json.loads(answer)
    except ValueError:
        return False
    if not isinstance(value, dict):
        return False
    found = (value.get("request_id"), value.get("length_bytes"), value.get("digest"))
    return found == (request_id, len(body), _digest(body))


def name_executor_call(request: HttpRequest) -> str:
    """Name the kind of a call to an executor."""
    return request.path.removeprefix("/")


class ExecutorStandin:
    """An executor that tests can put at fault.

    Parameters
    ----------
    clock : Clock
        Where service times are waited for.
    settings : ExecutorSettings
        What it has and how it behaves.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 takes a free one.
    control_port : int, optional
        Port for orders; 0 takes a free one.
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
            name_call=name_executor_call,
            clock=clock,
            host=host,
            port=port,
            control=self._obey,
            control_port=control_port,
            limits=HttpLimits(
                max_body_bytes=_MAX_BODY_BYTES,
                max_connections=settings.max_connections,
                idle_timeout_ms=600_000.0,
            ),
            is_refusing_surplus=True,
        )

    @property
    def faults(self) -> FaultSwitch:
        """Switch of the faults that every stand-in knows."""
        return self.server.faults

    @property
    def records(self) -> ExecutorRecords:
        """What happened so far."""
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
        """Serve until cancelled; reports the port for calls."""
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
        self._begin(request_id, request.body)
        try:
            await self._clock.sleep_ms(self._choose_service_time(request))
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

    def _begin(self, request_id: str, body: bytes) -> None:
        if self._in_use >= self.settings.slots:
            self._overloads += 1
        self._in_use += 1
        self._high_water = max(self._high_water, self._in_use)
        started_ms = self._clock.wall_ms()
        run = RunRecord(request_id=request_id, body=body, started_ms=started_ms)
        self._runs.append(run)

    def _choose_service_time(self, request: HttpRequest) -> float:
        try:
            value = request.parse_json()
        except ValueError:
            return self.settings.service_time_ms
        own = value.get("service_time_ms") if isinstance(value, dict) else None
        if isinstance(own, int | float) and own >= 0:
            return float(own)
        return self.settings.service_time_ms

    def _obey(self, request: HttpRequest) -> HttpResponse:
        order = (request.method, request.path)
        if order == ("GET", "/records"):
            return encode_answer(self.records)
        if order == ("PUT", "/settings"):
            self.settings = decode_body(request, ExecutorSettings)
            return encode_answer(self.settings)
        raise RefusalError(status=404, error="not_found")
