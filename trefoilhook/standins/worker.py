"""Stand-in for one of the platform's workers."""

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.standins.core import (
    FaultyServer,
    RefusalError,
    decode_body,
    encode_answer,
)
from trefoilhook.standins.faults import FaultSwitch
from trefoilhook.standins.worker_state import WorkerSettings, WorkerState
from trefoilhook.standins.worker_task import StartRecord
from trefoilhook.workers import (
    CommandsAnswer,
    CommandsRequest,
    LeaseRequest,
    RenewRequest,
    Resources,
)

__all__ = ["WorkerRecords", "WorkerStandin"]


@attrs.frozen(kw_only=True)
class WorkerRecords:
    """Record of a worker's activity, for checks in tests.

    Parameters
    ----------
    starts : tuple of StartRecord
        All task starts, in order.
    high_water : Resources
        Maximum of each resource reserved at one time.
    refused_starts : int
        Number of starts refused for lack of capacity.
    """

    starts: tuple[StartRecord, ...]
    high_water: Resources
    refused_starts: int


def get_worker_call_kind(request: HttpRequest) -> str:
    """Return the kind of a call to a worker."""
    return request.path.removeprefix("/v1/")


class WorkerStandin:
    """Worker with injectable faults.

    Parameters
    ----------
    clock : Clock
        Clock of the worker; tasks and the lease also advance while it is unreachable.
    settings : WorkerSettings
        Configuration of the worker.
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
        settings: WorkerSettings,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._state: WorkerState | None = None
        self.server = FaultyServer(
            handler=self._handle,
            get_call_kind=get_worker_call_kind,
            clock=clock,
            host=host,
            port=port,
            control=self._handle_control,
            control_port=control_port,
        )

    @property
    def state(self) -> WorkerState:
        """State of the worker; created on first access."""
        if self._state is None:
            self._state = WorkerState(
                settings=self._settings, monotonic_ms=self._clock.monotonic_ms
            )
        return self._state

    @property
    def faults(self) -> FaultSwitch:
        """Faults common to all stand-ins."""
        return self.server.faults

    @property
    def records(self) -> WorkerRecords:
        """Activity so far."""
        offset_ms = self._clock.wall_ms() - self._clock.monotonic_ms()
        return WorkerRecords(
            starts=self.state.list_records(wall_offset_ms=offset_ms),
            high_water=self.state.high_water,
            refused_starts=len(self.state.refused_starts),
        )

    def change_settings(self, settings: WorkerSettings) -> None:
        """Change the settings from now on."""
        self.state.advance()
        self.state.settings = settings

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the start value is the port for calls."""
        self.state.advance()
        await self.server.run(task_status=task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method != "POST":
            raise RefusalError(status=405, error="method_not_allowed")
        if request.path == "/v1/lease":
            lease = decode_body(request, LeaseRequest)
            self._check_worker_id(lease.worker_id)
            return encode_answer(self.state.acquire_lease(lease))
        if request.path == "/v1/renew":
            renewal = decode_body(request, RenewRequest)
            self._check_worker_id(renewal.worker_id)
            return encode_answer(self.state.renew(renewal.epoch, renewal.ttl_ms))
        if request.path == "/v1/commands":
            batch = decode_body(request, CommandsRequest)
            self._check_worker_id(batch.worker_id)
            results = self.state.command(batch.epoch, batch.commands)
            return encode_answer(CommandsAnswer(results=results))
        raise RefusalError(status=404, error="not_found")

    def _check_worker_id(self, worker_id: str) -> None:
        # Addresses are reused: a command for a removed worker must not start anything
        # on the worker that now has its address.
        if worker_id != self._settings.worker_id:
            raise RefusalError(status=421, error="wrong_worker")

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("GET", "/records"):
            return encode_answer(self.records)
        if route == ("PUT", "/settings"):
            self.change_settings(decode_body(request, WorkerSettings))
            return encode_answer(self.state.settings)
        if route == ("POST", "/lose-memory"):
            self.state.reset_state()
            return encode_answer(self.records)
        raise RefusalError(status=404, error="not_found")
