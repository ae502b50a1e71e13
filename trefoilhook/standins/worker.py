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
    """What a worker saw happen, for a test to check.

    Parameters
    ----------
    starts : tuple of StartRecord
        Every start, in its order.
    high_water : Resources
        The most that was held at once, of each kind.
    refused_starts : int
        Starts that would have exceeded the capacity.
    """

    starts: tuple[StartRecord, ...]
    high_water: Resources
    refused_starts: int


def name_worker_call(request: HttpRequest) -> str:
    """Name the kind of a call to a worker."""
    return request.path.removeprefix("/v1/")


class WorkerStandin:
    """A worker that tests can put at fault.

    Parameters
    ----------
    clock : Clock
        Its time; tasks and lease go on while it can't be reached.
    settings : WorkerSettings
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
            name_call=name_worker_call,
            clock=clock,
            host=host,
            port=port,
            control=self._obey,
            control_port=control_port,
        )

    @property
    def state(self) -> WorkerState:
        """What the worker holds; there once it runs."""
        if self._state is None:
            self._state = WorkerState(
                settings=self._settings, monotonic_ms=self._clock.monotonic_ms
            )
        return self._state

    @property
    def faults(self) -> FaultSwitch:
        """Switch of the faults that every stand-in knows."""
        return self.server.faults

    @property
    def records(self) -> WorkerRecords:
        """What happened so far."""
        offset_ms = self._clock.wall_ms() - self._clock.monotonic_ms()
        return WorkerRecords(
            starts=self.state.list_records(wall_offset_ms=offset_ms),
            high_water=self.state.high_water,
            refused_starts=len(self.state.refused_starts),
        )

    def change_settings(self, settings: WorkerSettings) -> None:
        """Put other settings in force, from now on."""
        self.state.advance()
        self.state.settings = settings

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the port for calls."""
        self.state.advance()
        await self.server.run(task_status=task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.method != "POST":
            raise RefusalError(status=405, error="method_not_allowed")
        if request.path == "/v1/lease":
            lease = decode_body(request, LeaseRequest)
            self._check_addressee(lease.worker_id)
            return encode_answer(self.state.take_lease(lease))
        if request.path == "/v1/renew":
            renewal = decode_body(request, RenewRequest)
            self._check_addressee(renewal.worker_id)
            return encode_answer(self.state.renew(renewal.epoch, renewal.ttl_ms))
        if request.path == "/v1/commands":
            order = decode_body(request, CommandsRequest)
            self._check_addressee(order.worker_id)
            results = self.state.command(order.epoch, order.commands)
            return encode_answer(CommandsAnswer(results=results))
        raise RefusalError(status=404, error="not_found")

    def _check_addressee(self, worker_id: str) -> None:
        # Addresses are used again: a command meant for a worker that is gone must not
        # start anything on the one that has its address now.
        if worker_id != self._settings.worker_id:
            raise RefusalError(status=421, error="wrong_worker")

    def _obey(self, request: HttpRequest) -> HttpResponse:
        order = (request.method, request.path)
        if order == ("GET", "/records"):
            return encode_answer(self.records)
        if order == ("PUT", "/settings"):
            self.change_settings(decode_body(request, WorkerSettings))
            return encode_answer(self.state.settings)
        if order == ("POST", "/lose-memory"):
            self.state.lose_memory()
            return encode_answer(self.records)
        raise RefusalError(status=404, error="not_found")
